package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestTaskOnShutDownWorkersIsNotGivenUp guards against a long task that is given
// up because its workers were shut down and came back under the same ID.
func TestTaskOnShutDownWorkersIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 6)
	s.run(time.Second)
	s.submit(newJobSpec("long", "q2", taskStep(1, 2000, 20_000)))
	s.run(2 * time.Second)
	for range 5 {
		w := s.workers[s.progress("long").Rounds[0].Steps[0][0].Worker]
		w.info.Draining = true
		s.run(3 * time.Second)
		w.crash(2 * time.Second)
		w.info.Draining = false
		s.run(8 * time.Second)
		is.Equal(s.progress("long").State, flow.Active)
		is.Equal(s.crashScore("long"), 0)
	}
	s.run(60 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(s.progress("long").State, flow.Complete)
}
