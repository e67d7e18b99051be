package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/share"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Limits of reservations and preemption.
const (
	// reservationTime is how long a reservation lasts unless it is renewed. It
	// covers the stop of a run and a query for tickets.
	reservationTime = 800 * time.Millisecond
	// firmReservationTime is for how long a step that has reserved all that it needs
	// keeps it from steps that have waited long. It covers two stops and two queries;
	// what the step still lacks then may never come.
	firmReservationTime = 2 * time.Second
	// preemptionInterval is the shortest time between two preemptions for one
	// step.
	preemptionInterval = 700 * time.Millisecond
	// minPreemptionAge is the time since its start before which a run is not
	// preempted.
	minPreemptionAge = 300 * time.Millisecond
	// maxPartialReservations is the number of gangs of one service that may have a
	// partial reservation at a time, not counting those of a lower priority. Several
	// gangs that each hold a part of what they need keep it from each other.
	maxPartialReservations = 1
)

// reservation is capacity on a worker that is reserved for a pending step.
type reservation struct {
	step     TaskID // the step's ID: Index is 0
	priority int    // of the step's queue
	lateness int    // of the step when it was made
	beyond   bool   // of the step
	size     work.Size
	// firmUntil is until when it keeps capacity also from steps that have waited long.
	firmUntil time.Time
	expires   time.Time
}

// partialReservation marks a gang that does not fit yet and for which what is
// free is reserved until it fits.
type partialReservation struct {
	service  string
	priority int // of the gang's queue
	lateness int // of the gang when it was made
	beyond   bool
	expires  time.Time
}

// stepID returns the ID of the step, which is that of its first task.
func (ps pendingStep) stepID() TaskID {
	return TaskID{Job: ps.job.ID, Round: ps.round.Number, Step: ps.step}
}

// reservedForOthers returns the capacity of a worker that is reserved for other
// steps of the same or a higher priority, and drops expired reservations.
// Reservations of lower priority don't count, so that short urgent tasks start
// ahead of a gang that waits for capacity, nor do those of steps that are later
// than this one: what they wait for is of less use. Those beyond their customer's
// weight keep nothing from steps within theirs. A partial reservation may last
// as long as a task runs, and any other as long as the stop or the ticket that it
// waits for does not come, so steps that have waited long pass both while they are
// not firm.
func (e *Engine) reservedForOthers(now time.Time, w *worker, ps pendingStep) work.Size {
	var sum work.Size
	if len(w.reservations) == 0 {
		return sum
	}
	id := ps.stepID()
	unexpired := w.reservations[:0]
	for _, res := range w.reservations {
		if !now.Before(res.expires) {
			continue
		}
		unexpired = append(unexpired, res)
		if res.step != id && res.priority <= ps.priority && res.lateness <= ps.lateness && (ps.beyond || !res.beyond) && !(ps.waitedLong && !now.Before(res.firmUntil)) {
			sum = sum.Add(res.size)
		}
	}
	w.reservations = unexpired
	return sum
}

// releaseReservations removes all reservations of a step.
func (e *Engine) releaseReservations(ps pendingStep) {
	id := ps.stepID()
	delete(e.partialReservations, id)
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	sp.reservedUntil = time.Time{}
	for _, w := range sp.reservedOn {
		for i := range w.reservations {
			if w.reservations[i].step == id {
				w.reservations = append(w.reservations[:i], w.reservations[i+1:]...)
				break
			}
		}
	}
	sp.reservedOn = nil
}

// preemptible reports whether a run may be stopped for a step. It must be of a
// lower priority and lose next to nothing by the stop, so it must write checkpoints
// and be neither long-running nor a member of a gang. The step must not be too late
// to be useful, and the shares of the customers must allow it, too.
func (e *Engine) preemptible(r *run, ps pendingStep) bool {
	st := &r.job.Steps[r.id.Step]
	return ps.lateness < 2 && st.Checkpointing && !st.Gang && !st.LongRunning && r.confirmed && r.stopReason == "" && e.policy(r.job).Priority > ps.priority && e.mayPreemptRun(ps, r)
}

// preemptibleCapacity returns the capacity of a worker that the preemption of
// all preemptible runs would free for the step, and that runs being stopped
// will free. Runs of completed jobs that are being stopped don't count.
func (e *Engine) preemptibleCapacity(w *worker, ps pendingStep) work.Size {
	var sum work.Size
	for _, r := range w.runs {
		if e.preemptible(r, ps) {
			sum = sum.Add(r.size)
		}
		if r.stopReason != "" && r.job.State != flow.Complete {
			sum = sum.Add(r.size)
		}
	}
	return sum
}

