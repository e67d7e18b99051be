package core

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/tamaracklink/tamaracklink/internal/coordination/intake"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// Workers are the calls to workers.
type Workers struct {
	Start func(ctx context.Context, o sched.Order, term int64) sched.Answer
	Stop  func(ctx context.Context, o sched.Order, term int64) sched.Answer
	Pace  func(ctx context.Context, o sched.Order, term int64) sched.Answer
	Hold  func(ctx context.Context, o sched.Order, term int64) (sched.Report, sched.Answer)
	// List gives the workers that the platform lists.
	List func(ctx context.Context) ([]sched.WorkerInfo, error)
}

// Advice is an answer of the placement service.
type Advice struct {
	Tickets map[string]string // by worker that may run the step
	Valid   time.Duration
}

// Advisers are the calls to the placement service.
type Advisers struct {
	// Own asks it from this instance.
	Own func(ctx context.Context, step string, workers []string) (Advice, error)
	// Peer asks it from another instance.
	Peer func(ctx context.Context, addr, step string, workers []string, quick bool) (Advice, error)
}

// Settings are what a Core needs. All fields must be set.
type Settings struct {
	Instance string // name, unique among the instances
	Life     string // unique to this process
	Domain   string
	Addr     string // where peers reach it
	Machine  Machine
	Params   sched.Params
	Log      ledger.Log // the ledger's records
	Config   ledger.Log // the operators' records
	// DecodeConfig reads the record that holds the configuration; it gives nil
	// for another record.
	DecodeConfig func(r ledger.Record) (*flow.Config, error)
	Workers      Workers
	Advisers     Advisers
	Peers        Peers
	Relay        Relay
	Now          func() time.Time
	// Uptime is a clock that also counts time in which the machine is suspended.
	Uptime func() time.Duration
	Logger zerolog.Logger
	Meter  *meter.Set
}

// Core is an instance's part in the system.
type Core struct {
	set    Settings
	intake *intake.Intake
	tail   *ledger.Tail
	watch  *ledger.Tail
	index  *flow.Index
	config atomic.Pointer[flow.Config]
	ready  atomic.Bool // the ledger has been read to its end once
	leads  atomic.Bool
	reads  atomic.Bool // the newest read of the ledger went well
	// answeredAt is when the store last answered a read, in nanoseconds.
	answeredAt atomic.Int64
	advise     adviseQueue
	carrier    carrier
	probes     sync.Map // by peer's address: the newest answer whether it is ready
	peers      atomic.Pointer[map[string]instance]

	events chan func(now time.Time) // run by the loop, in order
	done   chan struct{}

	// What follows belongs to the loop.
	jobs     map[string]*flow.Job
	members  map[string]instance
	cancels  map[string]bool // jobs cancelled whose spec has not been read yet
	settled  int64           // the state is whole once the ledger has been read to here
	learned  []byte          // the newest record of what leaders have learned
	lead     leadership
	engine   *sched.Engine
	listing  listing
	relay    relaying
	append   appending
	decideAt time.Time
	tickAt   time.Time
	statsAt  time.Time
	changed  bool
	calls    *conc.WaitGroup
	ctx      context.Context
}

// New gives a core; Run makes it work.
func New(set Settings) *Core {
	c := &Core{
		set: set, index: flow.NewIndex(), events: make(chan func(time.Time), 1024), done: make(chan struct{}),
		jobs: map[string]*flow.Job{}, members: map[string]instance{}, cancels: map[string]bool{}, settled: -1, calls: conc.NewWaitGroup(),
	}
	c.lead.heardAt = set.Now()
	c.intake = intake.New(intake.Settings{
		Log: set.Log, Name: "intake/" + set.Instance + "/" + set.Life, Now: set.Now,
		Answered: func() time.Time { return time.Unix(0, c.answeredAt.Load()) },
		Unsure: func(err error, tries int) {
			c.set.Logger.Warn().Err(err).Int("tries", tries).Msg("intake: append without an answer")
		},
	})
	c.tail = &ledger.Tail{Log: set.Log, Wait: readWait, Pace: c.pace, Now: set.Now, Deliver: func(b ledger.Batch) {
		c.post(func(now time.Time) { c.take(now, b) })
	}}
	c.watch = &ledger.Tail{Log: set.Config, Wait: watchWait, Pace: func() time.Duration { return watchPace }, Now: set.Now, Deliver: c.takeConfig}
	return c
}

