package sched

import (
	"container/heap"
	"time"
)

// idleLook is the longest time between two looks at a worker for which nothing is
// due.
const idleLook = time.Minute

// dueWorkers are all workers by the time of their next look, soonest first.
type dueWorkers []*worker

// Len implements heap.Interface.
func (q dueWorkers) Len() int { return len(q) }

// Less implements heap.Interface.
func (q dueWorkers) Less(i, k int) bool {
	if !q[i].dueAt.Equal(q[k].dueAt) {
		return q[i].dueAt.Before(q[k].dueAt)
	}
	return q[i].ID < q[k].ID
}

// Swap implements heap.Interface.
func (q dueWorkers) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].dueIndex, q[k].dueIndex = i, k
}

// Push implements heap.Interface.
func (q *dueWorkers) Push(x any) {
	w := x.(*worker)
	w.dueIndex = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *dueWorkers) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}

// touch makes the worker due at once: something about it or its runs has changed.
func (e *Engine) touch(w *worker) {
	w.dueAt = time.Time{}
	heap.Fix(&e.due, w.dueIndex)
}

// tickWorkers looks at the workers for which something is due.
func (e *Engine) tickWorkers(now time.Time) {
	for len(e.due) > 0 && !now.Before(e.due[0].dueAt) {
		w := e.due[0]
		e.tickWorker(now, w)
		w.dueAt = w.nextLook(now)
		heap.Fix(&e.due, w.dueIndex)
	}
}

// nextLook gives the time at which something may be due for the worker, after now.
func (w *worker) nextLook(now time.Time) time.Time {
	next := now.Add(idleLook)
	sooner := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	if !w.holding && w.Addr != "" && (w.listed || len(w.runs) > 0) {
		sooner(w.nextHold)
	}
	if len(w.runs) > 0 {
		if w.reachable() {
			sooner(w.lookAt)
		} else {
			sooner(w.lapseAt.Add(time.Nanosecond))
		}
	}
	for _, r := range w.runs {
		if r.ordered && (r.unsure || (r.stopping != "" && !r.stopAcked)) {
			sooner(now.Add(tickEvery))
		}
	}
	if !next.After(now) {
		next = now.Add(time.Millisecond)
	}
	return next
}
