package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestFirstQueryNamesNeededAndCheapWorkers checks that the first query about a
// step names as many workers as the step should need, and more as long as
// naming them adds little to the duration of the query. Fewer would cost a
// second query, more would make each query longer.
func TestFirstQueryNamesNeededAndCheapWorkers(t *testing.T) {
	tests := []struct {
		name    string
		count   int
		cpu     int64
		service flow.PlacementService
		want    int
	}{
		{"narrow step, dear call", 1, 1000, flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000}, 18},
		{"narrow step, cheap call", 1, 1000, flow.PlacementService{CallMs: 4, PerWorkerMs: 4, TicketValidMs: 2000}, minQueryWorkers},
		{"naming costs nothing", 1, 1000, flow.PlacementService{CallMs: 4, TicketValidMs: 2000}, maxQueryWorkers},
		{"wide step", 60, 9000, flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000}, maxQueryWorkers},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := readyEngine(t, 48, tt.service)
			j := newJobSpec("a", "q", taskStep(tt.count, tt.cpu, 400))
			now := testTime(0)
			e.AddJob(now, &flow.Job{Spec: j})
			e.Tick(now)
			e.Schedule(now)
			out := e.TakeOutput()
			is.Equal(len(out.Queries), 1)
			is.Equal(len(out.Queries[0].Workers), tt.want)
		})
	}
}

// TestQueriesMoveFromFailedClient checks that no step waits for a placement
// client that may be gone. A client that has not answered anything yet is
// probed before it gets a query. When a client does not answer one query, all
// of its queries in flight are sent through another client.
func TestQueriesMoveFromFailedClient(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 48, flow.PlacementService{CallMs: 10, PerWorkerMs: 0.1, TicketValidMs: 2000})
	schedule := func(ms int) (queries []PlacementQuery, probes []string) {
		e.Tick(testTime(ms))
		e.Schedule(testTime(ms))
		out := e.TakeOutput()
		return out.Queries, out.Probes
	}
	for i := range 6 {
		e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec(fmt.Sprintf("a%d", i), "q", taskStep(1, 1000, 400))})
	}
	is.True(e.clients["i1"].probing && e.clients["i2"].probing)
	queries, _ := schedule(0)
	for _, q := range queries {
		is.Equal(q.Client, "i0")
	}
	e.HandleProbeResult(testTime(5), "i1", true)
	e.HandleProbeResult(testTime(5), "i2", false)
	for i := range 6 {
		e.AddJob(testTime(10), &flow.Job{Spec: newJobSpec(fmt.Sprintf("b%d", i), "q", taskStep(1, 1000, 400))})
	}
	queries, _ = schedule(10)
	var failed []PlacementQuery
	for _, q := range queries {
		is.True(q.Client != "i2")
		if q.Client == "i1" {
			failed = append(failed, q)
		}
	}
	is.True(len(failed) > 1)
	e.HandleQueryResult(testTime(20), failed[0], nil, 0, false)
	queries, _ = schedule(20)
	requeried := map[string]bool{}
	for _, q := range queries {
		is.Equal(q.Client, "i0")
		requeried[q.Job] = true
	}
	for _, q := range failed[1:] {
		is.True(requeried[q.Job])
	}
	_, probes := schedule(1000)
	is.Equal(probes, []string{"i1", "i2"})
}

func testTime(ms int) time.Time { return time.UnixMilli(1e9).Add(time.Duration(ms) * time.Millisecond) }

// readyEngine returns an engine with idle workers of 32 cores that have
// answered a poll, one queue whose policy has the given placement service, and
// three placement clients.
func readyEngine(t testing.TB, workers int, service flow.PlacementService) *Engine {
	t.Helper()
	now := testTime(-100)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, now)
	e.SetConfig(&flow.Config{Version: 1, Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: simService, MaxAttempts: 3, PlacementService: service}}}})
	e.SetPlacementClients("i0", []string{"i0", "i1", "i2"})
	var list []WorkerInfo
	for i := range workers {
		list = append(list, WorkerInfo{ID: fmt.Sprintf("w%02d", i), Addr: "x", Service: simService, Capacity: work.Size{CPU: 32000, Memory: 128 << 10}, Incarnation: 1})
	}
	e.SetWorkers(now, list)
	e.Tick(now)
	for _, o := range e.TakeOutput().Orders {
		e.HandlePollReport(now, o, Report{Incarnation: 1, Clock: time.Second})
	}
	return e
}

