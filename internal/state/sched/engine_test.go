package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

func simJob(id, queue string, steps ...flow.Step) *flow.Spec {
	s := &flow.Spec{ID: id, Queue: queue, Steps: steps}
	s.Policy = flow.Policy{Service: simService, MaxAttempts: 3}
	return s
}

func tasks(n int, cpu, ms int64) flow.Step {
	return flow.Step{Count: n, Size: work.Size{CPU: cpu, Memory: 1000}, EstimateMs: ms}
}

func gang(n int, cpu, ms int64) flow.Step {
	st := tasks(n, cpu, ms)
	st.Gang = true
	return st
}

func after(st flow.Step, steps ...int) flow.Step {
	st.After = steps
	return st
}

// TestJobShapesComplete plays jobs of each shape without faults.
func TestJobShapesComplete(t *testing.T) {
	spread := tasks(6, 500, 300)
	spread.MaxPerWorker = 1
	tests := []struct {
		name  string
		queue string
		steps []flow.Step
	}{
		{"one task", "q2", []flow.Step{tasks(1, 1000, 100)}},
		{"wide", "q2", []flow.Step{tasks(200, 2000, 500)}},
		{"chain", "q2", []flow.Step{tasks(3, 1000, 100), after(tasks(5, 1000, 200), 0), after(tasks(1, 1000, 50), 0, 1)}},
		{"gang", "q2", []flow.Step{gang(12, 9000, 600)}},
		{"spread", "q2", []flow.Step{spread}},
		{"with tickets", "q1", []flow.Step{tasks(10, 2000, 400), after(tasks(2, 100, 100), 0)}},
		{"gang with tickets", "q0", []flow.Step{gang(8, 9000, 600)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 12)
			s.allowedShare = 0.5
			s.run(time.Second)
			s.submit(simJob("a", tt.queue, tt.steps...))
			s.run(15 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("a").State, flow.Complete)
		})
	}
}

// TestTasksRestartAfterLeaseExpiry checks that tasks of a worker that never answers again run
// elsewhere once its leases have lapsed, and not before.
func TestTasksRestartAfterLeaseExpiry(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut=%v", partitioned), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 2, 2)
			s.run(time.Second)
			s.submit(simJob("a", "q2", tasks(40, 1000, 3000)))
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

// TestJobQueuedUntilTaskStarts checks that a job counts as waiting until one of its
// tasks has begun, not only been placed.
func TestJobQueuedUntilTaskStarts(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 3, 1)
	s.run(time.Second)
	s.orderLossRate = 1
	s.submit(simJob("a", "q2", tasks(1, 1000, 300)))
	s.run(200 * time.Millisecond)
	is.Equal(s.progress("a").State, flow.Queued)
	s.orderLossRate = 0
	s.run(time.Second)
	is.Equal(s.progress("a").State, flow.Active)
	s.run(2 * time.Second)
	is.Equal(s.progress("a").State, flow.Complete)
}

// TestFailingWorkerCostsNoAttempts checks that a worker on which everything fails costs no job its
// attempts, even if it has been the fastest.
func TestFailingWorkerCostsNoAttempts(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 4, 6)
	s.workers["w00"].speed = 8
	s.run(time.Second)
	for i := range 80 {
		if i == 40 {
			s.workers["w00"].tasksFail = true
		}
		s.submit(simJob(fmt.Sprintf("a%d", i), "q2", tasks(2, 1000, 400)))
		s.run(100 * time.Millisecond)
	}
	s.run(10 * time.Second)
	is.Equal(s.violations, nil)
	for _, id := range s.ids {
		is.Equal(s.progress(id).State, flow.Complete)
	}
}

// TestFailedTaskRestartsOnOtherWorker checks that a task that failed runs next on another
// worker, however much faster the first is.
func TestFailedTaskRestartsOnOtherWorker(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 5, 2)
	s.run(time.Second)
	s.engine.workers["w00"].Slow = -4
	s.workers["w00"].tasksFail = true
	s.submit(simJob("a", "q2", tasks(1, 1000, 400)))
	s.run(5 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(s.ackedFailures[TaskID{Job: "a"}], 1)
	is.Equal(s.progress("a").State, flow.Complete)
}

// TestOpenRoundsBounded checks that a job whose rounds are all due holds only as many
// open as one record can carry, and comes to its end.
func TestOpenRoundsBounded(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 6, 12)
	s.run(time.Second)
	j := simJob("a", "q2", tasks(100, 10, 50))
	j.Repeat = flow.Repeat{Times: 100, FirstMs: 1, EveryMs: 1}
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

// TestFailingWorkerIsQuarantined checks that a worker on which one job after another fails
// gets no more of them for a while.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 10, 6)
	s.workers["w00"].speed = 8
	s.run(time.Second)
	s.engine.workers["w00"].Slow = -4
	s.workers["w00"].tasksFail = true
	for i := range 20 {
		s.submit(simJob(fmt.Sprintf("a%d", i), "q2", tasks(1, 1000, 400)))
		s.run(150 * time.Millisecond)
	}
	s.run(5 * time.Second)
	fails := 0
	for _, n := range s.ackedFailures {
		fails += n
	}
	is.Equal(s.violations, nil)
	is.True(fails >= quarantineFailedJobs)
	// The worker is set aside for longer than the jobs take to come.
	is.True(fails <= quarantineFailedJobs+1)
}

// TestJobsCompleteWithSkewedClocks checks that jobs accepted by instances whose time of day is off
// by seconds, either way, run in the order of their steps and come to an end.
func TestJobsCompleteWithSkewedClocks(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 11, 6)
	s.run(time.Second)
	for i, off := range []int64{-6000, 0, 6000, -2400, 2400} {
		j := simJob(fmt.Sprintf("a%d", i), "q2", tasks(3, 1000, 200), after(tasks(2, 1000, 100), 0))
		j.AcceptedMs = s.now.UnixMilli() + off
		s.submit(j)
		r := simJob(fmt.Sprintf("r%d", i), "q2", tasks(1, 1000, 100))
		r.AcceptedMs = s.now.UnixMilli() + off
		r.Repeat = flow.Repeat{Times: 3, FirstMs: s.now.UnixMilli() + 500, EveryMs: 400}
		s.submit(r)
	}
	s.run(10 * time.Second)
	is.Equal(s.violations, nil)
	for _, id := range s.ids {
		is.Equal(s.progress(id).State, flow.Complete)
	}
}
