package sites

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// MaxLease is the longest lease that the workers grant.
const MaxLease = 6 * time.Second

// callTimeout limits each call that Submit or JobState makes to an instance.
const callTimeout = 3 * time.Second

// errPeerUnreachable is returned for relay calls to a peer that has ended or
// does not answer.
var errPeerUnreachable = errors.New("peer is unreachable")

// Config configures a Site.
type Config struct {
	Service  string    // service that the workers belong to
	Workers  int       // number of workers
	Capacity work.Size // of each worker
	Queues   []flow.Queue
	Logger   zerolog.Logger
	// Domain returns the failure domain of an instance. If nil, all are in one.
	Domain func(name string) string
	Keys   keys.Bounds
}

// Site is a set of instances that share one store and one fleet of workers.
type Site struct {
	Store *store.Store
	Fleet *fleet.Fleet
	// configLog holds the operators' records, which name configuration versions.
	configLog *store.Store
	directory *store.Store
	log       zerolog.Logger
	domain    func(name string) string
	keys      keys.Bounds

	mu           sync.Mutex // guards the fields below
	newestConfig *flow.Config
	configs      map[int64]*flow.Config // by version
	incarnations int                    // number of processes started
	instances    map[string]*instance   // with a running process
	specs        map[string]*flow.Spec  // by job ID
	unresponsive map[string]bool        // instances that do not answer their peers
	peerSubmits  atomic.Int64           // submissions that instances passed to a peer

	machines map[string]core.Machine // by instance, from its next start on
}

// instance is the process of an instance.
type instance struct {
	core *core.Core
	stop func()
	done chan struct{}
}

// New returns a site without instances whose configuration version 1 is in
// force.
func New(cfg Config) *Site {
	s := &Site{
		Store: store.New(1), log: cfg.Logger, instances: map[string]*instance{}, specs: map[string]*flow.Spec{}, unresponsive: map[string]bool{}, machines: map[string]core.Machine{},
		configLog: store.New(2), directory: store.New(3), configs: map[int64]*flow.Config{},
	}
	s.domain, s.keys = cfg.Domain, cfg.Keys
	if s.domain == nil {
		s.domain = func(string) string { return "d" }
	}
	s.Configure(&flow.Config{Version: 1, Queues: cfg.Queues})
	s.Fleet = fleet.New(cfg.Workers, cfg.Capacity, cfg.Service, MaxLease, s.taskSpec)
	return s
}

func (s *Site) taskSpec(id sched.TaskID) (fleet.TaskSpec, bool) {
	s.mu.Lock()
	spec := s.specs[id.Job]
	s.mu.Unlock()
	if spec == nil {
		return fleet.TaskSpec{}, false
	}
	step := spec.Steps[id.Step]
	out := fleet.TaskSpec{Size: step.Size, RunTime: time.Duration(step.EstimateMs) * time.Millisecond}
	if step.Gang {
		out.GangSize = step.Count
	}
	return out, true
}

// Start starts the process of an instance. The instance must not be running.
func (s *Site) Start(name string) {
	startedAt := time.Now()
	s.mu.Lock()
	s.incarnations++
	incarnation, machine := fmt.Sprintf("life-%d", s.incarnations), s.machines[name]
	s.mu.Unlock()
	c := core.New(core.Settings{
		Instance: name, Incarnation: incarnation, Domain: s.domain(name), Addr: name, Machine: machine,
		Params: sched.Params{MaxLease: MaxLease, LeaderLease: 4 * time.Second, Retention: 120 * time.Second, MaxListAge: 3 * time.Second},
		Keys:   s.keys,
		Log:    s.Store.Log(name), ConfigLog: s.configLog.Log(name), Directory: s.directory.Log(name),
		DecodeConfig: s.decodeConfig,
		Workers:      s.Fleet.Calls(name), Now: time.Now, Uptime: func() time.Duration { return time.Since(startedAt) },
		Logger: s.log.With().Str("instance", name).Logger(), Meter: meter.New(), Peers: s.peerCalls(), Relay: s.relayCalls(),
	})
	ctx, stop := context.WithCancel(context.Background())
	inst := &instance{core: c, stop: stop, done: make(chan struct{})}
	s.mu.Lock()
	s.instances[name] = inst
	s.mu.Unlock()
	go func() {
		defer close(inst.done)
		c.Run(ctx)
	}()
}

// PeerSubmits returns the number of jobs that instances have passed to a peer.
func (s *Site) PeerSubmits() int { return int(s.peerSubmits.Load()) }

// SetMachine sets the machine that an instance runs on from its next start.
func (s *Site) SetMachine(name string, m core.Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines[name] = m
}

// Kill ends an instance's process at once and waits until it has ended. It does
// nothing if the instance is not running.
func (s *Site) Kill(name string) {
	s.mu.Lock()
	inst := s.instances[name]
	delete(s.instances, name)
	s.mu.Unlock()
	if inst != nil {
		inst.stop()
		<-inst.done
	}
}

// Close kills all instances.
func (s *Site) Close() {
	for _, name := range s.InstanceNames() {
		s.Kill(name)
	}
}

// SetUnresponsive sets whether an instance leaves calls of its peers
// unanswered.
func (s *Site) SetUnresponsive(name string, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive[name] = unresponsive
}

// Configure puts a version of the configuration in force, as operators do. The
// first one is version 1, from New.
func (s *Site) Configure(c *flow.Config) {
	s.mu.Lock()
	s.configs[c.Version] = c
	s.newestConfig = c
	s.mu.Unlock()
	s.AppendToConfigLog(strconv.FormatInt(c.Version, 10))
}

