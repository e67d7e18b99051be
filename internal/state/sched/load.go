package sched

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/admit"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

const (
	// backlogThreshold is the waiting time of a step from which there is a backlog.
	// A query to the placement service and a commit take less.
	backlogThreshold = 250 * time.Millisecond
	// minBusyShare is the share of the CPU of a service's usable workers that is used
	// while there is a backlog. Below, steps wait for something other than capacity, such as
	// tickets or workers with a label.
	minBusyShare = 0.75
	// maxLoadCustomers bounds the customers of a summary's group. Jobs of those left
	// out are accepted.
	maxLoadCustomers = 32
	// maxStepWork bounds the work of one pending step in core-milliseconds, so that
	// sums over all of them fit into an int64. It is some 3,000 core-years.
	maxStepWork = 1e14
	// holdDecay is the weight of what is known of a queue's runs when one more ends.
	holdDecay = 0.98
	// minHoldFactor and maxHoldFactor bound the effect of wrong estimates.
	minHoldFactor, maxHoldFactor = 0.25, 4
)

// loadKey identifies the runs and the waiting work that are added up.
type loadKey struct {
	service  string
	priority int // 0 for runs
	customer string
}

// loadSums are sums over runs from which summaries of the load are made. Since they
// are kept with each run, a summary needs no pass over all runs.
type loadSums struct {
	inUse map[loadKey]int64       // CPU of runs that have an end, in millicores
	holds map[string]*holdSamples // by queue
}

// holdSamples are decaying sums over the completed runs of a queue, in millicore
// milliseconds.
type holdSamples struct {
	held      float64 // for which capacity was held, from the placement to the end
	estimated float64
}

func newLoadSums() loadSums {
	return loadSums{inUse: map[loadKey]int64{}, holds: map[string]*holdSamples{}}
}

// add adds millicores that the run takes, or gives back if they are negative.
func (l *loadSums) add(r *run, milliCPU int64) {
	if r.job.Steps[r.id.Step].LongRunning {
		return
	}
	k := loadKey{service: r.job.Policy.Service, customer: r.job.Customer}
	if l.inUse[k] += milliCPU; l.inUse[k] == 0 {
		delete(l.inUse, k)
	}
}

// noteDone records for how long a run that is done has held its capacity.
func (l *loadSums) noteDone(now time.Time, r *run, st *flow.Step) {
	if r.adopted {
		return // since when is not known
	}
	h := l.holds[r.job.Queue]
	if h == nil {
		h = &holdSamples{}
		l.holds[r.job.Queue] = h
	}
	cpu := float64(r.size.CPU)
	h.held = holdDecay*h.held + cpu*float64(now.Sub(r.placedAt).Milliseconds())
	h.estimated = holdDecay*h.estimated + cpu*float64(st.EstimateMs)
}

// holdFactor returns for how many times their estimate the queue's runs hold
// capacity.
func (l *loadSums) holdFactor(queue string) float64 {
	h := l.holds[queue]
	if h == nil || h.estimated <= 0 {
		return 1
	}
	return max(minHoldFactor, min(h.held/h.estimated, maxHoldFactor))
}

// Load returns the backlog of the queues that have one, as instances need it to
// decide on the admission of jobs, or nil if no step waits for capacity. Its cost
// is bounded by the number of workers and of pending steps.
//
// While work waits, capacity that is given back goes to it at once, so the rate at
// which work gets capacity is the capacity in use: each core does a millisecond's
// work in a millisecond. Work is therefore measured in the time for which its runs
// are expected to hold capacity.
func (e *Engine) Load(now time.Time) []admit.Group {
	services := e.findServices(now)
	if e.config == nil || !slices.ContainsFunc(slices.Collect(maps.Values(services)), (*serviceUse).mostlyBusy) {
		return nil
	}
	pending := e.pendingSteps(now)
	backlog := servicesWithBacklog(now, pending, services)
	if len(backlog) == 0 {
		return nil
	}
	waiting := e.waitingWork(pending)
	var groups []admit.Group
	at := map[loadKey]int{}
	for i := range e.config.Queues {
		q := &e.config.Queues[i]
		if !backlog[q.Policy.Service] {
			continue
		}
		k := loadKey{service: q.Policy.Service, priority: q.Policy.Priority}
		if n, ok := at[k]; ok {
			if n >= 0 {
				groups[n].Queues = append(groups[n].Queues, q.Name)
			}
			continue
		}
		at[k] = -1
		if g, ok := e.loadGroup(k, waiting); ok {
			at[k] = len(groups)
			g.Queues = []string{q.Name}
			groups = append(groups, g)
		}
	}
	return groups
}

