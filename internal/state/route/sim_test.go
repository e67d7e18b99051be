package route_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// deployment describes a simulated request path: instances behind an uneven load
// balancer, each of which owns its part of the minions. Times are virtual.
type deployment struct {
	name          string
	instanceCount int
	minionCount   int
	hop           time.Duration // one way between instances
	load          float64       // offered load as a fraction of the capacity
	duration      time.Duration
}

// strategy is a way of choosing minions for requests.
type strategy struct {
	name          string
	selection     string // one of the Choose constants
	singleQueue   bool   // the ideal: one instance with one queue owns all minions and learns the speed of each
	sharedMinions bool   // every instance uses all minions and counts only its own requests
}

const (
	slotsPerMinion = 8
	speedSpread    = 8.0                    // ratio of the fastest minion's speed to the slowest's
	reportInterval = 300 * time.Millisecond // as heartbeats
	queryInterval  = 40 * time.Millisecond  // between two queries for free slots by an instance with waiting requests
	offerInterval  = 20 * time.Millisecond  // between two offers of free slots by one instance
)

var epoch = time.Unix(0, 0)

type request struct {
	waiter      *route.Waiter
	instance    int // the instance that has it
	arrived     time.Duration
	serviceTime time.Duration // on a minion of speed 1
	forwarded   bool
	forwardedBy int // the instance that forwarded it
}

type event struct {
	at       time.Duration
	sequence int // orders events of the same time
	do       func()
}

// events is a heap, the earliest event first.
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// simulation is one simulation of a deployment under a strategy.
type simulation struct {
	deployment
	strategy
	random    *rand.Rand
	now       time.Duration
	events    events
	sequence  int
	instances []*instance
	speed     map[string]float64
	running   map[string]int        // requests on each minion, over all instances
	queued    map[string][]*request // requests in each minion's own queue
	latencies map[string][]float64  // time from arrival to answer by class, in ms
	refused   map[string]int        // refused and expired requests by class
	served    map[string]int        // answers by tenant
	forwards  int                   // requests forwarded
	offers    int                   // messages that offer slots
	queries   int                   // messages that ask for slots
}

type instance struct {
	pool     *route.Pool
	queue    *route.Queue
	requests map[string]*request // waiting requests by ID
	reports  []loadReport        // last report of each instance

	lastOffer time.Duration
	lastQuery time.Duration
	queryTurn int // selects the peer to query next
}

// loadReport is the load of an instance as it reports it to its peers.
type loadReport struct {
	free     int // free slots less waiting requests
	waiting  int
	expected time.Duration // expected service time of a quick request on its fastest minion with a free slot
}

// after schedules do at d from now.
func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, do})
}

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

func newSimulation(d deployment, s strategy, seed uint64) *simulation {
	sim := &simulation{
		deployment: d, strategy: s, random: rand.New(rand.NewPCG(seed, 2)), speed: map[string]float64{}, running: map[string]int{},
		queued: map[string][]*request{}, latencies: map[string][]float64{}, refused: map[string]int{}, served: map[string]int{},
	}
	count := d.instanceCount
	if s.singleQueue {
		count = 1
	}
	for i := range count {
		sim.instances = append(sim.instances, &instance{pool: route.NewPool(s.selection, uint64(i)), queue: route.NewQueue(0), requests: map[string]*request{}})
	}
	for _, inst := range sim.instances {
		inst.reports = make([]loadReport, len(sim.instances))
	}
	for m := range d.minionCount {
		name := fmt.Sprintf("m%02d", m)
		sim.speed[name] = 0.35 * math.Pow(speedSpread, float64(m)/float64(d.minionCount-1))
		for i, inst := range sim.instances {
			if s.sharedMinions || m%count == i {
				inst.pool.Add(name, name, slotsPerMinion).OwnedUntil = epoch.Add(24 * time.Hour)
			}
		}
	}
	return sim
}

