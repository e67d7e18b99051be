package place_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/place"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// site describes the workers of a simulated site and their load. Times are
// virtual.
type site struct {
	name        string
	workers     int
	perRack     int
	cap         work.Size
	meanRunTime time.Duration
	load        float64 // offered load as a fraction of the capacity
	burst       int     // urgent tasks that arrive at the same time, halfway through
	duration    time.Duration

	accelerators int // workers that have 4 accelerators
}

// policy is one of the Fit constants with one of the Order constants.
type policy struct {
	fit, order string
}

func (p policy) String() string { return p.fit + "/" + p.order }

// simEvent is the arrival of an item, or else the end of a task.
type simEvent struct {
	at       time.Duration
	arrival  *place.Item
	release  func()
	sequence int // orders events of the same time
}

// events is a heap, the earliest event first.
type events []simEvent

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// result is the outcome of one simulation.
type result struct {
	waits        map[string][]float64 // seconds by class, with gangs and tasks on accelerators as classes of their own
	utilization  float64              // mean fraction of the capacity in use while items were pending
	started      int                  // tasks
	stillPending int                  // items in the queue at the end
}

const roundInterval = 50 * time.Millisecond // as between the batches of a leader

var epoch = time.Unix(0, 0)

// simulate runs a site under a policy. The ratio of cores to memory differs from
// item to item; true run times differ from the declared ones by a factor of up
// to 4.
func simulate(s site, p policy, seed uint64) result {
	r := rand.New(rand.NewPCG(seed, 1))
	e := place.NewEngine(place.Config{Fit: p.fit, Order: p.order, AgingThreshold: time.Minute, ReserveAfter: 10 * time.Second, Seed: seed})
	var workers []*place.Worker
	for n := range s.workers {
		name := fmt.Sprintf("w%03d", n)
		c := s.cap
		if n < s.accelerators {
			c.Accelerators = 4
		}
		e.SetCapacity(name, fmt.Sprintf("r%d", n/s.perRack), c)
		e.SetSchedulable(name, true)
		workers = append(workers, e.Worker(name))
	}
	queue := &events{}
	sequence := 0
	push := func(ev simEvent) {
		sequence++
		ev.sequence = sequence
		heap.Push(queue, ev)
	}
	trueRunTimes := scheduleArrivals(s, r, push)
	out := result{waits: map[string][]float64{}}
	release := func(p place.Placement, i int) func() {
		ref := work.TaskRef{Job: p.Item.Ref.Job, Index: i}
		return func() { e.ReleaseAllocation(p.Workers[i], p.Item.Tenant, ref, p.Item.Size) }
	}
	samples := 0
	for now := time.Duration(0); now < s.duration; now += roundInterval {
		for queue.Len() > 0 && (*queue)[0].at <= now {
			ev := heap.Pop(queue).(simEvent)
			if ev.arrival != nil {
				e.Enqueue(*ev.arrival)
			} else {
				ev.release()
			}
		}
		for _, placement := range e.Place(epoch.Add(now), 5000) {
			out.started += placement.Item.TaskCount
			class := placement.Item.Class
			if placement.Item.TaskCount > 1 {
				class = "gang"
			}
			if placement.Item.Size.Accelerators > 0 {
				class = "accelerator"
			}
			out.waits[class] = append(out.waits[class], (now - placement.Item.Queued.Sub(epoch)).Seconds())
			for i := range placement.Workers {
				push(simEvent{at: now + trueRunTimes[placement.Item.Ref.Job], release: release(placement, i)})
			}
		}
		if e.Pending() > 0 && now > s.duration/10 && now%time.Second == 0 {
			samples++
			out.utilization += usedFraction(workers, s)
		}
	}
	if samples > 0 {
		out.utilization /= float64(samples)
	}
	out.stillPending = e.Pending()
	return out
}

// usedFraction returns the fraction of the cores or of the memory in use,
// whichever is larger.
func usedFraction(workers []*place.Worker, s site) float64 {
	var used work.Size
	for _, w := range workers {
		used = used.Add(w.Allocated)
	}
	total := s.cap.Times(int64(s.workers))
	return math.Max(float64(used.CPU)/float64(total.CPU), float64(used.Memory)/float64(total.Memory))
}

var tenants = []string{"t0", "t1", "t2", "t3", "t4"}

// scheduleArrivals draws the items, pushes their arrivals and returns the true
// run time of each job.
func scheduleArrivals(s site, r *rand.Rand, push func(simEvent)) map[string]time.Duration {
	trueRunTimes := map[string]time.Duration{}
	const meanCores = 3.0
	rate := s.load * float64(s.workers) * float64(s.cap.CPU) / 1000 / meanCores / s.meanRunTime.Seconds() / 1.15
	t := 0.0
	for n := 0; t < s.duration.Seconds(); n++ {
		t += r.ExpFloat64() / rate
		it := drawItem(s, r, fmt.Sprintf("j%d", n), trueRunTimes)
		it.Queued = epoch.Add(time.Duration(t * float64(time.Second)))
		push(simEvent{at: it.Queued.Sub(epoch), arrival: it})
		t += float64(it.TaskCount-1) / rate // a gang counts as TaskCount arrivals
	}
	for n := range s.burst {
		it := drawItem(s, r, fmt.Sprintf("b%d", n), trueRunTimes)
		it.TaskCount = 1
		it.Class = work.ClassUrgent
		it.Size = work.Size{CPU: 500, Memory: 512}
		it.RunTime = 2 * time.Second
		trueRunTimes[it.Ref.Job] = it.RunTime
		it.Queued = epoch.Add(s.duration / 2)
		push(simEvent{at: s.duration / 2, arrival: it})
	}
	return trueRunTimes
}

// drawItem draws an item and adds its true run time to trueRunTimes.
func drawItem(s site, r *rand.Rand, id string, trueRunTimes map[string]time.Duration) *place.Item {
	it := &place.Item{Ref: work.TaskRef{Job: id}, TaskCount: 1, Tenant: tenants[r.IntN(len(tenants))]}
	switch k := r.IntN(10); {
	case k < 1:
		it.Class = work.ClassUrgent
	case k < 4:
		it.Class = work.ClassNormal
	default:
		it.Class = work.ClassPatient
	}
	cores := []int64{1, 1, 2, 2, 4, 8}[r.IntN(6)]
	gib := cores * []int64{1, 1, 2, 4, 4}[r.IntN(5)] * s.cap.Memory / s.cap.CPU / 2
	it.Size = work.Size{CPU: cores * 1000, Memory: max(gib, 1) * 1000}
	if r.IntN(50) == 0 {
		it.TaskCount = 4 + r.IntN(9)
		it.Size = work.Size{CPU: 4000, Memory: 4000}
	}
	if s.accelerators > 0 && it.TaskCount == 1 && r.IntN(20) == 0 {
		it.Size = work.Size{CPU: 4000, Memory: 16000, Accelerators: 1}
	}
	it.RunTime = time.Duration(r.ExpFloat64() * float64(s.meanRunTime))
	it.RunTime = min(it.RunTime, 6*s.meanRunTime) + 100*time.Millisecond
	trueRunTimes[id] = it.RunTime
	it.RunTime = time.Duration(float64(it.RunTime) * math.Pow(4, 2*r.Float64()-1)) // declared, wrong by a factor of up to 4
	return it
}

// quantile sorts v and returns its q-quantile, or 0 if v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	return v[min(int(q*float64(len(v))), len(v)-1)]
}
