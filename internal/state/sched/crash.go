package sched

import "time"

// Bounds of the time that a run had been at work when its worker was last heard
// from before a crash.
const (
	// freshRunAge is the age up to which a run may have crashed its worker by its
	// start. It is short against pollWait, so that runs beside it are older.
	freshRunAge = 200 * time.Millisecond
	// youngRunAge is the age up to which a run may have crashed its worker soon
	// after its start.
	youngRunAge = 2 * time.Second
)

// crashAge is how long a run had been at work when its worker crashed.
type crashAge uint8

const (
	crashUnconfirmed crashAge = iota // it is not known whether it had started
	crashFresh                       // it had started last
	crashYoung
	crashOld
)

var crashAgeNames = [...]string{"unconfirmed", "just started", "young", "old"}

// crashAgeOf returns how long the run had been at work when its worker, which
// has crashed since, was last heard from. lastStart is when the newest run there
// was confirmed.
func (r *run) crashAgeOf(lastStart time.Time) crashAge {
	switch seen := r.worker.lastContact.Sub(r.startedAt); {
	case !r.confirmed:
		return crashUnconfirmed
	case seen <= freshRunAge && lastStart.Sub(r.startedAt) <= freshRunAge:
		return crashFresh
	case seen <= youngRunAge:
		return crashYoung
	}
	return crashOld
}

// recordCrash records that the worker has crashed under its runs, except those
// that were sent to the given incarnation. The crash is certain if another
// worker or incarnation answers in its place, and otherwise may be a cut of which
// the worker's leases have expired.
func (e *Engine) recordCrash(now time.Time, w *worker, incarnation int64, certain bool) {
	var crashed []*run
	var lastStart time.Time
	for _, r := range w.sortedRuns() {
		if r.crashRecorded || !r.startSent || r.ordersInFlight > 0 && !r.confirmed || r.incarnation == incarnation {
			continue
		}
		crashed = append(crashed, r)
		if r.confirmed && r.startedAt.After(lastStart) {
			lastStart = r.startedAt
		}
	}
	for _, r := range crashed {
		r.crashRecorded = true
		age, detail := r.crashAgeOf(lastStart), "maybe cut off"
		if certain {
			detail = "restarted"
			e.crashedRuns++
		}
		seen := time.Duration(0)
		if age != crashUnconfirmed {
			seen = max(w.lastContact.Sub(r.startedAt), 0)
		}
		e.addEvent("worker-crashed", r.id, r.number, w.ID, detail+", "+crashAgeNames[age], seen)
	}
}
