package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestGangWiderThanOneQueryStarts guards against a gang that never gets valid
// tickets for all its workers, because they are more than one query may name.
func TestGangWiderThanOneQueryStarts(t *testing.T) {
	tests := []struct {
		name  string
		tasks int
	}{
		{"as wide as one query", maxQueryWorkers},
		{"wider than one query", maxQueryWorkers + 10},
		{"wider than two queries", 2*maxQueryWorkers + 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 5, 400)
			s.timedQueries, s.allowedShare = true, 0.25
			s.run(time.Second)
			s.submit(newJobSpec("g", "q0", gangStep(tt.tasks, 20000, 500)))
			const limit = 10 * time.Second
			if waited := s.waitForStart("g", limit); waited >= limit {
				t.Errorf("a gang of %d tasks on idle workers did not start within %v; it was queried for %d times", tt.tasks, limit, s.queries["q0"])
			}
			s.run(10 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("g").State, flow.Complete)
		})
	}
}
