package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestGangThatCannotFitKeepsNoRoom guards against steps that never start although
// most of the workers are free, because a gang ahead of them, of the same or a
// higher priority, keeps that room reserved and can't get the rest of what it
// needs.
func TestGangThatCannotFitKeepsNoRoom(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(s *sim) // takes the room that the gang lacks
	}{
		{"tasks that last", func(s *sim) {
			lasting := taskStep(1, 8000, 400)
			lasting.LongRunning, lasting.Label = true, "w00"
			s.submit(newJobSpec("lasting", "q2", lasting))
		}},
		{"a worker that is listed and does not answer", func(s *sim) { s.workers["w00"].partitioned = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 4)
			for id, w := range s.workers {
				w.speed, w.info.Labels = 1, []string{id}
			}
			s.refreshWorkers()
			s.run(time.Second)
			tt.prepare(s)
			s.run(2 * time.Second)
			s.submit(newJobSpec("wide", "q2", gangStep(4, 30000, 400)))
			s.run(100 * time.Millisecond)
			s.submit(newJobSpec("narrow", "q2", gangStep(2, 30000, 400)))
			s.submit(newJobSpec("single", "q2", taskStep(2, 20000, 400)))
			s.run(5 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("narrow").State, flow.Complete)
			is.Equal(s.progress("single").State, flow.Complete)
		})
	}
}
