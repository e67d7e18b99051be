package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/coordination/once"
	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// refreshInterval is the time between two updates of the owned minions.
const refreshInterval = 100 * time.Millisecond

// Config configures a Router. Its functions connect it to the other packages.
type Config struct {
	Instance      string
	MaxWaiting    int                                      // requests that may wait for a slot; 0 means route.DefaultMaxWaiting
	OwnedMinions  func(now time.Time) map[string]time.Time // returns the owned minions with the time until which requests may be dispatched to each
	ListedMinions func() []member.Instance                 // the listed minions of the domain
	Model         func() (config.Model, uint64)            // the configuration and its version
	// Send sends a request to a minion and returns the complete answer. With
	// newConn it opens a connection. Errors should be of type *SendError; any
	// other counts as sent, with an unknown outcome.
	Send      func(ctx context.Context, addr string, req *Request, newConn bool) (Reply, error)
	QueryLoad func(ctx context.Context, addr string) (Load, error) // queries a minion's load over a new connection
	CloseIdle func(addr string)                                    // closes idle connections to a minion
	// Helper returns the best peer with a free slot for which ok returns true. If
	// it is nil, requests are forwarded only to peers that offer slots.
	Helper func(now time.Time, ok func(p member.Peer) bool) (member.Peer, bool)
	// OfferSlots reports the free slots here to the peer with the most waiting
	// requests, if any peer has some. It may be nil.
	OfferSlots func(now time.Time)
	// QuerySlots queries a peer for its free slots. The reply must be passed to
	// HandlePeerReport. It may be nil.
	QuerySlots    func()
	RecordForward func(instance string) // records that a request is forwarded to a peer
	Suspect       func(instance string) // records that a peer did not answer
	Forward       func(ctx context.Context, addr string, req *Request) (Answer, error)
	// Claim claims an idempotency key for a request and returns the request that
	// has it. After an error it is unknown whether the claim took effect.
	Claim func(ctx context.Context, key, requestID string, now time.Time) (once.Holder, error)
	// RecordOutcome records the outcome of a claim.
	RecordOutcome func(ctx context.Context, key, requestID, outcome string, now time.Time) error
	// Observe is called with each answer, for metrics. It may be nil.
	Observe func(req *Request, a Answer, took time.Duration)
	Now     func() time.Time
	Logger  zerolog.Logger
}

// Router carries requests to the minions of one instance. It is safe for
// concurrent use.
type Router struct {
	cfg  Config
	done chan struct{}
	wg   *parts.Group // the loop and all background calls
	ctx  context.Context

	attemptCount atomic.Uint64

	mu             sync.Mutex // guards ctx and the fields below
	pool           *route.Pool
	queue          *route.Queue
	budget         *route.Budget
	inFlight       map[string]*attempt // by attempt ID
	configVersion  uint64              // version of which the tenant settings are in the queue
	leaving        bool                // new requests are refused
	activeRequests int                 // calls of Do in progress
	lastSlotOffer  time.Time           // time of the last offer of free slots to a peer
	lastSlotQuery  time.Time           // time of the last query of a peer's free slots
}

// New returns a Router without minions. Run must be called to start it.
func New(cfg Config) *Router {
	return &Router{
		cfg: cfg, done: make(chan struct{}), wg: parts.New(), pool: route.NewPool(route.ChooseExpectedFinish, 1), queue: route.NewQueue(cfg.MaxWaiting),
		budget: route.NewBudget(), inFlight: map[string]*attempt{},
	}
}

// Done returns a channel that is closed when Run has returned.
func (r *Router) Done() <-chan struct{} { return r.done }

// Run keeps the minions and their state up to date until ctx ends, and returns
// when all background calls have ended. It must be called once.
func (r *Router) Run(ctx context.Context) {
	defer close(r.done)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	r.wg.Go(func() { r.loop(ctx) })
	r.wg.Wait()
}

