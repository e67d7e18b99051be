package fleet

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// oneWayLatency is the network latency of an order, and of an answer.
const oneWayLatency = time.Millisecond

// TaskSpec describes a task.
type TaskSpec struct {
	Size     work.Size
	RunTime  time.Duration // how long it runs
	GangSize int           // number of members of its gang, 0 if it belongs to none
}

// Fleet is a set of workers.
type Fleet struct {
	maxLease time.Duration
	taskSpec func(sched.TaskID) (TaskSpec, bool)

	mu                 sync.Mutex // guards the fields below and those of the workers
	workers            map[string]*Worker
	acknowledgedDone   map[sched.TaskID]bool // tasks that ended as done, and the end was acknowledged
	violations         []string
	runStarts          int
	unreachableClients map[string]bool    // clients that can't reach any worker
	unanswered         []sched.WorkerInfo // listed, but no worker answers for them
}

// Worker is one worker.
type Worker struct {
	Info           sched.WorkerInfo
	fleet          *Fleet
	incarnation    int64
	startedAt      time.Time // start of the incarnation, and origin of the worker's clock
	fencingToken   int64     // highest one that an order had
	leaseExpiry    time.Time
	runs           map[sched.TaskID]*run
	lastClosedRun  map[sched.TaskID]int // number of the last run that ended or was stopped; no run up to it may start
	ends           []sched.End          // ends that are not acknowledged
	lastEnd        int64                // number of the last end
	lastExpiredEnd int64                // ends up to this number preceded a lease expiry and do not count as done
	endAdded       chan struct{}        // closed and replaced with each end
	down           bool
}

// run is a run of a task on a worker.
type run struct {
	number int
	size   work.Size
	active bool
}

// New returns a fleet of n workers of a service, 8 to a rack, which limit
// leases to maxLease. taskSpec returns what a task does, or false for a task
// that nobody submitted.
func New(n int, capacity work.Size, service string, maxLease time.Duration, taskSpec func(sched.TaskID) (TaskSpec, bool)) *Fleet {
	f := &Fleet{maxLease: maxLease, taskSpec: taskSpec, workers: map[string]*Worker{}, acknowledgedDone: map[sched.TaskID]bool{}, unreachableClients: map[string]bool{}}
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		w := &Worker{fleet: f, Info: sched.WorkerInfo{ID: id, Addr: id, Service: service, Rack: fmt.Sprintf("r%d", i/8), Capacity: capacity}}
		w.reset()
		f.workers[id] = w
	}
	return f
}

// Violations returns a description of each violation of an invariant so far.
// Each one begins with its kind: UNASKED for a run of a task that nobody
// submitted, TWICE for a run that starts while another run of its task is
// active or after the task's end was acknowledged, LIMIT for runs that together
// exceed a worker's capacity.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

// RunStarts returns the number of runs that the workers have started.
func (f *Fleet) RunStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runStarts
}

// SetPartitioned sets whether a client is partitioned from all workers.
func (f *Fleet) SetPartitioned(client string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachableClients[client] = partitioned
}

// ListUnanswered adds entries to the list of workers that no worker answers for,
// as another writer may store them.
func (f *Fleet) ListUnanswered(entries ...sched.WorkerInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered = append(f.unanswered, entries...)
}

// Crash makes a worker lose its state. It restarts as a new incarnation after
// the downtime.
func (f *Fleet) Crash(id string, downtime time.Duration) {
	f.mu.Lock()
	w := f.workers[id]
	w.reset()
	w.down = true
	f.mu.Unlock()
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.down = false
	})
}

// reset begins a new incarnation without state. The caller must hold the
// fleet's lock.
func (w *Worker) reset() {
	w.incarnation++
	w.startedAt = time.Now()
	w.fencingToken, w.lastEnd, w.lastExpiredEnd, w.leaseExpiry = 0, 0, 0, time.Time{}
	for _, r := range w.runs {
		r.active = false
	}
	w.runs, w.lastClosedRun, w.ends = map[sched.TaskID]*run{}, map[sched.TaskID]int{}, nil
	w.endAdded = make(chan struct{})
}

