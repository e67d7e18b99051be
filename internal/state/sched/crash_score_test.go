package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestCrashIsCountedOnceByLeadersInSuccession guards against jobs that are given
// up because each of several leaders counts the same crash of a worker: another
// worker answers at its address while its entry is still listed.
func TestCrashIsCountedOnceByLeadersInSuccession(t *testing.T) {
	for name, st := range map[string]flow.Step{"tasks": taskStep(20, 2000, 6000), "gang": gangStep(8, 9000, 6000), "long-running": longRunningStep()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 8)
			s.gangsDisturbed = true
			s.run(16 * time.Second)
			s.submit(newJobSpec("a", "q1", st))
			s.run(time.Second)
			s.replaceWorkerOf("a")
			for range 6 {
				s.engine = nil
				s.run(400 * time.Millisecond)
				s.startLeader()
				s.run(400 * time.Millisecond)
			}
			is.True(s.crashScore("a") > 0) // the crash was counted at all
			s.run(40 * time.Second)
			if len(s.violations) > 0 {
				t.Errorf("invariant violated: %s", s.violations[0])
			}
			want := flow.Complete
			if st.LongRunning {
				want = flow.Active
			}
			is.Equal(s.progress("a").State, want)
		})
	}
}

// succession is a series of leaders with one job, of which a task is placed on a
// worker whose address is not known.
type succession struct {
	is       *is.I
	now      time.Time
	progress flow.Progress // as stored
}

func newSuccession(t *testing.T) *succession {
	return &succession{is: is.New(t), now: time.Unix(1_800_000_000, 0), progress: flow.Progress{State: flow.Active, NextRound: 1, Rounds: []*flow.Round{
		{Steps: [][]flow.Task{{{Phase: flow.Placed, Run: 1, Worker: "w", Incarnation: 1}}}, Unfinished: 1},
	}}}
}

// lead begins a term and returns the engine and its poll of the worker.
func (s *succession) lead() (*Engine, Order) {
	s.now = s.now.Add(time.Second)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, s.now)
	e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: "s", MaxAttempts: 3}}}})
	spec := &flow.Spec{ID: "a", Queue: "q", Steps: []flow.Step{taskStep(1, 1000, 500)}, Policy: flow.Policy{Service: "s", MaxAttempts: 3}}
	e.AddJob(s.now, &flow.Job{Spec: spec, Progress: s.progress})
	e.SetWorkers(s.now, []WorkerInfo{{ID: "w", Addr: "w", Service: "s", Capacity: work.Size{CPU: 4000, Memory: 4000}, Incarnation: 1}})
	e.Tick(s.now)
	polls := e.TakeOutput().Orders
	s.is.Equal(len(polls), 1)
	return e, polls[0]
}

// store stores what the leader has changed and returns the task's crash score.
func (s *succession) store(e *Engine) int {
	b := e.Batch()
	e.HandleCommit(s.now, b)
	for _, c := range b.Changes {
		p, err := flow.DecodeProgress(c.Data)
		s.is.NoErr(err)
		s.progress = p
	}
	return s.progress.Rounds[0].Steps[0][0].CrashScore
}

// TestCrashIsCountedOnceWhileRunStaysPlaced guards against a job that is given up
// for one crash while its run stays placed, since no leader knows where its worker
// has answered.
func TestCrashIsCountedOnceWhileRunStaysPlaced(t *testing.T) {
	s := newSuccession(t)
	for range 6 {
		e, poll := s.lead()
		e.HandlePollFailure(s.now, poll, AnswerOtherIncarnation, 0)
		s.is.Equal(s.store(e), 1)
	}
	s.is.Equal(s.progress.State, flow.Active)
	s.is.Equal(s.progress.Rounds[0].Steps[0][0].Phase, flow.Placed)
}

// TestLaterLeaderWithdrawsCrashScore guards against a score that a task keeps, for
// a crash that never happened, because the leader has changed before the worker
// answers again.
func TestLaterLeaderWithdrawsCrashScore(t *testing.T) {
	s := newSuccession(t)
	e, poll := s.lead()
	e.HandlePollFailure(s.now, poll, AnswerOtherIncarnation, 0) // the entry's address is wrong
	s.is.Equal(s.store(e), 1)

	e, poll = s.lead()
	e.HandlePollReport(s.now, poll, Report{Incarnation: 1, Running: []Running{{Task: TaskID{Job: "a"}, Run: 1}}})
	s.is.Equal(s.store(e), 0)

	e, poll = s.lead()
	e.HandlePollFailure(s.now, poll, AnswerOtherIncarnation, 0)
	s.is.Equal(s.store(e), 1) // a crash after that counts
}

// TestOnlyAddedCrashScoreIsWithdrawn guards against a withdrawal of a score that
// the crash had not added, which lowers the score for other crashes.
func TestOnlyAddedCrashScoreIsWithdrawn(t *testing.T) {
	is := is.New(t)
	spec := &flow.Spec{ID: "a", Queue: "q", Steps: []flow.Step{taskStep(1, 1000, 500)}, Policy: flow.Policy{Service: "s", MaxAttempts: 3}}
	now := time.Unix(1_800_000_000, 0)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, now)
	e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: "s", MaxAttempts: 3}}}})
	e.AddJob(now, &flow.Job{Spec: spec, Progress: flow.Progress{State: flow.Active, NextRound: 1, Rounds: []*flow.Round{{Unfinished: 1, Steps: [][]flow.Task{{
		{Phase: flow.Placed, Run: 2, Worker: "w", Incarnation: 1, CrashScore: 2, LastCrashedRun: 1, LastCrashScore: 2},
	}}}}}})
	e.SetWorkers(now, []WorkerInfo{{ID: "w", Addr: "w", Service: "s", Capacity: work.Size{CPU: 4000, Memory: 4000}, Incarnation: 1}})
	poll := func() Order {
		now = now.Add(5 * time.Second)
		e.Tick(now)
		for _, o := range e.TakeOutput().Orders {
			if o.Kind == OrderPoll {
				return o
			}
		}
		t.Fatal("no poll")
		return Order{}
	}
	running := Report{Incarnation: 1, Running: []Running{{Task: TaskID{Job: "a"}, Run: 2}}}
	e.HandlePollReport(now, poll(), running)
	e.HandlePollReport(now, poll(), running)
	r := e.workers["w"].runs[TaskID{Job: "a"}]
	e.stopRun(now, r, "a member of the gang is gone")
	for _, o := range e.TakeOutput().Orders {
		e.HandleStopAnswer(now, o, AnswerNone, 0)
	}
	e.HandlePollFailure(now, poll(), AnswerOtherIncarnation, 0)
	is.True(r.crashRecorded)
	is.Equal(r.task.CrashScore, 2) // the run was old and being stopped
	e.HandlePollReport(now, poll(), running)
	is.Equal(r.task.CrashScore, 2)
}
