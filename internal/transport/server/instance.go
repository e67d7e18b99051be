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

	"github.com/tamaracklink/tamaracklink/internal/coordination/conf"
	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/coordination/once"
	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
	"github.com/tamaracklink/tamaracklink/internal/protocol/minion"
	"github.com/tamaracklink/tamaracklink/internal/protocol/peer"
	"github.com/tamaracklink/tamaracklink/internal/protocol/plat"
	"github.com/tamaracklink/tamaracklink/internal/protocol/worker"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/limit"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/transport/guard"
)

// Limits of calls to peers and of the handover at shutdown. Those of the HTTP
// server are in package limit.
const (
	peerStateTimeout = 5 * time.Second
	handoverTimeout  = 10 * time.Second
)

// Env holds an instance's connections to its environment. If Listen, Dial or Now
// is nil, the system's network or clock is used.
type Env struct {
	Listen func(addr string) (net.Listener, error)
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// OpenStore returns a function that opens a stream of the store at addr as a
	// log. Calls to the store go through h. It must be set.
	OpenStore func(addr string, h *http.Client) func(stream string) ledger.Log
	Now       func() time.Time
	Logger    zerolog.Logger // has the field "instance"
}

func (e Env) withDefaults() Env {
	if e.Listen == nil {
		e.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	if e.Now == nil {
		e.Now = time.Now
	}
	return e
}

// Instance is an entry instance.
type Instance struct {
	settings          Settings
	env               Env
	now               func() time.Time
	memberID          string // unique to this process
	logger            zerolog.Logger
	metrics           *meter.Set
	platformHTTP      *http.Client // for calls to the platform
	platformClient    *plat.Client
	workerClient      *worker.Client
	minionClient      *minion.Client
	peerClient        *peer.Client
	configView        *conf.View
	memberView        *member.View
	domain            *leader.Domain
	idempotencyKeys   *once.Registry
	router            *entry.Router
	draining          atomic.Bool // set when a graceful shutdown begins
	lastRequestNumber atomic.Uint64
	done              chan struct{}   // closed when Run has returned
	runCtx            context.Context // of the components; set by Run
	abort             chan struct{}   // closed by Abort
	addr              string
	guard             *guard.Guard
	clientBodies      *limit.Budget
	peerBodies        *limit.Budget // apart, so that clients can't exhaust it
	decoders          guard.Slots
	listener          net.Listener
}

// NewInstance checks the settings, listens on the address, and returns an
// instance. The instance answers calls once Run has been called.
func NewInstance(settings Settings, env Env) (*Instance, error) {
	env = env.withDefaults()
	if err := settings.Check(); err != nil {
		return nil, err
	}
	listener, err := env.Listen(settings.Listen)
	if err != nil {
		return nil, errs.At("listen", settings.Listen, err)
	}
	i := &Instance{
		settings: settings, env: env, logger: env.Logger, now: env.Now, metrics: meter.New(), done: make(chan struct{}), abort: make(chan struct{}), listener: listener, addr: settings.Advertise,
		memberID: fmt.Sprintf("%s.%d.%04x", settings.Instance, env.Now().UnixMilli(), rand.Uint32N(1<<16)),
	}
	if i.addr == "" {
		i.addr = listener.Addr().String()
	}
	limits := limit.Derive(settings.MemoryMB<<20, settings.MaxFDs)
	i.clientBodies, i.peerBodies, i.decoders = limit.NewBudget(limits.BodyBytes), limit.NewBudget(limits.BodyBytes), make(guard.Slots, limit.Decoders)
	i.guard = &guard.Guard{
		Name: "clients", Conns: limit.NewConns(limits.ClientConns), Heads: i.clientBodies, ReceiveBytes: limit.ReceiveBytes, Meter: i.metrics, Prefix: "tamaracklink_", Logger: i.logger,
	}
	i.buildComponents(min(route.DefaultMaxWaiting, limits.ClientConns/2))
	return i, nil
}

// Addr returns the address at which other instances reach this one.
func (i *Instance) Addr() string { return i.addr }

// Done returns a channel that is closed when Run has returned.
func (i *Instance) Done() <-chan struct{} { return i.done }

// buildComponents sets the components. Of the requests, maxWaiting may wait for a slot,
// so that they leave connections to others.
func (i *Instance) buildComponents(maxWaiting int) {
	i.platformHTTP = plat.NewHTTPClient(i.settings.Domain, i.env.Dial)
	i.platformClient = plat.New(i.settings.Platform, i.settings.Domain, i.platformHTTP)
	i.platformClient.Logger = i.logger
	streams := i.env.OpenStore(i.settings.Platform, i.platformHTTP)
	i.workerClient = worker.New(i.settings.Domain, i.env.Dial)
	i.minionClient = minion.New(i.settings.Domain, i.env.Dial)
	i.peerClient = peer.NewClient(i.now, i.env.Dial)
	i.configView = conf.New(conf.Config{
		Log: streams(conf.Stream), SnapshotAge: i.settings.SnapshotAge, Fetch: i.stateFetcher(conf.Stream, false), Now: i.now, Logger: i.logger,
	})
	i.peerClient.OnReport = func(r member.Report, _ time.Time) { i.memberView.HandleReport(r) }
	i.memberView = member.New(member.Config{
		Instance: i.settings.Instance, Domain: i.settings.Domain, List: i.platformClient.List, SendHeartbeat: i.peerClient.SendHeartbeat, OwnReport: i.ownReport,
		OnReply: i.handleHeartbeatReply, Now: i.now, Logger: i.logger,
	})
	i.idempotencyKeys = once.New(once.Config{
		Log: streams(once.Stream), Window: i.settings.KeyWindow, SnapshotAge: i.settings.SnapshotAge, Now: i.now, Logger: i.logger,
	})
	i.domain = leader.New(leader.Config{
		Instance: i.settings.Instance, Member: i.memberID, Addr: i.addr, Domain: i.settings.Domain, LeaseDurations: i.settings.LeaseDurations(),
		BatchInterval: i.settings.BatchInterval, RenewInterval: i.settings.RenewInterval, SnapshotAge: i.settings.SnapshotAge,
		Log: streams(leader.StreamName(i.settings.Domain)), Fetch: i.stateFetcher(leader.StreamName(i.settings.Domain), true), Instances: i.memberView.Instances, Peers: i.memberView.Peers,
		Model: i.configView.Model, ConfigReady: i.configView.Ready, Workers: i.workerClient.Calls(), OnTaskStart: i.observeTaskStart,
		Now: i.now, Logger: i.logger,
	})
	i.router = entry.New(entry.Config{
		Instance: i.settings.Instance, MaxWaiting: maxWaiting, OwnedMinions: i.domain.OwnedMinions,
		ListedMinions: func() []member.Instance { return i.memberView.Instances(member.KindMinion) }, Model: i.configView.Model,
		Send: i.minionClient.Send, QueryLoad: i.minionClient.Load, CloseIdle: i.minionClient.CloseIdle, Helper: i.memberView.Helper,
		OfferSlots: func(now time.Time) { i.memberView.OfferSlots(i.runCtx, now) }, QuerySlots: func() { i.memberView.QuerySlots(i.runCtx) }, RecordForward: i.memberView.RecordForward,
		Suspect: i.memberView.Suspect, Forward: i.peerClient.Forward, Claim: i.idempotencyKeys.Claim, RecordOutcome: i.idempotencyKeys.RecordOutcome,
		Observe: i.observeRequest, Now: i.now, Logger: i.logger,
	})
}

// stateFetcher returns a function that requests the state of a stream from the
// listed peers, one after the other, and returns the first that it gets. If
// sameDomain is set, it requests it only from peers in this failure domain.
func (i *Instance) stateFetcher(stream string, sameDomain bool) func(ctx context.Context) ([]byte, error) {
	return func(ctx context.Context) ([]byte, error) {
		domain := ""
		if sameDomain {
			domain = i.settings.Domain
		}
		for _, peer := range i.memberView.InstancesOf(member.KindEntry, domain) {
			if peer.Name == i.settings.Instance {
				continue
			}
			callCtx, cancel := context.WithTimeout(ctx, peerStateTimeout)
			state, err := i.peerClient.FetchState(callCtx, peer.Addr, stream)
			cancel()
			if err == nil {
				return state, nil
			}
		}
		return nil, errors.Errorf("no listed peer returned a state of stream %s", stream)
	}
}

// ownReport returns the report of this instance at now, for heartbeats.
func (i *Instance) ownReport(now time.Time) member.Report {
	r := member.Report{Instance: i.settings.Instance, Member: i.memberID, Domain: i.settings.Domain, Addr: i.addr, ConfigVersion: i.configView.Version()}
	i.router.FillLoad(&r, now)
	i.domain.FillReport(&r, now)
	r.Leaving = r.Leaving || i.draining.Load()
	return r
}

// handleHeartbeatReply processes the reply to a heartbeat that was sent at sent.
func (i *Instance) handleHeartbeatReply(r member.Report, sent time.Time) {
	i.domain.HandleReply(r, sent)
	i.router.HandlePeerReport(r)
}

func (i *Instance) observeTaskStart(spec work.JobSpec, waited time.Duration) {
	i.metrics.Observe("tamaracklink_task_wait_ms", spec.Tenant, spec.Class, waited)
	i.metrics.Count("tamaracklink_task_starts", "kind", spec.Kind, 1)
}

func (i *Instance) observeRequest(req *entry.Request, answer entry.Answer, took time.Duration) {
	i.metrics.Observe("tamaracklink_request_ms", req.Tenant, req.Class, took)
	i.metrics.Observe("tamaracklink_request_wait_ms", req.Tenant, req.Class, answer.Waited)
	i.metrics.Count("tamaracklink_requests", "outcome", answer.Outcome, 1)
	if answer.Attempts > 1 {
		i.metrics.Count("tamaracklink_request_retries", "class", req.Class, int64(answer.Attempts-1))
	}
	if answer.Code != "" {
		i.metrics.Count("tamaracklink_request_errors", "code", answer.Code, 1)
	}
}

// Run serves until ctx ends, then shuts down gracefully: the load balancer's
// health check fails first, then new requests are refused, requests in flight
// are finished, and leadership and minions are handed over. It returns an error
// if serving fails, or if requests do not end within their limit. It must be called
// once. If any of the instance's goroutines panics, Run ends the others and panics
// too.
func (i *Instance) Run(ctx context.Context) error {
	defer close(i.done)
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer i.close()
	i.runCtx = runCtx
	httpServer := i.guard.Server(i.guard.Handler(i.handler(), i.bodyRule))
	defer func() { _ = httpServer.Close() }()
	wg := parts.New()
	wg.Go(func() { i.configView.Run(runCtx) })
	wg.Go(func() { i.memberView.Run(runCtx) })
	wg.Go(func() { i.domain.Run(runCtx) })
	wg.Go(func() { i.idempotencyKeys.Run(runCtx) })
	wg.Go(func() { i.router.Run(runCtx) })
	serveErr := make(chan error, 1)
	wg.Go(func() { serveErr <- httpServer.Serve(i.guard.Listener(i.listener)) })
	i.logger.Info().Str("domain", i.settings.Domain).Str("addr", i.addr).Msg("server: serving")
	var err error
	wg.Go(func() {
		defer cancel()
		select {
		case err = <-serveErr:
		case <-i.abort:
		case <-ctx.Done():
			err = i.shutDown(httpServer)
		}
		_ = httpServer.Close()
	})
	wg.Wait()
	i.logger.Info().Msg("server: stopped")
	return err
}

// Abort makes Run return without a handover, as after a crash. It must be called
// at most once.
func (i *Instance) Abort() { close(i.abort) }

func (i *Instance) close() {
	i.platformHTTP.CloseIdleConnections()
	i.workerClient.Close()
	i.minionClient.Close()
	i.peerClient.Close()
}

func (i *Instance) shutDown(httpServer *http.Server) error {
	i.logger.Info().Msg("server: graceful shutdown begins")
	i.draining.Store(true)
	time.Sleep(i.settings.DrainDelay)
	i.router.StopAccepting()
	drainCtx, cancel := context.WithTimeout(context.Background(), i.settings.DrainLimit)
	defer cancel()
	err := i.router.Drain(drainCtx)
	handoverCtx, cancelHandover := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancelHandover()
	if handoverErr := i.domain.Leave(handoverCtx); handoverErr != nil {
		i.logger.Warn().Err(handoverErr).Msg("server: handover not recorded; successors wait until the leases expire")
	}
	if err != nil {
		return errs.At("finish requests under way", "", err)
	}
	// All requests are finished, so only clients that do not read their answers or do not
	// complete what they send still have connections.
	if err := httpServer.Shutdown(handoverCtx); err != nil {
		i.logger.Warn().Err(err).Msg("server: connections are closed before their clients have read all answers")
	}
	return nil
}