// Bounds of following the store's logs.
const (
	// readWait is below the shortest silence after which others bid, as that takes
	// a read without a sign.
	readWait  = 250 * time.Millisecond
	watchWait = time.Second
	// watchPace bounds the calls for the configuration while it changes often.
	watchPace = 200 * time.Millisecond
	// leaderPace and followerPace are the shortest times between two reads: each
	// call has a price, and callers of followers may be told of an end a little later.
	leaderPace   = 24 * time.Millisecond
	followerPace = 80 * time.Millisecond
)

func (c *Core) pace() time.Duration {
	if c.leads.Load() {
		return leaderPace
	}
	return followerPace
}

// post hands f to the loop.
func (c *Core) post(f func(now time.Time)) {
	select {
	case c.events <- f:
	case <-c.done:
	}
}

// Run works until ctx ends.
func (c *Core) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	c.ctx = ctx
	parts := conc.NewWaitGroup()
	parts.Go(func() { c.intake.Run(ctx) })
	parts.Go(func() { c.tail.Run(ctx) })
	parts.Go(func() { c.watch.Run(ctx) })
	parts.Go(func() { c.register(ctx) })
	c.loop(ctx)
	close(c.done)
	stop()
	parts.Wait()
	c.calls.Wait()
}

// loopEvery is the longest time between two looks at what is due.
const loopEvery = 40 * time.Millisecond

func (c *Core) loop(ctx context.Context) {
	t := time.NewTimer(loopEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f(c.set.Now())
			c.drain()
		case <-t.C:
		}
		now := c.set.Now()
		c.step(now)
		t.Reset(c.idle(now))
	}
}

// drain runs what else has arrived, so that one step decides on all of it.
func (c *Core) drain() {
	for range cap(c.events) {
		select {
		case f := <-c.events:
			f(c.set.Now())
		default:
			return
		}
	}
}

// idle gives the time until the next step at the latest.
func (c *Core) idle(now time.Time) time.Duration {
	if c.engine == nil {
		return loopEvery
	}
	at := c.tickAt
	if c.changed && c.decideAt.Before(at) {
		at = c.decideAt
	}
	return max(time.Millisecond, min(loopEvery, at.Sub(now)))
}

// takeConfig follows the operators' records.
func (c *Core) takeConfig(b ledger.Batch) {
	if b.Err != nil {
		return
	}
	for _, r := range b.Records {
		conf, err := c.set.DecodeConfig(r)
		if err != nil {
			c.set.Logger.Error().Err(err).Str("key", r.Key).Msg("config: a record can't be read; it is passed over")
			continue
		}
		old := c.config.Load()
		if conf == nil || (old != nil && conf.Version <= old.Version) {
			continue
		}
		c.config.Store(conf)
		c.set.Logger.Info().Int64("version", conf.Version).Int("queues", len(conf.Queues)).Msg("config: in force")
		c.post(func(time.Time) {
			if c.engine != nil {
				c.engine.SetConfig(conf)
				c.changed = true
			}
		})
	}
}

// register writes the record under which peers find this instance.
func (c *Core) register(ctx context.Context) {
	r, err := encodeRecord(keyInstance+c.set.Instance, instance{Addr: c.set.Addr, Domain: c.set.Domain, Life: c.set.Life, Machine: c.set.Machine})
	if err != nil {
		c.set.Logger.Error().Err(err).Msg("core: the instance's record can't be encoded")
		return
	}
	for ctx.Err() == nil {
		if err = c.intake.Store(ctx, r); err == nil {
			return
		}
		c.set.Logger.Warn().Err(err).Msg("core: the instance's record is not stored yet")
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
		}
	}
}

// registerPause is the pause between two tries to write the instance's record.
const registerPause = 300 * time.Millisecond