// TestQueriesInFlightNameOtherWorkers guards against steps that query for the
// same workers at the same time. When the answers came, the first step took the
// capacity and the others had to query again.
func TestQueriesInFlightNameOtherWorkers(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 48, flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000})
	e.HandleProbeResult(testTime(0), "i1", true)
	e.HandleProbeResult(testTime(0), "i2", true)
	for _, id := range []string{"a", "b"} {
		e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec(id, "q", taskStep(1, 30000, 400))})
	}
	e.Tick(testTime(0))
	e.Schedule(testTime(0))
	queries := e.TakeOutput().Queries
	is.Equal(len(queries), 2)
	named := map[string]bool{}
	for _, w := range queries[0].Workers {
		named[w] = true
	}
	for _, w := range queries[1].Workers {
		if named[w] {
			t.Errorf("both queries name worker %q", w)
		}
	}
	// Without an answer the soft reservations expire, and the workers may be named again.
	e.AddJob(testTime(3000), &flow.Job{Spec: newJobSpec("c", "q", taskStep(1, 30000, 400))})
	e.Schedule(testTime(3000))
	queries = e.TakeOutput().Queries
	is.Equal(len(queries), 1)
	for _, w := range queries[0].Workers {
		is.True(named[w])
	}
}

// TestStepWithoutRoomDoesNotQueryOn guards against steps that use up the
// placement clients while no worker has room for them. Once a step knows enough
// workers that may run it, it waits for room there.
func TestStepWithoutRoomDoesNotQueryOn(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang=%v", gang), func(t *testing.T) {
			is := is.New(t)
			e := readyEngine(t, 100, flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000})
			setUsed := func(cpu int64) {
				for _, w := range e.workersByID {
					w.used = work.Size{CPU: cpu, Memory: 1000}
					e.index.update(w)
				}
			}
			setUsed(23500)
			st := taskStep(4, 9000, 400)
			st.Gang = gang
			now := testTime(0)
			e.AddJob(now, &flow.Job{Spec: newJobSpec("a", "q", st)})
			queries := 0
			schedule := func() {
				e.Tick(now)
				e.Schedule(now)
				for _, q := range e.TakeOutput().Queries {
					queries++
					now = now.Add(420 * time.Millisecond)
					tickets := map[string]string{}
					for _, w := range q.Workers {
						tickets[w] = "t"
					}
					e.HandleQueryResult(now, q, tickets, 2*time.Second, true)
				}
				now = now.Add(10 * time.Millisecond)
			}
			for range 100 {
				schedule()
			}
			is.Equal(queries, 1)
			setUsed(18000)
			for range 100 {
				schedule()
			}
			is.Equal(len(e.jobs["a"].runs), 4)
		})
	}
}

// TestGangQueriesRunAtTheSameTime guards against a gang whose first tickets
// expire before its last ones arrive.
func TestGangQueriesRunAtTheSameTime(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 200, flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 1500})
	names := []string{"i0", "i1", "i2", "i3", "i4", "i5"}
	e.SetPlacementClients("i0", names)
	for _, name := range names {
		e.HandleProbeResult(testTime(0), name, true)
	}
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("a", "q", gangStep(60, 20000, 400))})
	e.Schedule(testTime(0))
	queries := e.TakeOutput().Queries
	is.Equal(len(queries), minGangQueries)
	clients, workers := map[string]bool{}, map[string]bool{}
	for _, q := range queries {
		clients[q.Client] = true
		for _, w := range q.Workers {
			workers[w] = true
		}
	}
	is.Equal(len(clients), minGangQueries)
	is.Equal(len(workers), minGangQueries*maxQueryWorkers)
	// One client fails: the step is queried for again when the others have
	// answered.
	e.HandleQueryResult(testTime(100), queries[0], nil, 0, false)
	e.Schedule(testTime(300))
	is.Equal(len(e.TakeOutput().Queries), 0)
	for _, q := range queries[1:] {
		tickets := map[string]string{}
		for _, w := range q.Workers {
			tickets[w] = "t"
		}
		e.HandleQueryResult(testTime(420), q, tickets, 1500*time.Millisecond, true)
	}
	e.Schedule(testTime(420))
	is.Equal(len(e.jobs["a"].runs), 60)
}

// TestGangsWithoutRoomLeaveClientsToOthers guards against gangs that query about
// workers without free capacity, which does not let them start. Only gangs that
// may reserve capacity partially need to know such workers, and gangs whose
// queries are quick, which may preempt there.
func TestGangsWithoutRoomLeaveClientsToOthers(t *testing.T) {
	const gangs = 6
	tests := []struct {
		name    string
		service flow.PlacementService
		want    int // gangs that query
	}{
		{"long queries", flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000}, maxPartialReservations},
		{"quick queries", flow.PlacementService{CallMs: 5, PerWorkerMs: 0.1, TicketValidMs: 2000}, gangs},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := readyEngine(t, 200, tt.service)
			names := []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"}
			e.SetPlacementClients("i0", names)
			for _, name := range names {
				e.HandleProbeResult(testTime(0), name, true)
			}
			for _, w := range e.workersByID {
				w.used = work.Size{CPU: 23500, Memory: 1000}
				e.index.update(w)
			}
			for i := range gangs {
				e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec(fmt.Sprintf("a%d", i), "q", gangStep(4, 9000, 400))})
			}
			e.Schedule(testTime(0))
			jobs := map[string]bool{}
			for _, q := range e.TakeOutput().Queries {
				jobs[q.Job] = true
			}
			is.Equal(len(jobs), tt.want)
		})
	}
}