// servicesWithBacklog returns the services of which most of the CPU is used while
// steps wait for backlogThreshold.
func servicesWithBacklog(now time.Time, pending []pendingStep, services map[string]*serviceUse) map[string]bool {
	backlog := map[string]bool{}
	for i := range pending {
		ps := &pending[i]
		if u := services[ps.service]; u != nil && u.mostlyBusy() && ps.lateness < 2 && ps.waited(now) >= backlogThreshold {
			backlog[ps.service] = true
		}
	}
	return backlog
}

// waitingAmount is waiting work of steps within their objective and of late ones.
type waitingAmount struct{ fresh, late float64 }

// waitingWork adds up the work of the pending steps and of the steps of the same
// rounds that depend on them. Steps that are too late to be useful go after all
// others. Steps with a label wait for other workers than most.
func (e *Engine) waitingWork(pending []pendingStep) map[loadKey]waitingAmount {
	type roundKey struct {
		job   *job
		round int
	}
	waiting, seen := map[loadKey]waitingAmount{}, map[roundKey]bool{}
	for i := range pending {
		ps := &pending[i]
		if ps.lateness >= 2 {
			continue
		}
		work := stepWork(&ps.job.Steps[ps.step], len(ps.idleTasks))
		if k := (roundKey{ps.job, ps.round.Number}); !seen[k] {
			seen[k] = true
			for step := range ps.round.Steps {
				if !ps.round.Ready(ps.job.Spec, step) {
					work += stepWork(&ps.job.Steps[step], len(ps.round.Steps[step]))
				}
			}
		}
		work = min(work*e.load.holdFactor(ps.job.Queue), maxStepWork)
		k := loadKey{ps.job.Policy.Service, ps.priority, ps.job.Customer}
		w := waiting[k]
		if ps.lateness == 0 {
			w.fresh += work
		} else {
			w.late += work
		}
		waiting[k] = w
	}
	return waiting
}

// stepWork returns the work of a number of tasks of a step in core-milliseconds.
func stepWork(st *flow.Step, tasks int) float64 {
	if st.LongRunning || st.Label != "" {
		return 0
	}
	return float64(taskSize(st).CPU) / 1000 * float64(st.EstimateMs) * float64(tasks)
}

// loadGroup returns the backlog of the queues with the service and priority of k:
// the work of that priority and of more urgent ones. It returns false if there is
// none.
func (e *Engine) loadGroup(k loadKey, waiting map[loadKey]waitingAmount) (admit.Group, bool) {
	g := admit.Group{Customers: map[string]admit.Backlog{}}
	weights, total := map[string]float64{}, 0.0
	inUse := map[string]int64{}
	for u, milliCPU := range e.load.inUse {
		if u.service == k.service {
			inUse[u.customer] += milliCPU
			g.All.Rate += milliCPU
			weights[u.customer] = e.weight(u.customer)
		}
	}
	for w, amount := range waiting {
		if w.service != k.service || w.priority > k.priority {
			continue
		}
		weights[w.customer] = e.weight(w.customer)
		b := g.Customers[w.customer]
		b.FreshMs += int64(amount.fresh)
		b.LateMs += int64(amount.late)
		g.Customers[w.customer] = b
		g.All.FreshMs += int64(amount.fresh)
		g.All.LateMs += int64(amount.late)
	}
	if g.All.FreshMs+g.All.LateMs == 0 {
		return g, false
	}
	for _, w := range weights {
		total += w
	}
	names := make([]string, 0, len(g.Customers))
	for name, b := range g.Customers {
		// A customer gets its share of the capacity, and more while others leave it.
		b.Rate, b.Used = inUse[name], inUse[name]
		if total > 0 {
			b.Rate = max(b.Rate, int64(float64(g.All.Rate)*weights[name]/total))
		}
		g.Customers[name] = b
		names = append(names, name)
	}
	sort.Slice(names, func(i, k int) bool {
		a, b := g.Customers[names[i]], g.Customers[names[k]]
		x, y := float64(a.FreshMs+a.LateMs)*float64(b.Rate), float64(b.FreshMs+b.LateMs)*float64(a.Rate)
		if x != y {
			return x > y
		}
		return names[i] < names[k]
	})
	for _, name := range names[min(len(names), maxLoadCustomers):] {
		delete(g.Customers, name)
	}
	return g, true
}

// weight returns the weight of a customer. That of jobs without a customer, or with
// one that the configuration no longer has, is the mean weight.
func (e *Engine) weight(name string) float64 {
	if c := e.config.Customer(name); c != nil {
		return c.Weight
	}
	sum := 0.0
	for i := range e.config.Customers {
		sum += e.config.Customers[i].Weight
	}
	if sum <= 0 {
		return 1
	}
	return sum / float64(len(e.config.Customers))
}
