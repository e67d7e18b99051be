package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// newJobSpec returns a job for a queue of the simulation.
func newJobSpec(id, queue string, steps ...flow.Step) *flow.Spec {
	s := &flow.Spec{ID: id, Queue: queue, Steps: steps}
	s.Policy = flow.Policy{Service: simService, MaxAttempts: 3}
	return s
}

// taskStep returns a step of n tasks, each of cpu thousandths of a core and
// with an estimated run time in ms.
func taskStep(n int, cpu, ms int64) flow.Step {
	return flow.Step{Count: n, Size: work.Size{CPU: cpu, Memory: 1000}, EstimateMs: ms}
}

func gangStep(n int, cpu, ms int64) flow.Step {
	st := taskStep(n, cpu, ms)
	st.Gang = true
	return st
}

func withDependencies(st flow.Step, steps ...int) flow.Step {
	st.After = steps
	return st
}

// TestJobShapesComplete checks that jobs of every shape complete without
// violating an invariant if there are no faults: with dependent steps, gangs, a
// limit of tasks per worker, and tickets.
func TestJobShapesComplete(t *testing.T) {
	spread := taskStep(6, 500, 300)
	spread.MaxPerWorker = 1
	tests := []struct {
		name  string
		queue string
		steps []flow.Step
	}{
		{"one task", "q2", []flow.Step{taskStep(1, 1000, 100)}},
		{"wide", "q2", []flow.Step{taskStep(200, 2000, 500)}},
		{"chain", "q2", []flow.Step{taskStep(3, 1000, 100), withDependencies(taskStep(5, 1000, 200), 0), withDependencies(taskStep(1, 1000, 50), 0, 1)}},
		{"gang", "q2", []flow.Step{gangStep(12, 9000, 600)}},
		{"spread", "q2", []flow.Step{spread}},
		{"with tickets", "q1", []flow.Step{taskStep(10, 2000, 400), withDependencies(taskStep(2, 100, 100), 0)}},
		{"gang with tickets", "q0", []flow.Step{gangStep(8, 9000, 600)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 12)
			s.allowedShare = 0.5
			s.run(time.Second)
			s.submit(newJobSpec("a", tt.queue, tt.steps...))
			s.run(15 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("a").State, flow.Complete)
		})
	}
}

// TestTasksRestartAfterLeaseExpiry checks that the tasks of a worker that never
// answers again restart on another worker, and guards against a restart before
// the lease has expired: a partitioned worker runs its tasks until then.
func TestTasksRestartAfterLeaseExpiry(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut=%v", partitioned), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 2, 2)
			s.run(time.Second)
			s.submit(newJobSpec("a", "q2", taskStep(40, 1000, 3000)))
			s.run(time.Second)
			if partitioned {
				s.workers["w00"].partitioned = true
			} else {
				s.workers["w00"].up = false
			}
			s.run(25 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("a").State, flow.Complete)
		})
	}
}

// TestJobQueuedUntilTaskStarts checks that a job stays queued until one of its
// tasks has started. It guards against a job shown as active when a task has
// only been placed and the start order is lost.
func TestJobQueuedUntilTaskStarts(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 3, 1)
	s.run(time.Second)
	s.orderLossRate = 1
	s.submit(newJobSpec("a", "q2", taskStep(1, 1000, 300)))
	s.run(200 * time.Millisecond)
	is.Equal(s.progress("a").State, flow.Queued)
	s.orderLossRate = 0
	s.run(time.Second)
	is.Equal(s.progress("a").State, flow.Active)
	s.run(2 * time.Second)
	is.Equal(s.progress("a").State, flow.Complete)
}

// TestFailingWorkerCostsNoAttempts guards against jobs that fail because a
// worker on which every task fails uses up all their attempts. The worker was
// the fastest before, so the scheduler prefers it.
func TestFailingWorkerCostsNoAttempts(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 4, 6)
	s.workers["w00"].speed = 8
	s.run(time.Second)
	for i := range 80 {
		if i == 40 {
			s.workers["w00"].tasksFail = true
		}
		s.submit(newJobSpec(fmt.Sprintf("a%d", i), "q2", taskStep(2, 1000, 400)))
		s.run(100 * time.Millisecond)
	}
	s.run(10 * time.Second)
	is.Equal(s.violations, nil)
	for _, id := range s.jobIDs {
		is.Equal(s.progress(id).State, flow.Complete)
	}
}

// TestFailedTaskRestartsOnOtherWorker checks that a task that failed is retried
// on another worker, even if the first is estimated to be far faster.
func TestFailedTaskRestartsOnOtherWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 5, 2)
	s.run(time.Second)
	s.engine.workers["w00"].LogSlowdown = -4
	s.workers["w00"].tasksFail = true
	s.submit(newJobSpec("a", "q2", taskStep(1, 1000, 400)))
	s.run(5 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(s.ackedFailures[TaskID{Job: "a"}], 1)
	is.Equal(s.progress("a").State, flow.Complete)
}