func (r *Router) loop(ctx context.Context) {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		r.refresh(r.cfg.Now())
		r.queryLoads(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// refresh updates the tenants, the owned minions and their addresses, and
// assigns free slots. Idle connections to a minion that is no longer owned are
// closed.
func (r *Router) refresh(now time.Time) {
	owned := r.cfg.OwnedMinions(now)
	listedMinions := map[string]member.Instance{}
	for _, inst := range r.cfg.ListedMinions() {
		listedMinions[inst.Name] = inst
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateTenants()
	for _, m := range append([]*route.Minion(nil), r.pool.Minions()...) {
		if _, ok := owned[m.Name]; !ok {
			r.pool.Remove(m.Name)
			r.cfg.CloseIdle(m.Addr)
		}
	}
	for name, ownedUntil := range owned {
		inst, listed := listedMinions[name]
		m := r.pool.Get(name)
		if m == nil && !listed {
			continue
		}
		if m == nil {
			m = r.pool.Add(name, inst.Addr, inst.Slots)
			m.LoadUnknown = true // requests of a previous owner may still run there
		}
		m.OwnedUntil = ownedUntil
		if listed && inst.State == member.StateLeaving {
			m.Leaving = true
		}
		if listed && inst.Addr != m.Addr {
			m.Addr = inst.Addr
			m.LoadUnknown = true
			m.Leaving = false
		}
	}
	r.assignSlots(now)
}

// updateTenants sets the tenants' shares and limits from the configuration if
// its version has changed. The caller must hold mu.
func (r *Router) updateTenants() {
	model, version := r.cfg.Model()
	if version == r.configVersion {
		return
	}
	r.configVersion = version
	for name, t := range model.Tenants {
		r.queue.SetTenant(name, t.Share, t.MaxRequests)
	}
}

// assignSlots assigns free slots to waiting requests, and then offers those
// left to a peer. The caller must hold mu.
func (r *Router) assignSlots(now time.Time) {
	for r.pool.FreeSlots(now) > 0 {
		waiter, expired := r.queue.Pop(now)
		for _, e := range expired {
			close(e.Destination)
		}
		if waiter == nil {
			r.offerSlots(now)
			return
		}
		m := r.pool.AcquireSlot(waiter.Class, "", now)
		if m == nil {
			close(waiter.Destination)
			continue
		}
		waiter.Destination <- route.Destination{Minion: m}
	}
	r.offerSlots(now)
}

// FillLoad fills in the load of this instance in the report of a heartbeat.
func (r *Router) FillLoad(report *member.Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report.FreeSlots = r.pool.FreeSlots(now)
	report.TotalSlots = r.pool.TotalSlots(now)
	report.WaitingRequests = r.queue.Len()
	report.Rate = r.pool.Rate(now)
	report.LeastServiceTime = r.pool.LeastServiceTime(route.ClassQuick, now)
	report.Leaving = r.leaving
}

// MinionStatus is the state of an owned minion.
type MinionStatus struct {
	Name         string `json:"name"`
	Busy         int    `json:"busy"`        // slots taken by attempts of this instance
	Orphans      int    `json:"unconfirmed"` // slots taken by requests that may still run and whose answers are not awaited
	Slots        int    `json:"slots"`
	State        string `json:"state"`    // leaving, suspected, not-asked-yet, no-right or ready
	OwnerLeaseMS int64  `json:"right-ms"` // time for which requests may still be dispatched to it; 0 if it is over
}

// Status is the state of a Router.
type Status struct {
	Minions        []MinionStatus `json:"minions"`
	Waiting        map[string]int `json:"waiting"` // number of waiting requests by class
	ActiveRequests int            `json:"active"`  // requests in progress, waiting ones included
	Leaving        bool           `json:"leaving"` // new requests are refused
}

// Status returns the state at now.
func (r *Router) Status(now time.Time) Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Status{Waiting: map[string]int{}, ActiveRequests: r.activeRequests, Leaving: r.leaving}
	for _, c := range []string{route.ClassUrgent, route.ClassQuick, route.ClassPatient} {
		s.Waiting[c] = r.queue.WaitingInClass(c)
	}
	for _, m := range r.pool.Minions() {
		s.Minions = append(s.Minions, MinionStatus{
			Name: m.Name, Busy: m.Busy, Orphans: m.Orphans, Slots: m.Slots, State: minionState(m, now),
			OwnerLeaseMS: max(m.OwnedUntil.Sub(now).Milliseconds(), 0),
		})
	}
	return s
}

func minionState(m *route.Minion, now time.Time) string {
	switch {
	case m.Leaving:
		return "leaving"
	case now.Before(m.SuspectedUntil):
		return "suspected"
	case m.LoadUnknown:
		return "not-asked-yet"
	case !now.Before(m.OwnedUntil):
		return "no-right"
	}
	return "ready"
}

// StopAccepting makes the Router refuse new requests. Those in progress continue.
func (r *Router) StopAccepting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Drain waits until no request is in progress. If ctx ends first it returns the
// error of ctx.
func (r *Router) Drain(ctx context.Context) error {
	t := time.NewTicker(refreshInterval / 4)
	defer t.Stop()
	for {
		r.mu.Lock()
		n := r.activeRequests
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
