package sched

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// dearService is a placement service whose queries keep a client busy for
// longer than the next long query may wait.
var dearService = flow.PlacementService{CallMs: 400, PerWorkerMs: 1, TicketValidMs: 1500}

// addQueue adds a queue without a placement service to the engine's
// configuration.
func addQueue(e *Engine, name string, priority int) {
	config := *e.config
	config.Queues = append(append([]flow.Queue(nil), config.Queues...), flow.Queue{Name: name, Policy: flow.Policy{Service: simService, Priority: priority, MaxAttempts: 3}})
	e.SetConfig(&config)
}

// allTickets returns a ticket for each worker that a query names.
func allTickets(q PlacementQuery) map[string]string {
	tickets := map[string]string{}
	for _, w := range q.Workers {
		tickets[w] = "t"
	}
	return tickets
}

// reasons returns for what the pending steps of a queue wait.
func reasons(s Stats, queue string) map[string]int {
	out := map[string]int{}
	if w := s.Waiting[queue]; w != nil {
		w.EachReason(func(r WaitReason, steps int) { out[r.String()] = steps })
	}
	return out
}

func TestWaitReasons(t *testing.T) {
	add := func(e *Engine, ms int, id, queue string, st flow.Step) {
		e.AddJob(testTime(ms), &flow.Job{Spec: newJobSpec(id, queue, st)})
	}
	schedule := func(e *Engine, ms int) Output {
		e.Schedule(testTime(ms))
		return e.TakeOutput()
	}
	answered := func(e *Engine, ms int, valid time.Duration) {
		q := schedule(e, ms).Queries[0]
		e.HandleQueryResult(testTime(ms+20), q, allTickets(q), valid, true)
	}
	// fill occupies all workers with tasks of a queue without tickets.
	fill := func(e *Engine) {
		add(e, 0, "fill", "plain", taskStep(len(e.workersByID), 32000, 400))
		schedule(e, 0)
	}
	tests := []struct {
		name    string
		arrange func(e *Engine) // leaves the engine as of 100 ms
		want    map[string]int
	}{
		{"nothing waits", func(*Engine) {}, map[string]int{}},
		{"query in flight, other clients unhealthy", func(e *Engine) {
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			add(e, 0, "b", "q", taskStep(1, 1000, 400))
			schedule(e, 0)
		}, map[string]int{"querying": 1, "no-client": 1}},
		{"query failed", func(e *Engine) {
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			q := schedule(e, 0).Queries[0]
			e.HandleQueryResult(testTime(50), q, nil, 0, false)
		}, map[string]int{"blocked": 1}},
		{"before the first pass", func(e *Engine) { add(e, 90, "a", "q", taskStep(1, 1000, 400)) }, map[string]int{"no-tickets-yet": 1}},
		{"tickets have come", func(e *Engine) {
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			answered(e, 0, time.Second)
		}, map[string]int{"next-pass": 1}},
		{"tickets have expired", func(e *Engine) {
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			answered(e, 0, 10*time.Millisecond)
		}, map[string]int{"expired": 1}},
		{"renewal in flight", func(e *Engine) {
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			answered(e, 0, 10*time.Millisecond)
			schedule(e, 40)
		}, map[string]int{"renewing": 1}},
		{"permitted workers full", func(e *Engine) {
			fill(e)
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			answered(e, 0, time.Second)
		}, map[string]int{"no-room": 1}},
		{"capacity reserved for another step", func(e *Engine) {
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			answered(e, 0, time.Second)
			for _, w := range e.workersByID {
				w.reservations = append(w.reservations, reservation{step: TaskID{Job: "g"}, size: w.Capacity, expires: testTime(500)})
			}
		}, map[string]int{"reserved": 1}},
		{"reservation expired", func(e *Engine) {
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			answered(e, 0, time.Second)
			for _, w := range e.workersByID {
				w.reservations = append(w.reservations, reservation{step: TaskID{Job: "g"}, size: w.Capacity, expires: testTime(100)})
			}
		}, map[string]int{"next-pass": 1}},
		{"start refused", func(e *Engine) {
			add(e, 0, "a", "q", taskStep(1, 1000, 400))
			e.jobs["a"].blockedUntil = testTime(110)
		}, map[string]int{"blocked": 1}},
		{"gang that fits only in part", func(e *Engine) {
			add(e, 0, "a", "q", gangStep(6, 30000, 400))
			answered(e, 0, time.Second)
		}, map[string]int{"no-room": 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := readyEngine(t, 4, dearService)
			addQueue(e, "plain", 1)
			tt.arrange(e)
			is.Equal(reasons(e.Stats(testTime(100)), "q"), tt.want)
		})
	}
}