// Calls returns the calls of one client to the workers.
func (f *Fleet) Calls(client string) core.WorkerCalls {
	return core.WorkerCalls{
		Start: func(ctx context.Context, o sched.Order, term int64) sched.Answer {
			return f.call(ctx, client, o, func(w *Worker) sched.Answer { return w.start(term, o) })
		},
		Stop: func(ctx context.Context, o sched.Order, term int64) sched.Answer {
			return f.call(ctx, client, o, func(w *Worker) sched.Answer { return w.stop(term, o) })
		},
		Throttle: func(ctx context.Context, o sched.Order, term int64) sched.Answer {
			return f.call(ctx, client, o, func(w *Worker) sched.Answer { return w.throttle(term, o) })
		},
		Poll: func(ctx context.Context, o sched.Order, term int64) (sched.Report, sched.Answer) {
			return f.poll(ctx, client, o, term)
		},
		List: func(ctx context.Context) ([]sched.WorkerInfo, error) { return f.list(ctx) },
	}
}

func (f *Fleet) list(ctx context.Context) ([]sched.WorkerInfo, error) {
	if !sleep(ctx, oneWayLatency) {
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []sched.WorkerInfo
	for _, w := range f.workers {
		if !w.down {
			info := w.Info
			info.Incarnation = w.incarnation
			out = append(out, info)
		}
	}
	out = append(out, f.unanswered...)
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out, nil
}

// sleep waits for d and reports whether ctx did not end before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// call carries out do on the order's worker with the fleet's lock held, and
// returns its answer after the latency both ways. It returns AnswerNone if the
// worker does not exist, is down or is partitioned from the client, or if ctx
// ends.
func (f *Fleet) call(ctx context.Context, client string, o sched.Order, do func(*Worker) sched.Answer) sched.Answer {
	if !sleep(ctx, oneWayLatency) {
		return sched.AnswerNone
	}
	f.mu.Lock()
	w := f.workers[o.Worker]
	if w == nil || w.down || f.unreachableClients[client] {
		f.mu.Unlock()
		<-ctx.Done()
		return sched.AnswerNone
	}
	a := do(w)
	f.mu.Unlock()
	if !sleep(ctx, oneWayLatency) {
		return sched.AnswerNone
	}
	return a
}

// start carries out an order to start a run, and records each invariant that
// the start violates. The run time of a gang begins when its last member
// starts. The caller must hold the fleet's lock.
func (w *Worker) start(term int64, o sched.Order) sched.Answer {
	f := w.fleet
	if term < w.fencingToken {
		return sched.AnswerFenced
	}
	w.fencingToken = term
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return sched.AnswerOK
	}
	if o.Run <= w.lastClosedRun[o.Task] || w.runs[o.Task] != nil {
		return sched.AnswerStaleRun
	}
	spec, ok := f.taskSpec(o.Task)
	if !ok {
		f.addViolation("UNASKED: %v run %d", o.Task, o.Run)
	}
	for id, x := range f.workers {
		if r := x.runs[o.Task]; r != nil {
			f.addViolation("TWICE: %v run %d on %s while run %d is on %s", o.Task, o.Run, w.Info.ID, r.number, id)
		}
	}
	if f.acknowledgedDone[o.Task] {
		f.addViolation("TWICE: %v run %d starts after its end was acknowledged", o.Task, o.Run)
	}
	r := &run{number: o.Run, size: spec.Size, active: true}
	w.runs[o.Task] = r
	f.runStarts++
	allocated := work.Size{}
	for _, x := range w.runs {
		allocated = allocated.Add(x.size)
	}
	if !allocated.FitsIn(w.Info.Capacity) {
		f.addViolation("LIMIT: %v brings %s to %v", o.Task, w.Info.ID, allocated)
	}
	w.extendLease(o.LeaseExpiry)
	if spec.GangSize == 0 || f.gangIsComplete(o.Task, o.Run, spec.GangSize) {
		time.AfterFunc(spec.RunTime, func() { f.finish(w, o.Task, o.Run, spec.GangSize) })
	}
	return sched.AnswerOK
}

// gangIsComplete reports whether all members of a gang are in the given run.
// The caller must hold the fleet's lock.
func (f *Fleet) gangIsComplete(id sched.TaskID, run, members int) bool {
	running := 0
	for i := range members {
		id.Index = i
		for _, w := range f.workers {
			if r := w.runs[id]; r != nil && r.number == run {
				running++
			}
		}
	}
	return running == members
}

// finish ends a run whose time is over. For a gang it ends the run of all
// members, as broken if not all of them are still running.
func (f *Fleet) finish(w *Worker, id sched.TaskID, run, members int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if members == 0 {
		w.end(id, run, sched.EndDone)
		return
	}
	kind := sched.EndDone
	if !f.gangIsComplete(id, run, members) {
		kind = sched.EndGangBroken
	}
	for i := range members {
		id.Index = i
		for _, x := range f.workers {
			x.end(id, run, kind)
		}
	}
}

