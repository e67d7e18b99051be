package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Limits of the room that is left to waiting gangs.
const (
	// backfillTimeFactor is how many times the remaining work of a step's job must
	// fit into the time until its objective for the step to leave room to gangs. The
	// step still has to be queried for, and may meet slow workers.
	backfillTimeFactor = 2.5
	// roomDemandTTL is how long a gang counts as waiting for room after a pass found
	// none for it. A long backlog is evaluated in turn.
	roomDemandTTL = 500 * time.Millisecond
	// maxWaitBesideGangs is how long a step leaves room to gangs that don't fit yet
	// while most of its service is idle, or if its tasks are long-running. Users give
	// a step that could run three seconds, of which the query for tickets takes a
	// part.
	maxWaitBesideGangs = 1500 * time.Millisecond
)

// roomDemand is the room of one service that gangs wait for.
type roomDemand struct {
	gangs    int   // gangs within their objective that lack room
	priority int   // the most urgent one's
	taskCPU  int64 // of the smallest task of these gangs, in thousandths of a core
}

// findRoomDemand returns what the gangs among the pending steps wait for, by
// service.
func (e *Engine) findRoomDemand(now time.Time, pending []pendingStep) map[string]roomDemand {
	demand := map[string]roomDemand{}
	for _, ps := range pending {
		st := &ps.job.Steps[ps.step]
		if !st.Gang || ps.lateness > 0 || ps.beyond || taskSize(st).CPU == 0 || e.quotaFit(now, ps, len(ps.idleTasks), work.Size{}) == 0 {
			continue
		}
		sp := ps.job.stepPlacement(ps.round.Number, ps.step)
		if len(sp.queriedBy) > 0 || now.Sub(sp.lackedRoomAt) > roomDemandTTL {
			continue
		}
		d := demand[ps.service]
		if d.gangs == 0 || ps.priority < d.priority {
			d.priority = ps.priority
		}
		if d.gangs == 0 || taskSize(st).CPU < d.taskCPU {
			d.taskCPU = taskSize(st).CPU
		}
		d.gangs++
		demand[ps.service] = d
	}
	return demand
}

// mayOnlyBackfill reports whether a step has to leave the room that gangs wait
// for. It may still use what their tasks can't. demand is that of each service.
//
// It answers a burst of gangs beside batch jobs: each hole that a task leaves is
// smaller than a gang, and the tasks of batch jobs, though of a lower priority,
// fill it at once. These are all in time then, with most of their time to spare,
// while the gangs are late. A single gang is served by its partial reservation.
func (e *Engine) mayOnlyBackfill(now time.Time, ps pendingStep, demand map[string]roomDemand) bool {
	d := demand[ps.service]
	if d.gangs <= maxPartialReservations || ps.priority <= d.priority || ps.lateness > 0 || ps.job.objectiveMs <= 0 {
		return false
	}
	since := max(ps.job.AcceptedMs, ps.job.EarliestStartMs(ps.round.Number))
	left := since + ps.job.objectiveMs - now.UnixMilli()
	return float64(left) > backfillTimeFactor*float64(ps.job.remainingMs[ps.step])
}

// waited returns for how long the step has had idle tasks that may start, 0 if that
// is not known.
func (ps *pendingStep) waited(now time.Time) time.Duration {
	since, ok := ps.job.idleSince[stepKey{ps.round.Number, ps.step}]
	if !ok {
		since, ok = ps.startableSince()
	}
	if !ok {
		return 0
	}
	return now.Sub(since)
}
