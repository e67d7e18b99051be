// Package worker is a stand-in for a worker. It simulates tasks and ends them
// when their run time is over, their lease expires or they are stopped. It
// starts every task that it gets, also beyond its capacity, so that tests and
// the try command can detect overload from what really runs.
package worker

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tamaracklink/tamaracklink/internal/protocol/worker"
	"github.com/tamaracklink/tamaracklink/internal/standin/httpd"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

const (
	usageInterval     = time.Second           // reported usage is up to this old
	maxRememberedEnds = 10000                 // older ends are dropped
	maxHistoryEvents  = 20000                 // older events are dropped
	checkInterval     = 20 * time.Millisecond // between checks for tasks to end
)

// Event is the start or end of an attempt on the worker. The field names are
// those of the JSON objects in the reply to /history.
type Event struct {
	Worker  string
	Job     string
	Index   int
	Attempt int
	Size    work.Size
	Started bool   // false for an end
	Outcome string // of an end, "" for a start
	At      int64  // Unix time in microseconds; set in the reply to /history only
}

// Config configures a Worker.
type Config struct {
	Name     string
	Capacity work.Size   // not enforced
	OnEvent  func(Event) // called for each event without locks held; may be nil
}

// attemptID identifies an attempt of a task.
type attemptID struct {
	job     string
	index   int
	attempt int
}

// task is a running attempt.
type task struct {
	size          work.Size
	leaseExpiry   time.Time
	leaseDuration time.Duration
	endsAt        time.Time // zero for services
	fails         bool      // ends as failed instead of done
	crashesAt     time.Time // when it crashes the worker; zero for never
}

// ended is an attempt that has ended.
type ended struct {
	number  uint64
	outcome string
	acked   bool // acknowledged; no longer reported
}

// Worker simulates a worker.
type Worker struct {
	CallFaults httpd.FaultInjector
	cfg        Config
	done       chan struct{}
	stop       chan struct{}

	mu               sync.Mutex // guards the fields below
	incarnation      int
	inventoryVersion uint64 // rises with each change of tasks and ended
	tasks            map[attemptID]*task
	ended            map[attemptID]*ended
	endOrder         []attemptID // keys of ended, oldest end first
	lastEnd          uint64      // number of the last end
	used             work.Size   // sum of the sizes of the running tasks
	peak             work.Size   // highest value of each amount in used
	reportedUsage    work.Size
	usageReportedAt  time.Time
	failAll          bool
	crashes          int           // by tasks
	downtime         time.Duration // after a crash
	downUntil        time.Time     // end of the downtime; zero unless down after a crash
	changed          chan struct{} // closed and replaced when inventoryVersion rises
	history          []Event
	checkpoints      map[attemptID]time.Duration // run time left at the newest checkpoint; the attempt number is 0
}

// New returns a worker without tasks and starts its goroutine, which ends with
// Close.
func New(cfg Config) *Worker {
	w := &Worker{
		cfg: cfg, done: make(chan struct{}), stop: make(chan struct{}), tasks: map[attemptID]*task{}, ended: map[attemptID]*ended{},
		changed: make(chan struct{}), inventoryVersion: 1, downtime: defaultDowntime, checkpoints: map[attemptID]time.Duration{},
	}
	go w.loop()
	return w
}

// Close ends the worker with all its tasks. It publishes no events.
func (w *Worker) Close() {
	close(w.stop)
	<-w.done
}

// Restart ends all tasks as lost and drops the ends and checkpoints, as a crash
// does.
func (w *Worker) Restart() {
	w.mu.Lock()
	var events []Event
	for id, t := range w.tasks {
		events = append(events, w.endEvent(id, t, work.OutcomeLost))
	}
	w.incarnation++
	w.inventoryVersion += 1000 // so that the new incarnation repeats no version of the former one
	w.tasks = map[attemptID]*task{}
	w.ended = map[attemptID]*ended{}
	w.endOrder = nil
	w.checkpoints = map[attemptID]time.Duration{}
	w.used = work.Size{}
	w.inventoryChanged()
	w.mu.Unlock()
	w.publish(events)
}

// SetFailAll sets whether tasks that start from now on fail at once.
func (w *Worker) SetFailAll(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = fail
}

// Peak returns the highest use of each resource so far.
func (w *Worker) Peak() work.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// RunningTasks returns the number of running tasks.
func (w *Worker) RunningTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.tasks)
}

// Used returns the sum of the sizes of the running tasks.
func (w *Worker) Used() work.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.used
}

// Handler returns a handler for the worker's protocol, and for the test calls
// /faults and /history.
func (w *Worker) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/start", w.withFaults(w.postStart))
	r.POST("/stop", w.withFaults(w.postStop))
	r.POST("/sync", w.withFaults(w.postSync))
	r.POST("/throttle", w.withFaults(w.postThrottle))
	r.POST("/checkpoint", w.withFaults(w.postCheckpoint))
	r.POST("/faults", w.postFaults)
	r.GET("/history", w.getHistory)
	return r
}

