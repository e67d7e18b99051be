package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestLoadPatternsAreServed replays loads at their worst on a site with 1,100
// workers: what is in the table happens while all classes of jobs arrive.
func TestLoadPatternsAreServed(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 18 s of a site with 1,100 workers for each pattern")
	}
	const disturbAt = 3 * time.Second // after the first job
	tests := []struct {
		name    string
		load    func(load []loadClass)
		disturb func(s *sim)
	}{
		{
			name: "burst of gangs",
			load: func(load []loadClass) { load[0].burst = 1.8 },
		},
		{
			name: "burst of quick jobs and of gangs",
			load: func(load []loadClass) { load[0].burst, load[2].burst = 1.8, 2 },
		},
		{
			name: "wave of cancellations",
			disturb: func(s *sim) {
				for i, id := range s.jobIDs {
					if i%3 == 0 && !s.progress(id).State.Final() {
						s.cancel(id)
					}
				}
			},
		},
		{
			name: "leader lost",
			disturb: func(s *sim) {
				s.engine = nil
				s.after(600*time.Millisecond, s.startLeader)
			},
		},
		{
			name: "a quarter of the workers leaves at short notice",
			disturb: func(s *sim) {
				for i, id := range s.workerNames {
					if w := s.workers[id]; i%4 == 0 {
						w.info.Draining = true
						s.after(2*time.Second, func() { w.crash(time.Hour) })
					}
				}
			},
		},
		{
			name: "room broken up by long tasks",
			disturb: func(s *sim) {
				for _, id := range s.workerNames[:len(s.workerNames)/3] {
					// It is not stopped for other jobs.
					s.submitLong(id)
				}
			},
		},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newLargeSim(t, uint64(i)+3)
			s.gangsDisturbed = true
			load := largeLoad()
			for k := range load {
				load[k].burst = 1
			}
			if tt.load != nil {
				tt.load(load)
			}
			if tt.disturb != nil {
				s.after(disturbAt, func() { tt.disturb(s) })
			}
			s.checkServed(s.runLoad(uint64(i)+3, load, 9*time.Second, 9*time.Second), minServedInTrouble)
			is.Equal(s.violations, nil)
		})
	}
}

// submitLong submits a job of one task that runs for a minute, without
// checkpoints.
func (s *sim) submitLong(name string) {
	spec := newJobSpec("long"+name, "batch", taskStep(1, 12000, 60000))
	spec.Steps[0].Size = work.Size{CPU: 12000, Memory: 1000}
	s.submit(spec)
}
