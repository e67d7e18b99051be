package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// deadly is how the tasks of a job crash the workers that start them.
type deadly struct {
	after    time.Duration // from the start to the crash; 0: before the worker answers
	replaced bool          // the worker comes back under another ID at its address
	listed   time.Duration // if not 0: the worker comes back under another ID and address, and its former entry stays in the list for so long
}

// crashDown is how long a worker is away after a crash.
const crashDown = 3 * time.Second

// whenStored stands for the moment at which the crash score of a task is stored.
const whenStored = time.Duration(-1)

// loseLeaderWithScore loses the leader once the stored crash score of the job's
// first task exceeds the given one.
func (s *sim) loseLeaderWithScore(job string, score int) {
	if s.crashScore(job) > score {
		s.engine = nil
		s.after(time.Second, s.startLeader)
		return
	}
	s.after(time.Millisecond, func() { s.loseLeaderWithScore(job, score) })
}

// crashScore returns the stored crash score of the job's first task.
func (s *sim) crashScore(job string) int {
	score := 0
	for _, r := range s.progress(job).Rounds {
		score = r.Steps[0][0].CrashScore
	}
	return score
}

// crashUnder makes the worker crash under a task that it has started.
func (w *simWorker) crashUnder(id TaskID, d deadly) {
	s, incarnation := w.sim, w.incarnation
	s.crashStarts[id]++
	crash := func() {
		if w.incarnation != incarnation {
			return
		}
		s.crashes[id]++
		switch {
		case d.listed > 0:
			w.crashAndMove(d.listed)
		case d.replaced:
			w.crashAndReplace(crashDown)
		default:
			w.crash(crashDown)
		}
		if s.crashHandler != nil {
			s.crashHandler(id)
		}
	}
	if d.after == 0 {
		crash()
		return
	}
	s.after(d.after, crash)
}

// crashAndReplace makes the worker crash for good; another one comes at its
// address.
func (w *simWorker) crashAndReplace(down time.Duration) {
	w.up = false
	w.reboot()
	w.sim.after(down, func() {
		next := w.sim.addWorker(fmt.Sprintf("%s-%d", w.info.ID, w.incarnation), w.info.Rack)
		next.info.Addr = w.info.Addr
		w.successor = next
	})
}

// replaceWorkerOf makes the worker that runs the job's first task crash. Another one
// comes at its address while its entry is still in the list.
func (s *sim) replaceWorkerOf(job string) {
	w := s.runWorkers[runKey{TaskID{Job: job}, 1}]
	if w == nil {
		s.t.Fatalf("no task of job %s has started", job)
	}
	w.listedUntil = s.now.Add(6 * time.Second)
	w.crashAndReplace(500 * time.Millisecond)
}

// crashAndMove makes the worker crash for good; another one comes at another
// address. The worker's entry stays in the list for a while.
func (w *simWorker) crashAndMove(listed time.Duration) {
	w.up, w.listedUntil = false, w.sim.now.Add(listed)
	w.reboot()
	w.sim.after(crashDown, func() { w.sim.addWorker(fmt.Sprintf("%s-%d", w.info.ID, w.incarnation), w.info.Rack) })
}

// answerAsSuccessor answers an order to a worker that another one has replaced.
func (s *sim) answerAsSuccessor(e *Engine, w *simWorker, o Order, reply, onTimeout func(func())) {
	handle := func(a Answer) {
		switch o.Kind {
		case OrderStart:
			e.HandleStartAnswer(s.now, o, a, 0)
		case OrderStop:
			e.HandleStopAnswer(s.now, o, a, 0)
		case OrderPoll:
			e.HandlePollFailure(s.now, o, a, 0)
		}
	}
	onTimeout(func() { handle(AnswerNone) })
	s.after(simLatency, func() {
		if w.successor.reachable() {
			reply(func() { handle(AnswerOtherIncarnation) })
		}
	})
}

