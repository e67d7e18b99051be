package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestLateGangKeepsNoRoomForPreemption guards against steps that wait on an idle
// service, because a gang that is too late to preempt keeps the room of the runs
// that it would have to preempt.
func TestLateGangKeepsNoRoomForPreemption(t *testing.T) {
	s := newServicesSim(t, 8, 500, "a")
	for i := range 3 {
		long := on(fmt.Sprintf("a-%02d", i), taskStep(2, 15000, longMs))
		long.Checkpointing = true
		s.submitTo("a-batch", fmt.Sprintf("long%d", i), long)
	}
	s.submitTo("a", "short", on("a-03", taskStep(2, 15000, 8000)))
	s.run(500 * time.Millisecond)
	s.submitTo("a", "gang", gangStep(16, 15000, 1000))
	s.run(12 * time.Second) // the gang is late, and the short task has ended
	for i := range 3 {
		s.submitTo("a", fmt.Sprintf("job%d", i), taskStep(2, 2800, 500))
	}
	s.checkStarts(maxIdleTime, "job0", "job1", "job2")
}

// TestGangKeepsNoRoomForStopsThatTakeLong guards against steps that wait on an idle
// service, because a gang keeps room that fits it once the runs that it has preempted
// are stopped, which they are not.
func TestGangKeepsNoRoomForStopsThatTakeLong(t *testing.T) {
	s := newServicesSim(t, 8, 60_000, "a")
	s.stopTime = time.Minute
	long := on("a-00", taskStep(2, 15000, longMs))
	long.Checkpointing = true
	s.submitTo("a-batch", "long", long)
	s.run(500 * time.Millisecond)
	s.submitTo("a", "gang", gangStep(16, 15000, 1000))
	s.run(5 * time.Second)
	s.submitTo("a", "job", taskStep(2, 2800, 500))
	s.checkStarts(maxIdleTime, "job")
}

// TestGangKeepsRoomWhileRunsAreStopped guards against a gang that preempts runs and
// loses their room, or what else it has reserved, to steps that have waited long.
func TestGangKeepsRoomWhileRunsAreStopped(t *testing.T) {
	s := newServicesSim(t, 8, 60_000, "a")
	s.stopTime = 900 * time.Millisecond
	long := on("a-00", taskStep(2, 15000, longMs))
	long.Checkpointing = true
	s.submitTo("a-batch", "long", long)
	s.stepWork["first"] = jobWork{steps: []time.Duration{1700 * time.Millisecond}}
	s.submitTo("a", "first", on("a-01", taskStep(1, 15000, 1700)))
	s.run(500 * time.Millisecond)
	s.submitTo("a", "gang", gangStep(16, 15000, 1000))
	s.run(100 * time.Millisecond)
	for i := range 14 {
		s.submitTo("a-batch", fmt.Sprintf("job%d", i), taskStep(2, 15000, longMs))
	}
	s.checkStarts(3*time.Second, "gang")
}

// TestGangStartsBesideShortTasksOnceLongOnesEnd guards against a gang that never
// starts on an idle service, because each task of a stream of short ones has waited
// long and passes the gang's reservation.
func TestGangStartsBesideShortTasksOnceLongOnesEnd(t *testing.T) {
	const longTime = 12 * time.Second
	for _, tasks := range []int{12, 16} {
		t.Run(fmt.Sprintf("tasks=%d", tasks), func(t *testing.T) {
			s := newServicesSim(t, 8, 60_000, "a")
			s.stepWork["long"] = jobWork{steps: []time.Duration{longTime}}
			s.submitTo("a", "long", on("a-00", taskStep(2, 15000, longTime.Milliseconds())))
			for i := range (16 - tasks) / 2 {
				s.submitTo("a", fmt.Sprintf("longer%d", i), on(fmt.Sprintf("a-%02d", i+1), taskStep(2, 15000, longMs)))
			}
			s.run(500 * time.Millisecond)
			s.submitTo("a", "gang", gangStep(tasks, 15000, 1000))
			n := 0
			s.repeatEvery(100*time.Millisecond, func() {
				s.submitTo("a", fmt.Sprintf("f%d", n), taskStep(2, 2800, 500))
				n++
			})
			s.run(10 * time.Second) // the long tasks still run
			for i := range n - 30 {
				if id := (TaskID{Job: fmt.Sprintf("f%d", i)}); !s.started[id] {
					t.Errorf("task %v has waited for over %v beside the gang", id, maxIdleTime)
				}
			}
			s.checkStarts(longTime+2*time.Second-10*time.Second, "gang")
		})
	}
}

