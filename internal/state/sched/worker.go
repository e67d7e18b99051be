package sched

import (
	"container/heap"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of the talk with a worker.
const (
	// pollWait is how long a worker waits for an end before it answers. Leases
	// are renewed at each answer, so it bounds what a cut takes from a lease.
	pollWait = time.Second
	// maxClockDrift is how much slower than ours a worker's clock may run.
	maxClockDrift = 0.02
	// leaseExpiryMargin covers the time between reading a clock and using it.
	leaseExpiryMargin = 200 * time.Millisecond
	// pollRetryPause is the pause after a hold that failed, doubled up to maxPollRetryPause.
	pollRetryPause    = 100 * time.Millisecond
	maxPollRetryPause = 800 * time.Millisecond
	// unlistedGrace is how long a worker that answers may be missing from the list:
	// entries that expired in an outage of the store are back within two seconds.
	unlistedGrace = 2500 * time.Millisecond
	// ackDelay lets ends gather while their record is being stored.
	ackDelay = 60 * time.Millisecond
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
	listed          bool
	missingSince    time.Time // since when the list lacks it, zero if it does not
	lastIncarnation int64     // incarnation that answered last, 0 before the first answer
	runs            map[TaskID]*run
	used            work.Size     // by runs that are not known to have ended
	unknownRuns     int           // runs listed there that are not ours
	reservations    []reservation // room kept for steps that wait

	clock       time.Duration // of the worker, at clockReadAt
	clockReadAt time.Time     // zero before the first answer

	polling       bool // a hold is under way
	pollSerial    uint64
	nextPoll      time.Time
	failedPolls   int // holds in a row that got no answer
	lastContact   time.Time
	leasesEndBy   time.Time // every lease there has ended by then
	leasesExpired bool      // nothing that ran before runs any more
	ackedEnd      int64     // ends up to this number are recorded
	lastEnd       int64     // ends up to this number have been taken in
	excludedUntil time.Time // not used before, after failures
	failedJobs    map[string]bool
	WorkerStats
	indexed        bool      // whether the engine's index holds it
	cpuLevel       int       // there
	rank           float64   // there: the lower the better, for any step
	lastDone       time.Time // when a run last ended as done
	nextStallCheck time.Time // of the next look for tasks that stand still
	throttle       throttle
	nextCheck      time.Time // of the next look for anything
	checkIndex     int       // in the engine's queue of them
}

// SetWorkers takes the newest list of workers.
func (e *Engine) SetWorkers(now time.Time, list []WorkerInfo) {
	present := map[string]bool{}
	for _, in := range list {
		present[in.ID] = true
		w := e.ensureWorker(in.ID)
		if !w.listed || w.Draining != in.Draining || (w.Boot != in.Boot && w.Boot != 0) {
			e.addEvent("worker-listed", TaskID{}, 0, in.ID, listedDetail(in), 0)
			w.nextPoll = now
			w.failedPolls = 0
		}
		changed := !w.listed || w.Addr != in.Addr || w.Draining != in.Draining || w.Boot != in.Boot
		w.WorkerInfo, w.listed, w.missingSince = in, true, time.Time{}
		if changed {
			e.checkNow(w)
		}
		e.index.update(w)
	}
	for _, w := range e.workersByID {
		if !w.listed || present[w.ID] {
			continue
		}
		if w.missingSince.IsZero() {
			w.missingSince = now
		}
		if !w.reachable() || now.Sub(w.missingSince) > unlistedGrace {
			w.listed = false
			e.index.update(w)
			e.addEvent("worker-unlisted", TaskID{}, 0, w.ID, "", now.Sub(w.lastContact))
		}
	}
	e.removeUnlistedWorkers()
}

func listedDetail(in WorkerInfo) string {
	if in.Draining {
		return "draining"
	}
	return "ready"
}

func (e *Engine) ensureWorker(id string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{WorkerInfo: WorkerInfo{ID: id}, runs: map[TaskID]*run{}, failedJobs: map[string]bool{}}
		w.leasesEndBy = e.startedAt.Add(e.params.LeaderMax + onSlowestClock(e.params.LeaseMax) + leaseExpiryMargin)
		e.workers[id] = w
		i := sort.Search(len(e.workersByID), func(i int) bool { return e.workersByID[i].ID >= id })
		e.workersByID = append(e.workersByID, nil)
		copy(e.workersByID[i+1:], e.workersByID[i:])
		e.workersByID[i] = w
		heap.Push(&e.checks, w)
	}
	return w
}

