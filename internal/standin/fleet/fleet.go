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

// wireTime is how long an order or an answer travels.
const wireTime = time.Millisecond

// Spec says what a task does.
type Spec struct {
	Size  work.Size
	Takes time.Duration
	Gang  int // members, 0 for a task by itself
}

// Fleet is a set of workers.
type Fleet struct {
	leaseMax time.Duration
	lookup   func(sched.TaskID) (Spec, bool)

	mu      sync.Mutex
	workers map[string]*Worker
	done    map[sched.TaskID]bool // ends as done that were acknowledged
	broken  []string
	starts  int
	cut     map[string]bool // clients that reach no worker
}

// Worker is one worker.
type Worker struct {
	Info   sched.WorkerInfo
	f      *Fleet
	boot   int64
	born   time.Time
	fence  int64
	lease  time.Time
	runs   map[sched.TaskID]*run
	closed map[sched.TaskID]int
	ends   []sched.End
	number int64
	lapsed int64 // ends up to it came before a lapse of the lease and count for nothing
	ended  chan struct{}
	down   bool
}

type run struct {
	n     int
	size  work.Size
	alive bool
}

// New gives a fleet of n workers. lookup says what a task does, or that nobody
// asked for it.
func New(n int, capacity work.Size, service string, leaseMax time.Duration, lookup func(sched.TaskID) (Spec, bool)) *Fleet {
	f := &Fleet{leaseMax: leaseMax, lookup: lookup, workers: map[string]*Worker{}, done: map[sched.TaskID]bool{}, cut: map[string]bool{}}
	for i := range n {
		id := fmt.Sprintf("w%02d", i)
		w := &Worker{f: f, Info: sched.WorkerInfo{ID: id, Addr: id, Service: service, Rack: fmt.Sprintf("r%d", i/8), Capacity: capacity}}
		w.reset()
		f.workers[id] = w
	}
	return f
}

// Broken gives the promises that were broken.
func (f *Fleet) Broken() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.broken...)
}

// Starts gives the number of runs that began.
func (f *Fleet) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Cut cuts a client off from all workers, or connects it again.
func (f *Fleet) Cut(client string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[client] = cut
}

// Crash makes a worker lose everything; it comes back after the given time.
func (f *Fleet) Crash(id string, after time.Duration) {
	f.mu.Lock()
	w := f.workers[id]
	w.reset()
	w.down = true
	f.mu.Unlock()
	time.AfterFunc(after, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.down = false
	})
}

func (w *Worker) reset() {
	w.boot++
	w.born = time.Now()
	w.fence, w.number, w.lapsed, w.lease = 0, 0, 0, time.Time{}
	for _, r := range w.runs {
		r.alive = false
	}
	w.runs, w.closed, w.ends = map[sched.TaskID]*run{}, map[sched.TaskID]int{}, nil
	w.ended = make(chan struct{})
}

// Calls gives the calls of one client.
func (f *Fleet) Calls(client string) core.Workers {
	return core.Workers{
		Start: func(ctx context.Context, o sched.Order, term int64) sched.Answer {
			return f.call(ctx, client, o, func(w *Worker) sched.Answer { return w.start(term, o) })
		},
		Stop: func(ctx context.Context, o sched.Order, term int64) sched.Answer {
			return f.call(ctx, client, o, func(w *Worker) sched.Answer { return w.stop(term, o) })
		},
		Pace: func(ctx context.Context, o sched.Order, term int64) sched.Answer {
			return f.call(ctx, client, o, func(w *Worker) sched.Answer { return w.pace(term, o) })
		},
		Hold: func(ctx context.Context, o sched.Order, term int64) (sched.Report, sched.Answer) {
			return f.hold(ctx, client, o, term)
		},
		List: func(ctx context.Context) ([]sched.WorkerInfo, error) { return f.list(ctx) },
	}
}

