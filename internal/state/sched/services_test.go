package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// newServicesSim returns a simulation with n workers of each service, all of the
// same speed and each with its ID, SERVICE-NN, as a label. The queues of a service
// are SERVICE and, less urgent, SERVICE-batch.
func newServicesSim(t *testing.T, n int, slackMs int64, services ...string) *sim {
	s := newSim(t, 1, 0)
	s.config = &flow.Config{Version: 2}
	for _, service := range services {
		for i := range n {
			w := s.addWorker(fmt.Sprintf("%s-%02d", service, i), "r1")
			w.speed, w.info.Service, w.info.Labels = 1, service, []string{w.info.ID}
		}
		for i, name := range []string{service, service + "-batch"} {
			s.config.Queues = append(s.config.Queues, flow.Queue{Name: name, Policy: flow.Policy{
				Service: service, Priority: i + 1, MaxAttempts: 3, Stretch: 1, SlackMs: slackMs,
			}})
		}
	}
	s.startLeader()
	s.run(time.Second)
	return s
}

// submitTo submits a job of one step to a queue, under the queue's policy.
func (s *sim) submitTo(queue, id string, st flow.Step) *flow.Spec {
	spec := newJobSpec(id, queue, st)
	spec.Policy = s.config.Queue(queue).Policy
	s.submit(spec)
	return spec
}

// on returns the step with the label of a worker.
func on(worker string, st flow.Step) flow.Step {
	st.Label = worker
	return st
}

// longMs is the run time of tasks that outlast a test.
const longMs = 100_000

// TestWaitReasonOfStepsWithoutTickets guards against figures that say a step lacks
// room when other steps keep it reserved or it leaves it to gangs.
func TestWaitReasonOfStepsWithoutTickets(t *testing.T) {
	s := newServicesSim(t, 2, 60_000, "a")
	s.submitTo("a", "long", on("a-00", taskStep(1, 20000, longMs)))
	s.run(500 * time.Millisecond)
	s.submitTo("a", "gang", gangStep(4, 15000, 1000))
	s.run(200 * time.Millisecond)
	s.submitTo("a", "job", taskStep(1, 4000, 500))
	s.submitTo("a-batch", "large", taskStep(1, 32000, 500))
	s.run(200 * time.Millisecond)
	waiting := s.engine.Stats(s.now).Waiting
	is := is.New(t)
	is.Equal(waiting["a"].ByReason[WaitReserved], 1)
	is.Equal(waiting["a"].ByReason[WaitNoRoom], 1) // the gang
	is.Equal(waiting["a-batch"].ByReason[WaitNoRoom]+waiting["a-batch"].ByReason[WaitReserved], 1)
}
