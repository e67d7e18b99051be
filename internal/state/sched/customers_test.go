package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

// TestQuotaHoldsUnderFaults guards against starts beyond a quota after leader
// changes, lost and late answers, stops under way and lowered quotas, and against
// jobs that a quota keeps waiting for ever. The simulated workers check each start.
func TestQuotaHoldsUnderFaults(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, uint64(rapid.IntRange(1, 1<<30).Draw(rt, "seed")), 8)
		s.taskFailureRate = 0.03
		s.run(time.Second)
		s.setQuota(rapid.Int64Range(27000, 60000).Draw(rt, "quota"))
		n := 0
		for range rapid.IntRange(2, 8).Draw(rt, "rounds") {
			for range rapid.IntRange(1, 5).Draw(rt, "jobs") {
				spec := drawJob(rt, fmt.Sprintf("j%d", n))
				spec.Customer = rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "customer")
				s.submit(spec)
				n++
			}
			if rapid.IntRange(0, 3).Draw(rt, "change") == 0 {
				s.setQuota(rapid.Int64Range(27000, 60000).Draw(rt, "new quota"))
			}
			s.injectFault(rt, rapid.SampledFrom(simFaultKinds).Draw(rt, "fault"), s.workers[rapid.SampledFrom(s.workerNames).Draw(rt, "worker")], time.Duration(rapid.IntRange(200, 7000).Draw(rt, "ms"))*time.Millisecond)
			s.run(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		for range 100 {
			if s.run(2 * time.Second); s.allJobsEnded() {
				break
			}
		}
		if len(s.violations) > 0 {
			rt.Fatalf("invariant violated: %s", s.violations[0])
		}
		if !s.allJobsEnded() {
			rt.Fatalf("jobs wait for ever: %+v", s.engine.Customers(s.now))
		}
	})
}

// setQuota sets the quota of customers a and b in millicores. Starts that a
// worker carries out late may have been ordered under the quota before.
func (s *sim) setQuota(cpu int64) {
	s.config = withCustomers(s.config.Queues, cpu)
	if s.engine != nil {
		s.engine.SetConfig(s.config)
	}
	s.quota = max(s.quota, cpu)
	s.after(13*time.Second, func() { s.quota = s.config.Customers[0].MaxRunning.CPU })
}

// customerEngine returns an engine with two workers of 32 cores, two queues
// without tickets, of which the first is more urgent, and customers a, b and c of
// weight 1 with the given quota of processors.
func customerEngine(t *testing.T, p Params, quota int64) *Engine {
	e := readyEngine(t, 2, flow.PlacementService{})
	e.params.MaxConfigAge, e.params.ShareWindow = p.MaxConfigAge, p.ShareWindow
	lower := e.config.Queues[0]
	lower.Policy.Priority = 1
	e.config.Queues[0].Name = "urgent"
	e.SetConfig(withCustomers(append(e.config.Queues, lower), quota))
	return e
}

// withCustomers returns a configuration with customers a, b and c of weight 1 with
// the given quota in millicores.
func withCustomers(queues []flow.Queue, quota int64) *flow.Config {
	cfg := &flow.Config{Version: 2, Queues: queues, CustomersOn: true}
	for _, name := range []string{"a", "b", "c"} {
		cfg.Customers = append(cfg.Customers, flow.Customer{Name: name, Weight: 1, MaxRunning: work.Size{CPU: quota}})
	}
	return cfg
}

func (e *Engine) addCustomerJob(id, customer, queue string, steps ...flow.Step) {
	e.addCustomerJobAt(0, id, customer, queue, steps...)
}

func (e *Engine) addCustomerJobAt(ms int, id, customer, queue string, steps ...flow.Step) {
	spec := newJobSpec(id, queue, steps...)
	spec.Customer, spec.AcceptedMs, spec.Policy.SlackMs = customer, testTime(ms).UnixMilli(), 60000
	spec.MaxRunning = work.Size{CPU: 20000}
	e.AddJob(testTime(ms), &flow.Job{Spec: spec})
}

// placed makes a pass and returns the number of tasks that it has placed by job.
func (e *Engine) placed(ms int) map[string]int {
	e.Tick(testTime(ms))
	before := len(e.unsavedStarts)
	e.Schedule(testTime(ms))
	n := map[string]int{}
	for _, r := range e.unsavedStarts[before:] {
		n[r.id.Job]++
	}
	return n
}

