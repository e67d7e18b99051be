package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestCallNames checks how many workers the first call about a step names: as
// many as it should need, and more while they add little to the call's length.
func TestCallNames(t *testing.T) {
	tests := []struct {
		name   string
		count  int
		cpu    int64
		advice flow.Advice
		want   int
	}{
		{"narrow step, dear call", 1, 1000, flow.Advice{CallMs: 300, WorkerMs: 4, ValidMs: 2000}, 18},
		{"narrow step, cheap call", 1, 1000, flow.Advice{CallMs: 4, WorkerMs: 4, ValidMs: 2000}, minAsked},
		{"naming costs nothing", 1, 1000, flow.Advice{CallMs: 4, ValidMs: 2000}, maxAsked},
		{"wide step", 60, 9000, flow.Advice{CallMs: 300, WorkerMs: 4, ValidMs: 2000}, maxAsked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := readyEngine(t, 48, tt.advice)
			j := simJob("a", "q", tasks(tt.count, tt.cpu, 400))
			now := at(0)
			e.AddJob(now, &flow.Job{Spec: j})
			e.Tick(now)
			e.Decide(now)
			out := e.Take()
			is.Equal(len(out.Asks), 1)
			is.Equal(len(out.Asks[0].Workers), tt.want)
		})
	}
}

func at(ms int) time.Time { return time.UnixMilli(1e9).Add(time.Duration(ms) * time.Millisecond) }

// readyEngine gives an engine with idle workers of 32 cores that have answered,
// one queue whose steps need advice, and three callers.
func readyEngine(t *testing.T, workers int, adv flow.Advice) *Engine {
	t.Helper()
	now := at(-100)
	e := New(Params{LeaseMax: 6 * time.Second, LeaderMax: 4 * time.Second, KeepFor: time.Minute}, now)
	e.SetConfig(&flow.Config{Version: 1, Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: simService, MaxAttempts: 3, Advice: adv}}}})
	e.SetCallers([]string{"i0", "i1", "i2"})
	var list []WorkerInfo
	for i := range workers {
		list = append(list, WorkerInfo{ID: fmt.Sprintf("w%02d", i), Addr: "x", Service: simService, Capacity: work.Size{CPU: 32000, Memory: 128 << 10}, Boot: 1})
	}
	e.SetWorkers(now, list)
	e.Tick(now)
	for _, o := range e.Take().Orders {
		e.Held(now, o, Report{Boot: 1, Clock: time.Second})
	}
	return e
}
