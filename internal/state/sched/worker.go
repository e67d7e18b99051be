package sched

import (
	"container/heap"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of the talk with a worker.
const (
	// holdWait is how long a worker waits for an end before it answers. Leases
	// are renewed at each answer, so it bounds what a cut takes from a lease.
	holdWait = time.Second
	// clockDrift is how much slower than ours a worker's clock may run.
	clockDrift = 0.02
	// lapseMargin covers the time between reading a clock and using it.
	lapseMargin = 200 * time.Millisecond
	// holdRetry is the pause after a hold that failed, doubled up to holdRetryMax.
	holdRetry    = 100 * time.Millisecond
	holdRetryMax = 800 * time.Millisecond
	// missingTime is how long a worker that answers may be missing from the list:
	// entries that expired in an outage of the store are back within two seconds.
	missingTime = 2500 * time.Millisecond
	// ackPause lets ends gather while their record is being stored.
	ackPause = 60 * time.Millisecond
)

// WorkerInfo is what the list of workers tells of one.
type WorkerInfo struct {
	ID       string
	Addr     string
	Domain   string
	Service  string
	Kind     string
	Rack     string
	Labels   []string
	Capacity work.Size
	Draining bool
	Boot     int64 // incarnation, 0 if not told
}

// worker is what the leader knows of a worker.
type worker struct {
	WorkerInfo
	listed bool
	missed time.Time // since when the list lacks it, zero if it does not
	boot   int64     // incarnation that answered last, 0 before the first answer
	runs   map[TaskID]*run
	used   work.Size // by runs that are not known to have ended
	strays int       // runs listed there that are not ours
	held   []held    // room kept for steps that wait

	clock   time.Duration // of the worker, at clockAt
	clockAt time.Time     // zero before the first answer

	holding   bool // a hold is under way
	serial    uint64
	nextHold  time.Time
	failures  int // holds in a row that got no answer
	answered  time.Time
	lapseAt   time.Time // every lease there has ended by then
	lapsed    bool      // nothing that ran before runs any more
	acked     int64     // ends up to this number are recorded
	seen      int64     // ends up to this number have been taken in
	benchedTo time.Time // not used before, after failures
	failJobs  map[string]bool
	WorkerStats
	indexed  bool      // whether the engine's index holds it
	level    int       // there
	rank     float64   // there: the lower the better, for any step
	lastDone time.Time // when a run last ended as done
	lookAt   time.Time // of the next look for tasks that stand still
	pacing   pacing
	dueAt    time.Time // of the next look for anything
	dueIndex int       // in the engine's queue of them
}

// SetWorkers takes the newest list of workers.
func (e *Engine) SetWorkers(now time.Time, list []WorkerInfo) {
	present := map[string]bool{}
	for _, in := range list {
		present[in.ID] = true
		w := e.worker(in.ID)
		if !w.listed || w.Draining != in.Draining || (w.Boot != in.Boot && w.Boot != 0) {
			e.event("worker-listed", TaskID{}, 0, in.ID, listedDetail(in), 0)
			w.nextHold = now
			w.failures = 0
		}
		changed := !w.listed || w.Addr != in.Addr || w.Draining != in.Draining || w.Boot != in.Boot
		w.WorkerInfo, w.listed, w.missed = in, true, time.Time{}
		if changed {
			e.touch(w)
		}
		e.index.update(w)
	}
	for _, w := range e.order {
		if !w.listed || present[w.ID] {
			continue
		}
		if w.missed.IsZero() {
			w.missed = now
		}
		if !w.reachable() || now.Sub(w.missed) > missingTime {
			w.listed = false
			e.index.update(w)
			e.event("worker-unlisted", TaskID{}, 0, w.ID, "", now.Sub(w.answered))
		}
	}
	e.forget()
}

func listedDetail(in WorkerInfo) string {
	if in.Draining {
		return "draining"
	}
	return "ready"
}

func (e *Engine) worker(id string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{WorkerInfo: WorkerInfo{ID: id}, runs: map[TaskID]*run{}, failJobs: map[string]bool{}}
		w.lapseAt = e.began.Add(e.p.LeaderMax + slowest(e.p.LeaseMax) + lapseMargin)
		e.workers[id] = w
		i := sort.Search(len(e.order), func(i int) bool { return e.order[i].ID >= id })
		e.order = append(e.order, nil)
		copy(e.order[i+1:], e.order[i:])
		e.order[i] = w
		heap.Push(&e.due, w)
	}
	return w
}