// TestFailedTaskRestartsOnOnlySuitableWorker guards against a failed task that
// never starts again because only the worker on which it failed can run it.
func TestFailedTaskRestartsOnOnlySuitableWorker(t *testing.T) {
	labelled := taskStep(1, 1000, 400)
	labelled.Label = "special"
	tests := []struct {
		name  string
		queue string
		step  flow.Step
		setUp func(s *sim)
	}{
		{"only one has the label", "q2", labelled, func(s *sim) { s.workers["w00"].info.Labels = []string{"special"} }},
		{"only one is large enough", "q2", taskStep(1, 40000, 400), func(s *sim) { s.workers["w00"].info.Capacity.CPU = 48000 }},
		{"the placement service allows only one", "q1", taskStep(1, 1000, 400), func(s *sim) { s.allowedShare = 0.5 }},
		{"the gang needs all", "q2", gangStep(4, 15000, 400), func(*sim) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 11, 2)
			tt.setUp(s)
			s.run(time.Second)
			s.taskFailureRate = 1
			s.submit(newJobSpec("a", tt.queue, tt.step))
			for s.ackedFailures[TaskID{Job: "a"}] == 0 {
				s.run(10 * time.Millisecond)
			}
			s.taskFailureRate = 0
			s.run(10 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("a").State, flow.Complete)
		})
	}
}

// TestOpenRoundsFitOneRecord checks that a job all of whose rounds are due has
// no more rounds open than fit one stored record, and completes. Without the
// limit the record of the job's progress would be too large for the store.
func TestOpenRoundsFitOneRecord(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 6, 12)
	s.run(time.Second)
	j := newJobSpec("a", "q2", taskStep(100, 10, 50))
	j.Repeat = flow.Repeat{Times: 100, FirstStartMs: 1, IntervalMs: 1}
	s.submit(j)
	maxOpen := 0
	for range 400 {
		s.run(100 * time.Millisecond)
		maxOpen = max(maxOpen, len(s.progress("a").Rounds))
	}
	is.Equal(s.violations, nil)
	is.True(maxOpen <= flow.MaxOpenTasks/100)
	is.Equal(s.progress("a").State, flow.Complete)
}

// TestFailingWorkerIsQuarantined checks that a worker on which tasks of several
// jobs have failed in a row is excluded for a while, although it is estimated
// to be the fastest.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 10, 6)
	s.workers["w00"].speed = 8
	s.run(time.Second)
	s.engine.workers["w00"].LogSlowdown = -4
	s.workers["w00"].tasksFail = true
	for i := range 20 {
		s.submit(newJobSpec(fmt.Sprintf("a%d", i), "q2", taskStep(1, 1000, 400)))
		s.run(150 * time.Millisecond)
	}
	s.run(5 * time.Second)
	fails := 0
	for _, n := range s.ackedFailures {
		fails += n
	}
	is.Equal(s.violations, nil)
	is.True(fails >= quarantineFailedJobs)
	// The quarantine lasts longer than the jobs take to arrive.
	is.True(fails <= quarantineFailedJobs+1)
}

// TestJobsCompleteWithSkewedClocks checks that jobs accepted by instances whose
// clocks are off by seconds, either way, run their steps in order and complete.
// A clock that is slow makes the leader take its jobs to be late.
func TestJobsCompleteWithSkewedClocks(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 11, 6)
	s.run(time.Second)
	skews := []struct {
		offsetMs int64
		lateness int
	}{{-6000, 2}, {0, 0}, {6000, 0}, {-2400, 1}, {2400, 0}}
	for i, skew := range skews {
		j := newJobSpec(fmt.Sprintf("a%d", i), "q2", taskStep(3, 1000, 200), withDependencies(taskStep(2, 1000, 100), 0))
		j.Policy.Stretch, j.Policy.SlackMs = 2, 1000
		j.AcceptedMs = s.now.UnixMilli() + skew.offsetMs
		s.submit(j)
		is.Equal(latenessOf(s.now, s.engine.jobs[j.ID], &flow.Round{}), skew.lateness)
		repeating := newJobSpec(fmt.Sprintf("r%d", i), "q2", taskStep(1, 1000, 100))
		repeating.Policy.Stretch, repeating.Policy.SlackMs = 2, 1000
		repeating.AcceptedMs = s.now.UnixMilli() + skew.offsetMs
		repeating.Repeat = flow.Repeat{Times: 3, FirstStartMs: s.now.UnixMilli() + 500, IntervalMs: 400}
		s.submit(repeating)
		is.Equal(repeating.AcceptedMs, s.now.UnixMilli()+skew.offsetMs)
	}
	s.run(10 * time.Second)
	is.Equal(s.violations, nil)
	for _, id := range s.jobIDs {
		is.Equal(s.progress(id).State, flow.Complete)
	}
}
