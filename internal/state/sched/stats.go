package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/pairs"
)

// Stats are figures of the leader's state, for logs and metrics.
type Stats struct {
	Jobs             int // known jobs
	LiveJobs         int // jobs that have not ended or still have runs
	PendingSteps     int // steps with tasks that may start, without those of jobs in a pause after a refused start
	LatePendingSteps int // pending steps that are past their objective
	// Stranded is the number of jobs that have not ended and have neither a pending
	// step, nor a run, nor a round to come, and StrandedJob the ID of the oldest.
	// There are none unless the engine has lost track of a job.
	Stranded    int
	StrandedJob string
	// Waiting describes the pending steps by queue, without queues that have
	// none, and includes jobs in a pause after a refused start.
	Waiting          map[string]*QueueWaiting
	Runs             int // runs that are not known to have ended
	Stopping         int // runs that are being stopped
	Workers          int // listed workers
	Usable           int // workers on which tasks may start
	CPU              CPUShares
	ReservingSteps   int          // steps with unexpired reservations
	QueriesInFlight  int          // queries to the placement service that are not answered yet
	Clients          int          // healthy placement clients
	LongQueryClients int          // those of them that get long queries
	UnansweredStarts int          // runs whose start was not answered
	Pairs            []pairs.Pair // the pairs of images with the largest known interference
	PairsKnown       int          // pairs of images of which observations are held
	CrashedRuns      int          // runs of this term under which a worker has certainly crashed
}

// CPUShares are shares of the usable workers' CPU.
type CPUShares struct {
	Used        float64 // used by runs
	Unconfirmed float64 // used by runs that are placed and whose workers have not confirmed them
	Stopping    float64 // used by runs that are being stopped
	Reserved    float64 // reserved for pending steps, also where runs still use it
	// ReservedIdle is the part of Reserved that no run uses.
	ReservedIdle float64
}

// Stats returns the figures as of now.
func (e *Engine) Stats(now time.Time) Stats {
	s := Stats{Jobs: len(e.jobs), LiveJobs: len(e.liveJobs), CrashedRuns: e.crashedRuns, Pairs: e.pairs.Top(now, topPairs), PairsKnown: e.pairs.Len()}
	pending := e.pendingSteps(now)
	s.PendingSteps = len(pending)
	for _, ps := range pending {
		if ps.lateness > 0 {
			s.LatePendingSteps++
		}
	}
	s.Waiting = e.waitingByQueue(now, pending)
	s.Stranded, s.StrandedJob = e.strandedJobs()
	var sums cpuSums
	reserving := map[TaskID]bool{}
	for _, w := range e.workersByID {
		s.Runs += len(w.runs)
		for _, r := range w.runs {
			if r.stopReason != "" {
				s.Stopping++
			}
			if r.startUnanswered {
				s.UnansweredStarts++
			}
		}
		if w.listed {
			s.Workers++
		}
		if w.usable(now) {
			s.Usable++
			sums.add(now, w, reserving)
		}
	}
	s.CPU, s.ReservingSteps = sums.shares(), len(reserving)
	for _, c := range e.clients {
		s.QueriesInFlight += len(c.inFlight)
		if c.healthy {
			s.Clients++
		}
	}
	s.LongQueryClients = s.Clients - e.quickOnlyClients(now, s.Clients)
	return s
}

// strandedJobs returns the number of stranded jobs and the ID of the oldest. It
// must be called after pendingSteps.
func (e *Engine) strandedJobs() (n int, oldest string) {
	seq := 0
	for j := range e.liveJobs {
		if j.State.Final() || len(j.runs) > 0 || e.pendingJobs[j] || e.jobsWithFutureRounds[j] {
			continue
		}
		if n == 0 || j.seq < seq {
			seq, oldest = j.seq, j.ID
		}
		n++
	}
	return n, oldest
}

// cpuSums are amounts of CPU of usable workers, in thousandths of a core.
type cpuSums struct{ capacity, used, unconfirmed, stopping, reserved, reservedIdle int64 }

// add adds the amounts of a worker, and the steps with reservations on it to
// reserving.
func (s *cpuSums) add(now time.Time, w *worker, reserving map[TaskID]bool) {
	s.capacity += w.Capacity.CPU
	s.used += w.used.CPU
	for _, r := range w.runs {
		switch {
		case r.stopReason != "":
			s.stopping += r.size.CPU
		case !r.confirmed:
			s.unconfirmed += r.size.CPU
		}
	}
	var reserved int64
	for _, res := range w.reservations {
		if now.Before(res.expires) {
			reserved += res.size.CPU
			reserving[res.step] = true
		}
	}
	s.reserved += reserved
	s.reservedIdle += min(reserved, max(w.Capacity.CPU-w.used.CPU, 0))
}

func (s *cpuSums) shares() CPUShares {
	if s.capacity == 0 {
		return CPUShares{}
	}
	share := func(amount int64) float64 { return float64(amount) / float64(s.capacity) }
	return CPUShares{Used: share(s.used), Unconfirmed: share(s.unconfirmed), Stopping: share(s.stopping), Reserved: share(s.reserved), ReservedIdle: share(s.reservedIdle)}
}