// TestLastingTaskRestartsBesideWaitingGang guards against a task that lasts and is
// not started again, on a service that is more than half in use, while a gang that
// does not fit yet keeps what is free.
func TestLastingTaskRestartsBesideWaitingGang(t *testing.T) {
	for _, customers := range []bool{false, true} {
		t.Run(fmt.Sprintf("customers=%v", customers), func(t *testing.T) {
			s := newServicesSim(t, 10, 60_000, "a")
			if customers {
				s.customersOn(work.Size{})
			}
			lasting := taskStep(4, 1000, 500)
			lasting.LongRunning = true
			s.submitTo("a", "lasting", lasting)
			batch := taskStep(20, 10000, longMs)
			batch.MaxPerWorker = 2
			s.submitTo("a", "batch", batch)
			s.run(500 * time.Millisecond)
			s.submitTo("a", "gang", gangStep(10, 15000, 1000))
			s.run(3 * time.Second)
			task := TaskID{Job: "lasting"}
			w, r := s.findMember(task, 1)
			w.finishRun(r, EndFailed)
			s.run(maxIdleTime)
			if w, _ := s.findMember(task, 2); w == nil {
				t.Errorf("task %v has not been started again after %v: %+v", task, maxIdleTime, s.engine.Stats(s.now).Waiting["a"])
			}
			is.New(t).Equal(s.violations, nil)
		})
	}
}

// TestStepAdoptedWhileRunningPassesGang guards against steps whose tasks all ran when
// the leader's term began: since it was not known how long they have waited, they
// waited for as long as a gang beside them.
func TestStepAdoptedWhileRunningPassesGang(t *testing.T) {
	s := newServicesSim(t, 8, 60_000, "a")
	s.submitTo("a", "long", on("a-00", taskStep(2, 15000, longMs)))
	job := s.submitTo("a", "job", taskStep(1, 2800, longMs))
	s.run(500 * time.Millisecond)
	s.startLeader()
	s.run(15 * time.Second) // until the leases of the earlier leader have expired
	s.submitTo("a", "gang", gangStep(16, 15000, 1000))
	s.run(500 * time.Millisecond)
	task := TaskID{Job: job.ID}
	w, r := s.findMember(task, 1)
	w.finishRun(r, EndStopped)
	s.run(maxIdleTime)
	if w, _ := s.findMember(task, 2); w == nil {
		t.Errorf("task %v has not been started again after %v: %+v", task, maxIdleTime, s.engine.Stats(s.now).Waiting["a"])
	}
}

// TestGangKeepsNoQuotaFromStepsThatWaitedLong guards against steps that wait on an
// idle service, because a gang of the same customer holds what the customer's quota
// leaves, or claims it by a reservation, while a long task runs.
func TestGangKeepsNoQuotaFromStepsThatWaitedLong(t *testing.T) {
	tests := []struct {
		name    string
		stretch float64 // of the objective; without one the quota is claimed, but not held
		gang    int     // tasks
		quota   int64   // in thousandths of a core
		tickets bool
	}{
		{"held", 1, 6, 100_000, false},
		{"held, with tickets", 1, 6, 100_000, true},
		{"claimed", 0, 16, 281_000, false},
		{"claimed, with tickets", 0, 16, 281_000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newServicesSim(t, 8, 0, "a")
			s.config.Queues[0].Policy.Stretch = tt.stretch
			if tt.tickets {
				s.config.Queues[0].Policy.PlacementService.CallMs = 5
				s.config.Queues[0].Policy.PlacementService.PerWorkerMs = 0.1
				s.config.Queues[0].Policy.PlacementService.TicketValidMs = 1500
			}
			s.customersOn(work.Size{CPU: tt.quota})
			submit := func(id string, n int, cpu int64, gang bool, label string) {
				st := taskStep(n, cpu, longMs)
				st.Gang, st.Label = gang, label
				spec := newJobSpec(id, "a", st)
				spec.Customer, spec.Policy = "c", s.config.Queue("a").Policy
				s.submit(spec)
			}
			submit("long", 2, 15000, false, "a-00")
			s.run(500 * time.Millisecond)
			submit("gang", tt.gang, 15000, true, "")
			s.run(longRunAge)
			submit("job", 1, 12000, false, "")
			s.checkStarts(maxIdleTime, "job")
		})
	}
}

// TestGangGetsItsQuotaBesideBacklog guards against a gang that never gets its
// customer's quota, because the steps of a backlog, which have all waited long, use
// what each run leaves.
func TestGangGetsItsQuotaBesideBacklog(t *testing.T) {
	s := newServicesSim(t, 8, 60_000, "a")
	s.customersOn(work.Size{CPU: 32000})
	n := 0
	submit := func(id string, st flow.Step) {
		spec := newJobSpec(id, "a", st)
		spec.Customer, spec.Policy = "c", s.config.Queue("a").Policy
		s.submit(spec)
	}
	s.repeatEvery(200*time.Millisecond, func() {
		submit(fmt.Sprintf("f%d", n), taskStep(4, 4000, 700))
		n++
	})
	s.run(3 * time.Second)
	submit("gang", gangStep(4, 7000, 500))
	// The jobs before it need the quota for less than 15 * 4 * 4 * 0.7 / 32 s.
	s.checkStarts(7*time.Second, "gang")
}

// customersOn gives the simulation a customer, "c", with a quota.
func (s *sim) customersOn(quota work.Size) {
	s.config.CustomersOn = true
	s.config.Customers = []flow.Customer{{Name: "c", Weight: 1, MaxRunning: quota}}
	s.engine.SetConfig(s.config)
}
