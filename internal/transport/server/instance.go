package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/tamaracklink/tamaracklink/internal/coordination/conf"
	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/coordination/once"
	"github.com/tamaracklink/tamaracklink/internal/protocol/minion"
	"github.com/tamaracklink/tamaracklink/internal/protocol/peer"
	"github.com/tamaracklink/tamaracklink/internal/protocol/plat"
	"github.com/tamaracklink/tamaracklink/internal/protocol/worker"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Limits of the HTTP server.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 15 * time.Second
	idleTimeout   = 75 * time.Second
	maxHeader     = 32 << 10
	stateTimeout  = 5 * time.Second
	leaveTimeout  = 10 * time.Second
)

// Env is what an instance takes from its surroundings. Nil functions mean the
// machine's own network and clock.
type Env struct {
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// Streams gives the store at addr, called through h, as logs by the name of a
	// stream. It must be set.
	Streams func(addr string, h *http.Client) func(stream string) ledger.Log
	Now     func() time.Time
	Logger  zerolog.Logger
}

func (e Env) filled() Env {
	if e.Listen == nil {
		e.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if e.Now == nil {
		e.Now = time.Now
	}
	return e
}

// Instance is one entry instance.
type Instance struct {
	set      Settings
	env      Env
	now      func() time.Time
	member   string
	logger   zerolog.Logger
	meters   *meter.Set
	calls    *http.Client // to the platform
	platform *plat.Client
	workers  *worker.Client
	minions  *minion.Client
	peers    *peer.Client
	conf     *conf.View
	members  *member.View
	domain   *leader.Domain
	once     *once.Registry
	router   *entry.Router
	draining atomic.Bool
	ids      atomic.Uint64
	done     chan struct{}
	ctx      context.Context // of Run's parts
	abort    chan struct{}
	addr     string
	listener net.Listener
}

// NewInstance checks the settings and builds an instance that serves on its
// address once Run is called.
func NewInstance(set Settings, env Env) (*Instance, error) {
	env = env.filled()
	if err := set.Check(); err != nil {
		return nil, err
	}
	listener, err := env.Listen(set.Listen)
	if err != nil {
		return nil, errs.At("listen", set.Listen, err)
	}
	i := &Instance{
		set: set, env: env, logger: env.Logger, now: env.Now, meters: meter.New(), done: make(chan struct{}), abort: make(chan struct{}), listener: listener, addr: set.Advertise,
		member: fmt.Sprintf("%s.%d.%04x", set.Instance, env.Now().UnixMilli(), rand.Uint32N(1<<16)),
	}
	if i.addr == "" {
		i.addr = listener.Addr().String()
	}
	i.build()
	return i, nil
}

// Addr gives the address under which others reach the instance.
func (i *Instance) Addr() string { return i.addr }

// Done is closed when Run has ended.
func (i *Instance) Done() <-chan struct{} { return i.done }

func (i *Instance) build() {
	i.calls = plat.NewHTTP(i.set.Domain, i.env.Dial)
	i.platform = plat.New(i.set.Platform, i.set.Domain, i.calls)
	streams := i.env.Streams(i.set.Platform, i.calls)
	i.workers = worker.New(i.set.Domain, i.env.Dial)
	i.minions = minion.New(i.set.Domain, i.env.Dial)
	i.peers = peer.NewClient(i.now, i.env.Dial)
	i.conf = conf.New(conf.Config{
		Log: streams(conf.Stream), SnapshotAge: i.set.SnapshotAge, Fetch: i.fetcher(conf.Stream, false), Now: i.now, Logger: i.logger,
	})
	i.peers.Heard = func(r member.Report, _ time.Time) { i.members.Receive(r) }
	i.members = member.New(member.Config{
		Instance: i.set.Instance, Domain: i.set.Domain, List: i.platform.List, Beat: i.peers.Beat, Self: i.report,
		Answered: i.answered, Now: i.now, Logger: i.logger,
	})
	i.once = once.New(once.Config{
		Log: streams(once.Stream), Window: i.set.KeyWindow, SnapshotAge: i.set.SnapshotAge, Now: i.now, Logger: i.logger,
	})
	i.domain = leader.New(leader.Config{
		Instance: i.set.Instance, Member: i.member, Addr: i.addr, Domain: i.set.Domain, Terms: i.set.Terms(),
		BatchEvery: i.set.BatchEvery, RenewEvery: i.set.RenewEvery, SnapshotAge: i.set.SnapshotAge,
		Log: streams(leader.StreamOf(i.set.Domain)), Fetch: i.fetcher(leader.StreamOf(i.set.Domain), true), Nodes: i.members.Nodes, Peers: i.members.Peers,
		Model: i.conf.Model, ConfigReady: i.conf.Ready, Workers: i.workers.Workers(), Started: i.observeStart,
		Now: i.now, Logger: i.logger,
	})
	i.router = entry.New(entry.Config{
		Instance: i.set.Instance, Owned: i.domain.Owned,
		Minions: func() []member.Node { return i.members.Nodes(member.KindMinion) }, Model: i.conf.Model,
		Send: i.minions.Send, Load: i.minions.Load, Drop: i.minions.Drop, Helper: i.members.Helper,
		Offer: func(now time.Time) { i.members.Offer(i.ctx, now) }, Ask: func() { i.members.Ask(i.ctx) }, Spend: i.members.Spend,
		Suspect: i.members.Suspect, Forward: i.peers.Forward, Claim: i.once.Claim, Settle: i.once.Settle,
		Observe: i.observeRequest, Now: i.now, Logger: i.logger,
	})
}

// fetcher gives a function that asks listed peers for their state of a stream.
func (i *Instance) fetcher(stream string, sameDomain bool) func(ctx context.Context) ([]byte, error) {
	return func(ctx context.Context) ([]byte, error) {
		domain := ""
		if sameDomain {
			domain = i.set.Domain
		}
		for _, n := range i.members.NodesOf(member.KindEntry, domain) {
			if n.Name == i.set.Instance {
				continue
			}
			c, cancel := context.WithTimeout(ctx, stateTimeout)
			state, err := i.peers.State(c, n.Addr, stream)
			cancel()
			if err == nil {
				return state, nil
			}
		}
		return nil, errors.Errorf("no peer holds a state of %s", stream)
	}
}

// report is what this instance says of itself in heartbeats.
func (i *Instance) report(now time.Time) member.Report {
	r := member.Report{Instance: i.set.Instance, Member: i.member, Domain: i.set.Domain, Addr: i.addr, Version: i.conf.Version()}
	i.router.Load(&r, now)
	i.domain.Report(&r, now)
	r.Leaving = r.Leaving || i.draining.Load()
	return r
}

// answered takes the reply to a heartbeat that was sent at the time.
func (i *Instance) answered(r member.Report, sent time.Time) {
	i.domain.Answered(r, sent)
	i.router.Offered(r)
}

func (i *Instance) observeStart(spec work.JobSpec, waited time.Duration) {
	i.meters.Observe("tamaracklink_task_wait_ms", spec.Tenant, spec.Class, waited)
	i.meters.Count("tamaracklink_task_starts", "kind", spec.Kind, 1)
}

func (i *Instance) observeRequest(q *entry.Request, a entry.Answer, took time.Duration) {
	i.meters.Observe("tamaracklink_request_ms", q.Tenant, q.Class, took)
	i.meters.Observe("tamaracklink_request_wait_ms", q.Tenant, q.Class, a.Waited)
	i.meters.Count("tamaracklink_requests", "outcome", a.Outcome, 1)
	if a.Attempts > 1 {
		i.meters.Count("tamaracklink_request_retries", "class", q.Class, int64(a.Attempts-1))
	}
	if a.Code != "" {
		i.meters.Count("tamaracklink_request_errors", "code", a.Code, 1)
	}
}

// Run serves until ctx ends, then stops as planned: the balancer's check fails
// first, new requests are refused, those under way are finished, leadership and
// minions are handed over.
func (i *Instance) Run(ctx context.Context) error {
	defer close(i.done)
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	i.ctx = inner
	s := &http.Server{
		Handler: i.handler(), ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}
	var wg conc.WaitGroup
	wg.Go(func() { i.conf.Run(inner) })
	wg.Go(func() { i.members.Run(inner) })
	wg.Go(func() { i.domain.Run(inner) })
	wg.Go(func() { i.once.Run(inner) })
	wg.Go(func() { i.router.Run(inner) })
	failed := make(chan error, 1)
	wg.Go(func() { failed <- s.Serve(i.listener) })
	i.logger.Info().Str("instance", i.set.Instance).Str("domain", i.set.Domain).Str("addr", i.addr).Msg("server: serving")
	var err error
	select {
	case err = <-failed:
	case <-i.abort:
	case <-ctx.Done():
		err = i.stop(s)
	}
	cancel()
	_ = s.Close()
	wg.Wait()
	i.close()
	i.logger.Info().Msg("server: stopped")
	return err
}

// Abort ends Run at once, without handing anything over, as a crash does. It is
// called at most once.
func (i *Instance) Abort() { close(i.abort) }

func (i *Instance) close() {
	i.calls.CloseIdleConnections()
	i.workers.Close()
	i.minions.Close()
	i.peers.Close()
}

func (i *Instance) stop(s *http.Server) error {
	i.logger.Info().Msg("server: planned stop begins")
	i.draining.Store(true)
	time.Sleep(i.set.DrainDelay)
	i.router.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), i.set.DrainLimit)
	defer cancel()
	err := i.router.Drain(ctx)
	leave, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	if leaveErr := i.domain.Leave(leave); leaveErr != nil {
		i.logger.Warn().Err(leaveErr).Msg("server: the hand-over could not be recorded, leases will lapse instead")
	}
	if err != nil {
		return errs.At("finish requests under way", "", err)
	}
	return s.Shutdown(leave)
}
