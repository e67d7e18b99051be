package oper

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
	"github.com/tamaracklink/tamaracklink/internal/protocol/cell"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/transport/flows"
	"github.com/tamaracklink/tamaracklink/internal/transport/guard"
	"github.com/tamaracklink/tamaracklink/platform"
)

const logLevels = "debug, info, warn or error"

// Memory limits and time limits of an instance on the platform.
const (
	// gcPercent makes the garbage collector run more often than by default. That
	// costs processor time and lowers the memory peak, by which memory is priced.
	gcPercent = 50
	// leaderGCPercent applies while the instance leads. A leader allocates so much
	// that with gcPercent the collector would take a large part of its processor,
	// and only one instance leads.
	leaderGCPercent = 300
	// memoryLimitShare is the soft memory limit of the Go runtime as a share of
	// the machine's memory.
	memoryLimitShare = 0.5
	// drainShare is the share of the time for a graceful shutdown in which the
	// instance still serves while callers move to other instances.
	drainShare = 0.4
	// closeTimeout limits the wait for answers in flight at a graceful shutdown.
	closeTimeout = 1500 * time.Millisecond
	// resignTimeout limits the time to resign as leader at a graceful shutdown.
	resignTimeout = 500 * time.Millisecond
)

// runSite runs an instance on the users' platform until ctx ends.
func runSite(ctx context.Context, args []string, io IO) error {
	flags := newFlags("site", "run an instance on the platform until SIGTERM, configured by the settings file that "+platform.SettingsEnv+" names", io)
	level := flags.String("log-level", "info", logLevels)
	port := flags.Int("metrics-port", 9464, "`port` of the metrics page on the instance's address; deploy/system.toml names the same")
	if err := flags.Parse(args); err != nil {
		return usageError(err)
	}
	// Until it is caught, SIGHUP ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	parsedLevel, err := zerolog.ParseLevel(*level)
	if err != nil || !slices.Contains([]string{"debug", "info", "warn", "error"}, *level) {
		return usageError(&errs.Error{Step: "read flags", Peer: "operator", Path: "log-level", Value: *level, Allowed: logLevels})
	}
	path := lookupEnv(io.Env, platform.SettingsEnv)
	if path == "" {
		return usageError(errs.At("read settings", "platform", errs.At(platform.SettingsEnv+" must name the settings file and is not set", "", os.ErrNotExist)))
	}
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return usageError(err)
	}
	setGCPercent(false)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitShare))
	}
	out := newLogWriter(io.Out)
	defer out.Close()
	logger := zerolog.New(out).Level(parsedLevel).With().Timestamp().Str("instance", settings.Instance).Logger()
	log.SetFlags(0)
	log.SetOutput(logger.Sample(&zerolog.BurstSampler{Burst: 5, Period: time.Second}).With().Str("part", "http").Logger())
	settings.MetricsAddr = net.JoinHostPort(settings.IP, strconv.Itoa(*port))
	instance, err := newSiteInstance(settings, logger)
	if err != nil {
		return err
	}
	return instance.run(ctx, path, hup)
}

func lookupEnv(env []string, name string) string {
	for _, e := range env {
		if v, ok := strings.CutPrefix(e, name+"="); ok {
			return v
		}
	}
	return ""
}

// siteInstance is an instance on the users' platform.
type siteInstance struct {
	settings   platform.Settings
	logger     zerolog.Logger
	meter      *meter.Set
	core       *core.Core
	listen     func(network, addr string) (net.Listener, error)
	servers    []*http.Server
	leaving    chan struct{}          // closed when a graceful shutdown begins
	lastReason atomic.Pointer[string] // why the last check found it not ready, empty if it was ready; nil before the first
}

