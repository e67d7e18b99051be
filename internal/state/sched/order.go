package sched

import (
	"container/heap"
	"slices"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/share"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// shareOrder yields pending steps that are sorted by pendingStep.before so that,
// among those of equal lateness, weight and priority, a step of the customer with
// the least excess share comes next. It rises during the pass.
type shareOrder struct {
	steps     []pendingStep
	next      int              // first step of the next group
	customers []customerSteps  // of the current group
	queue     share.Queue      // of the current group, by index in customers
	index     map[*account]int // index in customers
	dealtWith []bool           // by index in steps
}

// customerSteps are the steps of one customer in a group, in order of arrival.
type customerSteps struct {
	account *account
	steps   []int // indexes in shareOrder.steps
}

// sameGroup reports whether only shares and arrival order the two steps.
func (ps *pendingStep) sameGroup(other *pendingStep) bool {
	return ps.lateness == other.lateness && ps.beyond == other.beyond && ps.priority == other.priority
}

// beginGroup adds the steps of the next group to the queue.
func (o *shareOrder) beginGroup(e *Engine) {
	o.customers, o.queue, o.index = o.customers[:0], o.queue[:0], map[*account]int{}
	first := o.next
	for ; o.next < len(o.steps) && o.steps[o.next].sameGroup(&o.steps[first]); o.next++ {
		a := o.steps[o.next].job.account
		k, ok := o.index[a]
		if !ok {
			k = len(o.customers)
			o.index[a] = k
			o.customers = append(o.customers, customerSteps{account: a})
		}
		o.customers[k].steps = append(o.customers[k].steps, o.next)
	}
	for k := range o.customers {
		c := &o.customers[k]
		o.queue = append(o.queue, share.Entry{Rank: share.Rank{Share: e.excessShare(c.account), Tie: c.steps[0]}, Customer: k})
	}
	heap.Init(&o.queue)
}

// placeByShare places steps in the order of shares until the pass has evaluated
// limit steps. It returns the steps that it has not dealt with.
func (e *Engine) placeByShare(p *schedulingPass, steps []pendingStep, limit int) []pendingStep {
	o := &shareOrder{steps: steps, dealtWith: make([]bool, len(steps))}
	for p.stepsEvaluated < limit && (len(o.queue) > 0 || o.next < len(steps)) {
		if len(o.queue) == 0 {
			o.beginGroup(e)
		}
		c := &o.customers[o.queue[0].Customer]
		step := c.steps[0]
		e.evaluateStep(p, steps[step])
		o.dealtWith[step] = true
		if c.steps = c.steps[1:]; len(c.steps) == 0 {
			heap.Pop(&o.queue)
			continue
		}
		o.queue[0].Rank = share.Rank{Share: e.excessShare(c.account), Tie: c.steps[0]}
		heap.Fix(&o.queue, 0)
	}
	var rest []pendingStep
	for i := range steps {
		if !o.dealtWith[i] {
			rest = append(rest, steps[i])
		}
	}
	return rest
}

// maxQueryDemandAge is how long a step that waits for a long query keeps the clients
// from steps beyond their customer's weight. It may wait in vain after that, for
// room that no query finds.
const maxQueryDemandAge = 3 * time.Second

// findQueryDemand reports whether one of the steps within its customer's weight
// needs a long query and has none in flight, while one beyond may compete for it. A
// surge otherwise takes the clients from the others for the time of a query. Steps
// that their customer's quota does not let query, beside those with a query in
// flight, don't count, nor those that have been startable for an unknown time: they
// may wait for longer than maxQueryDemandAge.
func (e *Engine) findQueryDemand(now time.Time, pending []pendingStep) bool {
	beyond := func(ps pendingStep) bool { return ps.beyond }
	if !slices.ContainsFunc(pending, beyond) {
		return false
	}
	claimed := map[*account]work.Size{}
	for i := range pending {
		if ps := &pending[i]; e.queried(*ps) {
			a := ps.job.account
			n := e.quotaFit(now, *ps, len(ps.idleTasks), claimed[a])
			claimed[a] = claimed[a].Add(ps.job.Steps[ps.step].Size.Times(int64(n)))
		}
	}
	for i := range pending {
		ps := &pending[i]
		since, known := ps.startableSince()
		if ps.beyond || ps.lateness >= 2 || !known || now.Sub(since) >= maxQueryDemandAge || !e.needsLongQueries(*ps) || e.queried(*ps) {
			continue
		}
		if e.quotaFit(now, *ps, len(ps.idleTasks), claimed[ps.job.account]) > 0 {
			return true
		}
	}
	return false
}

// needsLongQueries reports whether the queries about a step are long.
func (e *Engine) needsLongQueries(ps pendingStep) bool {
	service := e.policy(ps.job).PlacementService
	return service.Required() && queryDuration(service, minQueryWorkers) > maxQuickQuery
}
