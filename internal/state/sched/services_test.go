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

// checkStarts fails the test if the jobs have not all started after limit.
func (s *sim) checkStarts(limit time.Duration, ids ...string) {
	s.t.Helper()
	s.run(limit)
	for _, id := range ids {
		if !s.started[TaskID{Job: id}] {
			q := s.engine.Stats(s.now).Waiting[s.jobs[id].spec.Queue]
			s.t.Errorf("job %s has not started %v after it was submitted; its queue waits: %+v", id, limit, q)
		}
	}
	is.New(s.t).Equal(s.violations, nil)
}

// TestFullServiceStopsNoStepOfAnother guards against steps that wait on an idle
// service beside a gang that does not fit yet, because another service is full.
func TestFullServiceStopsNoStepOfAnother(t *testing.T) {
	s := newServicesSim(t, 8, 3000, "a", "b")
	s.submitTo("a", "long", on("a-00", taskStep(2, 15000, longMs)))
	s.run(500 * time.Millisecond)
	s.submitTo("a", "gang", gangStep(16, 15000, 1000))
	for i := range 8 {
		s.submitTo("b", fmt.Sprintf("large%d", i), taskStep(2, 15000, longMs))
	}
	s.run(2 * time.Second)
	for i := range 3 {
		s.submitTo("a", fmt.Sprintf("job%d", i), taskStep(2, 2800, 500))
	}
	s.checkStarts(maxIdleTime, "job0", "job1", "job2")
}

// TestGangsOfAnotherServiceHoldNoBatchStepBack guards against batch steps that
// leave room to gangs which wait for the workers of another service.
func TestGangsOfAnotherServiceHoldNoBatchStepBack(t *testing.T) {
	s := newServicesSim(t, 4, 60_000, "a", "b")
	s.submitTo("a", "long", on("a-00", taskStep(1, 15000, longMs)))
	s.submitTo("b", "large", taskStep(4, 20000, longMs))
	s.run(500 * time.Millisecond)
	s.submitTo("a", "gang0", gangStep(24, 5000, 1000))
	s.submitTo("a", "gang1", gangStep(24, 5000, 1000))
	s.run(200 * time.Millisecond)
	s.submitTo("b-batch", "batch", taskStep(2, 6000, 500))
	s.checkStarts(200*time.Millisecond, "batch")
}

// TestGangsOfTwoServicesReserve guards against a gang that never starts beside a
// stream of short jobs, because a gang of another service has the only partial
// reservation.
func TestGangsOfTwoServicesReserve(t *testing.T) {
	is := is.New(t)
	s := newServicesSim(t, 4, 60_000, "a", "b")
	s.submitTo("a", "long", on("a-00", taskStep(1, 15000, longMs)))
	s.run(500 * time.Millisecond)
	s.submitTo("a", "gang", gangStep(8, 15000, 1000))
	s.run(200 * time.Millisecond)
	n := 0
	submitShortJob := func() {
		s.submitTo("b", fmt.Sprintf("f%d", n), taskStep(4, 4000, 700))
		n++
	}
	for range 8 {
		submitShortJob()
	}
	s.submitTo("b", "other", gangStep(8, 15000, 500))
	var waited time.Duration
	for p := s.progress("other"); p.State == flow.Queued && waited < 10*time.Second; p = s.progress("other") {
		submitShortJob()
		s.run(80 * time.Millisecond)
		waited += 80 * time.Millisecond
	}
	// The bound of TestGangStartsDespiteStreamOfShortJobs.
	if waited > 2*time.Second {
		t.Errorf("the gang started after %v; want at most 2s", waited)
	}
	is.Equal(s.violations, nil)
}

// TestLoadIsThatOfOneService guards against jobs that are refused, or accepted
// beyond what can be served, because of how busy the workers of another service are.
func TestLoadIsThatOfOneService(t *testing.T) {
	tests := []struct {
		name  string
		full  int // workers of the full service, the idle one has 8
		query bool
	}{
		{"beside a larger one that is idle", 4, false},
		{"beside an idle one that waits for tickets", 28, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newServicesSim(t, tt.full, 3000, "a")
			for i := range 8 {
				s.addWorker(fmt.Sprintf("b-%02d", i), "r1").info.Service = "b"
			}
			policy := flow.Policy{Service: "b", Priority: 1, MaxAttempts: 3, Stretch: 1, SlackMs: 3000}
			if tt.query {
				policy.PlacementService = flow.PlacementService{CallMs: 5, PerWorkerMs: 0.1, TicketValidMs: 1500}
				s.allowedShares = map[string]float64{"b": 0}
			}
			s.config.Queues = append(s.config.Queues, flow.Queue{Name: "b", Policy: policy})
			s.engine.SetConfig(s.config)
			s.run(time.Second)
			for i := range 3 {
				s.submitTo("a", fmt.Sprintf("j%d", i), taskStep(tt.full, 32000, 3000))
			}
			s.submitTo("b", "other", taskStep(1, 4000, 500))
			s.run(500 * time.Millisecond)
			var queues []string
			for _, g := range s.engine.Load(s.now) {
				queues = append(queues, g.Queues...)
			}
			is.Equal(queues, []string{"a", "a-batch"})
		})
	}
}

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

// TestStatsTellServicesApart guards against figures that hide a full service behind
// an idle one.
func TestStatsTellServicesApart(t *testing.T) {
	s := newServicesSim(t, 4, 3000, "a", "b")
	s.submitTo("b", "job", taskStep(4, 32000, longMs))
	s.run(500 * time.Millisecond)
	is.New(t).Equal(s.engine.Stats(s.now).UsedByService, map[string]float64{"a": 0, "b": 1})
}
