package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// WaitReason is what a pending step waits for.
type WaitReason uint8

// The reasons of waiting.
const (
	// WaitBlocked: the job pauses after a refused start, or the step after a
	// failed query.
	WaitBlocked WaitReason = iota
	// WaitNotEvaluated: as many steps go first as a pass evaluates.
	WaitNotEvaluated
	// WaitNoClient: it needs a query, and no client is free for it.
	WaitNoClient
	// WaitQuerying: a query that is not a renewal is in flight.
	WaitQuerying
	// WaitRenewing: the renewal of tickets is in flight.
	WaitRenewing
	// WaitNoTicket: no worker is known that may run it, and a client is free. The
	// next pass sends the query, unless all workers have been rejected or the step
	// waits for free capacity before it queries.
	WaitNoTicket
	// WaitExpired: its tasks would fit on permitted workers, but their tickets
	// have expired and nothing prevents the renewal.
	WaitExpired
	// WaitReserved: its tasks would fit if no capacity were reserved for other
	// steps.
	WaitReserved
	// WaitForGangs: it has time left and leaves the room to gangs that wait for it.
	WaitForGangs
	// WaitNoRoom: its tasks don't fit on the workers that may run it.
	WaitNoRoom
	// WaitQuota: its customer's quota leaves no room, or is not known because the
	// configuration is too old.
	WaitQuota
	// WaitNextPass: it can be placed, at least in part.
	WaitNextPass
	waitReasons
)

var waitReasonNames = [...]string{"blocked", "not-evaluated", "no-client", "querying", "renewing", "no-tickets-yet", "expired", "reserved", "for-gangs", "no-room", "quota", "next-pass"}

// String returns the reason's name.
func (r WaitReason) String() string { return waitReasonNames[r] }

// QueueWaiting counts the pending steps of one queue.
type QueueWaiting struct {
	Steps    int
	ByReason [waitReasons]int
	Oldest   OldestStep
	oldest   pendingStep
}

// OldestStep describes the pending step of a queue that became startable first.
type OldestStep struct {
	Name      string        // JOB.ROUND.STEP, empty if since when the steps are startable is not known
	Age       time.Duration // since it became startable
	Reason    WaitReason    // what it waits for
	IdleTasks int
	Permitted int // workers that may run it, as far as known
	Rejected  int // workers that may not run it, as far as known
	Fit       int // idle tasks that fit on permitted workers now
	ValidFit  int // idle tasks that fit on those with valid tickets now
}

// EachReason calls f for each reason for which steps wait.
func (w *QueueWaiting) EachReason(f func(r WaitReason, steps int)) {
	for r, n := range w.ByReason {
		if n > 0 {
			f(WaitReason(r), n)
		}
	}
}

// waitingByQueue returns the counts of pending steps by queue.
func (e *Engine) waitingByQueue(now time.Time, pending []pendingStep) map[string]*QueueWaiting {
	queues := map[string]*QueueWaiting{}
	add := func(ps pendingStep, reason WaitReason) {
		q := queues[ps.job.Queue]
		if q == nil {
			q = &QueueWaiting{}
			queues[ps.job.Queue] = q
		}
		q.Steps++
		q.ByReason[reason]++
		if since, ok := ps.startableSince(); ok && (q.Oldest.Name == "" || now.Sub(since) > q.Oldest.Age) {
			q.oldest, q.Oldest.Name, q.Oldest.Age, q.Oldest.Reason = ps, ps.stepID().StepName(), now.Sub(since), reason
		}
	}
	evaluated, demand, services := 0, e.findRoomDemand(now, pending), e.findServices(now)
	for _, ps := range pending {
		reason, counts := e.waitReason(now, ps, evaluated >= maxStepsPerPass, demand, services[ps.service])
		add(ps, reason)
		if counts {
			evaluated++
		}
	}
	for j := range e.pendingJobs {
		if !now.Before(j.blockedUntil) {
			continue
		}
		for _, r := range j.Progress.Rounds {
			for step := range r.Steps {
				if idle := e.startableTasks(j, r, step); len(idle) > 0 {
					add(pendingStep{job: j, round: r, step: step, idleTasks: idle}, WaitBlocked)
				}
			}
		}
	}
	for _, q := range queues {
		if q.Oldest.Name != "" {
			e.describeOldest(now, q)
		}
	}
	return queues
}