// TestTaskThatCrashesWorkersIsGivenUp guards against a task that is started
// without end though each worker that starts it crashes.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	tests := []struct {
		name      string
		how       deadly
		step      flow.Step
		lose      time.Duration // after each of the first two crashes the leader is lost this much later, or whenStored; 0: never
		maxStarts int
	}{
		{"worker replaced", deadly{after: 10 * time.Millisecond, replaced: true}, taskStep(1, 2000, 700), 0, 2},
		{"worker restarted", deadly{after: 10 * time.Millisecond}, taskStep(1, 2000, 700), 0, 2},
		{"gang", deadly{after: 10 * time.Millisecond, replaced: true}, gangStep(4, 9000, 700), 0, 2},
		{"long-running", deadly{after: 10 * time.Millisecond, replaced: true}, longRunningStep(), 0, 2},
		{"leader lost before the worker is back", deadly{after: 10 * time.Millisecond, replaced: true}, taskStep(1, 2000, 700), 500 * time.Millisecond, 4},
		{"leader lost before the restart", deadly{after: 10 * time.Millisecond}, taskStep(1, 2000, 700), 500 * time.Millisecond, 4},
		{"leader lost before the task starts again", deadly{after: 10 * time.Millisecond, replaced: true}, taskStep(1, 2000, 700), whenStored, 2},
		{"start unanswered", deadly{replaced: true}, taskStep(1, 2000, 700), 0, 5},
		{"start unanswered, worker restarted", deadly{}, taskStep(1, 2000, 700), 0, 5},
		{"crash one second later", deadly{after: time.Second, replaced: true}, taskStep(1, 2000, 700), 0, 5},
		{"worker listed for less than its lease", deadly{after: 10 * time.Millisecond, listed: 3 * time.Second}, taskStep(1, 2000, 700), 0, 5},
		{"worker listed for longer than its lease", deadly{after: 10 * time.Millisecond, listed: 9 * time.Second}, taskStep(1, 2000, 700), 0, 5},
		{"crash five seconds later", deadly{after: 5 * time.Second, replaced: true}, taskStep(1, 2000, 7000), 0, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 12)
			s.run(time.Second)
			losses := 0
			s.crashHandler = func(TaskID) {
				if tt.lose == 0 || losses == 2 {
					return
				}
				losses++
				if tt.lose == whenStored {
					s.loseLeaderWithScore("deadly", s.crashScore("deadly"))
					return
				}
				s.after(tt.lose, func() { s.engine = nil })
				s.after(tt.lose+time.Second, s.startLeader)
			}
			s.deadly["deadly"] = tt.how
			s.submit(newJobSpec("deadly", "q1", tt.step))
			// The jobs that other callers submit run on the workers that crash.
			for i := range 400 {
				if i%10 == 0 {
					s.submit(newJobSpec(fmt.Sprintf("a%d", i), "q1", taskStep(6, 1500, 800)))
				}
				s.run(250 * time.Millisecond)
			}
			s.run(10 * time.Second)
			if len(s.violations) > 0 {
				t.Errorf("invariant violated: %s", s.violations[0])
			}
			is.Equal(s.progress("deadly").State, flow.Failed)
			is.Equal(s.term > 1, tt.lose != 0)
			for id, n := range s.crashStarts {
				if n > tt.maxStarts {
					t.Errorf("%v: got %d starts, want at most %d", id, n, tt.maxStarts)
				}
			}
			for _, id := range s.jobIDs {
				if st := s.progress(id).State; id != "deadly" && !s.jobs[id].removed && st != flow.Complete {
					t.Errorf("job %s beside the task: got state %v, want complete", id, st)
				}
			}
		})
	}
}

func longRunningStep() flow.Step {
	st := taskStep(1, 2000, 700)
	st.LongRunning = true
	return st
}

