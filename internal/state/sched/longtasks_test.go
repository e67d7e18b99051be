package sched

import (
	"fmt"
	"testing"
	"time"
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
