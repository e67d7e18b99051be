package sites

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// LeaseMax is the longest lease that the workers grant.
const LeaseMax = 6 * time.Second

// callTimeout bounds one call of a caller.
const callTimeout = 3 * time.Second

// errCut is what an instance sees of a peer that is gone or silent.
var errCut = errors.New("cut off")

// Shape is what a site is made of.
type Shape struct {
	Service  string
	Workers  int
	Capacity work.Size // of each worker
	Queues   []flow.Queue
	Logger   zerolog.Logger
}

// Site is a few instances over one store and one fleet.
type Site struct {
	Store *store.Store
	Fleet *fleet.Fleet
	// orders holds the operators' records.
	orders *store.Store
	log    zerolog.Logger

	mu    sync.Mutex
	conf  *flow.Config // the newest
	confs map[int64]*flow.Config
	lives int
	nodes map[string]*node
	specs map[string]*flow.Spec
	mute  map[string]bool // instances that don't answer their peers

	machines map[string]core.Machine
}

// node is one instance's process.
type node struct {
	core *core.Core
	stop func()
	done chan struct{}
}

// New gives a site without instances.
func New(sh Shape) *Site {
	s := &Site{
		Store: store.New(1), log: sh.Logger, nodes: map[string]*node{}, specs: map[string]*flow.Spec{}, mute: map[string]bool{}, machines: map[string]core.Machine{},
		orders: store.New(2), confs: map[int64]*flow.Config{},
	}
	s.Configure(&flow.Config{Version: 1, Queues: sh.Queues})
	s.Fleet = fleet.New(sh.Workers, sh.Capacity, sh.Service, LeaseMax, s.lookup)
	return s
}

func (s *Site) lookup(id sched.TaskID) (fleet.Spec, bool) {
	s.mu.Lock()
	sp := s.specs[id.Job]
	s.mu.Unlock()
	if sp == nil {
		return fleet.Spec{}, false
	}
	st := sp.Steps[id.Step]
	out := fleet.Spec{Size: st.Size, Takes: time.Duration(st.EstimateMs) * time.Millisecond}
	if st.Gang {
		out.Gang = st.Count
	}
	return out, true
}

// Start starts an instance's process.
func (s *Site) Start(name string) {
	began := time.Now()
	s.mu.Lock()
	s.lives++
	life, machine := fmt.Sprintf("life-%d", s.lives), s.machines[name]
	s.mu.Unlock()
	c := core.New(core.Settings{
		Instance: name, Life: life, Domain: "d", Addr: name, Machine: machine,
		Params: sched.Params{LeaseMax: LeaseMax, LeaderMax: 4 * time.Second, KeepFor: 120 * time.Second},
		Log:    s.Store.Log(name), Config: s.orders.Log(name),
		DecodeConfig: s.decodeConfig,
		Workers:      s.Fleet.Calls(name), Now: time.Now, Uptime: func() time.Duration { return time.Since(began) },
		Logger: s.log.With().Str("instance", name).Logger(), Meter: meter.New(), Peers: s.peers(), Relay: s.relay(),
	})
	ctx, stop := context.WithCancel(context.Background())
	n := &node{core: c, stop: stop, done: make(chan struct{})}
	s.mu.Lock()
	s.nodes[name] = n
	s.mu.Unlock()
	go func() {
		defer close(n.done)
		c.Run(ctx)
	}()
}

// Machine says what the instance runs on from its next start on.
func (s *Site) Machine(name string, m core.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[name] = m
}

// Kill ends an instance's process at once.
func (s *Site) Kill(name string) {
	s.mu.Lock()
	n := s.nodes[name]
	delete(s.nodes, name)
	s.mu.Unlock()
	if n != nil {
		n.stop()
		<-n.done
	}
}

// Close ends all instances.
func (s *Site) Close() {
	for _, name := range s.Names() {
		s.Kill(name)
	}
}

// Mute makes an instance answer its peers no more, or again.
func (s *Site) Mute(name string, mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute[name] = mute
}