// AppendToConfigLog appends a record of a configuration, which names no version
// unless value is a number.
func (s *Site) AppendToConfigLog(value string) {
	// The store has no fault here, and it stores every append without a producer.
	_, _ = s.configLog.Log("operator").Append(context.Background(), ledger.Producer{}, 0, []ledger.Record{{Key: configKey, Value: []byte(value)}})
}

// SetConfigFault sets the fault of an instance's reads of the configuration.
func (s *Site) SetConfigFault(name string, fault store.Fault) { s.configLog.SetFault(name, fault) }

// AppendToDirectory appends a record to the directory, as another writer could.
func (s *Site) AppendToDirectory(key string, value []byte) {
	// The store has no fault here, and it stores every append without a producer.
	_, _ = s.directory.Log("other").Append(context.Background(), ledger.Producer{}, 0, []ledger.Record{{Key: key, Value: value}})
}

// configKey is the key of the records that name configuration versions.
const configKey = "config"

// decodeConfig returns the configuration whose version a record names.
func (s *Site) decodeConfig(r ledger.Record) (*flow.Config, error) {
	v, err := strconv.ParseInt(string(r.Value), 10, 64)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configs[v], nil
}

// reachableCore returns a peer's core, or nil if the peer has ended or is
// unresponsive.
func (s *Site) reachableCore(name string) *core.Core {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inst := s.instances[name]; inst != nil && !s.unresponsive[name] {
		return inst.core
	}
	return nil
}

func (s *Site) peerCalls() core.PeerCalls {
	return core.PeerCalls{
		Submit: func(ctx context.Context, addr string, spec *flow.Spec) error {
			s.peerSubmits.Add(1)
			if c := s.reachableCore(addr); c != nil {
				return c.Submit(ctx, spec)
			}
			return core.ErrNotExecuted
		},
		Cancel: func(ctx context.Context, addr, id string, by keys.Caller) error {
			if c := s.reachableCore(addr); c != nil {
				return c.Cancel(ctx, id, by)
			}
			return core.ErrNotExecuted
		},
		Status: func(ctx context.Context, addr, id string, by keys.Caller) (flow.Status, error) {
			if c := s.reachableCore(addr); c != nil {
				return c.CurrentStatus(ctx, id, by)
			}
			return flow.Status{}, core.ErrNotExecuted
		},
		Pending: func(_ context.Context, addr, queue string) (int, error) {
			if c := s.reachableCore(addr); c != nil {
				return c.PendingJobs(queue)
			}
			return 0, core.ErrNotExecuted
		},
		Ready: func(_ context.Context, addr string) (bool, error) {
			c := s.reachableCore(addr)
			if c == nil {
				return false, errPeerUnreachable
			}
			return c.Ready(), nil
		},
	}
}

func (s *Site) relayCalls() core.RelayCalls {
	return core.RelayCalls{
		SendOrders: func(_ context.Context, addr, leader string, term int64, orders []core.NumberedOrder) error {
			c := s.reachableCore(addr)
			if c == nil {
				return errPeerUnreachable
			}
			c.RelayOrders(leader, term, orders)
			return nil
		},
		FetchAnswers: func(ctx context.Context, addr, leader string, after uint64, wait, gather time.Duration) ([]core.NumberedAnswer, uint64, error) {
			c := s.reachableCore(addr)
			if c == nil {
				return nil, after, errPeerUnreachable
			}
			list, last := c.AwaitAnswers(ctx, leader, after, wait, gather)
			return list, last, nil
		},
	}
}

// Core returns an instance's core, or nil if the instance is not running.
func (s *Site) Core(name string) *core.Core {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inst := s.instances[name]; inst != nil {
		return inst.core
	}
	return nil
}

// InstanceNames returns the names of the running instances in order.
func (s *Site) InstanceNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.instances))
}

// Leader returns the name of the first instance that leads, or "" if there is
// none.
func (s *Site) Leader() string { return s.firstInstance(true) }

// Follower returns the name of the first instance that does not lead, or "" if
// there is none.
func (s *Site) Follower() string { return s.firstInstance(false) }

func (s *Site) firstInstance(leading bool) string {
	for _, name := range s.InstanceNames() {
		if c := s.Core(name); c != nil && c.IsLeader() == leading {
			return name
		}
	}
	return ""
}

// NewJob returns a new job and registers it, so that the workers can run its
// tasks. The job is not submitted.
func (s *Site) NewJob(id, queue string, steps ...flow.Step) *flow.Spec {
	s.mu.Lock()
	defer s.mu.Unlock()
	spec := &flow.Spec{ID: id, Queue: queue, Policy: s.newestConfig.Queue(queue).Policy, Steps: steps, AcceptedMs: time.Now().UnixMilli()}
	s.specs[id] = spec
	return spec
}

// JobIDs returns the IDs of all jobs created, in order.
func (s *Site) JobIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.specs))
}

// Submit submits a job at an instance, which may forward it to a peer. If the
// instance is not running, it returns the error for a call that was not carried
// out.
func (s *Site) Submit(name string, spec *flow.Spec) error {
	c := s.Core(name)
	if c == nil {
		return core.ErrNotExecuted
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return c.SubmitOrForward(ctx, spec)
}

// JobState returns a job's state as an instance reports it. If there is no
// answer, it returns the error's text.
func (s *Site) JobState(name, id string) string {
	c := s.Core(name)
	if c == nil {
		return "the instance is gone"
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	status, err := c.StatusOrForward(ctx, id, keys.Caller{})
	if err != nil {
		return err.Error()
	}
	return status.State.String()
}

// ReportedByAll reports whether every running instance reports the given state
// for the job.
func (s *Site) ReportedByAll(id, state string) bool {
	for _, name := range s.InstanceNames() {
		if s.JobState(name, id) != state {
			return false
		}
	}
	return true
}
