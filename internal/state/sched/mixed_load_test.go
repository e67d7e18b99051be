package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// loadClass is one kind of job in a simulated load.
type loadClass struct {
	queue         string
	policy        flow.Policy
	allowedShare  float64
	perSecond     float64
	steps         float64 // mean number of steps, each after the one before
	width, maxW   float64 // mean and maximum number of tasks of a step
	cpu, maxCPU   float64 // mean and maximum of a task, in thousandths of a core
	workMs, maxMs float64 // mean and maximum run time on a worker of speed 1
	gangShare     float64
	burst         float64 // factor of the rate during the burst
	checkpoints   float64 // share of the steps whose tasks write checkpoints
	estimateOff   float64 // deviation of the estimates from the work of a step, as a log
	uneven        float64 // deviation between the tasks of a step, as a log
	customer      string
	burstFor      time.Duration // burstTime if 0
}

// mixedLoad is a load of gangs, batch jobs and urgent short jobs in which every
// start needs a ticket of a placement service that takes long calls.
func mixedLoad() []loadClass {
	policy := func(priority int, stretch float64, slack int64, s flow.PlacementService) flow.Policy {
		return flow.Policy{Service: simService, Priority: priority, MaxAttempts: 3, Stretch: stretch, SlackMs: slack, PlacementService: s}
	}
	return []loadClass{
		{
			queue: "gangs", policy: policy(1, 2.2, 1000, flow.PlacementService{CallMs: 340, PerWorkerMs: 4.9, TicketValidMs: 1500}), allowedShare: 0.25,
			perSecond: 5.42, burst: 1.8, steps: 1.2, width: 20, maxW: 120, cpu: 9000, maxCPU: 15000, workMs: 4000, maxMs: 10000, gangShare: 1, checkpoints: 0.5,
		},
		{
			queue: "batch", policy: policy(2, 4, 3000, flow.PlacementService{CallMs: 100, PerWorkerMs: 1.4, TicketValidMs: 1500}), allowedShare: 0.45,
			perSecond: 8.96, burst: 1, steps: 1.5, width: 25, maxW: 150, cpu: 3500, maxCPU: 10000, workMs: 2700, maxMs: 6800, checkpoints: 0.8,
		},
		{
			queue: "urgent", policy: policy(0, 1.5, 250, flow.PlacementService{CallMs: 7.2, PerWorkerMs: 0.1, TicketValidMs: 1500}), allowedShare: 0.7,
			perSecond: 125, burst: 1, steps: 1, width: 3.2, maxW: 19, cpu: 5000, maxCPU: 15000, workMs: 640, maxMs: 1600, gangShare: 0.3,
		},
	}
}

// burstTime is how long the burst of a load lasts.
const burstTime = 4 * time.Second