// TestWaitingBeyondAPass checks that steps that need no tickets count as waiting
// for room, and those beyond the steps of a pass as not evaluated.
func TestWaitingBeyondAPass(t *testing.T) {
	tests := []struct {
		name string
		cpu  int64 // used on each worker of 32 cores; the waiting tasks take 24 cores
		want map[string]int
	}{
		// By their level, workers with 20 free cores may have 24.
		{"a worker may have room", 12000, map[string]int{"no-room": maxStepsPerPass, "not-evaluated": 10}},
		{"no worker has room", 32000, map[string]int{"no-room": maxStepsPerPass + 10}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := readyEngine(t, 2, flow.PlacementService{})
			used := taskStep(2, tt.cpu, 400)
			used.MaxPerWorker = 1
			e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("used", "q", used)})
			for i := range maxStepsPerPass + 10 {
				e.AddJob(testTime(i), &flow.Job{Spec: newJobSpec(fmt.Sprintf("a%02d", i), "q", taskStep(1, 24000, 400))})
			}
			e.Schedule(testTime(60))
			s := e.Stats(testTime(100))
			is.Equal(reasons(s, "q"), tt.want)
			is.Equal(s.Waiting["q"].Oldest.Age, 100*time.Millisecond)
			is.Equal(s.PendingSteps, maxStepsPerPass+10)
		})
	}
}

func TestCPUShares(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 4, flow.PlacementService{})
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("a", "q", taskStep(4, 16000, 400))})
	e.Schedule(testTime(0))
	is.Equal(e.Stats(testTime(1)).CPU, CPUShares{Used: 0.5, Unconfirmed: 0.5})
	e.HandleCommit(testTime(10), e.Batch())
	for i, o := range e.TakeOutput().Orders {
		if i < 2 {
			e.HandleStartAnswer(testTime(20), o, AnswerOK, 0)
		}
	}
	is.Equal(e.Stats(testTime(21)).CPU, CPUShares{Used: 0.5, Unconfirmed: 0.25})

	// Three quarters of the 128 cores don't fit beside the runs.
	e.AddJob(testTime(30), &flow.Job{Spec: newJobSpec("g", "q", gangStep(4, 24000, 400))})
	e.Schedule(testTime(30))
	s := e.Stats(testTime(31))
	is.True(s.CPU.Reserved > 0)
	is.True(s.CPU.ReservedIdle <= 0.5)
	is.Equal(s.ReservingSteps, 1)
	s = e.Stats(testTime(30).Add(reservationTime))
	is.Equal(s.CPU.Reserved, 0.0)
	is.Equal(s.ReservingSteps, 0)

	e.Cancel(testTime(40), "a")
	s = e.Stats(testTime(41))
	is.Equal(s.CPU.Stopping, 0.5)
	is.Equal(s.CPU.Unconfirmed, 0.0)
	is.True(math.Abs(s.CPU.Used-0.5) < 1e-9)
}

// TestActivity follows a step from its query to the record of its end.
func TestActivity(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 4, dearService)
	addQueue(e, "plain", 1)
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("a", "q", taskStep(2, 20000, 400))})
	e.Schedule(testTime(10))
	q := e.TakeOutput().Queries[0]
	is.Equal(len(q.Workers), 4)

	// Two of the workers that it names are filled while the query is in flight.
	e.AddJob(testTime(20), &flow.Job{Spec: newJobSpec("fill", "plain", taskStep(2, 32000, 400))})
	e.Schedule(testTime(20))
	e.HandleQueryResult(testTime(40), q, allTickets(q), time.Second, true)
	e.Schedule(testTime(50))
	a := e.TakeActivity()
	is.Equal(a.LongQueryTime, 404*time.Millisecond)
	is.Equal(a.QuickQueryTime, time.Duration(0))
	got := *a.Queues["q"]
	is.Equal(got.Queries, [queryPurposes]int{QueryFirst: 1})
	is.Equal(got.Latencies[LatencyQuery], LatencySum{1, 30 * time.Millisecond})
	is.Equal(got.Latencies[LatencyFirstPlacement], LatencySum{1, 50 * time.Millisecond})
	is.Equal(got.Latencies[LatencyLastPlacement], LatencySum{1, 50 * time.Millisecond})
	got.Queries, got.Latencies = [queryPurposes]int{}, [latencies]LatencySum{}
	is.Equal(got, QueueActivity{WorkersNamed: 4, NamedFull: 0, Answers: 1, Tickets: 4, TicketsNoRoom: 2, TicketsTaken: 2, TicketsUsed: 2, TasksPlaced: 2})
	is.Equal(len(e.TakeActivity().Queues), 0)

	e.HandleCommit(testTime(60), e.Batch())
	for _, o := range e.TakeOutput().Orders {
		if o.Task.Job == "a" {
			e.HandleStartAnswer(testTime(80), o, AnswerOK, 0)
		}
	}
	confirmed := e.TakeActivity().Queues["q"].Latencies[LatencyConfirmation]
	is.Equal(confirmed, LatencySum{2, 60 * time.Millisecond})
	for _, r := range e.jobs["a"].sortedRuns() {
		e.handleEnd(testTime(500), r, End{Number: 1, Task: r.id, Run: r.number, Kind: EndDone})
	}
	e.HandleCommit(testTime(512), e.Batch())
	a = e.TakeActivity()
	is.Equal(a.Samples, []LatencySample{{LatencyEndRecord, "q", 12 * time.Millisecond}})
	is.Equal(e.jobs["a"].State, flow.Complete)
	is.Equal(len(e.jobs["a"].startable), 0)
}