// slowest gives the time by our clock in which d passes on the slowest worker.
func slowest(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - clockDrift))
}

// forget drops workers that are not listed and have nothing of ours.
func (e *Engine) forget() {
	kept := e.order[:0]
	for _, w := range e.order {
		if !w.listed && len(w.runs) == 0 && !w.holding {
			delete(e.workers, w.ID)
			heap.Remove(&e.due, w.dueIndex)
			continue
		}
		kept = append(kept, w)
	}
	clear(e.order[len(kept):])
	e.order = kept
}

// until gives the end of a full lease on the worker's clock, 0 if the clock is
// not known, and notes when a lease to that end has certainly lapsed.
func (e *Engine) until(now time.Time, w *worker) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	gone := now.Sub(w.clockAt)
	if at := w.clockAt.Add(slowest(gone+e.p.LeaseMax) + lapseMargin); at.After(w.lapseAt) {
		w.lapseAt = at
	}
	w.lapsed = false
	return (w.clock + gone + e.p.LeaseMax).Milliseconds()
}

// reachable reports whether the worker has answered its newest hold.
func (w *worker) reachable() bool { return !w.clockAt.IsZero() && w.failures == 0 }

func (e *Engine) tickWorker(now time.Time, w *worker) {
	if !w.holding && !now.Before(w.nextHold) && w.Addr != "" && (w.listed || len(w.runs) > 0) {
		e.hold(now, w)
	}
	if !w.reachable() && now.After(w.lapseAt) && len(w.runs) > 0 {
		e.lapse(now, w)
	}
	for _, r := range w.runs {
		e.tickRun(now, r)
	}
	e.lookStuck(now, w)
}

func (e *Engine) hold(now time.Time, w *worker) {
	e.holds++
	w.holding, w.serial = true, e.holds
	o := Order{Kind: OrderHold, Worker: w.ID, Addr: w.Addr, Serial: w.serial}
	if w.reachable() {
		// A worker that does not answer is given no further lease, so that the time
		// comes at which all of its leases have certainly ended.
		o.Until = e.until(now, w)
	}
	if w.reachable() && (w.Boot == 0 || w.Boot == w.boot) {
		// Another incarnation may answer, whose ends bear the same numbers.
		o.Acked = w.acked
	}
	if w.reachable() && w.seen <= w.acked {
		o.Wait = holdWait
	}
	for _, r := range w.runs {
		if r.checkNext {
			o.Wait = 0
		}
	}
	e.out.Orders = append(e.out.Orders, o)
}

// lapse gives up what ran on a worker whose leases have all ended. A run for
// which an order is under way waits: another incarnation may yet take it.
func (e *Engine) lapse(now time.Time, w *worker) {
	if !w.lapsed {
		e.event("worker-lapsed", TaskID{}, 0, w.ID, "", now.Sub(w.answered))
	}
	w.lapsed = true
	for _, r := range w.list() {
		if r.ordered && r.calls == 0 {
			e.void(now, r, "lease lapsed")
		}
	}
}

// list gives the worker's runs in the order of their tasks.
func (w *worker) list() []*run {
	rs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		rs = append(rs, r)
	}
	sort.Slice(rs, func(i, k int) bool { return rs[i].id.less(rs[k].id) })
	return rs
}

func (t TaskID) less(u TaskID) bool {
	if t.Job != u.Job {
		return t.Job < u.Job
	}
	if t.Round != u.Round {
		return t.Round < u.Round
	}
	if t.Step != u.Step {
		return t.Step < u.Step
	}
	return t.Index < u.Index
}