// TestUnansweredStartIsNotRepeatedToRestartedWorker guards against one run of a
// task that crashes a worker twice: its start got no answer since the worker
// crashed, and goes to the worker's next incarnation.
func TestUnansweredStartIsNotRepeatedToRestartedWorker(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, now)
	e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: "s", MaxAttempts: 3}}}})
	list := func(incarnation int64) {
		e.SetWorkers(now, []WorkerInfo{{ID: "w", Addr: "w", Service: "s", Capacity: work.Size{CPU: 4000, Memory: 4000}, Incarnation: incarnation}})
	}
	orders := func(kind OrderKind) []Order {
		now = now.Add(time.Second)
		e.Tick(now)
		var out []Order
		for _, o := range e.TakeOutput().Orders {
			is.True(o.Kind != OrderStart) // to another incarnation
			if o.Kind == kind {
				out = append(out, o)
			}
		}
		return out
	}
	list(1)
	polls := orders(OrderPoll)
	is.Equal(len(polls), 1)
	e.HandlePollReport(now, polls[0], Report{Incarnation: 1})
	e.AddJob(now, &flow.Job{Spec: &flow.Spec{ID: "a", Queue: "q", Steps: []flow.Step{taskStep(1, 1000, 500)}, Policy: flow.Policy{Service: "s", MaxAttempts: 3}}})
	e.Schedule(now)
	e.HandleCommit(now, e.Batch())
	out := e.TakeOutput().Orders
	is.Equal(len(out), 1)
	is.Equal(out[0].Kind, OrderStart)
	start := out[0]

	polls = orders(OrderPoll)
	is.Equal(len(polls), 1)
	e.HandlePollFailure(now, polls[0], AnswerNone, 0)
	e.HandleStartAnswer(now, start, AnswerNone, 0)
	is.Equal(len(e.TakeOutput().Orders), 0) // the worker may have crashed
	list(2)
	polls = orders(OrderPoll)
	is.Equal(len(polls), 1)
	e.HandlePollReport(now, polls[0], Report{Incarnation: 2})
	for _, o := range e.TakeOutput().Orders {
		is.True(o.Kind != OrderStart)
	}
	is.Equal(len(orders(OrderStart)), 0)
}

// TestStartIsNotSentToRestartedWorker guards against a start, stored for one
// incarnation of a worker, that goes to the next one and counts as its crash.
func TestStartIsNotSentToRestartedWorker(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 1, flow.PlacementService{})
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("a", "q", taskStep(1, 1000, 500))})
	e.Schedule(testTime(0))
	w := e.workersByID[0]
	is.Equal(len(w.runs), 1)
	info := w.WorkerInfo
	info.Incarnation = 2
	e.SetWorkers(testTime(10), []WorkerInfo{info})
	e.HandleCommit(testTime(20), e.Batch())
	for _, o := range e.TakeOutput().Orders {
		is.True(o.Kind != OrderStart)
	}
	is.Equal(len(w.runs), 0)
}

// TestTasksOnCrashingWorkersComplete guards against tasks that are given up
// because the workers under them crash for another reason, or are only cut off
// or shut down.
func TestTasksOnCrashingWorkersComplete(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(s *sim, w *simWorker)
		scores  bool // tasks may have crash scores afterwards
	}{
		{"rack restarts", func(_ *sim, w *simWorker) { w.crash(3 * time.Second) }, true},
		{"rack is replaced", func(_ *sim, w *simWorker) { w.crashAndReplace(3 * time.Second) }, true},
		{"rack is cut off", func(s *sim, w *simWorker) {
			w.partitioned = true
			s.after(9*time.Second, func() { w.partitioned = false })
		}, true},
		{"rack is cut off briefly", func(s *sim, w *simWorker) {
			w.partitioned = true
			s.after(3*time.Second, func() { w.partitioned = false })
		}, false},
		{"rack is shut down", func(s *sim, w *simWorker) {
			w.info.Draining = true
			s.after(2*time.Second, func() { w.crashAndReplace(3 * time.Second) })
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSim(t, 1, 24)
			s.cutUnlisted = true
			s.run(time.Second)
			scored := 0
			for i := range 240 {
				if i%60 == 20 {
					for _, name := range slices.Clone(s.workerNames) {
						if w := s.workers[name]; w.up && w.info.Rack == "r1-1" {
							tt.disturb(s, w)
						}
					}
				}
				if i%2 == 0 {
					s.submit(newJobSpec(fmt.Sprintf("a%d", i), "q1", taskStep(10, 1500, 800)))
				}
				if i%8 == 0 {
					s.submit(newJobSpec(fmt.Sprintf("b%d", i), "q2", taskStep(10, 3000, 5000)))
				}
				s.run(250 * time.Millisecond)
				for j := range s.engine.liveJobs {
					for _, r := range j.runs {
						scored += r.task.CrashScore
					}
				}
			}
			s.run(30 * time.Second)
			if len(s.violations) > 0 {
				t.Errorf("invariant violated: %s", s.violations[0])
			}
			if scored > 0 && !tt.scores {
				t.Errorf("sum of crash scores: got %d, want 0", scored)
			}
			for _, id := range s.jobIDs {
				if st := s.progress(id).State; !s.jobs[id].removed && st != flow.Complete {
					t.Errorf("job %s: got state %v, want complete", id, st)
				}
			}
		})
	}
}

