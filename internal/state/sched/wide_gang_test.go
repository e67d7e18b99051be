package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestGangWiderThanOneQueryStarts guards against a gang that never gets valid
// tickets for all its workers, because they are more than one query may name.
func TestGangWiderThanOneQueryStarts(t *testing.T) {
	tests := []struct {
		name  string
		tasks int
	}{
		{"as wide as one query", maxQueryWorkers},
		{"wider than one query", maxQueryWorkers + 10},
		{"wider than two queries", 2*maxQueryWorkers + 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 5, 400)
			s.timedQueries, s.allowedShare = true, 0.25
			s.run(time.Second)
			s.submit(newJobSpec("g", "q0", gangStep(tt.tasks, 20000, 500)))
			const limit = 10 * time.Second
			if waited := s.waitForStart("g", limit); waited >= limit {
				t.Errorf("a gang of %d tasks on idle workers did not start within %v; it was queried for %d times", tt.tasks, limit, s.queries["q0"])
			}
			s.run(10 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("g").State, flow.Complete)
		})
	}
}

// TestGangIsQueriedForOnlyOnce guards against gangs that wait for a second query,
// because the first one was about no more workers than find room for the gang
// on average.
func TestGangIsQueriedForOnlyOnce(t *testing.T) {
	is := is.New(t)
	// The objective of a job allows for one query of each step.
	const gangs, minOnce = 30, 24
	service := flow.PlacementService{CallMs: 490, PerWorkerMs: 7, TicketValidMs: 1500}
	oneQuery := queryDuration(service, maxQueryWorkers) + 200*time.Millisecond
	s := newSim(t, 3, 400)
	s.timedQueries, s.placementClients = true, 12
	s.config = &flow.Config{Version: 2, Queues: []flow.Queue{{Name: "gangs", Policy: flow.Policy{Service: simService, MaxAttempts: 3, PlacementService: service}}}}
	s.allowedShares = map[string]float64{"gangs": 0.25}
	s.startLeader()
	s.run(time.Second)
	once := 0
	for i := range gangs {
		id := fmt.Sprintf("g%d", i)
		s.submit(newJobSpec(id, "gangs", gangStep(12, 20000, 500)))
		if s.waitForStart(id, 5*time.Second) <= oneQuery {
			once++
		}
		s.run(2 * time.Second)
	}
	if once < minOnce {
		t.Errorf("%d of %d gangs on idle workers started after one query; want at least %d", once, gangs, minOnce)
	}
	is.Equal(s.violations, nil)
}

// TestWideGangUsesClientsOfLargeSite guards against wide gangs that get their
// tickets by consecutive queries on a site that has idle clients for all of them
// at once.
func TestWideGangUsesClientsOfLargeSite(t *testing.T) {
	is := is.New(t)
	service := flow.PlacementService{CallMs: 490, PerWorkerMs: 7, TicketValidMs: 1500}
	oneQuery := queryDuration(service, maxQueryWorkers) + 200*time.Millisecond
	s := newSim(t, 4, 1100)
	s.timedQueries, s.placementClients = true, 147
	s.config = &flow.Config{Version: 2, Queues: []flow.Queue{{Name: "gangs", Policy: flow.Policy{Service: simService, MaxAttempts: 3, PlacementService: service}}}}
	s.allowedShares = map[string]float64{"gangs": 0.25}
	s.startLeader()
	s.run(5 * time.Second)
	for _, tasks := range []int{30, 60} {
		id := fmt.Sprintf("g%d", tasks)
		s.submit(newJobSpec(id, "gangs", gangStep(tasks, 20000, 500)))
		if waited := s.waitForStart(id, 5*time.Second); waited > oneQuery {
			t.Errorf("a gang of %d tasks on idle workers started after %v; want at most %v, the time of one query", tasks, waited, oneQuery)
		}
		s.run(3 * time.Second)
	}
	is.Equal(s.violations, nil)
}

// TestRenewalNamesMissingTicketsFirst guards against a gang on more workers than
// may be named at once: if workers with valid tickets took the names, those
// without one would never be named.
func TestRenewalNamesMissingTicketsFirst(t *testing.T) {
	is := is.New(t)
	now := testTime(0)
	sp := &stepPlacement{tickets: map[string]ticket{}}
	var chosen []*candidate
	add := func(n int, expires time.Time) {
		for range n {
			w := &worker{WorkerInfo: WorkerInfo{ID: fmt.Sprintf("w%03d", len(chosen))}, lastIncarnation: 1}
			chosen = append(chosen, &candidate{worker: w})
			sp.tickets[w.ID] = ticket{incarnation: 1, expires: expires}
		}
	}
	most := minGangQueries * maxQueryWorkers
	add(most, now.Add(100*time.Millisecond)) // would expire before the answer
	add(most, now.Add(time.Hour))
	add(10, now)
	names := workersToRenew(&schedulingPass{now: now}, sp, flow.PlacementService{CallMs: 300, PerWorkerMs: 4}, chosen, true, most)
	is.Equal(len(names), most)
	is.Equal(names[:10], []string{"w180", "w181", "w182", "w183", "w184", "w185", "w186", "w187", "w188", "w189"})
	is.Equal(names[10], "w000")
	is.Equal(names[most-1], "w079") // none of those that last
}