func newSiteInstance(settings platform.Settings, logger zerolog.Logger) (*siteInstance, error) {
	incarnation := make([]byte, 8)
	if _, err := rand.Read(incarnation); err != nil {
		return nil, err
	}
	if _, err := uptime(); err != nil {
		return nil, err
	}
	s := &siteInstance{settings: settings, logger: logger, meter: meter.New(), leaving: make(chan struct{}), listen: net.Listen}
	client := platform.NewHTTPClient()
	store := &platform.StoreClient{Addr: settings.StoreAddr, HTTP: client}
	workers := &platform.WorkerClient{Store: store, HTTP: client, Logger: logger}
	placement := &platform.PlacementClient{Addr: settings.PlacementAddr, HTTP: client}
	peers := cell.NewClient(client)
	s.core = core.New(core.Settings{
		Instance: settings.Instance, Incarnation: hex.EncodeToString(incarnation), Domain: settings.Domain, Addr: settings.PeerAddr, Machine: settings.Machine, Params: settings.Params, Keys: settings.Keys,
		Log: store.Ledger(), Directory: store.Directory(), ConfigLog: store.OperatorLog(), DecodeConfig: platform.DecodeConfig, Workers: workers.Calls(),
		Placement: core.PlacementCalls{Local: placement.RequestTickets, ViaPeer: peers.RequestTickets},
		Peers:     core.PeerCalls{Submit: peers.Submit, Cancel: peers.Cancel, Status: peers.Status, Pending: peers.Pending, Ready: peers.Ready},
		Relay:     core.RelayCalls{SendOrders: peers.SendOrders, FetchAnswers: peers.FetchAnswers},
		Now:       time.Now, Uptime: s.uptime, Logger: logger, Meter: s.meter, OnLeading: setGCPercent,
	})
	return s, nil
}

func setGCPercent(leads bool) {
	if leads {
		debug.SetGCPercent(leaderGCPercent)
		return
	}
	debug.SetGCPercent(gcPercent)
}

// uptime returns the time since boot from a clock that also counts time in which
// the machine is suspended.
func uptime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errs.At("read the time since boot", "machine", err)
	}
	return time.Duration(t.Nano()), nil
}

// uptime returns the time since boot for the core, which takes no error.
// newSiteInstance has read the clock once, so no error is expected here; it is
// logged.
func (s *siteInstance) uptime() time.Duration {
	d, err := uptime()
	if err != nil {
		s.logger.Error().Err(err).Msg("site: can't read the time since boot")
	}
	return d
}

// run runs the instance until ctx is done or a listener fails. It reads the
// settings file at path again at each signal on hup.
func (s *siteInstance) run(ctx context.Context, path string, hup <-chan os.Signal) error {
	memoryMB := s.settings.MemoryMB
	if memoryMB <= 0 {
		memoryMB = machineMemoryMB()
	}
	guards := newSiteGuards(memoryMB<<20, s.settings.MaxFDs, s.meter, s.logger)
	callers := &platform.CallerHandler{Core: s.core, Now: time.Now, Meter: s.meter, Decoders: guards.decoders}
	listeners := []struct {
		name, addr string
		handler    http.Handler
		guard      *guard.Guard
		rule       func(r *http.Request) guard.Rule
	}{
		{"callers", s.settings.CallerAddr, s.closeWhenLeaving(callers), guards.callers, guards.callerRule(callers.MaxBodyBytes)},
		{"readiness", s.settings.ReadinessAddr, http.HandlerFunc(s.serveReadiness), guards.probes, noBody},
		{"peers and operators", s.settings.PeerAddr, s.peerHandler(guards.decoders), guards.peers, guards.peerRule},
		{"metrics", s.settings.MetricsAddr, s.metricsHandler(guards), guards.probes, noBody},
	}
	group := parts.New()
	failed := make(chan error, len(listeners))
	for _, l := range listeners {
		ln, err := s.listen("tcp", l.addr)
		if err != nil {
			return errs.At("listen for "+l.name, l.addr, err)
		}
		srv := l.guard.Server(l.guard.Handler(l.handler, l.rule))
		s.servers = append(s.servers, srv)
		group.Go(func() {
			if err := srv.Serve(l.guard.Listener(ln)); err != http.ErrServerClosed {
				s.logger.Error().Err(err).Str("for", l.name).Msg("site: listener ended unexpectedly")
				failed <- errs.At("serve "+l.name, l.addr, err)
			}
		})
	}
	s.logger.Info().Str("domain", s.settings.Domain).Dur("lease-max", s.settings.Params.MaxLease).Msg("site: started")
	coreCtx, stopCore := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCore()
	coreEnded := make(chan struct{})
	group.Go(func() {
		defer close(coreEnded)
		s.core.Run(coreCtx)
	})
	var failure error
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case failure = <-failed:
			running = false
		case <-hup:
			s.reload(path)
		case <-coreEnded:
			// The core has panicked, and Wait panics in turn. Without the core this
			// instance would go on to take calls, but carry none out.
			s.closeListeners()
			group.Wait()
			return errors.New("the core has ended unexpectedly")
		}
	}
	s.stop(stopCore)
	group.Wait()
	return failure
}

