package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestGangReservesWhereItCanStart guards against a gang that never starts beside
// a stream of short jobs, since what it reserves is on workers that can't take
// one more of its tasks, however many tasks there end.
func TestGangReservesWhereItCanStart(t *testing.T) {
	spread := gangStep(4, 16000, 400)
	spread.MaxPerWorker = 1
	tests := []struct {
		name string
		gang flow.Step
		last bool // a task that lasts runs on w00
	}{
		{"a task that lasts", gangStep(2, 30000, 400), true},
		{"one task on each worker", spread, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 8, 4)
			for id, w := range s.workers {
				w.info.Labels = []string{id}
				if id >= "w02" {
					w.info.Labels = append(w.info.Labels, "busy")
				}
			}
			s.refreshWorkers()
			s.run(time.Second)
			if tt.last {
				lasting := taskStep(1, 8000, 400)
				lasting.LongRunning, lasting.Label = true, "w00"
				s.submit(newJobSpec("lasting", "q2", lasting))
				s.run(time.Second)
			}
			n := 0
			submitShortJob := func() {
				st := taskStep(1, 4000, 700)
				st.Label = "busy"
				s.submit(newJobSpec(fmt.Sprintf("f%d", n), "q2", st))
				n++
			}
			for range 32 {
				submitShortJob()
			}
			s.submit(newJobSpec("g", "q2", tt.gang))
			var waited time.Duration
			for p := s.progress("g"); p.State == flow.Queued && waited < 10*time.Second; p = s.progress("g") {
				submitShortJob()
				s.run(20 * time.Millisecond)
				waited += 20 * time.Millisecond
			}
			// The bound of TestGangStartsDespiteStreamOfShortJobs.
			if waited > 2*time.Second {
				t.Errorf("the gang started after %v; want at most 2s", waited)
			}
			s.run(60 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("g").State, flow.Complete)
		})
	}
}