// withFaults delays calls to h or aborts their connections, as configured in
// CallFaults.
func (w *Worker) withFaults(h httprouter.Handle) httprouter.Handle {
	return func(rw http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		if !w.CallFaults.Admit(r) {
			panic(http.ErrAbortHandler)
		}
		h(rw, r, ps)
	}
}

func (w *Worker) postStart(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q struct {
		Tasks []worker.StartedTask `json:"tasks"`
	}
	if !httpd.Read(rw, r, &q) {
		return
	}
	w.mu.Lock()
	var events []Event
	for _, t := range q.Tasks {
		events = w.start(events, t, time.Now())
	}
	w.inventoryChanged()
	w.mu.Unlock()
	w.publish(events)
}

// start starts an attempt and appends the event, unless the attempt runs or has
// ended. It resumes from the task's checkpoint if there is one. The caller must
// hold w.mu.
func (w *Worker) start(events []Event, t worker.StartedTask, now time.Time) []Event {
	id := attemptID{t.Job, t.Index, t.Attempt}
	if w.tasks[id] != nil || w.ended[id] != nil {
		return events
	}
	lease := time.Duration(t.LeaseMS) * time.Millisecond
	started := &task{size: t.Size, leaseExpiry: now.Add(lease), leaseDuration: lease}
	if t.RunMS > 0 {
		started.endsAt = now.Add(time.Duration(t.RunMS) * time.Millisecond)
	}
	if left, ok := w.checkpoints[attemptID{job: t.Job, index: t.Index}]; ok && t.RunMS > 0 {
		started.endsAt = now.Add(left)
	}
	if w.failAll || t.Command == "fail" {
		started.fails = true
		started.endsAt = now
	}
	if t.Command == CommandCrash {
		started.crashesAt = now.Add(crashDelay)
	}
	w.tasks[id] = started
	w.used = w.used.Add(t.Size)
	w.peak = w.peak.Max(w.used)
	return append(events, Event{Worker: w.cfg.Name, Job: id.job, Index: id.index, Attempt: id.attempt, Size: t.Size, Started: true})
}

func (w *Worker) postStop(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q struct {
		Tasks []worker.Attempt `json:"tasks"`
	}
	if !httpd.Read(rw, r, &q) {
		return
	}
	w.mu.Lock()
	var events []Event
	for _, a := range q.Tasks {
		id := attemptID{a.Job, a.Index, a.Attempt}
		if t := w.tasks[id]; t != nil {
			events = append(events, w.endEvent(id, t, work.OutcomeStopped))
		}
		w.recordEnd(id, work.OutcomeStopped)
	}
	w.inventoryChanged()
	w.mu.Unlock()
	w.publish(events)
}