// TestTasksOfReplacedWorkerWaitForItsLeases guards against tasks that don't run
// though it is known that their worker has crashed: another one answers at its
// address, seconds before the leases that it had expire.
func TestTasksOfReplacedWorkerWaitForItsLeases(t *testing.T) {
	for name, st := range map[string]flow.Step{"tasks": taskStep(4, 2000, 6000), "gang": gangStep(4, 9000, 6000)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 8)
			s.gangsDisturbed = true
			s.params.MaxLease = 10 * time.Second
			s.engine = nil
			s.startLeader()
			s.run(16 * time.Second)
			s.submit(newJobSpec("a", "q1", st))
			s.run(time.Second)
			crashed := s.runWorkers[runKey{TaskID{Job: "a"}, 1}]
			is.True(crashed != nil)
			crashed.crashAndReplace(crashDown)
			s.run(crashDown + 1500*time.Millisecond)
			w, r := s.findMember(TaskID{Job: "a"}, 2)
			is.True(r != nil) // runs again
			is.True(w != crashed)
			s.run(30 * time.Second)
			is.Equal(s.progress("a").State, flow.Complete)
			if len(s.violations) > 0 {
				t.Errorf("invariant violated: %s", s.violations[0])
			}
		})
	}
}

// TestEarlierNeighbourOfCrashIsNotGivenUp guards against a task that is given up
// after two or three crashes though on each worker another task had started after
// it.
func TestEarlierNeighbourOfCrashIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, now)
	e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: "s", MaxAttempts: 3}}}})
	orders := func(kind OrderKind) []Order {
		e.Tick(now)
		e.Schedule(now)
		e.HandleCommit(now, e.Batch())
		var out []Order
		for _, o := range e.TakeOutput().Orders {
			if o.Kind == kind {
				out = append(out, o)
			}
		}
		return out
	}
	start := func(id string) {
		for _, o := range orders(OrderStart) {
			is.Equal(o.Task.Job, id)
			e.HandleStartAnswer(now, o, AnswerOK, 0)
			return
		}
		t.Fatalf("no start of job %s", id)
	}
	submit := func(id string) {
		e.AddJob(now, &flow.Job{Spec: &flow.Spec{ID: id, Queue: "q", Steps: []flow.Step{taskStep(1, 1000, 500)}, Policy: flow.Policy{Service: "s", MaxAttempts: 3}}})
	}
	submit("a")
	for _, id := range []string{"w1", "w2", "w3"} {
		now = now.Add(time.Second)
		e.SetWorkers(now, []WorkerInfo{{ID: id, Addr: "x", Service: "s", Capacity: work.Size{CPU: 4000, Memory: 4000}, Incarnation: 1}})
		polls := orders(OrderPoll)
		is.Equal(len(polls), 1)
		e.HandlePollReport(now, polls[0], Report{Incarnation: 1})
		start("a")
		now = now.Add(60 * time.Millisecond)
		polls = orders(OrderPoll)
		is.Equal(len(polls), 1)
		submit("b-" + id)
		start("b-" + id)
		now = now.Add(10 * time.Millisecond)
		e.HandlePollFailure(now, polls[0], AnswerOtherIncarnation, 0)
		is.Equal(e.jobs["a"].State, flow.Active) // after crashes of w1 to w3
		e.Cancel(now, "b-"+id)
	}
}
