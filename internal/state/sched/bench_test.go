package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// BenchmarkSchedulingPass measures a scheduling pass that starts and ends one
// short job of three tasks on workers that are half in use by other jobs.
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

// BenchmarkPassWithoutFreeClient measures a scheduling pass in which all steps
// but a few wait for one of 30 placement clients, of no or of 20 customers.
func BenchmarkPassWithoutFreeClient(b *testing.B) {
	for _, c := range [][2]int{{50, 0}, {500, 0}, {500, 20}} {
		n, customers := c[0], c[1]
		b.Run(fmt.Sprintf("steps=%d/customers=%d", n, customers), func(b *testing.B) {
			e := readyEngine(b, 350, flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000})
			var names []string
			for i := range 30 {
				names = append(names, fmt.Sprintf("i%02d", i))
			}
			e.SetPlacementClients(names[0], names)
			for _, name := range names {
				e.HandleProbeResult(testTime(0), name, true)
			}
			cfg := *e.config
			for i := range customers {
				cfg.CustomersOn, cfg.Customers = true, append(cfg.Customers, flow.Customer{Name: fmt.Sprint(i), Weight: 1 + float64(i)})
			}
			e.SetConfig(&cfg)
			for i := range n {
				spec := newJobSpec(fmt.Sprintf("a%d", i), "q", taskStep(1, 1000, 400))
				if customers > 0 {
					spec.Customer = fmt.Sprint(i % customers)
				}
				e.AddJob(testTime(0), &flow.Job{Spec: spec})
			}
			e.Schedule(testTime(0))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				e.Schedule(testTime(5))
			}
		})
	}
}

// runPass submits the i-th job, of three short tasks, makes a scheduling pass,
// and reports the job's tasks as started and done.
func runPass(e *Engine, now time.Time, i int) {
	id := fmt.Sprintf("b%d", i)
	e.AddJob(now, &flow.Job{Spec: newJobSpec(id, "q2", taskStep(3, 2000, 640))})
	e.Tick(now)
	e.Schedule(now)
	batch := e.Batch()
	e.HandleCommit(now, batch)
	ended := map[string][]End{}
	for _, o := range e.TakeOutput().Orders {
		if o.Kind == OrderStart {
			e.HandleStartAnswer(now, o, AnswerOK, 0)
			w := e.workers[o.Worker]
			ended[o.Worker] = append(ended[o.Worker], End{Number: w.lastEnd + int64(len(ended[o.Worker])) + 1, Task: o.Task, Run: o.Run})
		}
	}
	for name, ends := range ended {
		w := e.workers[name]
		e.applyEnds(now, w, ends)
	}
	e.HandleCommit(now, e.Batch())
}

// TestPassCostIndependentOfWorkerCount guards against a scheduling pass that
// evaluates every worker, so that its cost grows with their number. It counts
// allocations, because each evaluated worker causes some.
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
		t.Errorf("got %.0f allocations per pass with 48 workers and %.0f with 2000; want at most twice as many", few, many)
	}
}

// halfLoadedEngine returns an engine with n workers, half of whose CPU is used
// by long-running tasks.
func halfLoadedEngine(n int) (*Engine, time.Time) {
	now := time.UnixMilli(1_700_000_000_000)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: 2 * time.Minute}, now)
	e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q2", Policy: flow.Policy{Service: simService, MaxAttempts: 3}}}})
	var list []WorkerInfo
	for i := range n {
		id := fmt.Sprintf("w%05d", i)
		list = append(list, WorkerInfo{ID: id, Addr: id, Service: simService, Capacity: work.Size{CPU: 32000, Memory: 128 << 10}})
	}
	e.SetWorkers(now, list)
	e.Tick(now)
	for _, o := range e.TakeOutput().Orders {
		e.HandlePollReport(now, o, Report{Incarnation: 1, Clock: time.Hour})
	}
	for i := range n {
		st := taskStep(8, 2000, 640)
		st.LongRunning = true
		e.AddJob(now, &flow.Job{Spec: newJobSpec(fmt.Sprintf("l%d", i), "q2", st)})
	}
	for range n/maxStepsPerPass + 2 {
		now = now.Add(10 * time.Millisecond)
		e.Tick(now)
		e.Schedule(now)
		e.HandleCommit(now, e.Batch())
		for _, o := range e.TakeOutput().Orders {
			if o.Kind == OrderStart {
				e.HandleStartAnswer(now, o, AnswerOK, 0)
			}
		}
	}
	return e, now
}
