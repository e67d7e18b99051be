package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// longQueryEngine returns a customerEngine whose queue "urgent" needs tickets that
// take long queries, with clients that are all healthy.
func longQueryEngine(t *testing.T, p Params, quota int64) *Engine {
	e := customerEngine(t, p, quota)
	queues := append([]flow.Queue{}, e.config.Queues...)
	queues[0].Policy.PlacementService = flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000}
	e.SetConfig(withCustomers(queues, quota))
	names := []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7"}
	e.SetPlacementClients("i0", names)
	for _, n := range names {
		e.HandleProbeResult(testTime(0), n, true)
	}
	return e
}

// queriedJobs makes a pass and returns the jobs that it queries for.
func (e *Engine) queriedJobs(ms int) map[string]bool {
	e.placed(ms)
	jobs := map[string]bool{}
	for _, q := range e.TakeOutput().Queries {
		jobs[q.Job] = true
	}
	return jobs
}

// TestStepAtQuotaIsNoQueryDemand guards against a customer at its quota that keeps
// the placement clients from work beyond the weight of the others: a step that its
// quota does not let query is not one that waits to send a query.
func TestStepAtQuotaIsNoQueryDemand(t *testing.T) {
	for _, used := range []int64{4000, 3000} { // with 3000, one of the two steps may query
		is := is.New(t)
		e := longQueryEngine(t, Params{ShareWindow: time.Second}, 4000)
		e.addCustomerJob("run", "a", "q", taskStep(1, used, 400))
		is.Equal(e.placed(0), map[string]int{"run": 1})
		e.addCustomerJobAt(2000, "a1", "a", "urgent", taskStep(1, 1000, 400))
		e.addCustomerJobAt(4000, "b0", "b", "urgent", taskStep(1, 1000, 400))
		e.addCustomerJobAt(4000, "b1", "b", "urgent", taskStep(1, 1000, 400))
		is.True(e.jobs["b1"].beyond)
		e.addCustomerJobAt(4000, "a2", "a", "urgent", taskStep(1, 1000, 400))
		is.True(!e.queriedJobs(4000)["b1"]) // b0 goes first
		is.True(e.queriedJobs(4001)["b1"])
	}
}

// TestUnknownWaitIsNoQueryDemand guards against a step that keeps the placement
// clients from work beyond the weight for ever: it is not known since when the
// tasks of a run that a new leader has adopted are startable.
func TestUnknownWaitIsNoQueryDemand(t *testing.T) {
	is := is.New(t)
	e := longQueryEngine(t, Params{ShareWindow: time.Second}, 0)
	spec := newJobSpec("old", "urgent", taskStep(1, 1000, 400))
	spec.Customer, spec.Steps[0].Label = "a", "none"
	p := flow.Progress{NextRound: 1, Rounds: []*flow.Round{flow.NewRound(spec, 0)}}
	p.Rounds[0].Steps[0][0] = flow.Task{Phase: flow.Placed, Run: 1, Worker: "w00"}
	e.AddJob(testTime(0), &flow.Job{Spec: spec, Progress: p})
	e.endWithoutResult(testTime(0), e.jobs["old"].sortedRuns()[0], "lost")
	e.addCustomerJob("b0", "b", "urgent", taskStep(1, 1000, 400))
	e.addCustomerJob("b1", "b", "urgent", taskStep(1, 1000, 400))
	is.True(e.jobs["b1"].beyond)
	is.True(e.queriedJobs(5000)["b1"])
}

// TestGangKeepsItsQuotaDuringQuery guards against a gang that waits for ever
// because smaller steps use its customer's quota while its query is in flight.
func TestGangKeepsItsQuotaDuringQuery(t *testing.T) {
	is := is.New(t)
	e := longQueryEngine(t, Params{}, 8000)
	e.addCustomerJob("g", "a", "urgent", gangStep(4, 2000, 400))
	e.addCustomerJob("s", "a", "q", taskStep(4, 2000, 400))
	is.Equal(e.placed(0), map[string]int{})
	queries := e.TakeOutput().Queries
	is.Equal(len(queries), 1)
	is.Equal(e.placed(10), map[string]int{})
	is.Equal(e.placed(300), map[string]int{})
	tickets := map[string]string{}
	for _, w := range queries[0].Workers {
		tickets[w] = "t"
	}
	e.HandleQueryResult(testTime(320), queries[0], tickets, 2*time.Second, true)
	is.Equal(e.placed(330), map[string]int{"g": 4})
}

// TestGangKeepsItsQuotaBetweenEvaluations guards against a gang that waits for ever
// because smaller steps use its customer's quota in the passes that don't evaluate
// it, while it has tickets and another gang has the partial reservation.
func TestGangKeepsItsQuotaBetweenEvaluations(t *testing.T) {
	is := is.New(t)
	e := longQueryEngine(t, Params{}, 8000)
	e.addCustomerJob("g", "a", "urgent", gangStep(4, 2000, 400))
	is.Equal(e.placed(0), map[string]int{})
	query := e.TakeOutput().Queries[0]
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("full", "q", taskStep(2, 31000, 400))})
	is.Equal(e.placed(300), map[string]int{"full": 2})
	e.HandleQueryResult(testTime(320), query, map[string]string{"w00": "t", "w01": "t"}, 2*time.Second, true)
	e.partialReservations[TaskID{Job: "other"}] = partialReservation{expires: testTime(1000)}
	e.addCustomerJob("s", "a", "q", taskStep(1, 1000, 400))
	is.Equal(e.placed(330), map[string]int{})
	is.Equal(e.placed(335), map[string]int{})
}
