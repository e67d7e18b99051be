package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Limits of the time for which a gang that does not fit keeps room from steps that
// have waited long. Without such a time a stream of short tasks, each of which has
// waited long, keeps a gang from ever starting; with a longer one the tasks wait
// longer than their users accept.
const (
	// longRunAge is the age from which a run counts as long. The other runs are
	// expected to end soon.
	longRunAge = 10 * time.Second
	// firmInterval is the shortest time between two times for which a gang's partial
	// reservation is firm.
	firmInterval = 10 * time.Second
	// firmRetryPause is the pause after a pass found that the gang does not fit even
	// once all runs but the long ones have ended.
	firmRetryPause = 200 * time.Millisecond
)

// isLong reports whether the run may go on for long.
func (r *run) isLong(now time.Time) bool {
	return r.job.Steps[r.id.Step].LongRunning || now.Sub(r.placedAt) >= longRunAge
}

// besideLongRuns returns the capacity that is free once all runs but the long ones
// have ended.
func (w *worker) besideLongRuns(now time.Time) work.Size {
	free := w.Capacity
	for _, r := range w.runs {
		if r.isLong(now) {
			free = free.Sub(r.size)
		}
	}
	return free
}

// usedByLongRuns returns the declared sizes of a customer's long runs.
func (e *Engine) usedByLongRuns(now time.Time, a *account) work.Size {
	var used work.Size
	for _, w := range e.workersByID {
		for _, r := range w.runs {
			if r.job.account == a && r.isLong(now) {
				used = used.Add(r.job.Steps[r.id.Step].Size)
			}
		}
	}
	return used
}

// makePartialReservationFirm lets the partial reservation of a gang hold against
// steps that have waited long for reservationTime, if it has not for firmInterval
// and the gang would fit once all runs but the long ones have ended.
func (e *Engine) makePartialReservationFirm(p *schedulingPass, ps pendingStep, st *flow.Step, need int) {
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	if p.now.Before(sp.nextFirm) || !p.service(ps.service).mostlyIdle() {
		return
	}
	sp.nextFirm = p.now.Add(firmRetryPause)
	if e.fitsWithin(p.now, ps, st, need, func(w *worker) work.Size { return w.besideLongRuns(p.now) }) {
		sp.firmUntil, sp.nextFirm = p.now.Add(reservationTime), p.now.Add(firmInterval)
	}
}
