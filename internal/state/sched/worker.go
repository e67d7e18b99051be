package sched

import (
	"container/heap"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of polls and leases.
const (
	// pollWait is how long a worker with no end to report waits for one before
	// it answers a poll. Leases are renewed by the poll that follows an answer,
	// so this bounds how much of a lease has passed when a worker is cut off.
	pollWait = time.Second
	// maxClockDrift is the fraction by which a worker's clock may run slower
	// than the leader's.
	maxClockDrift = 0.02
	// leaseExpiryMargin covers the time between reading a clock and using the
	// reading.
	leaseExpiryMargin = 200 * time.Millisecond
	// pollRetryPause is the pause after a failed poll. It doubles with each
	// further failure up to maxPollRetryPause.
	pollRetryPause    = 100 * time.Millisecond
	maxPollRetryPause = 800 * time.Millisecond
	// unlistedGrace is how long a worker that answers polls may be missing from
	// the list before it counts as unlisted. Entries that expire during an
	// outage of the store are back within two seconds.
	unlistedGrace = 2500 * time.Millisecond
	// ackDelay is the pause before the next poll after a report with new ends.
	// Further ends gather at the worker while these are being stored.
	ackDelay = 60 * time.Millisecond
)

// WorkerInfo describes a worker as its entry in the list of workers does.
type WorkerInfo struct {
	ID          string
	Addr        string
	Domain      string
	Service     string
	Kind        string
	Rack        string
	Labels      []string
	Capacity    work.Size
	Draining    bool
	Incarnation int64 // 0 if the entry does not contain it
}

// worker is the leader's state of one worker.
type worker struct {
	WorkerInfo
	listed           bool
	missingSince     time.Time // when it was first missing from the list, zero if it is not
	lastIncarnation  int64     // incarnation of the last report, 0 before the first
	runs             map[TaskID]*run
	used             work.Size                  // total size of runs
	lasting          work.Size                  // of those that run until their job is cancelled
	unknownRuns      int                        // unknown runs in its last report
	reservations     []reservation              // capacity reserved for pending steps
	softReservations map[TaskID]softReservation // of steps with queries in flight, by step

	clock       time.Duration // worker's clock at clockReadAt
	clockReadAt time.Time     // zero before the first report

	polling        bool   // a poll is under way
	pollSerial     uint64 // of the newest poll
	nextPoll       time.Time
	failedPolls    int // failed polls since the last report, or since its entry changed
	lastContact    time.Time
	answeredAddr   string          // address at which it last answered a poll, empty before the first answer
	drained        int64           // newest incarnation whose entry said that it drains, 0 if none
	replaced       bool            // another worker or incarnation has answered at its address since the last report
	leasesExpireBy time.Time       // every lease granted to it has expired by then
	leasesExpired  bool            // all its leases have expired, so no earlier run still runs
	lapsedRuns     []*run          // runs that ended as its leases expired, until it is known whether it has crashed
	ackedEnd       int64           // ends up to this number are stored and may be acknowledged
	lastEnd        int64           // ends up to this number have been processed
	excludedUntil  time.Time       // no task is placed on it before
	failedJobs     map[string]bool // jobs that failed on it since a run last ended as done
	suspectUntil   time.Time       // no gang is placed on it before, since a run failed there
	WorkerEstimates
	indexed        bool      // whether the engine's index contains it
	cpuLevel       int       // its level in the index
	rank           float64   // its rank in the index: lower is better, for any step
	lastDone       time.Time // when a run last ended as done
	nextStallCheck time.Time // next check for stalled tasks
	throttle       throttle
	nextCheck      time.Time     // next check of any kind
	checkIndex     int           // its index in the engine's checkQueue
	images         *workerImages // nil if no run whose step has an image was ever placed on it
}

// SetWorkers updates the known workers from the newest list. A worker that
// answers polls stays listed for unlistedGrace after its entry is gone.
func (e *Engine) SetWorkers(now time.Time, list []WorkerInfo) {
	e.listedAt = now
	present := map[string]bool{}
	for _, info := range list {
		present[info.ID] = true
		w := e.ensureWorker(info.ID)
		if !w.listed || w.Draining != info.Draining || (w.Incarnation != info.Incarnation && w.Incarnation != 0) {
			e.addEvent("worker-listed", TaskID{}, 0, info.ID, listedDetail(info), 0)
			w.nextPoll = now
			w.failedPolls = 0
		}
		changed := !w.listed || w.Addr != info.Addr || w.Draining != info.Draining || w.Incarnation != info.Incarnation
		w.WorkerInfo, w.listed, w.missingSince = info, true, time.Time{}
		if changed {
			e.checkNow(w)
		}
		if info.Draining {
			w.drained = max(info.Incarnation, w.drained)
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
			if !w.Draining {
				e.recordCrash(now, w, w.lapsedRuns, 0, w.replaced)
			}
		}
	}
	e.removeUnlistedWorkers()
	e.capacity = work.Size{}
	for _, w := range e.workersByID {
		if w.listed {
			e.capacity = e.capacity.Add(w.Capacity)
		}
	}
}

// SetListTime sets as of when the list is that was passed to SetWorkers last, if
// it is from before that call.
func (e *Engine) SetListTime(at time.Time) { e.listedAt = at }

// listIsCurrent reports whether the list of workers is recent enough for starts.
func (e *Engine) listIsCurrent(now time.Time) bool {
	return e.params.MaxListAge == 0 || now.Sub(e.listedAt) <= e.params.MaxListAge
}

func listedDetail(info WorkerInfo) string {
	if info.Draining {
		return "draining"
	}
	return "ready"
}

func (e *Engine) ensureWorker(id string) *worker {
	w := e.workers[id]
	if w == nil {
		w = &worker{WorkerInfo: WorkerInfo{ID: id}, runs: map[TaskID]*run{}, failedJobs: map[string]bool{}}
		// An earlier leader may have granted leases until its own lease ended.
		w.leasesExpireBy = e.startedAt.Add(e.params.LeaderLease + onSlowestClock(e.params.MaxLease) + leaseExpiryMargin)
		e.workers[id] = w
		i := sort.Search(len(e.workersByID), func(i int) bool { return e.workersByID[i].ID >= id })
		e.workersByID = append(e.workersByID, nil)
		copy(e.workersByID[i+1:], e.workersByID[i:])
		e.workersByID[i] = w
		heap.Push(&e.checks, w)
	}
	return w
}

// onSlowestClock returns the time on the leader's clock in which d passes on
// the slowest clock that a worker may have.
func onSlowestClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - maxClockDrift))
}

