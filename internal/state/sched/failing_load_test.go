package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestGangAvoidsWorkerAfterFailure guards against gangs that fail, one after
// another, because one of their many workers fails all that it starts: one failed
// member fails the whole gang, long before the worker is quarantined.
func TestGangAvoidsWorkerAfterFailure(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 10, 6)
	s.run(time.Second)
	s.engine.workers["w00"].LogSlowdown = -4 // it comes first
	s.workers["w00"].tasksFail = true
	s.submit(newJobSpec("a", "q2", taskStep(1, 1000, 400)))
	s.run(600 * time.Millisecond)
	is.Equal(s.engine.workers["w00"].failedJobs, map[string]bool{"a": true})
	s.submit(newJobSpec("g", "q2", gangStep(5, 20000, 400)))
	s.run(200 * time.Millisecond)
	p := s.progress("g")
	is.Equal(p.State, flow.Active)
	for i, task := range p.Rounds[0].Steps[0] {
		if task.Worker == "w00" {
			t.Errorf("member %d of the gang was placed on the worker on which a task had just failed", i)
		}
	}
	s.run(2 * time.Second)
	is.Equal(s.progress("g").State, flow.Complete)
	is.Equal(s.violations, nil)
}

// TestGangsAreServedBesideFailingWorkers replays a load during which a twelfth of
// the workers fail all that they start, at any time of the run.
func TestGangsAreServedBesideFailingWorkers(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 20 s of a site with 1,100 workers")
	}
	is := is.New(t)
	s := newLargeSim(t, 2)
	s.after(2*time.Second, func() {
		for i, id := range s.workerNames {
			if w := s.workers[id]; i%12 == 0 {
				w.tasksFail = true
				s.after(6500*time.Millisecond, func() { w.tasksFail = false })
			}
		}
	})
	s.checkServed(s.runLoad(2, largeLoad(), 10*time.Second, 10*time.Second), minServedInTrouble)
	is.Equal(s.violations, nil)
}