// reserveAndPreempt chooses candidates for the tasks that could not be placed,
// reserves their capacity for the step, and preempts runs of lower priority
// where that is needed. It returns the chosen candidates: none if no task fits
// even with preemption, or if the step is a gang that does not fit as a whole.
// For such a gang a partial reservation may be made instead.
func (e *Engine) reserveAndPreempt(p *schedulingPass, ps pendingStep, st *flow.Step, candidates []*candidate, need int) []*candidate {
	fit := 0
	for _, c := range candidates {
		if fit < need {
			e.computePreemptFit(p, ps, st, c)
		}
		fit += c.fit + c.preemptFit
	}
	if fit == 0 || (st.Gang && fit < need) {
		if st.Gang && e.fitsOnceTasksEnd(p.now, ps, st, need) {
			ps.job.stepPlacement(ps.round.Number, ps.step).lackedRoomAt = p.now
			if len(candidates) > 0 && e.admitPartialReservation(p.now, ps) {
				e.reservePartially(p, ps, st, candidates, need)
			}
		}
		return nil
	}
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	mayPreempt := !p.now.Before(sp.nextPreemption) && ps.lateness < 2
	var chosen []*candidate
	preempted := false
	for _, c := range candidates {
		if need <= 0 {
			break
		}
		n := min(c.fit, need)
		if c.preemptFit > 0 && n < need && (mayPreempt || st.Gang) {
			n = min(c.fit+c.preemptFit, need)
		}
		if n == 0 {
			continue
		}
		if n > c.fit && mayPreempt {
			if e.preempt(p.now, ps, c, taskSize(st).Times(int64(n))) {
				sp.firmUntil = p.now.Add(firmReservationTime)
			}
			preempted = true
		}
		need -= n
		chosen = append(chosen, c)
		e.reserve(p, ps, c, taskSize(st).Times(int64(n)), false)
	}
	if preempted {
		sp.nextPreemption = p.now.Add(preemptionInterval)
	}
	return chosen
}

// fitsOnceTasksEnd reports whether need tasks of the step would fit on the usable
// workers of its service once all tasks there have ended that do so by themselves,
// without the workers that the placement service has rejected. Capacity kept for a
// gang that does not fit even then would stay unused.
func (e *Engine) fitsOnceTasksEnd(now time.Time, ps pendingStep, st *flow.Step, need int) bool {
	return e.fitsWithin(now, ps, st, need, (*worker).attainable)
}

// fitsWithin reports whether need tasks of the step would fit into the given room
// on the usable workers of its service that the placement service has not rejected.
func (e *Engine) fitsWithin(now time.Time, ps pendingStep, st *flow.Step, need int, room func(w *worker) work.Size) bool {
	perWorker := need
	if st.MaxPerWorker > 0 {
		perWorker = min(perWorker, st.MaxPerWorker)
	}
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	for _, w := range e.workersByID {
		if w.usable(now) && !sp.rejected[w.ID] && w.Service == ps.service && (st.Label == "" || w.hasLabel(st.Label)) {
			need -= fitCount(room(w), taskSize(st), perWorker)
		}
		if need <= 0 {
			return true
		}
	}
	return false
}

// reservePartially reserves capacity for a gang that does not fit yet: what is
// free on each candidate, and capacity for one more task on those workers that
// lack the least CPU for it and can take it once tasks there end, so that other
// steps don't take what becomes free there.
func (e *Engine) reservePartially(p *schedulingPass, ps pendingStep, st *flow.Step, candidates []*candidate, need int) {
	e.makePartialReservationFirm(p, ps, st, need)
	size := taskSize(st)
	byFree := append([]*candidate(nil), candidates...)
	sort.SliceStable(byFree, func(i, k int) bool {
		return missingCPUShare(byFree[i], size) < missingCPUShare(byFree[k], size)
	})
	for _, c := range candidates {
		need -= min(c.fit, need)
	}
	for _, c := range byFree {
		n := c.fit
		if need > 0 && (st.MaxPerWorker == 0 || n < st.MaxPerWorker) && size.Times(int64(n+1)).FitsIn(c.worker.attainable()) {
			n++
			need--
		}
		if n > 0 {
			e.reserve(p, ps, c, size.Times(int64(n)), true)
		}
	}
}