// postThrottle slows tasks down to a percentage of their present speed.
func (w *Worker) postThrottle(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q struct {
		Tasks   []worker.Attempt `json:"tasks"`
		Percent int              `json:"percent"`
	}
	if !httpd.Read(rw, r, &q) {
		return
	}
	if q.Percent < 1 || q.Percent > 100 {
		http.Error(rw, "percent: 1 to 100", http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, a := range q.Tasks {
		if t := w.tasks[attemptID{a.Job, a.Index, a.Attempt}]; t != nil && !t.endsAt.IsZero() {
			t.endsAt = now.Add(t.endsAt.Sub(now) * 100 / time.Duration(q.Percent))
		}
	}
}

// postCheckpoint saves the tasks' progress. A later attempt of a task on this
// worker resumes from it.
func (w *Worker) postCheckpoint(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q struct {
		Tasks []worker.Attempt `json:"tasks"`
	}
	if !httpd.Read(rw, r, &q) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, a := range q.Tasks {
		if t := w.tasks[attemptID{a.Job, a.Index, a.Attempt}]; t != nil && !t.endsAt.IsZero() {
			w.checkpoints[attemptID{job: a.Job, index: a.Index}] = t.endsAt.Sub(now)
		}
	}
}

// recordEnd records the end of an attempt, and thereby keeps it from starting
// later. This includes attempts that never started here. The caller must hold
// w.mu.
func (w *Worker) recordEnd(id attemptID, outcome string) {
	if w.ended[id] != nil {
		return
	}
	if t := w.tasks[id]; t != nil {
		w.used = w.used.Sub(t.size)
		delete(w.tasks, id)
	}
	w.lastEnd++
	w.ended[id] = &ended{number: w.lastEnd, outcome: outcome}
	w.endOrder = append(w.endOrder, id)
	if len(w.endOrder) > maxRememberedEnds {
		delete(w.ended, w.endOrder[0])
		w.endOrder = w.endOrder[1:]
	}
}

func (w *Worker) endEvent(id attemptID, t *task, outcome string) Event {
	return Event{Worker: w.cfg.Name, Job: id.job, Index: id.index, Attempt: id.attempt, Size: t.size, Outcome: outcome}
}

// publish adds events to the history and passes them to the callback. The
// caller must not hold w.mu.
func (w *Worker) publish(events []Event) {
	w.mu.Lock()
	for _, e := range events {
		e.At = time.Now().UnixMicro()
		w.history = append(w.history, e)
	}
	w.history = w.history[max(len(w.history)-maxHistoryEvents, 0):]
	w.mu.Unlock()
	if w.cfg.OnEvent == nil {
		return
	}
	for _, e := range events {
		w.cfg.OnEvent(e)
	}
}

// inventoryChanged raises the inventory version and wakes up waiting sync
// calls. The caller must hold w.mu.
func (w *Worker) inventoryChanged() {
	w.inventoryVersion++
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) postSync(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q worker.SyncRequest
	if !httpd.Read(rw, r, &q) {
		return
	}
	w.renew(q)
	w.awaitChange(r, q)
	if w.CallFaults.Rejects(r.Header.Get(httpd.HeaderDomain)) {
		panic(http.ErrAbortHandler)
	}
	httpd.Reply(rw, w.report(q.KnownVersion))
}

// renew renews the leases of all tasks if the request asks for it, and marks
// the ends that it acknowledges.
func (w *Worker) renew(q worker.SyncRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, t := range w.tasks {
		if q.Renew {
			t.leaseExpiry = now.Add(t.leaseDuration)
		}
	}
	for _, e := range w.ended {
		e.acked = e.acked || e.number <= q.AckedEnd
	}
}

// awaitChange waits until the inventory version differs from the one that the
// leader has seen, the request's wait time is over or the caller has gone.
func (w *Worker) awaitChange(r *http.Request, q worker.SyncRequest) {
	t := time.NewTimer(time.Duration(q.WaitMS) * time.Millisecond)
	defer t.Stop()
	for {
		w.mu.Lock()
		changed := w.changed
		differs := w.inventoryVersion != q.KnownVersion
		w.mu.Unlock()
		if differs {
			return
		}
		select {
		case <-changed:
		case <-t.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// report returns the inventory, or only its version and the usage if the leader
// has seen this version.
func (w *Worker) report(seen uint64) worker.SyncReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(w.usageReportedAt) > usageInterval {
		w.usageReportedAt = now
		w.reportedUsage = w.used
	}
	out := worker.SyncReply{Boot: fmt.Sprintf("%s.%d", w.cfg.Name, w.incarnation), Version: w.inventoryVersion, Usage: w.reportedUsage}
	if seen == w.inventoryVersion {
		return worker.SyncReply{Unchanged: true, Boot: out.Boot, Version: out.Version, Usage: out.Usage}
	}
	for id, t := range w.tasks {
		out.Running = append(out.Running, worker.RunningTask{Attempt: worker.Attempt{Job: id.job, Index: id.index, Attempt: id.attempt}, Size: t.size})
	}
	for _, id := range w.endOrder {
		if e := w.ended[id]; !e.acked {
			out.Ended = append(out.Ended, worker.EndedTask{Attempt: worker.Attempt{Job: id.job, Index: id.index, Attempt: id.attempt}, EndNumber: e.number, Outcome: e.outcome})
		}
	}
	return out
}

func (w *Worker) loop() {
	defer close(w.done)
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-t.C:
			w.endTasks(now)
			w.crashIfDue(now)
		}
	}
}

// endTasks ends the tasks whose run time is over or whose lease has expired.
func (w *Worker) endTasks(now time.Time) {
	w.mu.Lock()
	var events []Event
	for id, t := range w.tasks {
		outcome := ""
		switch {
		case !t.endsAt.IsZero() && !now.Before(t.endsAt) && t.fails:
			outcome = work.OutcomeFailed
		case !t.endsAt.IsZero() && !now.Before(t.endsAt):
			outcome = work.OutcomeDone
		case !now.Before(t.leaseExpiry):
			outcome = work.OutcomeLost
		default:
			continue
		}
		events = append(events, w.endEvent(id, t, outcome))
		w.recordEnd(id, outcome)
	}
	if len(events) > 0 {
		w.inventoryChanged()
	}
	w.mu.Unlock()
	w.publish(events)
}

// getHistory returns the events and the peak use, for tests in other processes.
func (w *Worker) getHistory(rw http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.mu.Lock()
	defer w.mu.Unlock()
	httpd.Reply(rw, map[string]any{"events": w.history, "peak": w.peak})
}

// postFaults sets all faults of the worker, for tests in other processes.
func (w *Worker) postFaults(rw http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q struct {
		Down    bool     `json:"down"`
		SlowMS  int64    `json:"slow-ms"`
		Cut     []string `json:"cut"`
		FailAll bool     `json:"fail-all"`
	}
	if !httpd.Read(rw, r, &q) {
		return
	}
	w.CallFaults.SetDown(q.Down)
	w.CallFaults.SetDelay(time.Duration(q.SlowMS) * time.Millisecond)
	w.CallFaults.SetPartitioned(q.Cut...)
	w.SetFailAll(q.FailAll)
}
