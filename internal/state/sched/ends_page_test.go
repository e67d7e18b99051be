package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestEndsBeyondFirstPageAreNotLost guards against tasks that start again though
// they have ended as done: while the store is down more ends wait at a worker than
// it reports at a time, so that some tasks are in neither of its lists.
func TestEndsBeyondFirstPageAreNotLost(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(s *sim) // once all tasks have ended
	}{
		{"same leader", func(*sim) {}},
		{"next leader", func(s *sim) {
			s.engine = nil
			s.run(time.Second)
			s.startLeader()
			s.run(time.Second)
		}},
		{"stopped too late", func(s *sim) {
			for _, r := range s.engine.jobs["a"].sortedRuns() {
				s.engine.stopRun(s.now, r, "preempted")
			}
			s.run(time.Second)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 2)
			s.run(time.Second)
			const tasks = 1200
			st := taskStep(tasks, 50, 1800)
			st.Size.Memory = 100
			s.submit(newJobSpec("a", "q2", st))
			s.run(300 * time.Millisecond)
			is.Equal(len(s.engine.jobs["a"].runs), tasks)
			s.storeDown = true
			s.run(4500 * time.Millisecond)
			is.Equal(len(s.done), tasks)
			tt.disturb(s)
			s.storeDown = false
			s.run(5 * time.Second)
			is.Equal(s.progress("a").State, flow.Complete)
			again := 0
			for i := range tasks {
				if s.runWorkers[runKey{TaskID{Job: "a", Index: i}, 2}] != nil {
					again++
				}
			}
			is.Equal(again, 0) // tasks that started again
			if len(s.violations) > 0 {
				t.Errorf("invariant violated: %s", s.violations[0])
			}
		})
	}
}

// TestFullPageOfEndsIsNotPolledForInALoop guards against a leader that asks a
// worker for the same page of ends again and again while the store is down.
func TestFullPageOfEndsIsNotPolledForInALoop(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 1)
	s.run(time.Second)
	st := taskStep(600, 50, 1800)
	st.Size.Memory = 100
	s.submit(newJobSpec("a", "q2", st))
	s.run(300 * time.Millisecond)
	s.storeDown = true
	s.run(4500 * time.Millisecond)
	is.Equal(len(s.done), 600)
	before := s.engine.pollsSent
	s.run(6 * time.Second)
	polls := s.engine.pollsSent - before
	is.True(polls <= uint64(6*time.Second/ackDelay)) // polls of one worker
	s.storeDown = false
	s.run(time.Second)
	is.Equal(s.progress("a").State, flow.Complete)
}