// onSlowestClock gives the time by our clock in which d passes on the slowest worker.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// removeUnlistedWorkers drops workers that are not listed and have nothing of ours.
func (e *Engine) removeUnlistedWorkers() {
	kept := e.workersByID[:0]
	for _, w := range e.workersByID {
		if !w.listed && len(w.runs) == 0 && !w.polling {
			delete(e.workers, w.ID)
			heap.Remove(&e.checks, w.checkIndex)
			continue
		}
		kept = append(kept, w)
	}
	clear(e.workersByID[len(kept):])
	e.workersByID = kept
}

// grantLease gives the end of a full lease on the worker's clock, 0 if the clock is
// not known, and notes when a lease to that end has certainly lapsed.
func (e *Engine) grantLease(now time.Time, w *worker) int64 {
	if w.clockReadAt.IsZero() {
		return 0
	}
	elapsed := now.Sub(w.clockReadAt)
	if at := w.clockReadAt.Add(onSlowestClock(elapsed+e.params.LeaseMax) + leaseExpiryMargin); at.After(w.leasesEndBy) {
		w.leasesEndBy = at
	}
	w.leasesExpired = false
	return (w.clock + elapsed + e.params.LeaseMax).Milliseconds()
}

// reachable reports whether the worker has answered its newest hold.
func (w *worker) reachable() bool { return !w.clockReadAt.IsZero() && w.failedPolls == 0 }

func (e *Engine) checkWorker(now time.Time, w *worker) {
	if !w.polling && !now.Before(w.nextPoll) && w.Addr != "" && (w.listed || len(w.runs) > 0) {
		e.poll(now, w)
	}
	if !w.reachable() && now.After(w.leasesEndBy) && len(w.runs) > 0 {
		e.expireLeases(now, w)
	}
	for _, r := range w.runs {
		e.checkRun(now, r)
	}
	e.stopStalledRuns(now, w)
}

func (e *Engine) poll(now time.Time, w *worker) {
	e.pollsSent++
	w.polling, w.pollSerial = true, e.pollsSent
	o := Order{Kind: OrderHold, Worker: w.ID, Addr: w.Addr, Serial: w.pollSerial}
	if w.reachable() {
		// A worker that does not answer is given no further lease, so that the time
		// comes at which all of its leases have certainly ended.
		o.Until = e.grantLease(now, w)
	}
	if w.reachable() && (w.Boot == 0 || w.Boot == w.lastIncarnation) {
		// Another incarnation may answer, whose ends bear the same numbers.
		o.Acked = w.ackedEnd
	}
	if w.reachable() && w.lastEnd <= w.ackedEnd {
		o.Wait = pollWait
	}
	for _, r := range w.runs {
		if r.pollAtOnce {
			o.Wait = 0
		}
	}
	e.out.Orders = append(e.out.Orders, o)
}

// expireLeases gives up what ran on a worker whose leases have all ended. A run for
// which an order is under way waits: another incarnation may yet take it.
func (e *Engine) expireLeases(now time.Time, w *worker) {
	if !w.leasesExpired {
		e.addEvent("worker-lapsed", TaskID{}, 0, w.ID, "", now.Sub(w.lastContact))
	}
	w.leasesExpired = true
	for _, r := range w.sortedRuns() {
		if r.startSent && r.ordersInFlight == 0 {
			e.endWithoutResult(now, r, "lease lapsed")
		}
	}
}

// sortedRuns gives the worker's runs in the order of their tasks.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, k int) bool { return runs[i].id.less(runs[k].id) })
	return runs
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
