package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/intake"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// WorkerCalls holds the calls to workers. Orders carry the leader's term as the
// fencing token.
type WorkerCalls struct {
	Start    func(ctx context.Context, o sched.Order, term int64) sched.Answer
	Stop     func(ctx context.Context, o sched.Order, term int64) sched.Answer
	Throttle func(ctx context.Context, o sched.Order, term int64) sched.Answer
	Poll     func(ctx context.Context, o sched.Order, term int64) (sched.Report, sched.Answer)
	// List returns the workers that the platform lists.
	List func(ctx context.Context) ([]sched.WorkerInfo, error)
}

// PlacementReply is a reply of the placement service.
type PlacementReply struct {
	Tickets  map[string]string // by worker; only workers that may run the step have one
	ValidFor time.Duration     // validity period of the tickets
}

// PlacementCalls holds the calls to the placement service.
type PlacementCalls struct {
	// Local calls the service from this instance.
	Local func(ctx context.Context, step string, workers []string) (PlacementReply, error)
	// ViaPeer has the instance at addr call the service.
	ViaPeer func(ctx context.Context, addr, step string, workers []string, quick bool) (PlacementReply, error)
}

// Settings configures a Core. All fields but OnLeading must be set.
type Settings struct {
	Instance    string // name, unique among the instances
	Incarnation string // incarnation, unique to this process
	Domain      string // failure domain
	Addr        string // where peers reach this instance
	Machine     Machine
	Params      sched.Params
	Keys        keys.Bounds // of the use of a configuration that may not be the newest
	Log         ledger.Log  // the ledger
	Directory   ledger.Log  // the log with the records of the instances
	ConfigLog   ledger.Log  // the log to which operators write configurations
	// DecodeConfig decodes a record of ConfigLog. It returns nil for a record
	// that holds no configuration.
	DecodeConfig func(r ledger.Record) (*flow.Config, error)
	Workers      WorkerCalls
	Placement    PlacementCalls
	Peers        PeerCalls
	Relay        RelayCalls
	Now          func() time.Time
	// Uptime returns the time of a clock that also counts while the machine is
	// suspended.
	Uptime func() time.Duration
	// OnLeading is called when this instance begins and ceases to lead. It may be
	// nil.
	OnLeading func(leads bool)
	Logger    zerolog.Logger
	Meter     *meter.Set
}

// setLeading records whether this instance leads, for use outside the loop.
func (c *Core) setLeading(leads bool) {
	c.leading.Store(leads)
	if c.settings.OnLeading != nil {
		c.settings.OnLeading(leads)
	}
}

// Core is one instance of the system.
type Core struct {
	settings     Settings
	intake       *intake.Intake
	reader       *ledger.Reader
	directory    *ledger.Reader
	configReader *ledger.Reader
	index        *flow.Index
	config       atomic.Pointer[flow.Config]
	keys         atomic.Pointer[keys.View] // the same configuration with the proof for it
	replica      atomic.Bool               // the ledger is read, see package roles
	answering    atomic.Bool               // the ledger has been read to its end once
	ready        atomic.Bool               // the ledger has been read to its end since the last step-down
	leading      atomic.Bool               // engine is set, for use outside the loop
	// readable is set while reads of the store succeed: those of the ledger or,
	// at an instance that is not a replica, those of the configuration.
	readable atomic.Bool
	// lastAnswerAt is when such a read last succeeded, in Unix nanoseconds.
	lastAnswerAt atomic.Int64
	// currentAt is the uptime at which the newest read that reached the end of
	// the ledger was sent, in nanoseconds. What it returned has been applied.
	currentAt   atomic.Int64
	loopedAt    atomic.Int64 // uptime at the end of the loop's last pass, in nanoseconds
	averagePass atomic.Int64 // moving average of the duration of scheduling passes, in nanoseconds
	placement   placementQueue
	relayServer relayServer
	peerProbes  sync.Map // by peer address: result of the last readiness probe
	peers       atomic.Pointer[map[string]instanceRecord]
	registering chan struct{} // signals register that the instance's record has changed
	replicas    replicaCalls
	admission   admission

	events chan func(now time.Time) // run in order by the loop
	done   chan struct{}

	// configUnreadable is set while the newest record of the configuration can't be
	// decoded. It is used by applyConfig only.
	configUnreadable bool

	// The fields below belong to the loop. Other goroutines use parts, ctx and
	// stop, which do not change.
	jobs           map[string]*flow.Job      // by ID
	members        map[string]instanceRecord // by instance name
	role           roleState                 // whether this instance becomes a replica
	earlyCancels   map[string]bool           // jobs cancelled before their spec has been read
	completeOffset int64                     // ledger offset up to which to read before the state is complete
	reloading      bool                      // the newest records were loaded and the ledger has not been read to its end since
	estimates      []byte                    // newest estimator record of a leader, encoded
	election       electionState
	engine         *sched.Engine // nil unless this instance leads
	listing        listState
	relay          relayState
	appending      appendState
	nextDecideAt   time.Time
	nextTickAt     time.Time
	lastStatsAt    time.Time
	wakeAt         time.Time          // when the loop wakes up at the latest
	passes         passStats          // since lastStatsAt
	waitingQueues  []string           // queues with pending steps at lastStatsAt
	decisionDue    bool               // something has changed since the last decisions
	parts          *parts.Group       // all goroutines of the instance
	ctx            context.Context    // done when Run has to end
	stop           context.CancelFunc // ends ctx
}