// TestQuotaBoundsStarts guards against starts beyond a quota, of filling tasks too,
// and against customers at their quota that hold the others back by the steps
// evaluated in a pass or by reservations of gangs.
func TestQuotaBoundsStarts(t *testing.T) {
	is := is.New(t)
	e := customerEngine(t, Params{}, 20000)
	for i := range 2 * maxStepsPerPass {
		e.addCustomerJob(fmt.Sprintf("a%d", i), "a", "urgent", gangStep(2, 15000, 400))
	}
	e.addCustomerJob("w", "a", "q", taskStep(9, 4000, 400))
	filling := taskStep(9, 4000, 400)
	filling.Filling = true
	e.addCustomerJob("f", "b", "q", filling)
	e.addCustomerJob("g", "c", "q", gangStep(5, 4000, 400))
	e.addCustomerJob("h", "c", "q", gangStep(2, 4000, 400))
	is.Equal(e.placed(0), map[string]int{"w": 5, "f": 5, "g": 5}) // a step in part, a gang whole or not at all
	is.Equal(e.placed(1), map[string]int{})
	for _, w := range e.workersByID {
		is.Equal(len(w.reservations), 0)
	}
	is.Equal(e.Stats(testTime(0)).Waiting["urgent"].ByReason[WaitQuota], 2*maxStepsPerPass)
}

// TestGangGetsItsQuota guards against a gang that waits for ever at its customer's
// quota because smaller steps use what each run leaves.
func TestGangGetsItsQuota(t *testing.T) {
	is := is.New(t)
	e := customerEngine(t, Params{}, 8000)
	e.addCustomerJob("s", "a", "q", taskStep(6, 2000, 400))
	is.Equal(e.placed(0), map[string]int{"s": 4})
	e.addCustomerJob("g", "a", "urgent", gangStep(3, 2000, 400))
	for _, want := range []map[string]int{{}, {}, {"g": 3}} {
		e.endWithoutResult(testTime(1), e.jobs["s"].sortedRuns()[0], "lost")
		is.Equal(e.placed(1), want)
	}
}

// TestNewLeaderCountsAdoptedRuns guards against a new leader that starts tasks
// beyond a quota before the workers with the runs of its predecessor have answered,
// and one that forgets a quota with its customer.
func TestNewLeaderCountsAdoptedRuns(t *testing.T) {
	is := is.New(t)
	e := customerEngine(t, Params{}, 20000)
	spec := newJobSpec("old", "q", taskStep(6, 4000, 400))
	spec.Customer, spec.MaxRunning = "gone", work.Size{CPU: 20000}
	p := flow.Progress{NextRound: 1, Rounds: []*flow.Round{flow.NewRound(spec, 0)}}
	for i := range 4 {
		p.Rounds[0].Steps[0][i] = flow.Task{Phase: flow.Placed, Run: 1, Worker: "silent"}
	}
	e.AddJob(testTime(0), &flow.Job{Spec: spec, Progress: p})
	is.Equal(e.placed(0), map[string]int{"old": 1})
	e.Cancel(testTime(1), "old") // its runs are being stopped
	e.addCustomerJobAt(1, "other", "gone", "q", taskStep(1, 4000, 400))
	is.Equal(e.placed(1), map[string]int{})
}

// TestLoweredQuotaDropsWaitingStarts guards against starts that wait for the store
// or for an answer and are sent although the quota has been lowered meanwhile or is
// too old to be known.
func TestLoweredQuotaDropsWaitingStarts(t *testing.T) {
	is := is.New(t)
	e := customerEngine(t, Params{MaxConfigAge: 3 * time.Second}, 20000)
	e.addCustomerJob("j", "a", "q", taskStep(5, 4000, 400))
	is.Equal(e.placed(0), map[string]int{}) // the time of the configuration is not known
	e.SetConfigTime(testTime(0))
	is.Equal(e.placed(3000), map[string]int{"j": 5})
	e.SetConfig(withCustomers(e.config.Queues, 8000))
	e.HandleCommit(testTime(3000), e.Batch())
	starts := startOrders(e)
	is.Equal(len(starts), 2)
	is.Equal(e.Customers(testTime(3000))[0].Running.CPU, int64(8000))
	e.SetConfig(withCustomers(e.config.Queues, 4000))
	for _, o := range starts {
		e.HandleStartAnswer(testTime(3000), o, AnswerNone, 0)
	}
	is.Equal(len(startOrders(e)), 0) // not repeated
	is.Equal(len(e.jobs["j"].runs), 2)
	e.SetConfig(withCustomers(e.config.Queues, 20000))
	is.Equal(e.placed(3001), map[string]int{}) // the configuration is too old
}