// Configure puts a version of the configuration in force, as operators do. The
// first is version 1.
func (s *Site) Configure(c *flow.Config) {
	s.mu.Lock()
	s.confs[c.Version] = c
	s.conf = c
	s.mu.Unlock()
	record := ledger.Record{Key: keyConfig, Value: strconv.AppendInt(nil, c.Version, 10)}
	// Without a producer and in no trouble the stand-in takes every append.
	_, _ = s.orders.Log("operator").Append(context.Background(), ledger.Producer{}, 0, []ledger.Record{record})
}

// keyConfig is the key of the records that name versions.
const keyConfig = "config"

// decodeConfig gives the version that a record names.
func (s *Site) decodeConfig(r ledger.Record) (*flow.Config, error) {
	v, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confs[v], nil
}

// reach gives a peer's core, nil if it is gone or silent.
func (s *Site) reach(name string) *core.Core {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[name]; n != nil && !s.mute[name] {
		return n.core
	}
	return nil
}

func (s *Site) peers() core.Peers {
	return core.Peers{
		Submit: func(ctx context.Context, addr string, sp *flow.Spec) error {
			if c := s.reach(addr); c != nil {
				return c.Submit(ctx, sp)
			}
			return core.ErrNotRun
		},
		Cancel: func(ctx context.Context, addr, id string) error {
			if c := s.reach(addr); c != nil {
				return c.Cancel(ctx, id)
			}
			return core.ErrNotRun
		},
		Status: func(ctx context.Context, addr, id string) (flow.Status, error) {
			if c := s.reach(addr); c != nil {
				return c.Status(ctx, id)
			}
			return flow.Status{}, core.ErrNotRun
		},
		Ready: func(_ context.Context, addr string) bool {
			c := s.reach(addr)
			return c != nil && c.Ready()
		},
	}
}

func (s *Site) relay() core.Relay {
	return core.Relay{
		Give: func(_ context.Context, addr, leader string, term int64, orders []core.NumberedOrder) error {
			c := s.reach(addr)
			if c == nil {
				return errCut
			}
			c.Give(leader, term, orders)
			return nil
		},
		Answers: func(ctx context.Context, addr, leader string, after uint64, wait time.Duration) ([]core.NumberedAnswer, uint64, error) {
			c := s.reach(addr)
			if c == nil {
				return nil, after, errCut
			}
			list, last := c.Answers(ctx, leader, after, wait)
			return list, last, nil
		},
	}
}

// At gives an instance's core, nil if its process is gone.
func (s *Site) At(name string) *core.Core {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[name]; n != nil {
		return n.core
	}
	return nil
}

// Names gives the instances that run.
func (s *Site) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.nodes))
}

// Leader gives the instance that leads, "" if there is none.
func (s *Site) Leader() string { return s.first(true) }

// Follower gives an instance that does not lead, "" if there is none.
func (s *Site) Follower() string { return s.first(false) }

func (s *Site) first(leads bool) string {
	for _, name := range s.Names() {
		if c := s.At(name); c != nil && c.Leads() == leads {
			return name
		}
	}
	return ""
}

// Job makes a job that the workers know how to run.
func (s *Site) Job(id, queue string, steps ...flow.Step) *flow.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := &flow.Spec{ID: id, Queue: queue, Policy: s.conf.Queue(queue).Policy, Steps: steps, AcceptedMs: time.Now().UnixMilli()}
	s.specs[id] = sp
	return sp
}

// Jobs gives the ids of all jobs made.
func (s *Site) Jobs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.specs))
}

// Submit hands a job in at an instance.
func (s *Site) Submit(name string, sp *flow.Spec) error {
	c := s.At(name)
	if c == nil {
		return core.ErrNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.SubmitAnywhere(ctx, sp)
}

// State gives a job's state as an instance shows it, or the error's text.
func (s *Site) State(name, id string) string {
	c := s.At(name)
	if c == nil {
		return "the instance is gone"
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	st, err := c.StatusAnywhere(ctx, id)
	if err != nil {
		return err.Error()
	}
	return st.State.String()
}

// Shown reports whether every instance shows the job so.
func (s *Site) Shown(id, state string) bool {
	for _, name := range s.Names() {
		if s.State(name, id) != state {
			return false
		}
	}
	return true
}
