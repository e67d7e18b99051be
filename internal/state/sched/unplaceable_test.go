package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestUnplaceableStepsDoNotBlockOthers guards against a job that never starts
// because more steps are ahead of it than a pass evaluates, none of which any
// worker can run.
func TestUnplaceableStepsDoNotBlockOthers(t *testing.T) {
	labelled := taskStep(1, 1000, 400)
	labelled.Label = "absent"
	tests := []struct {
		name  string
		queue string // of the jobs that no worker can run
		step  flow.Step
	}{
		{"label that no worker has", "q2", labelled},
		{"label that no worker has, with tickets", "q0", labelled},
		{"larger than any worker", "q0", taskStep(1, 64000, 400)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 12, 4)
			s.run(time.Second)
			for i := range 3 * maxStepsPerPass {
				s.submit(newJobSpec(fmt.Sprintf("u%d", i), tt.queue, tt.step))
			}
			s.submit(newJobSpec("a", "q2", taskStep(4, 1000, 400)))
			s.run(3 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("a").State, flow.Complete)
		})
	}
}