func (f *Fleet) list(ctx context.Context) ([]sched.WorkerInfo, error) {
	if !wait(ctx, wireTime) {
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []sched.WorkerInfo
	for _, w := range f.workers {
		if !w.down {
			in := w.Info
			in.Boot = w.boot
			out = append(out, in)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out, nil
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Fleet) call(ctx context.Context, client string, o sched.Order, do func(*Worker) sched.Answer) sched.Answer {
	if !wait(ctx, wireTime) {
		return sched.AnswerNone
	}
	f.mu.Lock()
	w := f.workers[o.Worker]
	if w == nil || w.down || f.cut[client] {
		f.mu.Unlock()
		<-ctx.Done()
		return sched.AnswerNone
	}
	a := do(w)
	f.mu.Unlock()
	if !wait(ctx, wireTime) {
		return sched.AnswerNone
	}
	return a
}

// start carries out a start. The lock is held.
func (w *Worker) start(term int64, o sched.Order) sched.Answer {
	f := w.f
	if term < w.fence {
		return sched.AnswerFenced
	}
	w.fence = term
	if r := w.runs[o.Task]; r != nil && r.n == o.Run {
		return sched.AnswerOK
	}
	if o.Run <= w.closed[o.Task] || w.runs[o.Task] != nil {
		return sched.AnswerOld
	}
	sp, ok := f.lookup(o.Task)
	if !ok {
		f.note("UNASKED: %v run %d", o.Task, o.Run)
	}
	for id, x := range f.workers {
		if r := x.runs[o.Task]; r != nil {
			f.note("TWICE: %v run %d on %s while run %d is on %s", o.Task, o.Run, w.Info.ID, r.n, id)
		}
	}
	if f.done[o.Task] {
		f.note("TWICE: %v run %d starts after its end was acknowledged", o.Task, o.Run)
	}
	r := &run{n: o.Run, size: sp.Size, alive: true}
	w.runs[o.Task] = r
	f.starts++
	sum := work.Size{}
	for _, x := range w.runs {
		sum = sum.Add(x.size)
	}
	if !sum.Within(w.Info.Capacity) {
		f.note("LIMIT: %v brings %s to %v", o.Task, w.Info.ID, sum)
	}
	w.renew(o.Until)
	if sp.Gang == 0 || f.together(o.Task, o.Run, sp.Gang) {
		time.AfterFunc(sp.Takes, func() { f.complete(w, o.Task, o.Run, sp.Gang) })
	}
	return sched.AnswerOK
}

// together reports whether all members of a gang run. The lock is held.
func (f *Fleet) together(id sched.TaskID, n, members int) bool {
	found := 0
	for i := range members {
		id.Index = i
		for _, w := range f.workers {
			if r := w.runs[id]; r != nil && r.n == n {
				found++
			}
		}
	}
	return found == members
}

func (f *Fleet) complete(w *Worker, id sched.TaskID, n, members int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if members == 0 {
		w.end(id, n, sched.EndDone)
		return
	}
	kind := sched.EndDone
	if !f.together(id, n, members) {
		kind = sched.EndBroken
	}
	for i := range members {
		id.Index = i
		for _, x := range f.workers {
			x.end(id, n, kind)
		}
	}
}

// end ends a run. The lock is held.
func (w *Worker) end(id sched.TaskID, n int, kind sched.EndKind) {
	r := w.runs[id]
	if r == nil || r.n != n || !r.alive {
		return
	}
	r.alive = false
	delete(w.runs, id)
	w.closed[id] = max(w.closed[id], n)
	w.number++
	w.ends = append(w.ends, sched.End{Number: w.number, Task: id, Run: n, Kind: kind})
	close(w.ended)
	w.ended = make(chan struct{})
}

// renew sets the lease to a time on the worker's clock. The lock is held.
func (w *Worker) renew(until int64) {
	end := w.born.Add(time.Duration(until) * time.Millisecond)
	if most := time.Now().Add(w.f.leaseMax); end.After(most) {
		end = most
	}
	if !end.After(w.lease) {
		return
	}
	w.lease = end
	boot := w.boot
	time.AfterFunc(time.Until(end)+time.Millisecond, func() {
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		if w.boot != boot || time.Now().Before(w.lease) {
			return
		}
		w.lapsed = w.number
		for id, r := range w.runs {
			w.end(id, r.n, sched.EndLapsed)
		}
	})
}

func (w *Worker) stop(term int64, o sched.Order) sched.Answer {
	if term < w.fence {
		return sched.AnswerFenced
	}
	w.fence = term
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	w.end(o.Task, o.Run, sched.EndStopped)
	return sched.AnswerOK
}

// pace takes a change of pace, which changes nothing for a task's time here.
func (w *Worker) pace(term int64, o sched.Order) sched.Answer {
	if term < w.fence {
		return sched.AnswerFenced
	}
	w.fence = term
	if r := w.runs[o.Task]; r == nil || r.n != o.Run {
		return sched.AnswerOld
	}
	return sched.AnswerOK
}

func (f *Fleet) hold(ctx context.Context, client string, o sched.Order, term int64) (sched.Report, sched.Answer) {
	var until <-chan time.Time
	if o.Wait > 0 {
		t := time.NewTimer(o.Wait)
		defer t.Stop()
		until = t.C
	}
	first := true
	for {
		rep, ended, a := sched.Report{}, (chan struct{})(nil), sched.AnswerOK
		a = f.call(ctx, client, o, func(w *Worker) sched.Answer {
			if term < w.fence {
				return sched.AnswerFenced
			}
			w.fence = term
			if first && o.Until > 0 {
				w.renew(o.Until)
			}
			first = false
			w.forget(o.Acked)
			rep, ended = w.report(), w.ended
			return sched.AnswerOK
		})
		if a != sched.AnswerOK || len(rep.Ended) > 0 || until == nil {
			return rep, a
		}
		select {
		case <-ended:
		case <-until:
			until = nil
		case <-ctx.Done():
			return sched.Report{}, sched.AnswerNone
		}
	}
}

// forget drops acknowledged ends. The lock is held.
func (w *Worker) forget(to int64) {
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		switch {
		case e.Number > to:
			kept = append(kept, e)
		case e.Kind == sched.EndDone && e.Number > w.lapsed:
			w.f.done[e.Task] = true
		}
	}
	w.ends = kept
}

// report gives what the worker lists. The lock is held.
func (w *Worker) report() sched.Report {
	rep := sched.Report{Boot: w.boot, Clock: time.Since(w.born), Ended: append([]sched.End(nil), w.ends...)}
	for id, r := range w.runs {
		rep.Running = append(rep.Running, sched.Running{Task: id, Run: r.n})
	}
	return rep
}

func (f *Fleet) note(format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
}