// reload reads the settings file again and logs whether it has changed. Changes
// are not applied: addresses and bounds stay the same for the lifetime of a
// process.
func (s *siteInstance) reload(path string) {
	settings, err := platform.ReadSettings(path)
	if err != nil {
		s.logger.Error().Err(err).Msg("site: can't read the changed settings")
		return
	}
	s.logger.Info().Bool("changed", settings != s.settings).Msg("site: settings read again")
}

func (s *siteInstance) closeListeners() {
	for _, srv := range s.servers {
		_ = srv.Close() // the error does not matter: its connections end with the process
	}
}

// stop shuts the instance down gracefully: it resigns as leader, still serves
// while callers move to other instances, and then closes the listeners.
func (s *siteInstance) stop(stopCore func()) {
	s.logger.Info().Msg("site: graceful shutdown begins")
	close(s.leaving)
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	s.core.Resign(ctx)
	cancel()
	time.Sleep(time.Duration(float64(s.settings.StopGrace) * drainShare))
	ctx, cancel = context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, srv := range s.servers {
		if err := srv.Shutdown(ctx); err != nil {
			s.logger.Warn().Err(err).Msg("site: listener did not close in time")
			_ = srv.Close() // the error does not matter: its connections end with the process
		}
	}
	stopCore()
	s.logger.Info().Msg("site: stopped")
}

// closeWhenLeaving wraps h so that, during a graceful shutdown, each answer makes
// the caller close its connection and connect to another instance.
func (s *siteInstance) closeWhenLeaving(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-s.leaving:
			w.Header().Set("Connection", "close")
		default:
		}
		h.ServeHTTP(w, r)
	})
}

func (s *siteInstance) serveReadiness(w http.ResponseWriter, r *http.Request) {
	reason := ""
	select {
	case <-s.leaving:
		reason = "the instance leaves"
	default:
		reason = s.core.NotReadyReason(r.Context())
	}
	if old := s.lastReason.Swap(&reason); old == nil || *old != reason {
		s.logger.Info().Bool("ready", reason == "").Str("lacks", reason).Msg("site: readiness")
	}
	if reason != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// peerHandler returns the handler for calls of other instances and for this
// system's own API for jobs of steps.
func (s *siteInstance) peerHandler(decoders guard.Slots) http.Handler {
	m := httprouter.New()
	m.Handler(http.MethodPost, cell.PathPrefix+"*call", (&cell.Server{Core: s.core}).Handler())
	(&flows.Server{Core: s.core, Now: time.Now, Decoders: decoders}).Register(m)
	return m
}

func (s *siteInstance) metricsHandler(guards *siteGuards) http.Handler {
	m := httprouter.New()
	m.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		guards.updateGauges()
		s.meter.Write(w)
	})
	return m
}