// TestOldestStep checks the figures of a gang of which only a part fits.
func TestOldestStep(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 4, dearService)
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("g", "q", gangStep(6, 15000, 400))})
	e.AddJob(testTime(30), &flow.Job{Spec: newJobSpec("h", "q", gangStep(6, 15000, 400))})
	e.Schedule(testTime(0))
	q := e.TakeOutput().Queries[0]
	is.Equal(q.Job, "g")
	tickets := allTickets(q)
	delete(tickets, q.Workers[0])
	delete(tickets, q.Workers[1])
	e.HandleQueryResult(testTime(20), q, tickets, 200*time.Millisecond, true)
	want := OldestStep{Name: "g.0.0", Age: 50 * time.Millisecond, Reason: WaitNoRoom, IdleTasks: 6, Permitted: 2, Rejected: 2, Fit: 4, ValidFit: 4}
	is.Equal(e.Stats(testTime(50)).Waiting["q"].Oldest, want)
	want.Age, want.ValidFit = 150*time.Millisecond, 0
	is.Equal(e.Stats(testTime(150)).Waiting["q"].Oldest, want)
}

// TestTicketsOfFullWorkers checks that a ticket of a worker that had no room
// when it was named does not count as taken.
func TestTicketsOfFullWorkers(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 4, dearService)
	addQueue(e, "plain", 1)
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("fill", "plain", taskStep(3, 32000, 400))})
	e.Schedule(testTime(0))
	e.AddJob(testTime(10), &flow.Job{Spec: newJobSpec("a", "q", taskStep(4, 20000, 400))})
	e.Schedule(testTime(10))
	q := e.TakeOutput().Queries[0]
	e.HandleQueryResult(testTime(40), q, allTickets(q), time.Second, true)
	got := e.TakeActivity().Queues["q"]
	is.Equal(got.NamedFull, len(q.Workers)-1)
	is.Equal(got.TicketsNoRoom, len(q.Workers)-1)
	is.Equal(got.TicketsTaken, 0)
}

// TestQueryPurposes checks that queries about workers without an answer and
// renewals of tickets are told apart.
func TestQueryPurposes(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 48, dearService)
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("a", "q", taskStep(1, 1000, 400))})
	purposes := func(ms int) [queryPurposes]int {
		e.Schedule(testTime(ms))
		return e.TakeActivity().Queues["q"].Queries
	}
	is.Equal(purposes(0), [queryPurposes]int{QueryFirst: 1})
	e.HandleQueryResult(testTime(10), e.TakeOutput().Queries[0], nil, time.Second, true)
	is.Equal(purposes(20), [queryPurposes]int{QueryFurther: 1})
	q := e.TakeOutput().Queries[0]
	e.HandleQueryResult(testTime(30), q, allTickets(q), 10*time.Millisecond, true)
	is.Equal(purposes(40), [queryPurposes]int{QueryRenewal: 1})
}

// TestDependentStepsAreTimedFromTheirDependencies checks that the wait of a step
// counts from the end of the steps that it depends on.
func TestDependentStepsAreTimedFromTheirDependencies(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 1, flow.PlacementService{})
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("a", "q", taskStep(1, 1000, 400), withDependencies(taskStep(1, 1000, 400), 0))})
	e.Schedule(testTime(5))
	e.TakeActivity()
	r := e.jobs["a"].sortedRuns()[0]
	e.handleEnd(testTime(400), r, End{Number: 1, Task: r.id, Run: r.number, Kind: EndDone})
	is.Equal(e.Stats(testTime(430)).Waiting["q"].Oldest.Age, 30*time.Millisecond)
	e.Schedule(testTime(450))
	is.Equal(e.TakeActivity().Queues["q"].Latencies[LatencyFirstPlacement], LatencySum{1, 50 * time.Millisecond})
}

// TestStrandedJobsAreCounted guards against a job that the engine has lost track
// of and of which the logs show nothing.
func TestStrandedJobsAreCounted(t *testing.T) {
	is := is.New(t)
	e := New(Params{MaxLease: time.Second, LeaderLease: time.Second}, testTime(0))
	e.SetConfig(&flow.Config{Version: 1, Queues: []flow.Queue{{Name: "plain", Policy: flow.Policy{Service: simService}}}})
	repeated := newJobSpec("repeated", "plain", taskStep(1, 1000, 400))
	repeated.Repeat = flow.Repeat{Times: 2, FirstStartMs: testTime(5000).UnixMilli(), IntervalMs: 1000}
	for _, spec := range []*flow.Spec{repeated, newJobSpec("a", "plain", taskStep(1, 1000, 400)), newJobSpec("b", "plain", taskStep(1, 1000, 400))} {
		e.AddJob(testTime(0), &flow.Job{Spec: spec})
	}
	is.Equal(e.Stats(testTime(0)).Stranded, 0)
	delete(e.pendingJobs, e.jobs["a"])
	s := e.Stats(testTime(0))
	is.Equal(s.Stranded, 1)
	is.Equal(s.StrandedJob, "a")
}
