package sched

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestLeaderRestoresWorkerEstimates checks that a leader uses the estimates
// that an earlier leader stored of a worker's incarnation, and none of another
// incarnation. Without them each new leader places tasks on slow workers until
// it has estimated their slowdown again.
func TestLeaderRestoresWorkerEstimates(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 7, 2)
	s.workers["w00"].speed = 0.3
	s.run(time.Second)
	for i := range 40 {
		s.submit(newJobSpec(fmt.Sprintf("a%d", i), "q2", taskStep(4, 1000, 400)))
		s.run(300 * time.Millisecond)
	}
	data, err := json.Marshal(s.engine.Estimates())
	is.NoErr(err)
	var estimates Estimates
	is.NoErr(json.Unmarshal(data, &estimates))
	is.True(estimates.Workers["w00"].LogSlowdown > estimates.Workers["w01"].LogSlowdown+0.5)
	ratio := estimates.Queues["q2"].LogRatio

	for _, restarted := range []bool{false, true} {
		is.NoErr(json.Unmarshal(data, &estimates))
		e := New(s.params, s.now)
		e.RestoreEstimates(estimates)
		is.Equal(e.ensureQueueEstimates("q2").LogRatio, ratio)
		e.SetConfig(s.config)
		var list []WorkerInfo
		for _, n := range s.workerNames {
			list = append(list, s.workers[n].info)
		}
		e.SetWorkers(s.now, list)
		e.Tick(s.now)
		for _, o := range e.TakeOutput().Orders {
			incarnation := s.workers[o.Worker].incarnation
			if restarted {
				incarnation++
			}
			for i := range list {
				list[i].Incarnation = incarnation
			}
			e.HandlePollReport(s.now, o, Report{Incarnation: incarnation, Clock: time.Second})
		}
		e.SetWorkers(s.now, list)
		e.AddJob(s.now, &flow.Job{Spec: newJobSpec("b", "q2", taskStep(1, 1000, 400))})
		later := s.now.Add(time.Second)
		e.Tick(later)
		e.Schedule(later)
		workerID := e.jobs["b"].Progress.Rounds[0].Steps[0][0].Worker
		if restarted {
			is.Equal(e.workers["w00"].Samples, 0)
		} else {
			is.Equal(workerID, "w01")
		}
	}
}