// drawRequest draws a request: 80 % are quick, 5 % urgent and as short, 15 %
// patient and ten times as long.
func (s *simulation) drawRequest(n int) *request {
	class, mean := route.ClassQuick, 40*time.Millisecond
	switch k := s.random.IntN(20); {
	case k == 0:
		class = route.ClassUrgent
	case k < 4:
		class, mean = route.ClassPatient, 400*time.Millisecond
	}
	req := &request{arrived: s.now, serviceTime: time.Duration((0.5 + s.random.Float64()) * float64(mean))}
	req.instance = s.pickInstance()
	deadline := 2 * time.Second
	if class == route.ClassPatient {
		deadline = time.Minute
	}
	req.waiter = &route.Waiter{
		ID: fmt.Sprint(n), Tenant: fmt.Sprintf("t%d", s.random.IntN(4)), Class: class, Arrived: s.clock(), Deadline: s.clock().Add(deadline),
		Destination: make(chan route.Destination, 1),
	}
	return req
}

// pickInstance draws the instance that the load balancer sends a request to, with
// the weights 2, 3, 4 and so on.
func (s *simulation) pickInstance() int {
	if len(s.instances) == 1 {
		return 0
	}
	weights := 0
	for i := range s.instances {
		weights += i + 2
	}
	k := s.random.IntN(weights)
	for i := range s.instances {
		if k -= i + 2; k < 0 {
			return i
		}
	}
	return 0
}

