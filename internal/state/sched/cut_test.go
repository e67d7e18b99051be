package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestWrongEntryGivesNoCrashScore guards against a crash score that stays with a
// task though its worker runs it: an entry of another writer gave the worker the
// address of another one as a new leader first called it.
func TestWrongEntryGivesNoCrashScore(t *testing.T) {
	is := is.New(t)
	now := testTime(0)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, now)
	e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: simService, MaxAttempts: 3}}}})
	spec := newJobSpec("a", "q", taskStep(1, 1000, 500))
	round := flow.NewRound(spec, 0)
	round.Steps[0][0] = flow.Task{Phase: flow.Placed, Run: 1, Worker: "w", Incarnation: 1}
	e.AddJob(now, &flow.Job{Spec: spec, Progress: flow.Progress{State: flow.Active, NextRound: 1, Rounds: []*flow.Round{round}}})
	poll := func(addr string) Order {
		now = now.Add(time.Second)
		e.SetWorkers(now, []WorkerInfo{{ID: "w", Addr: addr, Service: simService, Capacity: work.Size{CPU: 4000, Memory: 4000}, Incarnation: 1}})
		e.Tick(now)
		for _, o := range e.TakeOutput().Orders {
			if o.Kind == OrderPoll {
				return o
			}
		}
		t.Fatal("got no poll")
		return Order{}
	}
	task := &e.jobs["a"].Progress.Rounds[0].Steps[0][0]
	e.HandlePollFailure(now, poll("b:1"), AnswerOtherIncarnation, 0)
	is.Equal(task.CrashScore, 1)
	e.HandlePollReport(now, poll("a:1"), Report{Incarnation: 1, Running: []Running{{Task: TaskID{Job: "a"}, Run: 1}}})
	is.Equal(task.CrashScore, 0)
	is.Equal(task.Phase, flow.Placed)
}

// TestCutsAloneGiveNoTaskUp guards against tasks that are given up although no
// worker has crashed: those that they start on are cut off and leave the list.
func TestCutsAloneGiveNoTaskUp(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		is := is.New(t)
		s := newSim(t, seed, 24)
		s.cutUnlisted, s.gangsDisturbed = true, true
		s.run(time.Second)
		for i := range 400 {
			if i%16 == 8 {
				for k, name := range s.workerNames {
					if w := s.workers[name]; !w.partitioned && (k+i/16)%3 == 0 {
						w.partitioned = true
						s.after(8*time.Second, func() { w.partitioned = false })
					}
				}
			}
			if i%4 == 0 {
				s.submit(newJobSpec(fmt.Sprintf("a%d", i), "q1", taskStep(10, 1500, 800)))
			}
			if i%16 == 0 {
				s.submit(newJobSpec(fmt.Sprintf("b%d", i), "q2", taskStep(10, 1500, 6000)))
				s.submit(newJobSpec(fmt.Sprintf("g%d", i), "q2", gangStep(6, 1500, 3000)))
			}
			s.run(250 * time.Millisecond)
			for _, id := range s.jobIDs {
				if s.progress(id).State == flow.Failed {
					t.Fatalf("seed %d: job %s has failed", seed, id)
				}
			}
		}
		is.Equal(s.violations, nil)
	}
}