// New returns a Core, which does nothing until Run is called.
func New(settings Settings) *Core {
	c := &Core{
		settings: settings, index: flow.NewIndex(), events: make(chan func(time.Time), 1024), done: make(chan struct{}), registering: make(chan struct{}, 1),
		jobs: map[string]*flow.Job{}, members: map[string]instanceRecord{}, earlyCancels: map[string]bool{}, completeOffset: -1, parts: parts.New(),
		role: roleState{failedProbes: map[string]int{}, unreadySince: map[string]time.Time{}},
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.election.lastContact = settings.Now()
	c.intake = intake.New(intake.Settings{
		Log: settings.Log, Name: "intake/" + settings.Instance + "/" + settings.Incarnation, Now: settings.Now,
		LastAnswer: func() time.Time { return time.Unix(0, c.lastAnswerAt.Load()) },
		OnUnanswered: func(err error, tries int) {
			c.settings.Logger.Warn().Err(err).Int("tries", tries).Msg("intake: append without an answer")
		},
	})
	c.reader = &ledger.Reader{Log: settings.Log, MaxReadWait: readWait, ReadInterval: c.readInterval, Now: settings.Now, Uptime: settings.Uptime, Deliver: func(b ledger.Batch) {
		c.post(func(now time.Time) { c.applyBatch(now, b) })
	}}
	c.directory = &ledger.Reader{Log: settings.Directory, MaxReadWait: directoryReadWait, ReadInterval: func() time.Duration { return directoryReadInterval }, Now: settings.Now, Deliver: func(b ledger.Batch) {
		c.post(func(now time.Time) { c.applyDirectory(now, b) })
	}}
	c.configReader = &ledger.Reader{Log: settings.ConfigLog, MaxReadWait: configReadWait, ReadInterval: func() time.Duration { return configReadInterval }, Now: settings.Now, Uptime: settings.Uptime, Deliver: c.applyConfig}
	return c
}

// Timing of reads of the ledger and the configuration log.
const (
	// readWait is how long a read of the ledger waits for a record. It is below
	// minElectionTimeout, because an instance stands for election only after a
	// read has returned without a record of the leader.
	readWait       = 250 * time.Millisecond
	configReadWait = time.Second
	// directoryReadWait is long, since the directory changes only when an
	// instance starts.
	directoryReadWait     = 3 * time.Second
	directoryReadInterval = 200 * time.Millisecond
	// configReadInterval is the shortest time between two reads of the
	// configuration log, to limit calls while it changes often.
	configReadInterval = 200 * time.Millisecond
	// leaderReadInterval and followerReadInterval are the shortest times
	// between two reads of the ledger. Each call has a cost, and a follower may
	// report the end of a job a little later.
	leaderReadInterval   = 24 * time.Millisecond
	followerReadInterval = 80 * time.Millisecond
)

func (c *Core) readInterval() time.Duration {
	if c.leading.Load() {
		return leaderReadInterval
	}
	return followerReadInterval
}

// post queues f for the loop. It drops f once the loop has ended.
func (c *Core) post(f func(now time.Time)) {
	select {
	case c.events <- f:
	case <-c.done:
	}
}

// Run runs the instance until ctx is done. It must be called once. If any of
// the instance's goroutines panics, Run ends the others and panics too.
func (c *Core) Run(ctx context.Context) {
	defer c.stop()
	defer context.AfterFunc(ctx, c.stop)()
	ctx = c.ctx
	c.parts.Go(func() { c.intake.Run(ctx) })
	c.parts.Go(func() { c.directory.Run(ctx) })
	c.parts.Go(func() { c.configReader.Run(ctx) })
	c.parts.Go(func() { c.register(ctx) })
	c.parts.Go(func() {
		defer close(c.done)
		c.loop(ctx)
	})
	c.parts.Wait()
}

// loopInterval is the longest time between two passes of the loop.
const loopInterval = 40 * time.Millisecond

// maxLoopPause is the time without a pass of the loop after which the instance
// is not ready. It is over a hundred times loopInterval, so that a slow machine
// or one long pass doesn't take the instance away from its callers.
const maxLoopPause = 5 * time.Second

// stalled reports whether the loop has made no pass for maxLoopPause.
func (c *Core) stalled() bool {
	return c.settings.Uptime()-time.Duration(c.loopedAt.Load()) > maxLoopPause
}

func (c *Core) loop(ctx context.Context) {
	t := time.NewTimer(loopInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f(c.settings.Now())
			c.drain()
		case <-t.C:
		}
		now := c.settings.Now()
		c.step(now)
		c.loopedAt.Store(int64(c.settings.Uptime()))
		wait := c.untilNextStep(now)
		c.wakeAt = now.Add(wait)
		t.Reset(wait)
	}
}

