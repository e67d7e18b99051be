package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestPassEvaluatesBoundedSteps guards against a pass whose cost grows with the
// backlog: a leader that evaluates each of a thousand waiting steps in each pass
// has no time left for anything else. Later passes must reach all steps.
func TestPassEvaluatesBoundedSteps(t *testing.T) {
	is := is.New(t)
	const jobs = 1000
	e := readyEngine(t, 48, flow.PlacementService{CallMs: 0.01, TicketValidMs: 2000})
	for i := range jobs {
		e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec(fmt.Sprintf("a%d", i), "q", taskStep(1, 1000, 400))})
	}
	queried := map[string]bool{}
	for pass := range jobs/maxStepsPerPass + 1 {
		e.Schedule(testTime(10 * pass))
		queries := e.TakeOutput().Queries
		is.True(len(queries) <= maxStepsPerPass)
		for _, q := range queries {
			queried[q.Job] = true
		}
	}
	is.Equal(len(queried), jobs)
}

// TestQuickQueriesDoNotWaitBehindLongOnes checks that a backlog of long queries
// is not handed to the placement clients at once, and leaves one of them free
// for quick queries. Otherwise short jobs would wait for seconds behind tickets
// that expire before they can be used.
func TestQuickQueriesDoNotWaitBehindLongOnes(t *testing.T) {
	is := is.New(t)
	long := flow.PlacementService{CallMs: 400, PerWorkerMs: 4, TicketValidMs: 2000}
	quick := flow.PlacementService{CallMs: 5, PerWorkerMs: 0.1, TicketValidMs: 2000}
	now := testTime(0)
	e := readyEngine(t, 48, long)
	e.HandleProbeResult(now, "i1", true)
	e.HandleProbeResult(now, "i2", true)
	for i := range 30 {
		e.AddJob(now, &flow.Job{Spec: newJobSpec(fmt.Sprintf("a%d", i), "q", taskStep(1, 1000, 400))})
	}
	e.Schedule(now)
	clients := map[string]int{}
	for _, q := range e.TakeOutput().Queries {
		is.True(!q.Quick)
		clients[q.Client]++
	}
	is.True(len(clients) > 0)
	for _, n := range clients {
		is.Equal(n, 1)
	}
	e.AddJob(now, &flow.Job{Spec: newJobSpec("b", "q", taskStep(1, 1000, 400))})
	is.Equal(len(e.query(now, e.jobs["b"], 0, 0, quick, []string{"w00"})), 1)
	queries := e.TakeOutput().Queries
	is.Equal(len(queries), 1)
	is.True(queries[0].Quick)
	is.Equal(clients[queries[0].Client], 0)
}

// TestBacklogOfGangsIsEvaluatedInEachPass guards against passes that evaluate
// every gang of a backlog again and again while nothing has changed for it: with
// a hundred of them, passes took 40 to 70 ms, and starts were confirmed after
// 0.3 s, in which their processors were idle. A gang is evaluated at once when a
// query about it is answered.
func TestBacklogOfGangsIsEvaluatedInEachPass(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 48, flow.PlacementService{CallMs: 400, PerWorkerMs: 4, TicketValidMs: 2000})
	gang := taskStep(200, 12000, 4000) // more than all workers have
	gang.Gang = true
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("a", "q", gang)})
	e.Schedule(testTime(0))
	queries := e.TakeOutput().Queries
	is.True(len(queries) > 0)
	evaluated := func(ms int) int {
		p := &schedulingPass{now: testTime(ms), candidates: map[*worker]*candidate{}}
		e.placeSteps(p, e.pendingSteps(p.now), maxStepsPerPass)
		return p.stepsEvaluated
	}
	for _, q := range queries {
		tickets := map[string]string{}
		for _, w := range q.Workers {
			tickets[w] = "t"
		}
		e.HandleQueryResult(testTime(10), q, tickets, 2*time.Second, true)
	}
	is.Equal(evaluated(10), 1) // the answer has come
	is.Equal(evaluated(18), 0)
	is.Equal(evaluated(40), 0)
	is.Equal(evaluated(51), 1)
}

// TestSearchesOfBacklogAreBounded guards against a backlog of gangs without room
// whose searches for workers to query take the leader's processor: passes came
// 14 times a second instead of 115, and quick steps waited for them.
func TestSearchesOfBacklogAreBounded(t *testing.T) {
	// A search may look at all workers, which takes some 0.5 ms at 1,100 of them.
	// Searches may take a tenth of a processor.
	const maxPerSecond = 200
	for _, gangs := range []int{50, 100, 200} {
		t.Run(fmt.Sprintf("gangs=%d", gangs), func(t *testing.T) {
			e := readyEngine(t, 300, flow.PlacementService{CallMs: 400, PerWorkerMs: 4, TicketValidMs: 2000})
			for _, w := range e.workersByID {
				w.used = work.Size{CPU: 30000, Memory: 1000}
				e.index.update(w)
			}
			for i := range gangs {
				e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec(fmt.Sprintf("g%03d", i), "q", gangStep(400, 9000, 400))})
			}
			searches := func(fromMs, toMs int) int {
				n := 0
				for ms := fromMs; ms < toMs; ms += 8 {
					now := testTime(ms)
					p := e.newPass(now, e.pendingSteps(now))
					e.placeSteps(p, e.pendingSteps(now), gangs)
					n += p.stepsEvaluated
				}
				return n
			}
			searches(0, 1000)
			if n := searches(1000, 3000) / 2; n > maxPerSecond {
				t.Errorf("a backlog of %d gangs searched %d times a second; want at most %d", gangs, n, maxPerSecond)
			}
		})
	}
}