// removeUnlistedWorkers removes workers that are not listed, have no runs and
// are not being polled.
func (e *Engine) removeUnlistedWorkers() {
	remaining := e.workersByID[:0]
	for _, w := range e.workersByID {
		if !w.listed && len(w.runs) == 0 && !w.polling {
			delete(e.workers, w.ID)
			heap.Remove(&e.checks, w.checkIndex)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(e.workersByID[len(remaining):])
	e.workersByID = remaining
}

// grantLease returns the expiry of a full lease in milliseconds on the worker's
// clock, 0 if no report has contained a reading of that clock yet. It extends
// leasesExpireBy to the time at which such a lease has certainly expired.
func (e *Engine) grantLease(now time.Time, w *worker) int64 {
	if w.clockReadAt.IsZero() {
		return 0
	}
	elapsed := now.Sub(w.clockReadAt)
	if at := w.clockReadAt.Add(onSlowestClock(elapsed+e.params.MaxLease) + leaseExpiryMargin); at.After(w.leasesExpireBy) {
		w.leasesExpireBy = at
	}
	w.leasesExpired = false
	return (w.clock + elapsed + e.params.MaxLease).Milliseconds()
}

// reachable reports whether the worker has answered a poll and none has failed
// since then, or since its entry in the list changed.
func (w *worker) reachable() bool { return w.hasAnswered() && w.failedPolls == 0 }

// entryIsCurrent reports whether its entry in the list is, as far as known, that of
// the incarnation that answered last. If not, the worker has restarted.
func (w *worker) entryIsCurrent() bool {
	return w.Incarnation == 0 || w.Incarnation == w.lastIncarnation
}

// hasAnswered reports whether the worker has ever answered a poll. Until then its
// entry in the list, which another writer may have stored, is all that says that
// it exists.
func (w *worker) hasAnswered() bool { return !w.clockReadAt.IsZero() }

// attainable returns the capacity that is free once all tasks that end by
// themselves have ended.
func (w *worker) attainable() work.Size { return w.Capacity.Sub(w.lasting) }

// checkWorker polls the worker when that is due, and handles expired leases,
// unanswered orders and stalled tasks.
func (e *Engine) checkWorker(now time.Time, w *worker) {
	if !w.polling && !now.Before(w.nextPoll) && w.Addr != "" && (w.listed || len(w.runs) > 0) {
		e.poll(now, w)
	}
	if !w.reachable() && now.After(w.leasesExpireBy) && len(w.runs) > 0 {
		e.expireLeases(now, w)
	}
	for _, r := range w.unansweredRuns() {
		e.checkRun(now, r)
	}
	e.stopStalledRuns(now, w)
}

func (e *Engine) poll(now time.Time, w *worker) {
	e.pollsSent++
	w.polling, w.pollSerial = true, e.pollsSent
	o := Order{Kind: OrderPoll, Worker: w.ID, Addr: w.Addr, Serial: w.pollSerial}
	if w.reachable() {
		// A worker that does not answer gets no further lease, so that all its
		// leases have certainly expired by a known time.
		o.LeaseExpiry = e.grantLease(now, w)
	}
	if w.reachable() && w.entryIsCurrent() {
		// Otherwise another incarnation may answer, whose ends have the same
		// numbers, so none may be acknowledged.
		o.AckedEnd = w.ackedEnd
	}
	if w.reachable() && w.lastEnd <= w.ackedEnd {
		o.Wait = pollWait
	}
	for _, r := range w.runs {
		if r.pollAtOnce {
			o.Wait = 0
		}
	}
	e.output.Orders = append(e.output.Orders, o)
}

// expireLeases ends the runs on a worker whose leases have all expired. A run
// with an order in flight is left for later: another incarnation of the worker
// may still accept that order.
func (e *Engine) expireLeases(now time.Time, w *worker) {
	if !w.leasesExpired {
		e.addEvent("worker-lapsed", TaskID{}, 0, w.ID, "", now.Sub(w.lastContact))
	}
	w.leasesExpired = true
	if (w.replaced || !w.listed) && !w.Draining {
		e.recordCrash(now, w, w.sortedRuns(), 0, w.replaced)
	}
	for _, r := range w.sortedRuns() {
		if r.startSent && r.ordersInFlight == 0 {
			if !r.crashRecorded {
				w.lapsedRuns = append(w.lapsedRuns, r)
			}
			e.endWithoutResult(now, r, "lease lapsed")
		}
	}
}

// sortedRuns returns the worker's runs ordered by task.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sortRuns(runs)
	return runs
}

// unansweredRuns returns the worker's runs with a start or stop that got no
// answer, ordered by task.
func (w *worker) unansweredRuns() []*run {
	var runs []*run
	for _, r := range w.runs {
		if r.unanswered() {
			runs = append(runs, r)
		}
	}
	sortRuns(runs)
	return runs
}

func sortRuns(runs []*run) {
	sort.Slice(runs, func(i, k int) bool { return runs[i].id.less(runs[k].id) })
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
