package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

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
	crashed := s.runWorkers[runKey{TaskID{Job: "a"}, 1}]
	is.True(crashed != nil)
	crashed.listedUntil = s.now.Add(6 * time.Second)
	crashed.crashAndReplace(500 * time.Millisecond)
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
