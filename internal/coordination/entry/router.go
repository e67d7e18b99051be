package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/coordination/once"
	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

const ownersEvery = 100 * time.Millisecond

// Config sets up a Router. Its functions are the seams to the other parts.
type Config struct {
	Instance string
	Owned    func(now time.Time) map[string]time.Time // minions, with the end of the right to dispatch
	Minions  func() []member.Node
	Model    func() (config.Model, uint64)
	Send     func(ctx context.Context, addr string, r *Request, fresh bool) (Reply, error)
	Load     func(ctx context.Context, addr string) (Load, error) // over a new connection
	Drop     func(addr string)                                    // closes idle connections
	Helper   func(now time.Time, ok func(p member.Peer) bool) (member.Peer, bool)
	// Offer tells the peer that waits most, if one does, of free slots here.
	Offer func(now time.Time)
	// Ask asks a peer for free slots; what it replies comes to Offered.
	Ask     func()
	Spend   func(instance string)
	Suspect func(instance string)
	Forward func(ctx context.Context, addr string, r *Request) (Answer, error)
	Claim   func(ctx context.Context, key, by string, now time.Time) (once.Holder, error)
	Settle  func(ctx context.Context, key, by, outcome string, now time.Time) error
	// Observe is told of each answer, for the histograms.
	Observe func(r *Request, a Answer, took time.Duration)
	Now     func() time.Time
	Logger  zerolog.Logger
}

// Router carries requests to the minions of one instance.
type Router struct {
	cfg  Config
	done chan struct{}
	wg   conc.WaitGroup
	ctx  context.Context

	attempts atomic.Uint64

	mu      sync.Mutex
	pool    *route.Pool
	queue   *route.Queue
	budget  *route.Budget
	flights map[string]*flight // by attempt: what this instance runs on minions
	version uint64             // of the configuration that the queue follows
	leaving bool
	active  int
	offered time.Time // when free slots were offered to a peer last
	asked   time.Time // when a peer was asked for free slots last
}

// New gives a router without minions.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, done: make(chan struct{}), pool: route.NewPool(route.ChooseFinish, 1), queue: route.NewQueue(),
		budget: route.NewBudget(), flights: map[string]*flight{},
	}
}

// Done is closed when Run has ended.
func (r *Router) Done() <-chan struct{} { return r.done }

// Run keeps the minions' state until ctx ends.
func (r *Router) Run(ctx context.Context) {
	defer close(r.done)
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	t := time.NewTicker(ownersEvery)
	defer t.Stop()
	for {
		r.refresh(r.cfg.Now())
		r.watch(ctx)
		select {
		case <-ctx.Done():
			r.wg.Wait()
			return
		case <-t.C:
		}
	}
}

// refresh takes over which minions are owned, and expires waiting requests.
func (r *Router) refresh(now time.Time) {
	owned := r.cfg.Owned(now)
	nodes := map[string]member.Node{}
	for _, n := range r.cfg.Minions() {
		nodes[n.Name] = n
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeTenants()
	for _, m := range append([]*route.Minion(nil), r.pool.Minions()...) {
		if _, ok := owned[m.Name]; !ok {
			r.pool.Remove(m.Name)
			r.cfg.Drop(m.Addr)
		}
	}
	for name, until := range owned {
		n, listed := nodes[name]
		m := r.pool.Get(name)
		if m == nil && !listed {
			continue
		}
		if m == nil {
			m = r.pool.Add(name, n.Addr, n.Slots)
			m.Unasked = true // a former owner's requests may still run there
		}
		m.Owned = until
		if listed && n.State == member.StateLeaving {
			m.Leaving = true
		}
		if listed && n.Addr != m.Addr {
			m.Addr = n.Addr
			m.Unasked = true
			m.Leaving = false
		}
	}
	r.serve(now)
}

func (r *Router) takeTenants() {
	model, version := r.cfg.Model()
	if version == r.version {
		return
	}
	r.version = version
	for name, t := range model.Tenants {
		r.queue.SetTenant(name, t.Share, t.MaxRequests)
	}
}

// serve gives free slots to waiting requests.
func (r *Router) serve(now time.Time) {
	for r.pool.Free(now) > 0 {
		w, expired := r.queue.Pop(now)
		for _, e := range expired {
			close(e.Ready)
		}
		if w == nil {
			r.offer(now)
			return
		}
		m := r.pool.Take(w.Class, "", now)
		if m == nil {
			close(w.Ready)
			continue
		}
		w.Ready <- route.Turn{Minion: m}
	}
	r.offer(now)
}

// Load is this instance's load for its heartbeat.
func (r *Router) Load(rep *member.Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep.Free = r.pool.Free(now)
	rep.Slots = r.pool.Slots(now)
	rep.Waiting = r.queue.Len()
	rep.Rate = r.pool.Rate(now)
	rep.Pace = r.pool.Pace(route.ClassQuick, now)
	rep.Leaving = r.leaving
}

// MinionStatus is one owned minion.
type MinionStatus struct {
	Name    string `json:"name"`
	Busy    int    `json:"busy"`
	Orphans int    `json:"unconfirmed"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	RightMS int64  `json:"right-ms"`
}

// Status is the router's figures.
type Status struct {
	Minions []MinionStatus `json:"minions"`
	Waiting map[string]int `json:"waiting"`
	Active  int            `json:"active"`
	Leaving bool           `json:"leaving"`
}

// Status gives the figures at now.
func (r *Router) Status(now time.Time) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Waiting: map[string]int{}, Active: r.active, Leaving: r.leaving}
	for _, c := range []string{route.ClassUrgent, route.ClassQuick, route.ClassPatient} {
		s.Waiting[c] = r.queue.Waiting(c)
	}
	for _, m := range r.pool.Minions() {
		s.Minions = append(s.Minions, MinionStatus{
			Name: m.Name, Busy: m.Busy, Orphans: m.Orphans, Slots: m.Slots, State: minionState(m, now),
			RightMS: max(m.Owned.Sub(now).Milliseconds(), 0),
		})
	}
	return s
}

func minionState(m *route.Minion, now time.Time) string {
	switch {
	case m.Leaving:
		return "leaving"
	case now.Before(m.Until):
		return "suspected"
	case m.Unasked:
		return "not-asked-yet"
	case !now.Before(m.Owned):
		return "no-right"
	}
	return "ready"
}

// Leave refuses new requests from now on; those under way go on.
func (r *Router) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Drain waits until no request is under way.
func (r *Router) Drain(ctx context.Context) error {
	t := time.NewTicker(ownersEvery / 4)
	defer t.Stop()
	for {
		r.mu.Lock()
		n := r.active
		r.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}
