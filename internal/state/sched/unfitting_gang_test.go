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

// TestGangsThatCannotFitHoldNoBatchStepBack guards against batch steps that leave
// room to waiting gangs, for as long as they have time left, although none of the
// gangs can use it.
func TestGangsThatCannotFitHoldNoBatchStepBack(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	for id, w := range s.workers {
		w.speed, w.info.Labels = 1, []string{id}
	}
	s.config = &flow.Config{Version: 2}
	submit := func(id string, priority int, st flow.Step) {
		spec := newJobSpec(id, id, st)
		spec.Policy.Priority, spec.Policy.Stretch, spec.Policy.SlackMs = priority, 1, 60_000
		s.config.Queues = append(s.config.Queues, flow.Queue{Name: id, Policy: spec.Policy})
		s.submit(spec)
	}
	s.startLeader()
	s.run(time.Second)
	lasting := taskStep(1, 8000, 400)
	lasting.LongRunning, lasting.Label = true, "w00"
	submit("lasting", 0, lasting)
	s.run(time.Second)
	submit("wide", 1, gangStep(4, 30000, 400))
	submit("wider", 1, gangStep(4, 31000, 400))
	s.run(100 * time.Millisecond)
	submit("batch", 2, taskStep(2, 25000, 400))
	s.run(5 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(s.progress("batch").State, flow.Complete)
}

// TestGangThatWaitsForOneTaskKeepsMostWorkersIdle guards against steps that wait
// although most of the workers are free, because a gang keeps these reserved until
// a task ends that runs on for long.
func TestGangThatWaitsForOneTaskKeepsMostWorkersIdle(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	for id, w := range s.workers {
		w.speed, w.info.Labels = 1, []string{id}
	}
	s.refreshWorkers()
	s.run(time.Second)
	long := taskStep(1, 8000, 60_000)
	long.Label = "w00"
	s.submit(newJobSpec("long", "q2", long))
	s.run(time.Second)
	s.submit(newJobSpec("wide", "q2", gangStep(4, 30000, 400)))
	s.run(100 * time.Millisecond)
	s.submit(newJobSpec("narrow", "q2", gangStep(1, 30000, 60_000)))
	s.run(maxIdleTime)
	is.Equal(s.violations, nil)
	is.True(s.started[TaskID{"narrow", 0, 0, 0}])
}
