package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// claim is the capacity of a worker that a step should need once its query
// about the worker is answered. Claims only keep the queries of other steps from
// naming the same workers; unlike a reservation, a claim keeps no task away.
type claim struct {
	priority int // of the step's queue
	size     work.Size
	expires  time.Time
}

// claimWorkers records claims of a step on the workers that its query names
// until the query is answered or expires. The size of a claim is that of the
// tasks that fit there, times the share of workers that are allowed in the
// queue.
func (e *Engine) claimWorkers(p *schedulingPass, ps pendingStep, names []string, need int, expires time.Time) {
	id, share := ps.stepID(), e.allowedShare(ps.job.Queue)
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	for _, name := range names {
		c := p.candidates[e.workers[name]]
		if c == nil {
			continue
		}
		if c.worker.claims == nil {
			c.worker.claims = map[TaskID]claim{}
		}
		size := taskSize(&ps.job.Steps[ps.step]).Times(int64(min(max(c.fit, 1), need)))
		size.CPU, size.Memory = int64(float64(size.CPU)*share), int64(float64(size.Memory)*share)
		c.worker.claims[id] = claim{priority: ps.priority, size: size, expires: expires}
		sp.claimedOn = append(sp.claimedOn, c.worker)
	}
}

// releaseClaims removes all claims of a step.
func (sp *stepPlacement) releaseClaims(id TaskID) {
	for _, w := range sp.claimedOn {
		delete(w.claims, id)
	}
	sp.claimedOn = nil
}

// unclaimedFit returns how many tasks of the step fit on a candidate beside the
// claims of other steps of the same or a higher priority. It drops expired
// claims.
func unclaimedFit(p *schedulingPass, ps pendingStep, c *candidate) int {
	id, available := ps.stepID(), c.available
	for other, cl := range c.worker.claims {
		switch {
		case !p.now.Before(cl.expires):
			delete(c.worker.claims, other)
		case other != id && cl.priority <= ps.priority:
			available = available.Sub(cl.size)
		}
	}
	return fitCount(available, taskSize(&ps.job.Steps[ps.step]), c.fit)
}
