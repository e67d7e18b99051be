package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// waitForStart gives how long after its acceptance the job's first task was placed,
// or limit if none was by then.
func (s *sim) waitForStart(id string, limit time.Duration) time.Duration {
	startedAt := s.now
	for s.now.Sub(startedAt) < limit {
		s.run(20 * time.Millisecond)
		if p := s.progress(id); p.State != flow.Queued {
			return s.now.Sub(startedAt)
		}
	}
	return limit
}

// TestGangGetsReservation checks that a gang comes to its room although short tasks of
// the same priority keep taking what comes free: room is kept for it.
func TestGangGetsReservation(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 8, 4)
	s.run(time.Second)
	n := 0
	submitShortJob := func() {
		s.submit(simJob(fmt.Sprintf("f%d", n), "q2", tasks(4, 4000, 700)))
		n++
	}
	for range 8 {
		submitShortJob()
	}
	g := simJob("g", "q2", gang(8, 15000, 500))
	s.submit(g)
	var waited time.Duration
	for p := s.progress("g"); p.State == flow.Queued && waited < 10*time.Second; p = s.progress("g") {
		submitShortJob()
		s.run(80 * time.Millisecond)
		waited += 80 * time.Millisecond
	}
	// The room of every task that runs comes free within its time; twice that is
	// the most that a gang of the same priority should wait.
	if waited > 2*time.Second {
		t.Errorf("the gang waited for %v", waited)
	}
	s.run(30 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(s.progress("g").State, flow.Complete)
}

// TestUrgentTaskPreemptsCheckpointedTasks checks that tasks that save their work give way to more
// urgent ones, and that those that don't are left alone.
func TestUrgentTaskPreemptsCheckpointedTasks(t *testing.T) {
	for _, checkpoints := range []bool{true, false} {
		t.Run(fmt.Sprintf("saves=%v", checkpoints), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 9, 2)
			s.allowedShare = 1
			s.run(time.Second)
			long := tasks(16, 4000, 6000)
			long.Checkpoints = checkpoints
			s.submit(simJob("long", "q2", long))
			s.run(time.Second)
			s.submit(simJob("urgent", "q0", tasks(2, 8000, 300)))
			waited := s.waitForStart("urgent", 20*time.Second)
			if checkpoints && waited > 600*time.Millisecond {
				t.Errorf("urgent work waited %v", waited)
			}
			if !checkpoints && waited < 3*time.Second {
				t.Errorf("urgent work waited %v only: work that is not saved was thrown away", waited)
			}
			s.run(30 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("long").State, flow.Complete)
		})
	}
}