// logNormal draws from a log-normal distribution with the given mean and
// deviation of the logarithm, at most limit.
func logNormal(rng *rand.Rand, mean, sigma, limit float64) float64 {
	return min(limit, mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}

func (c *loadClass) newJob(rng *rand.Rand, id string) *flow.Spec {
	s := &flow.Spec{ID: id, Queue: c.queue, Policy: c.policy, Customer: c.customer}
	n := max(1, int(math.Round(logNormal(rng, c.steps, 0.4, 4))))
	if c.steps == 1 {
		n = 1
	}
	for i := range n {
		st := flow.Step{
			Count:      max(1, int(math.Round(logNormal(rng, c.width, 0.8, c.maxW)))),
			Size:       work.Size{CPU: int64(logNormal(rng, c.cpu, 0.4, c.maxCPU)), Memory: 10000},
			EstimateMs: int64(logNormal(rng, c.workMs, 0.5, c.maxMs)) + 1,
			Gang:       rng.Float64() < c.gangShare, Checkpointing: rng.Float64() < c.checkpoints,
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
	}
	return s
}

// loadResult counts the jobs of one class, those complete within their objective,
// and those complete within three times that, and sums up the times of the complete
// ones.
type loadResult struct {
	jobs, inTime, late int
	took               time.Duration
}

// value returns what the jobs were worth to their callers, each at most 1.
func (r *loadResult) value() float64 { return float64(r.inTime) + 0.2*float64(r.late) }

// misestimate makes the estimates of a job wrong, if those of its class are, and
// returns the job with the right ones.
func (s *sim) misestimate(c *loadClass, rng *rand.Rand, spec *flow.Spec) *flow.Spec {
	if c.estimateOff == 0 {
		return spec
	}
	right := *spec
	right.Steps = append([]flow.Step(nil), spec.Steps...)
	work := jobWork{uneven: c.uneven}
	for i := range spec.Steps {
		work.steps = append(work.steps, time.Duration(right.Steps[i].EstimateMs)*time.Millisecond)
		spec.Steps[i].EstimateMs = int64(float64(spec.Steps[i].EstimateMs)*math.Exp(c.estimateOff*rng.NormFloat64())) + 1
	}
	s.stepWork[spec.ID] = work
	return &right
}

// runLoad submits jobs of the classes at random times for the given time, runs
// on for drain, and returns the outcomes of the jobs that were not cancelled, by
// queue, or by customer for those that have one.
func (s *sim) runLoad(seed uint64, classes []loadClass, during, drain time.Duration) map[string]*loadResult {
	type submitted struct {
		class *loadClass
		spec  *flow.Spec
		at    time.Time
	}
	jobs := map[string]submitted{}
	s.config = &flow.Config{Version: 2, CustomersOn: s.config.CustomersOn, Customers: s.config.Customers}
	s.allowedShares = map[string]float64{}
	for i := range classes {
		s.config.Queues = append(s.config.Queues, flow.Queue{Name: classes[i].queue, Policy: classes[i].policy})
		s.allowedShares[classes[i].queue] = classes[i].allowedShare
	}
	s.engine.SetConfig(s.config)
	until, burstAt := s.now.Add(during), s.now.Add(during/3)
	for i := range classes {
		c := &classes[i]
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		var next func()
		n := 0
		next = func() {
			if s.now.After(until) {
				return
			}
			id := fmt.Sprintf("%s%s%d", c.queue, c.customer, n)
			n++
			spec := c.newJob(rng, id)
			jobs[id] = submitted{c, s.misestimate(c, rng, spec), s.now}
			s.submit(spec)
			rate := c.perSecond
			if s.now.After(burstAt) && s.now.Before(burstAt.Add(max(burstTime, c.burstFor))) {
				rate *= c.burst
			}
			s.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		s.after(time.Duration(rng.ExpFloat64()/c.perSecond*float64(time.Second)), next)
	}
	s.run(during + drain)
	out := map[string]*loadResult{}
	for id, j := range jobs {
		if s.jobs[id].canceled {
			continue
		}
		key := j.class.queue
		if j.class.customer != "" {
			key = j.class.customer
		}
		r := out[key]
		if r == nil {
			r = &loadResult{}
			out[key] = r
		}
		r.jobs++
		p := s.progress(id)
		if p.State != flow.Complete {
			continue
		}
		took := p.EndedMs - j.at.UnixMilli()
		r.took += time.Duration(took) * time.Millisecond
		switch objective := j.spec.ObjectiveMs(); {
		case took <= objective:
			r.inTime++
		case took <= 3*objective:
			r.late++
		}
	}
	return out
}

// TestBatchJobsAreServedBesideGangs guards against the starvation of a queue by
// another whose steps use up the placement clients: batch jobs waited without a
// query while gangs that had no room queried without end, and about half of the
// processors were idle.
func TestBatchJobsAreServedBesideGangs(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 40 s of a site with 350 workers")
	}
	// minServed is the share of the jobs of each queue that must be complete
	// within their objective. It is the users' target for busy days.
	const minServed = 0.52
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, seed, 350)
			s.placementClients = 30
			s.timedQueries = true
			s.startLeader()
			s.run(time.Second)
			s.checkServed(s.runLoad(seed, mixedLoad(), 30*time.Second, 10*time.Second), minServed)
			is.Equal(s.violations, nil)
		})
	}
}