func startOrders(e *Engine) (starts []Order) {
	for _, o := range e.TakeOutput().Orders {
		if o.Kind == OrderStart {
			starts = append(starts, o)
		}
	}
	return starts
}

// TestOrderOfCustomers guards against an order of steps other than: within the
// weight before beyond it, then priority, then the least share above the allowance,
// which rises with each placed step, then arrival.
func TestOrderOfCustomers(t *testing.T) {
	is := is.New(t)
	e := customerEngine(t, Params{ShareWindow: 2 * time.Second}, 0)
	for i := range 3 { // two are within the weight
		e.addCustomerJob(fmt.Sprintf("a%d", i), "a", "urgent", taskStep(1, 1000, 400))
	}
	e.addCustomerJob("b0", "b", "q", taskStep(2, 22000, 400)) // above the allowance of two thirds
	for _, id := range []string{"b1", "c0", "c1"} {
		e.addCustomerJob(id, id[:1], "q", taskStep(1, 1000, 400))
	}
	e.addCustomerJob("n", "", "q", taskStep(1, 1000, 400))
	e.Tick(testTime(0))
	e.Schedule(testTime(0))
	var order []string
	for _, r := range e.unsavedStarts {
		order = append(order, r.id.Job)
	}
	is.Equal(order, []string{"a0", "a1", "b0", "b0", "c0", "c1", "n", "b1", "a2"})
}

// TestPreemptionFollowsShares guards against preemption for work beyond the weight,
// of a customer below its share for one above, and of the wrong customer first.
func TestPreemptionFollowsShares(t *testing.T) {
	for _, tt := range []struct {
		by     string
		beyond bool
		want   string // customer of the runs that give way
	}{{"a", false, ""}, {"c", false, "a"}, {"c", true, ""}} {
		is := is.New(t)
		e := customerEngine(t, Params{ShareWindow: time.Second}, 0)
		low, high := taskStep(4, 4000, 9000), taskStep(12, 4000, 9000)
		low.Checkpointing, high.Checkpointing = true, tt.by != "a"
		e.addCustomerJob("y", "b", "q", low)
		e.addCustomerJob("x", "a", "q", high)
		e.placed(0)
		e.HandleCommit(testTime(0), e.Batch())
		for _, o := range startOrders(e) {
			e.HandleStartAnswer(testTime(0), o, AnswerOK, 0)
		}
		if tt.beyond { // this job is within the weight
			e.addCustomerJobAt(5000, "z", tt.by, "q", taskStep(1, 32000, 9000))
		}
		e.addCustomerJobAt(5000, "u", tt.by, "urgent", taskStep(1, 4000, 400))
		e.placed(5000)
		got := ""
		for _, w := range e.workersByID {
			for _, r := range w.sortedRuns() {
				if r.stopReason != "" {
					got += r.job.Customer
				}
			}
		}
		is.Equal(got, tt.want)
	}
}

// TestStepThatCannotRunClaimsNoQuota guards against a step that no worker can run
// and that keeps its customer's other steps from querying for tickets.
func TestStepThatCannotRunClaimsNoQuota(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, 2, flow.PlacementService{CallMs: 10, TicketValidMs: 2000})
	e.SetConfig(withCustomers(e.config.Queues, 4000))
	never := taskStep(4, 1000, 400)
	never.Label = "none"
	e.addCustomerJob("u", "a", "q", never)
	e.addCustomerJob("v", "a", "q", taskStep(4, 1000, 400))
	e.Schedule(testTime(0))
	queries := e.TakeOutput().Queries
	is.Equal(len(queries), 1)
	is.Equal(queries[0].Job, "v")
}
