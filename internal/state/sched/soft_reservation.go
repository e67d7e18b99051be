package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// softReservation is the capacity of a worker that a step should need once its
// query about the worker is answered. It only keeps the queries of other steps
// from naming the same workers; unlike a reservation, it keeps no task away.
type softReservation struct {
	priority int  // of the step's queue
	beyond   bool // of the step
	size     work.Size
	expires  time.Time
}

// softReserve makes soft reservations for a step on the workers that its
// queries name, until these are answered or the reservations expire. Each has
// the size of the tasks that fit on the worker, times the share of workers that
// are allowed in the queue.
func (e *Engine) softReserve(p *schedulingPass, ps pendingStep, names []string, need int, expires time.Time) {
	id, share := ps.stepID(), e.allowedShare(ps.job.Queue)
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	for _, name := range names {
		c := p.candidates[e.workers[name]]
		if c == nil {
			continue
		}
		if c.worker.softReservations == nil {
			c.worker.softReservations = map[TaskID]softReservation{}
		}
		size := taskSize(&ps.job.Steps[ps.step]).Times(int64(min(max(c.fit, 1), need)))
		size.CPU, size.Memory = int64(float64(size.CPU)*share), int64(float64(size.Memory)*share)
		c.worker.softReservations[id] = softReservation{priority: ps.priority, beyond: ps.beyond, size: size, expires: expires}
		sp.softReservedOn = append(sp.softReservedOn, c.worker)
	}
}

// releaseSoftReservations removes all soft reservations of a step.
func (sp *stepPlacement) releaseSoftReservations(id TaskID) {
	for _, w := range sp.softReservedOn {
		delete(w.softReservations, id)
	}
	sp.softReservedOn = nil
}

// fitBesideSoftReservations returns how many tasks of the step fit on a
// candidate beside the soft reservations of other steps of the same or a higher
// priority, without those beyond their customer's weight for a step within its own.
// It drops expired ones.
func fitBesideSoftReservations(p *schedulingPass, ps pendingStep, c *candidate) int {
	id, available := ps.stepID(), c.available
	for other, res := range c.worker.softReservations {
		switch {
		case !p.now.Before(res.expires):
			delete(c.worker.softReservations, other)
		case other != id && res.priority <= ps.priority && (ps.beyond || !res.beyond):
			available = available.Sub(res.size)
		}
	}
	return fitCount(available, taskSize(&ps.job.Steps[ps.step]), c.fit)
}
