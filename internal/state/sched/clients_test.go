package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestQueuesShareClients guards against a queue whose steps keep all placement
// clients busy, so that the steps of a queue of lower priority never query.
func TestQueuesShareClients(t *testing.T) {
	is := is.New(t)
	service := flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000}
	e := readyEngine(t, 200, service)
	cfg := &flow.Config{Version: 2}
	for i, name := range []string{"first", "second"} {
		cfg.Queues = append(cfg.Queues, flow.Queue{Name: name, Policy: flow.Policy{Service: simService, Priority: i, MaxAttempts: 3, PlacementService: service}})
	}
	e.SetConfig(cfg)
	var names []string
	for i := range 12 {
		names = append(names, fmt.Sprintf("i%02d", i))
	}
	e.SetPlacementClients(names[0], names)
	for _, name := range names {
		e.HandleProbeResult(testTime(0), name, true)
	}
	for i := range 60 {
		e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec(fmt.Sprintf("a%d", i), "first", taskStep(20, 20000, 400))})
		e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec(fmt.Sprintf("b%d", i), "second", taskStep(2, 20000, 400))})
	}
	// Each query is answered after its computed duration, without any ticket.
	type answer struct {
		at time.Time
		q  PlacementQuery
	}
	var pending []answer
	inFlight, answered := map[string]int{}, map[string]int{}
	play := func(fromMs, toMs int) {
		for ms := fromMs; ms < toMs; ms += 10 {
			now := testTime(ms)
			pending = slices.DeleteFunc(pending, func(a answer) bool {
				if a.at.After(now) {
					return false
				}
				inFlight[a.q.Queue]--
				answered[a.q.Queue]++
				e.HandleQueryResult(now, a.q, nil, time.Second, true)
				return true
			})
			e.Schedule(now)
			for _, q := range e.TakeOutput().Queries {
				inFlight[q.Queue]++
				pending = append(pending, answer{now.Add(queryDuration(service, len(q.Workers))), q})
			}
		}
	}
	play(0, 3000)
	if answered["second"] < answered["first"]/2 {
		t.Errorf("%d queries of the second queue were answered beside %d of the first; want at least half as many", answered["second"], answered["first"])
	}
	// Without demand of the other queue, one queue may use more than its half.
	for i := range 60 {
		e.Cancel(testTime(3000), fmt.Sprintf("b%d", i))
		e.AddJob(testTime(3000), &flow.Job{Spec: newJobSpec(fmt.Sprintf("c%d", i), "first", taskStep(20, 20000, 400))})
	}
	play(3000, 5000)
	is.True(inFlight["first"] > len(names)/2)
}

// TestAnswersAboutEndedJobsFreeClients guards against queries that count as in
// flight for good because their job ended before the answer. Their queue seemed
// to use more clients than its share.
func TestAnswersAboutEndedJobsFreeClients(t *testing.T) {
	is := is.New(t)
	service := flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000}
	e := readyEngine(t, 200, service)
	cfg := &flow.Config{Version: 2}
	for i, name := range []string{"first", "second"} {
		cfg.Queues = append(cfg.Queues, flow.Queue{Name: name, Policy: flow.Policy{Service: simService, Priority: i, MaxAttempts: 3, PlacementService: service}})
	}
	e.SetConfig(cfg)
	e.HandleProbeResult(testTime(0), "i1", true)
	e.HandleProbeResult(testTime(0), "i2", true)
	queriesAt := func(ms int) []PlacementQuery {
		e.Schedule(testTime(ms))
		return e.TakeOutput().Queries
	}
	var ended []PlacementQuery
	for i := range 6 {
		id := fmt.Sprintf("a%d", i)
		e.AddJob(testTime(1000*i), &flow.Job{Spec: newJobSpec(id, "first", taskStep(1, 1000, 400))})
		queries := queriesAt(1000 * i)
		is.Equal(len(queries), 1)
		e.Cancel(testTime(1000*i+100), id)
		e.HandleQueryResult(testTime(1000*i+500), queries[0], nil, time.Second, true)
		ended = append(ended, queries...)
	}
	for _, q := range ended {
		is.Equal(len(e.clients[q.Client].inFlight), 0)
	}
	for _, w := range e.workersByID {
		is.Equal(len(w.softReservations), 0)
	}
	// The second queue has one of the two clients for long queries and finds no
	// other. The first one gets its share all the same.
	for i := range 4 {
		e.AddJob(testTime(6000), &flow.Job{Spec: newJobSpec(fmt.Sprintf("b%d", i), "second", taskStep(1, 1000, 400))})
	}
	busy := queriesAt(6000)
	is.Equal(len(busy), 2)
	e.AddJob(testTime(6100), &flow.Job{Spec: newJobSpec("a", "first", taskStep(1, 1000, 400))})
	is.Equal(len(queriesAt(6100)), 0)
	e.HandleQueryResult(testTime(6200), busy[0], nil, time.Second, true)
	queries := queriesAt(6200)
	is.Equal(len(queries), 1)
	is.Equal(queries[0].Job, "a")
}