// describeOldest sets the figures of the oldest step.
func (e *Engine) describeOldest(now time.Time, q *QueueWaiting) {
	ps, o := q.oldest, &q.Oldest
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	o.IdleTasks, o.Permitted, o.Rejected = len(ps.idleTasks), len(sp.tickets), len(sp.rejected)
	valid, fit, _ := e.permittedFit(now, ps, sp)
	o.Fit, o.ValidFit = min(fit, o.IdleTasks), min(valid, o.IdleTasks)
}

// startableSince returns since when the step has been startable, if that is
// known.
func (ps *pendingStep) startableSince() (time.Time, bool) {
	p, ok := ps.job.startable[stepKey{ps.round.Number, ps.step}]
	return p.startableAt, ok
}

// waitReason returns what a step waits for, and whether a scheduling pass
// evaluates workers for the step. passFull means that a pass evaluates no more
// steps after those before this one; the fit of its tasks is then not computed.
// demand is the room that gangs wait for, by service, and use that of the step's
// service, nil if it has no usable worker.
func (e *Engine) waitReason(now time.Time, ps pendingStep, passFull bool, demand map[string]roomDemand, use *serviceUse) (reason WaitReason, evaluated bool) {
	st := &ps.job.Steps[ps.step]
	service := e.policy(ps.job).PlacementService
	mayFit := e.index.mayFit(taskSize(st))
	if e.quotaFit(now, ps, len(ps.idleTasks), work.Size{}) == 0 {
		return WaitQuota, false
	}
	if !service.Required() {
		if passFull {
			return WaitNotEvaluated, false
		}
		return e.roomReason(now, ps, demand), st.Gang || mayFit
	}
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	clientFree := e.pickClient(now, ps.job.Queue, queryDuration(service, minQueryWorkers), nil) != nil
	switch {
	case len(sp.queriedBy) > 0 && sp.purpose == QueryRenewal:
		return WaitRenewing, st.Gang
	case len(sp.queriedBy) > 0:
		return WaitQuerying, st.Gang && len(sp.tickets) > 0
	case now.Before(sp.nextQuery):
		return WaitBlocked, false
	case len(sp.tickets) == 0 && !clientFree:
		return WaitNoClient, false
	case passFull:
		return WaitNotEvaluated, false
	case len(sp.tickets) == 0:
		return WaitNoTicket, true
	}
	valid, permitted, unreserved := e.permittedFit(now, ps, sp)
	need := 1
	if st.Gang {
		need = len(ps.idleTasks)
	}
	// The step needs a query if its tasks fit but lack tickets, or if they don't
	// fit and there is room on workers about which it has no answer.
	needsQuery := permitted >= need || (mayFit && use != nil && len(sp.tickets)+len(sp.rejected) < use.workers)
	switch {
	case permitted >= need && e.mayOnlyBackfill(now, ps, demand):
		reason = WaitForGangs
	case valid >= need:
		reason = WaitNextPass
	case needsQuery && !clientFree:
		reason = WaitNoClient
	case permitted >= need:
		reason = WaitExpired
	case unreserved >= need:
		reason = WaitReserved
	default:
		reason = WaitNoRoom
	}
	return reason, true
}

// roomReason returns what a step that needs no tickets waits for.
func (e *Engine) roomReason(now time.Time, ps pendingStep, demand map[string]roomDemand) WaitReason {
	st, id := &ps.job.Steps[ps.step], ps.stepID()
	need, fit, unreserved := 1, 0, 0
	if st.Gang {
		need = len(ps.idleTasks)
	}
	for _, w := range e.workersByID {
		if w.Service != ps.service || (st.Label != "" && !w.hasLabel(st.Label)) {
			continue
		}
		n, all := e.fitForStep(now, ps.job, id, w, need)
		if fit, unreserved = fit+n, unreserved+all; fit >= need {
			break
		}
	}
	switch {
	case fit >= need && e.mayOnlyBackfill(now, ps, demand):
		return WaitForGangs
	case fit >= need:
		return WaitNextPass
	case unreserved >= need:
		return WaitReserved
	}
	return WaitNoRoom
}

// permittedFit returns how many tasks of a step fit on workers with valid
// tickets, on all workers that may run it, and on these without the
// reservations for other steps.
func (e *Engine) permittedFit(now time.Time, ps pendingStep, sp *stepPlacement) (valid, permitted, unreserved int) {
	id, need := ps.stepID(), len(ps.idleTasks)
	for name, t := range sp.tickets {
		w := e.workers[name]
		fit, all := e.fitForStep(now, ps.job, id, w, need)
		permitted += fit
		unreserved += all
		if fit > 0 && t.incarnation == w.lastIncarnation && now.Before(t.expires) {
			valid += fit
		}
	}
	return valid, permitted, unreserved
}
