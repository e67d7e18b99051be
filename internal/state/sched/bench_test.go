package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// BenchmarkSchedulingPass measures one pass of decisions that starts and ends one quick
// job of three tasks, beside a cluster that is half in use.
func BenchmarkSchedulingPass(b *testing.B) {
	for _, n := range []int{48, 350, 16000} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			e, now := halfLoadedEngine(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(10 * time.Millisecond)
				runPass(e, now, i)
			}
		})
	}
}

// runPass starts and ends one quick job of three tasks.
func runPass(e *Engine, now time.Time, i int) {
	id := fmt.Sprintf("b%d", i)
	e.AddJob(now, &flow.Job{Spec: simJob(id, "q2", tasks(3, 2000, 640))})
	e.Tick(now)
	e.Decide(now)
	batch := e.Batch()
	e.Committed(now, batch)
	ended := map[string][]End{}
	for _, o := range e.Take().Orders {
		if o.Kind == OrderStart {
			e.Started(now, o, AnswerOK, 0)
			w := e.workers[o.Worker]
			ended[o.Worker] = append(ended[o.Worker], End{Number: w.lastEnd + int64(len(ended[o.Worker])) + 1, Task: o.Task, Run: o.Run})
		}
	}
	for name, ends := range ended {
		w := e.workers[name]
		e.applyEnds(now, w, ends)
	}
	e.Committed(now, e.Batch())
}

// TestPassCostIndependentOfWorkerCount checks that a pass of decisions does not grow with the number of
// workers, by its allocations: each look at a worker makes some.
func TestPassCostIndependentOfWorkerCount(t *testing.T) {
	allocsPerPass := func(n int) float64 {
		e, now := halfLoadedEngine(n)
		i := 0
		return testing.AllocsPerRun(50, func() {
			now = now.Add(10 * time.Millisecond)
			runPass(e, now, i)
			i++
		})
	}
	few, many := allocsPerPass(48), allocsPerPass(2000)
	if many > 2*few {
		t.Errorf("a pass makes %.0f allocations beside 48 workers and %.0f beside 2000", few, many)
	}
}

// halfLoadedEngine gives an engine with n workers, each half full of lasting tasks.
func halfLoadedEngine(n int) (*Engine, time.Time) {
	now := time.UnixMilli(1_700_000_000_000)
	e := New(Params{LeaseMax: 6 * time.Second, LeaderMax: 4 * time.Second, KeepFor: 2 * time.Minute}, now)
	e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q2", Policy: flow.Policy{Service: simService, MaxAttempts: 3}}}})
	var list []WorkerInfo
	for i := range n {
		id := fmt.Sprintf("w%05d", i)
		list = append(list, WorkerInfo{ID: id, Addr: id, Service: simService, Capacity: work.Size{CPU: 32000, Memory: 128 << 10}})
	}
	e.SetWorkers(now, list)
	e.Tick(now)
	for _, o := range e.Take().Orders {
		e.Held(now, o, Report{Boot: 1, Clock: time.Hour})
	}
	for i := range n {
		st := tasks(8, 2000, 640)
		st.Lasting = true
		e.AddJob(now, &flow.Job{Spec: simJob(fmt.Sprintf("l%d", i), "q2", st)})
	}
	for range n/maxStepsPerPass + 2 {
		now = now.Add(10 * time.Millisecond)
		e.Tick(now)
		e.Decide(now)
		e.Committed(now, e.Batch())
		for _, o := range e.Take().Orders {
			if o.Kind == OrderStart {
				e.Started(now, o, AnswerOK, 0)
			}
		}
	}
	return e, now
}
