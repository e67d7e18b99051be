package sched

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestCommitAfterWorkerIsRemoved guards against a panic when a batch with an
// acknowledged end is stored after the end's worker has been removed: the
// worker is no longer in the queue of checks.
func TestCommitAfterWorkerIsRemoved(t *testing.T) {
	tests := []struct {
		name    string
		removed []string
		relist  bool // the worker is listed again before the batch is stored
	}{
		{"last of the queue", []string{"w2"}, false},
		{"all workers", []string{"w0", "w1", "w2"}, false},
		{"listed again", []string{"w2"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, now)
			var all, kept []WorkerInfo
			for _, id := range []string{"w0", "w1", "w2"} {
				info := WorkerInfo{ID: id, Addr: id, Service: "s", Capacity: work.Size{CPU: 1000, Memory: 1000}}
				all = append(all, info)
				if !slices.Contains(tt.removed, id) {
					kept = append(kept, info)
				}
			}
			e.SetWorkers(now, all)
			e.Tick(now)
			for _, o := range e.TakeOutput().Orders {
				e.HandlePollReport(now, o, Report{Incarnation: 1, Ended: []End{{Number: 1, Task: TaskID{Job: "a"}, Run: 1}}})
			}
			b := e.Batch()
			is.Equal(len(b.acks), len(all))

			now = now.Add(time.Second)
			e.SetWorkers(now, kept)
			now = now.Add(unlistedGrace + time.Millisecond)
			e.SetWorkers(now, kept)
			is.Equal(e.Workers(), len(kept))
			if tt.relist {
				e.SetWorkers(now, all)
			}
			e.HandleCommit(now, b)

			// The ends of a worker that is gone are acknowledged to nobody.
			e.Tick(now)
			for _, o := range e.TakeOutput().Orders {
				is.True(!slices.Contains(tt.removed, o.Worker) || o.AckedEnd == 0)
			}
		})
	}
}
