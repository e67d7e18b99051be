package sched

import (
	"container/heap"
	"time"
)

// maxCheckInterval is the longest time between two checks of a worker for which
// nothing is due.
const maxCheckInterval = time.Minute

// checkQueue is a heap of all workers by the time of their next check, earliest
// first.
type checkQueue []*worker

// Len implements heap.Interface.
func (q checkQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q checkQueue) Less(i, k int) bool {
	if !q[i].nextCheck.Equal(q[k].nextCheck) {
		return q[i].nextCheck.Before(q[k].nextCheck)
	}
	return q[i].ID < q[k].ID
}

// Swap implements heap.Interface.
func (q checkQueue) Swap(i, k int) {
	q[i], q[k] = q[k], q[i]
	q[i].checkIndex, q[k].checkIndex = i, k
}

// Push implements heap.Interface.
func (q *checkQueue) Push(x any) {
	w := x.(*worker)
	w.checkIndex = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *checkQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return w
}

// checkNow makes a worker due for its next check at once. It is called when
// something about the worker or its runs has changed.
func (e *Engine) checkNow(w *worker) {
	w.nextCheck = time.Time{}
	heap.Fix(&e.checks, w.checkIndex)
}

// checkDueWorkers checks the workers whose next check is due.
func (e *Engine) checkDueWorkers(now time.Time) {
	for len(e.checks) > 0 && !now.Before(e.checks[0].nextCheck) {
		w := e.checks[0]
		e.checkWorker(now, w)
		w.nextCheck = w.computeNextCheck(now)
		heap.Fix(&e.checks, w.checkIndex)
	}
}

// computeNextCheck returns the earliest time after now at which something may
// be due for the worker, at most maxCheckInterval ahead.
func (w *worker) computeNextCheck(now time.Time) time.Time {
	next := now.Add(maxCheckInterval)
	noLaterThan := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	if !w.polling && w.Addr != "" && (w.listed || len(w.runs) > 0) {
		noLaterThan(w.nextPoll)
	}
	if len(w.runs) > 0 {
		if w.reachable() {
			noLaterThan(w.nextStallCheck)
		} else {
			noLaterThan(w.leasesExpireBy.Add(time.Nanosecond))
		}
	}
	for _, r := range w.runs {
		if r.unanswered() {
			noLaterThan(now.Add(minTickInterval))
		}
	}
	if !next.After(now) {
		next = now.Add(time.Millisecond)
	}
	return next
}
