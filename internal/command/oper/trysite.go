package oper

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Shape of the try-out of a site.
const (
	trySiteInstances = 3
	trySiteWorkers   = 4
	trySiteLease     = 6 * time.Second
	trySiteService   = "stringdesk"
)

// trySite is a site of instances over stand-ins for store and workers.
type trySite struct {
	store *store.Store
	fleet *fleet.Fleet
	conf  *flow.Config
	stops map[string]func()
	cores map[string]*core.Core

	mu    sync.Mutex
	specs map[string]*flow.Spec
}

func newTrySite(logger zerolog.Logger) *trySite {
	s := &trySite{store: store.New(1), stops: map[string]func(){}, cores: map[string]*core.Core{}, specs: map[string]*flow.Spec{}}
	s.conf = &flow.Config{Version: 1, Queues: []flow.Queue{
		{Name: "quotes", Policy: flow.Policy{Service: trySiteService, MaxAttempts: 3, Stretch: 1.5, SlackMs: 250}},
		{Name: "profiles", Policy: flow.Policy{Service: trySiteService, Priority: 1, MaxAttempts: 2, Stretch: 2.2, SlackMs: 1000}},
	}}
	s.fleet = fleet.New(trySiteWorkers, work.Size{CPU: 32000, Memory: 128 << 10}, trySiteService, trySiteLease, s.lookup)
	for i := range trySiteInstances {
		s.start(fmt.Sprintf("edge-%d", i), logger)
	}
	return s
}

func (s *trySite) lookup(id sched.TaskID) (fleet.Spec, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.specs[id.Job]
	if sp == nil {
		return fleet.Spec{}, false
	}
	st := sp.Steps[id.Step]
	f := fleet.Spec{Size: st.Size, Takes: time.Duration(st.EstimateMs) * time.Millisecond}
	if st.Gang {
		f.Gang = st.Count
	}
	return f, true
}

func (s *trySite) start(name string, logger zerolog.Logger) {
	ctx, stop := context.WithCancel(context.Background())
	began := time.Now()
	c := core.New(core.Settings{
		Instance: name, Life: name, Domain: name, Addr: name,
		Params: sched.Params{LeaseMax: trySiteLease, LeaderMax: 4 * time.Second, GangWait: 3 * time.Second, KeepFor: 2 * time.Minute, Heartbeat: time.Second},
		Log:    s.store.Log(name), Config: s.configLog(),
		DecodeConfig: func(ledger.Record) (*flow.Config, error) { return s.conf, nil },
		Workers:      s.fleet.Calls(name), Now: time.Now, Uptime: func() time.Duration { return time.Since(began) },
		Peers:  core.Peers{Ready: func(context.Context, string) bool { return false }},
		Logger: logger.With().Str("instance", name).Logger(), Meter: meter.New(),
	})
	parts := conc.NewWaitGroup()
	parts.Go(func() { c.Run(ctx) })
	s.cores[name] = c
	s.stops[name] = func() { stop(); parts.Wait() }
}

// configLog holds the one configuration of the try-out.
func (s *trySite) configLog() ledger.Log {
	return ledger.Log{
		Newest: func(context.Context, string) (ledger.Snapshot, error) {
			return ledger.Snapshot{Records: []ledger.Record{{Key: "config", Value: []byte{1}}}, End: 1}, nil
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (ledger.Page, error) {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			return ledger.Page{From: from, End: from}, nil
		},
	}
}

func (s *trySite) close() {
	for _, stop := range s.stops {
		stop()
	}
}

func (s *trySite) leader() string {
	for name, c := range s.cores {
		if c.Leads() {
			return name
		}
	}
	return ""
}

// submit hands a job in at any instance that takes it.
func (s *trySite) submit(ctx context.Context, sp *flow.Spec) error {
	sp.AcceptedMs = time.Now().UnixMilli()
	sp.Policy = s.conf.Queue(sp.Queue).Policy
	s.mu.Lock()
	s.specs[sp.ID] = sp
	s.mu.Unlock()
	for _, c := range s.cores {
		if c.SubmitAnywhere(ctx, sp) == nil {
			return nil
		}
	}
	return errors.Errorf("no instance takes job %q", sp.ID)
}

// shown reports whether every instance shows the job as complete.
func (s *trySite) shown(ctx context.Context, id string) bool {
	for _, c := range s.cores {
		if st, err := c.StatusAnywhere(ctx, id); err != nil || st.State != flow.Complete {
			return false
		}
	}
	return true
}

// site tries jobs of steps, a gang, a schedule, and the loss of the leader.
func (t *trial) site(ctx context.Context) error {
	s := newTrySite(t.logger)
	defer s.close()
	if err := t.until(ctx, "a leader of the site", func() bool { return s.leader() != "" }); err != nil {
		return err
	}
	size := work.Size{CPU: 4000, Memory: 4096}
	long := flow.Step{Count: 6, Size: size, EstimateMs: 1500}
	jobs := []*flow.Spec{
		{ID: "quote", Queue: "quotes", Steps: []flow.Step{{Count: 2, Size: size, EstimateMs: 100}}},
		{ID: "chain", Queue: "profiles", Steps: []flow.Step{{Count: 4, Size: size, EstimateMs: 100}, {Count: 2, Size: size, EstimateMs: 100, After: []int{0}}}},
		{ID: "gang", Queue: "profiles", Steps: []flow.Step{{Count: 8, Size: size, EstimateMs: 300, Gang: true}}},
		{ID: "timed", Queue: "quotes", Steps: []flow.Step{{Count: 1, Size: size, EstimateMs: 50}}, Repeat: flow.Repeat{Times: 3, FirstMs: time.Now().UnixMilli() + 300, EveryMs: 200}},
		{ID: "survivor", Queue: "profiles", Steps: []flow.Step{long}},
	}
	for _, sp := range jobs {
		if err := s.submit(ctx, sp); err != nil {
			return err
		}
	}
	old := s.leader()
	if err := t.until(ctx, "the start of the long tasks", func() bool { return s.fleet.Starts() >= 20 }); err != nil {
		return err
	}
	s.stops[old]()
	delete(s.stops, old)
	delete(s.cores, old)
	for _, sp := range jobs {
		if err := t.until(ctx, "the end of job "+sp.ID, func() bool { return s.shown(ctx, sp.ID) }); err != nil {
			return err
		}
	}
	t.check(s.leader() != old, "another instance than %s leads the site", old)
	t.check(s.fleet.Starts() == 2+6+8+3+6, "each task runs once: %d starts", s.fleet.Starts())
	for _, b := range s.fleet.Broken() {
		t.check(false, "%s", b)
	}
	return nil
}
