package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestRunsOfReplacedWorkerWaitForLeases guards against tasks that stay idle until
// their leases expire although another worker already answers at the address of
// theirs.
func TestRunsOfReplacedWorkerWaitForLeases(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	s.run(time.Second)
	s.submit(newJobSpec("a", "q1", taskStep(1, 2000, 5000)))
	s.run(time.Second)
	task := func() *flow.Task { return &s.engine.jobs["a"].Progress.Rounds[0].Steps[0][0] }
	is.Equal(task().Phase, flow.Placed)
	is.Equal(task().Run, 1)
	s.workers[task().Worker].crashAndReplace(2 * time.Second)
	s.run(2*time.Second + maxPollRetryPause + 500*time.Millisecond)
	is.Equal(task().Phase, flow.Placed)
	is.Equal(task().Run, 2)
	s.run(20 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(s.progress("a").State, flow.Complete)
}

// TestOtherAddressEndsNoRuns guards against runs that are taken for ended because
// an entry of another writer gives their worker the address of another one.
func TestOtherAddressEndsNoRuns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, now)
	e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: "s", MaxAttempts: 3}}}})
	poll := func(addr string) Order {
		now = now.Add(time.Second)
		e.SetWorkers(now, []WorkerInfo{{ID: "w", Addr: addr, Service: "s", Capacity: work.Size{CPU: 4000, Memory: 4000}, Incarnation: 1}})
		e.Tick(now)
		for _, o := range e.TakeOutput().Orders {
			if o.Kind == OrderPoll {
				return o
			}
		}
		t.Fatal("got no poll")
		return Order{}
	}
	e.HandlePollReport(now, poll("a:1"), Report{Incarnation: 1})
	e.AddJob(now, &flow.Job{Spec: &flow.Spec{ID: "a", Queue: "q", Steps: []flow.Step{taskStep(1, 1000, 500)}, Policy: flow.Policy{Service: "s", MaxAttempts: 3}}})
	e.Schedule(now)
	e.HandleCommit(now, e.Batch())
	orders := e.TakeOutput().Orders
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Kind, OrderStart)
	e.HandleStartAnswer(now, orders[0], AnswerOK, 0)

	e.HandlePollFailure(now, poll("a:1"), AnswerNone, 0)
	e.HandlePollFailure(now, poll("b:1"), AnswerOtherIncarnation, 0)
	is.Equal(len(e.workers["w"].runs), 1)
	e.HandlePollFailure(now, poll("a:1"), AnswerOtherIncarnation, 0)
	is.Equal(len(e.workers["w"].runs), 0)
}

// TestOnlyKnownAddressEndsAdoptedRuns guards against runs of an earlier leader that
// are taken for ended because another worker answers at an address where theirs had
// never answered, and against runs that wait for their leases though their worker,
// which has left the list, is known to be gone.
func TestOnlyKnownAddressEndsAdoptedRuns(t *testing.T) {
	tests := []struct {
		name   string
		listed string // address of the worker's entry, empty if it has none
		polled string
		runs   int // after another worker has answered there
	}{
		{"same address", "a:1", "a:1", 0},
		{"other address", "b:1", "b:1", 1},
		{"not listed", "", "a:1", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, now)
			e.SetConfig(&flow.Config{})
			e.AddJob(now, &flow.Job{Spec: newJobSpec("a", "q", taskStep(1, 1000, 500)), Progress: flow.Progress{State: flow.Active, NextRound: 1, Rounds: []*flow.Round{
				{Steps: [][]flow.Task{{{Phase: flow.Placed, Run: 1, Worker: "w", Incarnation: 1, WorkerAddr: "a:1"}}}, Unfinished: 1},
			}}})
			if tt.listed != "" {
				e.SetWorkers(now, []WorkerInfo{{ID: "w", Addr: tt.listed, Service: "s", Capacity: work.Size{CPU: 4000, Memory: 4000}, Incarnation: 1}})
			}
			e.Tick(now)
			polls := e.TakeOutput().Orders
			is.Equal(len(polls), 1)
			is.Equal(polls[0].Addr, tt.polled)
			is.Equal(polls[0].LeaseExpiry, int64(0))
			e.HandlePollFailure(now, polls[0], AnswerOtherIncarnation, 0)
			is.Equal(len(e.workers["w"].runs), tt.runs)
		})
	}
}

// TestRunOnReplacedWorkerEndsThoughLeadersChange guards against tasks that don't
// run for as long as leaders follow each other: each of them finds another worker
// at the address of a task's worker, and waits anew for the leases that earlier
// leaders may have granted.
func TestRunOnReplacedWorkerEndsThoughLeadersChange(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 8)
	s.run(16 * time.Second)
	s.submit(newJobSpec("a", "q1", taskStep(20, 2000, 6000)))
	s.run(time.Second)
	s.replaceWorkerOf("a")
	for range 3 {
		s.engine = nil
		s.run(time.Second)
		s.startLeader()
		s.run(7 * time.Second)
	}
	is.True(s.runWorkers[runKey{TaskID{Job: "a"}, 2}] != nil) // started again, settleTime after the crash at the latest
	s.run(20 * time.Second)
	is.Equal(s.progress("a").State, flow.Complete)
}