func (s *simulation) run() {
	capacity := 0.0
	for _, speed := range s.speed {
		capacity += slotsPerMinion * speed
	}
	const meanWork = 0.85*0.040 + 0.15*0.400 // seconds
	rate := s.load * capacity / meanWork
	n := 0
	var arrive func()
	arrive = func() {
		n++
		s.arrive(s.drawRequest(n))
		s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
	var report func()
	report = func() {
		for to := range s.instances {
			for from := range s.instances {
				s.report(from, to)
			}
		}
		s.after(reportInterval, report)
	}
	s.after(0, report)
	for len(s.events) > 0 && s.now < s.duration {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// report delivers an instance's load report to another.
func (s *simulation) report(from, to int) {
	inst := s.instances[from]
	s.instances[to].reports[from] = loadReport{inst.pool.FreeSlots(s.clock()) - inst.queue.Len(), inst.queue.Len(), inst.pool.LeastServiceTime(route.ClassQuick, s.clock())}
}

// arrive handles a request that reaches its instance as entry.Router does: it
// goes to a peer with a faster minion, to a free slot here, to a peer's free slot
// or into the queue.
func (s *simulation) arrive(req *request) {
	inst := s.instances[req.instance]
	if inst.queue.Len() == 0 {
		expected := inst.pool.LeastServiceTime(req.waiter.Class, s.clock())
		if expected > 0 && s.tryForward(req, expected) {
			return
		}
		if m := inst.pool.AcquireSlot(req.waiter.Class, "", s.clock()); m != nil {
			s.start(inst, req, m)
			return
		}
	}
	if s.tryForward(req, 0) {
		return
	}
	if reason := inst.queue.Push(req.waiter, s.clock(), inst.pool.Rate(s.clock())); reason != "" {
		s.refused[req.waiter.Class]++
		return
	}
	inst.requests[req.waiter.ID] = req
	s.queryPeer(inst)
}

// queryPeer asks the peers in turn for free slots while requests wait here, and
// forwards as many waiting requests as a peer has free slots.
func (s *simulation) queryPeer(inst *instance) {
	if s.sharedMinions || s.singleQueue || s.now < inst.lastQuery+queryInterval || inst.queue.Len() == 0 {
		return
	}
	inst.lastQuery = s.now
	inst.queryTurn++
	s.queries++
	to := (s.index(inst) + 1 + inst.queryTurn%(len(s.instances)-1)) % len(s.instances)
	peer := s.instances[to]
	s.after(2*s.hop, func() {
		s.report(to, s.index(inst))
		s.report(s.index(inst), to)
		s.forwardWaiting(inst, to, peer.pool.FreeSlots(s.clock())-peer.queue.Len())
	})
	s.after(queryInterval, func() { s.queryPeer(inst) })
}

// forwardWaiting forwards up to n waiting requests to a peer.
func (s *simulation) forwardWaiting(inst *instance, to, n int) {
	for range n {
		w, _ := inst.queue.PopForForwarding(s.clock())
		if w == nil {
			return
		}
		req := inst.requests[w.ID]
		delete(inst.requests, w.ID)
		s.forward(req, to)
	}
}

// offerSlots offers the free slots here to the peer with the most waiting
// requests, which forwards as many of them.
func (s *simulation) offerSlots(inst *instance) {
	free := inst.pool.FreeSlots(s.clock())
	if s.sharedMinions || s.singleQueue || free == 0 || inst.queue.Len() > 0 || s.now < inst.lastOffer+offerInterval {
		return
	}
	most := -1
	for i, report := range inst.reports {
		if s.instances[i] != inst && report.waiting > 0 && (most < 0 || report.waiting > inst.reports[most].waiting) {
			most = i
		}
	}
	if most < 0 {
		return
	}
	inst.lastOffer = s.now
	s.offers++
	s.after(s.hop, func() {
		s.report(s.index(inst), most)
		s.forwardWaiting(s.instances[most], s.index(inst), free)
	})
	s.after(2*s.hop, func() { s.report(most, s.index(inst)) })
}

// index returns the index of the instance.
func (s *simulation) index(inst *instance) int {
	for i, other := range s.instances {
		if other == inst {
			return i
		}
	}
	return 0
}

// tryForward forwards a request to a peer that reported free slots, if there is
// one. own is the expected service time here; if it is not 0, a slot is free here
// and the peer must be clearly faster. A request is forwarded at most once.
func (s *simulation) tryForward(req *request, own time.Duration) bool {
	if s.sharedMinions || s.singleQueue || req.forwarded {
		return false
	}
	best := -1
	reports := s.instances[req.instance].reports
	for i, report := range reports {
		if i == req.instance || report.free <= 0 || own > 0 && !route.WorthForwarding(own, report.expected, s.hop) {
			continue
		}
		if best < 0 || report.free > reports[best].free {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	reports[best].free--
	s.forward(req, best)
	return true
}

func (s *simulation) forward(req *request, to int) {
	s.forwards++
	forwarded := *req
	w := *req.waiter
	forwarded.waiter = &w
	forwarded.instance = to
	forwarded.forwardedBy = req.instance
	forwarded.forwarded = true
	s.after(s.hop, func() { s.arrive(&forwarded) })
}

// start runs a request on a minion. A minion that several instances use may get
// more requests than it has slots and queues the rest.
func (s *simulation) start(inst *instance, req *request, m *route.Minion) {
	if s.running[m.Name] >= slotsPerMinion {
		s.queued[m.Name] = append(s.queued[m.Name], req)
		req.waiter.Destination = nil
		return
	}
	s.running[m.Name]++
	wait := float64(s.now-req.arrived) / 1e6
	service := time.Duration(float64(req.serviceTime) / s.speed[m.Name])
	s.after(service, func() {
		s.running[m.Name]--
		inst.pool.ReleaseSlot(m, req.waiter.Class, service)
		s.latencies[req.waiter.Class] = append(s.latencies[req.waiter.Class], wait+float64(service)/1e6)
		s.served[req.waiter.Tenant]++
		if list := s.queued[m.Name]; len(list) > 0 {
			s.queued[m.Name] = list[1:]
			s.start(s.instances[list[0].instance], list[0], s.instances[list[0].instance].pool.Get(m.Name))
		}
		s.serveWaiting(inst)
		if req.forwarded {
			s.after(s.hop, func() { s.report(req.instance, req.forwardedBy) }) // the answer carries a report
		}
	})
}

// serveWaiting starts waiting requests while slots are free, and offers slots
// that remain free to a peer.
func (s *simulation) serveWaiting(inst *instance) {
	for inst.pool.FreeSlots(s.clock()) > 0 {
		w, expired := inst.queue.Pop(s.clock())
		for _, e := range expired {
			s.refused[e.Class]++
			delete(inst.requests, e.ID)
		}
		if w == nil {
			s.offerSlots(inst)
			return
		}
		req := inst.requests[w.ID]
		delete(inst.requests, w.ID)
		s.start(inst, req, inst.pool.AcquireSlot(w.Class, "", s.clock()))
	}
}

// quantile sorts v and returns its q-quantile, or 0 if v is empty.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	return v[min(int(q*float64(len(v))), len(v)-1)]
}