// drain runs the functions that are already queued, so that one step covers all
// of them.
func (c *Core) drain() {
	for range cap(c.events) {
		select {
		case f := <-c.events:
			f(c.settings.Now())
		default:
			return
		}
	}
}

// untilNextStep returns the time after which the next step is due.
func (c *Core) untilNextStep(now time.Time) time.Duration {
	if c.engine == nil {
		return loopInterval
	}
	at := c.nextTickAt
	if c.decisionDue && c.nextDecideAt.Before(at) {
		at = c.nextDecideAt
	}
	if next := c.relay.nextSendAt; !next.IsZero() && next.Before(at) {
		at = next
	}
	return max(time.Millisecond, min(loopInterval, at.Sub(now)))
}

// applyConfig puts the newest configuration of a batch of the configuration log
// into force.
func (c *Core) applyConfig(b ledger.Batch) {
	if !c.replica.Load() {
		c.readable.Store(b.Err == nil)
		if b.Err == nil {
			c.lastAnswerAt.Store(c.settings.Now().UnixNano())
		}
	}
	defer func() {
		c.updateProof(b)
		c.post(func(now time.Time) {
			if c.engine != nil {
				c.setConfigTime(now)
			}
		})
	}()
	if b.Err != nil {
		return
	}
	for _, r := range b.Records {
		conf, err := c.settings.DecodeConfig(r)
		c.noteConfigRecord(conf, err)
		if err != nil {
			c.settings.Logger.Error().Err(err).Str("key", r.Key).Msg("config: skipping a record that can't be decoded")
			continue
		}
		old := c.config.Load()
		if conf == nil || (old != nil && conf.Version <= old.Version) {
			continue
		}
		c.setKeys(conf)
		c.config.Store(conf)
		c.settings.Logger.Info().Int64("version", conf.Version).Int("queues", len(conf.Queues)).Msg("config: in force")
		c.post(func(time.Time) {
			if c.engine != nil {
				c.engine.SetConfig(conf)
				c.decisionDue = true
			}
		})
	}
}