// missingCPUShare returns the share of the CPU of one more task that a
// candidate lacks beyond the tasks that fit.
func missingCPUShare(c *candidate, size work.Size) float64 {
	if size.CPU == 0 {
		return 0
	}
	return 1 - float64(c.free.CPU-int64(c.fit)*size.CPU)/float64(size.CPU)
}

// computePreemptFit sets the number of further tasks of the step that would fit
// on a candidate if runs of lower priority were preempted.
func (e *Engine) computePreemptFit(p *schedulingPass, ps pendingStep, st *flow.Step, c *candidate) {
	maxFit := len(ps.idleTasks)
	if st.MaxPerWorker > 0 {
		maxFit = min(maxFit, st.MaxPerWorker-countPlaced(ps, c.worker))
	}
	if c.fit >= maxFit || ps.priority >= p.lowestPriority {
		return
	}
	free := c.free.Sub(e.reservedForOthers(p.now, c.worker, ps)).Add(e.preemptibleCapacity(c.worker, ps))
	c.preemptFit = max(fitCount(free, taskSize(st), maxFit)-c.fit, 0)
}

// admitPartialReservation reports whether a gang may have a partial reservation
// beside those of its service of the same or a higher priority, and if so records
// it until it expires. It drops those of later gangs of the service, and for a gang
// within its customer's weight those of gangs beyond.
func (e *Engine) admitPartialReservation(now time.Time, ps pendingStep) bool {
	id, others := ps.stepID(), 0
	for other, res := range e.partialReservations {
		switch {
		case !now.Before(res.expires):
			delete(e.partialReservations, other)
		case other == id || res.service != ps.service:
		case res.lateness > ps.lateness || res.beyond && !ps.beyond:
			delete(e.partialReservations, other)
		case res.priority <= ps.priority:
			others++
		}
	}
	if others >= maxPartialReservations {
		return false
	}
	e.partialReservations[id] = partialReservation{service: ps.service, priority: ps.priority, lateness: ps.lateness, beyond: ps.beyond, expires: now.Add(reservationTime)}
	return true
}

// reserve reserves capacity on a candidate for the step. It replaces a
// reservation that the step already has there.
func (e *Engine) reserve(p *schedulingPass, ps pendingStep, c *candidate, size work.Size, partial bool) {
	id := ps.stepID()
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	if !partial && (sp.reservedPartially || !p.now.Before(sp.reservedUntil)) {
		sp.firmUntil = p.now.Add(firmReservationTime)
	}
	sp.reservedPartially, sp.reservedUntil = partial, p.now.Add(reservationTime)
	res := reservation{step: id, priority: ps.priority, lateness: ps.lateness, beyond: ps.beyond, size: size, firmUntil: sp.firmUntil, expires: sp.reservedUntil}
	for i := range c.worker.reservations {
		if old := &c.worker.reservations[i]; old.step == id {
			res.priority, res.lateness, res.beyond = old.priority, old.lateness, old.beyond
			*old = res
			return
		}
	}
	c.worker.reservations = append(c.worker.reservations, res)
	sp.reservedOn = append(sp.reservedOn, c.worker)
}

// preempt stops runs of lower priority on a worker until size would fit: with
// customers those of the one furthest above its share first, then those with the
// most CPU. It reports whether it has stopped any.
func (e *Engine) preempt(now time.Time, ps pendingStep, c *candidate, size work.Size) (stopped bool) {
	free := c.free.Sub(e.reservedForOthers(now, c.worker, ps))
	var victims []*run
	for _, r := range c.worker.sortedRuns() {
		if r.stopReason != "" {
			free = free.Add(r.size) // being stopped already
		} else if e.preemptible(r, ps) && now.Sub(r.startedAt) >= minPreemptionAge {
			victims = append(victims, r)
		}
	}
	sort.SliceStable(victims, func(i, k int) bool {
		if a, b := victims[i].job.account, victims[k].job.account; a != b && e.customersOn() {
			if of, than := share.Weighted(a.used, e.capacity, a.Weight), share.Weighted(b.used, e.capacity, b.Weight); of != than {
				return of > than
			}
		}
		return victims[i].size.CPU > victims[k].size.CPU
	})
	for _, r := range victims {
		if size.FitsIn(free) {
			break
		}
		free = free.Add(r.size)
		r.job.account.activity.preempted++
		e.stopRun(now, r, "gives way to "+ps.job.ID)
		stopped = true
	}
	return stopped
}
