package place

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/share"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Orders of the queue.
const (
	OrderFair   = "fair"   // by class, then by the tenants' fair shares; some picks go to aged items
	OrderFIFO   = "fifo"   // by arrival only
	OrderStrict = "strict" // by class, then by arrival
)

const (
	agedPickInterval = 8   // one pick in agedPickInterval goes to the oldest aged item
	maxLookahead     = 256 // items at the head of one queue that are examined in a round
	maxFailedFits    = 48  // items remembered in a round as not fitting
)

// classes lists the classes, most urgent first. The index is the priority.
var classes = []string{work.ClassUrgent, work.ClassNormal, work.ClassPatient}

type tenant struct {
	Tenant
	used   work.Size // declared sizes of the tenant's allocated tasks
	queues [3]queue  // by priority
}

// queue is a FIFO queue. Items near its head can be removed at little cost.
type queue struct {
	items  []Item
	round  uint64 // the round that cursor belongs to
	cursor int    // items before it are passed over until that round ends
}

// removeAt removes the item at index i. It moves the i items before it, not the
// many after it.
func (q *queue) removeAt(i int) {
	if i == 0 {
		q.items = q.items[1:]
		return
	}
	copy(q.items[1:i+1], q.items[:i])
	q.items = q.items[1:]
}

// tenantFor returns the tenant of that name. An unknown tenant is added with
// share 1 and without quota.
func (e *Engine) tenantFor(name string) *tenant {
	t := e.tenants[name]
	if t == nil {
		t = &tenant{Tenant: Tenant{Share: 1}}
		e.tenants[name] = t
		i := sort.SearchStrings(e.tenantNames, name)
		e.tenantNames = append(e.tenantNames, "")
		copy(e.tenantNames[i+1:], e.tenantNames[i:])
		e.tenantNames[i] = name
	}
	return t
}

// priorityOf returns the priority of a class, 0 for the most urgent one. An
// unknown class has the lowest priority.
func priorityOf(class string) int {
	for i, c := range classes {
		if c == class {
			return i
		}
	}
	return len(classes) - 1
}

// Enqueue adds an item to the queue.
func (e *Engine) Enqueue(it Item) {
	q := &e.tenantFor(it.Tenant).queues[priorityOf(it.Class)]
	q.items = append(q.items, it)
	e.pending++
	e.dirty = true
}

// round is the state of one call of Place or Probe. An item that does not fit
// can't fit later in the same round, because no capacity is released during it.
type round struct {
	id          uint64
	now         time.Time
	probeFilter func(Item) bool // set by Probe: only single tasks that it accepts are candidates
	failedFits  []Item          // items that fitted on no worker
}

func (r *round) recordFailedFit(it Item) {
	if len(r.failedFits) < maxFailedFits {
		r.failedFits = append(r.failedFits, it)
	}
}

// knownNotToFit reports whether an item that did not fit in this round has at
// most as many tasks as it, each of at most its size.
func (r *round) knownNotToFit(it Item) bool {
	if it.Alone {
		return false // a worker may be held for it
	}
	for i := range r.failedFits {
		f := &r.failedFits[i]
		if f.TaskCount <= it.TaskCount && f.Size.FitsIn(it.Size) {
			return true
		}
	}
	return false
}

// nextCandidate returns the queue of the item to try next and the item's index
// in it. The queue is nil if there is no candidate left.
func (e *Engine) nextCandidate(r *round) (*queue, int) {
	e.picks++
	if e.cfg.Order == OrderFIFO {
		return e.oldestCandidate(r, func(Item) bool { return true }, 0, len(classes))
	}
	if e.cfg.Order == OrderFair && e.picks%agedPickInterval == 0 {
		aged := func(it Item) bool { return r.now.Sub(it.Queued) > e.cfg.AgingThreshold }
		if q, i := e.oldestCandidate(r, aged, 0, len(classes)); q != nil {
			return q, i
		}
	}
	for p := range classes {
		if q, i := e.nextOfPriority(r, p); q != nil {
			return q, i
		}
	}
	return nil, 0
}

// nextOfPriority returns the next candidate of one priority: with OrderStrict
// the oldest, else that of the tenant with the least dominant share.
func (e *Engine) nextOfPriority(r *round, p int) (*queue, int) {
	if e.cfg.Order == OrderStrict {
		return e.oldestCandidate(r, func(Item) bool { return true }, p, p+1)
	}
	var best *queue
	var bestIndex int
	var bestRank share.Rank
	for k, name := range e.tenantNames {
		t := e.tenants[name]
		if len(t.queues[p].items) == 0 {
			continue
		}
		rank := share.Rank{Share: share.Weighted(t.used, e.totalCapacity, float64(t.Share)), Tie: k}
		if best != nil && !rank.Before(bestRank) {
			continue
		}
		if i := e.firstCandidate(r, t, &t.queues[p]); i >= 0 {
			best, bestIndex, bestRank = &t.queues[p], i, rank
		}
	}
	return best, bestIndex
}

// oldestCandidate returns the oldest of the first candidates of all queues of the
// priorities from to to-1, among those for which accept returns true.
func (e *Engine) oldestCandidate(r *round, accept func(Item) bool, from, to int) (*queue, int) {
	var best *queue
	var bestIndex int
	for _, name := range e.tenantNames {
		t := e.tenants[name]
		for p := from; p < to; p++ {
			q := &t.queues[p]
			i := e.firstCandidate(r, t, q)
			if i < 0 || !accept(q.items[i]) {
				continue
			}
			if best == nil || q.items[i].Queued.Before(best.items[bestIndex].Queued) {
				best, bestIndex = q, i
			}
		}
	}
	return best, bestIndex
}

// firstCandidate returns the index of the queue's first item that may still fit
// in this round, or -1. It drops items that are no longer wanted. An item that
// does not fit can't fit later in the same round, so the cursor passes each item
// at most once in a round.
func (e *Engine) firstCandidate(r *round, t *tenant, q *queue) int {
	if q.round != r.id {
		q.round = r.id
		q.cursor = 0
	}
	for q.cursor < len(q.items) && q.cursor < maxLookahead {
		it := q.items[q.cursor]
		if e.Wanted != nil && !e.Wanted(it) {
			q.removeAt(q.cursor)
			e.pending--
			continue
		}
		if r.probeFilter != nil && (it.TaskCount > 1 || !r.probeFilter(it)) || r.knownNotToFit(it) || share.Fit(t.used, it.Size, t.Quota, it.TaskCount) < it.TaskCount {
			q.cursor++
			continue
		}
		return q.cursor
	}
	return -1
}