// end ends a run if it is active. The caller must hold the fleet's lock.
func (w *Worker) end(id sched.TaskID, run int, kind sched.EndKind) {
	r := w.runs[id]
	if r == nil || r.number != run || !r.active {
		return
	}
	r.active = false
	delete(w.runs, id)
	w.lastClosedRun[id] = max(w.lastClosedRun[id], run)
	w.lastEnd++
	w.ends = append(w.ends, sched.End{Number: w.lastEnd, Task: id, Run: run, Kind: kind})
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

// extendLease extends the lease to untilMs, a time on the worker's clock, but at
// most to maxLease from now. An earlier expiry than the present one is ignored.
// All runs end when the lease expires. The caller must hold the fleet's lock.
func (w *Worker) extendLease(untilMs int64) {
	expiry := w.startedAt.Add(time.Duration(untilMs) * time.Millisecond)
	if latest := time.Now().Add(w.fleet.maxLease); expiry.After(latest) {
		expiry = latest
	}
	if !expiry.After(w.leaseExpiry) {
		return
	}
	w.leaseExpiry = expiry
	incarnation := w.incarnation
	time.AfterFunc(time.Until(expiry)+time.Millisecond, func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.incarnation != incarnation || time.Now().Before(w.leaseExpiry) {
			return
		}
		w.lastExpiredEnd = w.lastEnd
		for id, r := range w.runs {
			w.end(id, r.number, sched.EndLeaseExpired)
		}
	})
}

func (w *Worker) stop(term int64, o sched.Order) sched.Answer {
	if term < w.fencingToken {
		return sched.AnswerFenced
	}
	w.fencingToken = term
	w.lastClosedRun[o.Task] = max(w.lastClosedRun[o.Task], o.Run)
	w.end(o.Task, o.Run, sched.EndStopped)
	return sched.AnswerOK
}

// throttle accepts an order to slow a run down, but does not change the run's
// duration.
func (w *Worker) throttle(term int64, o sched.Order) sched.Answer {
	if term < w.fencingToken {
		return sched.AnswerFenced
	}
	w.fencingToken = term
	if r := w.runs[o.Task]; r == nil || r.number != o.Run {
		return sched.AnswerStaleRun
	}
	return sched.AnswerOK
}

// poll renews the worker's lease once, drops acknowledged ends and returns the
// worker's report. It waits up to o.Wait until the worker has an end to report.
func (f *Fleet) poll(ctx context.Context, client string, o sched.Order, term int64) (sched.Report, sched.Answer) {
	var timeout <-chan time.Time
	if o.Wait > 0 {
		t := time.NewTimer(o.Wait)
		defer t.Stop()
		timeout = t.C
	}
	first := true
	for {
		rep, endAdded, a := sched.Report{}, (chan struct{})(nil), sched.AnswerOK
		a = f.call(ctx, client, o, func(w *Worker) sched.Answer {
			if term < w.fencingToken {
				return sched.AnswerFenced
			}
			w.fencingToken = term
			if first && o.LeaseExpiry > 0 {
				w.extendLease(o.LeaseExpiry)
			}
			first = false
			w.dropAcknowledged(o.AckedEnd)
			rep, endAdded = w.report(), w.endAdded
			return sched.AnswerOK
		})
		if a != sched.AnswerOK || len(rep.Ended) > 0 || timeout == nil {
			return rep, a
		}
		select {
		case <-endAdded:
		case <-timeout:
			timeout = nil
		case <-ctx.Done():
			return sched.Report{}, sched.AnswerNone
		}
	}
}

// dropAcknowledged drops the ends up to the acknowledged number. Tasks that
// were done must not start again after that, unless their end preceded a lease
// expiry. The caller must hold the fleet's lock.
func (w *Worker) dropAcknowledged(acked int64) {
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		switch {
		case e.Number > acked:
			kept = append(kept, e)
		case e.Kind == sched.EndDone && e.Number > w.lastExpiredEnd:
			w.fleet.acknowledgedDone[e.Task] = true
		}
	}
	w.ends = kept
}

// report returns the worker's clock, its runs and its unacknowledged ends. The
// caller must hold the fleet's lock.
func (w *Worker) report() sched.Report {
	rep := sched.Report{Incarnation: w.incarnation, Clock: time.Since(w.startedAt), Ended: append([]sched.End(nil), w.ends...)}
	for id, r := range w.runs {
		rep.Running = append(rep.Running, sched.Running{Task: id, Run: r.number})
	}
	return rep
}

func (f *Fleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}
