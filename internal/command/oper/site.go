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
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/protocol/cell"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/transport/flows"
	"github.com/tamaracklink/tamaracklink/platform"
)

// Bounds of an instance on the platform.
const (
	// gcPercent trades processor time for memory, which is priced by its peak.
	gcPercent = 50
	// memoryShare of the machine's memory is the collector's soft limit.
	memoryShare = 0.5
	// drainShare of the time for a planned stop is spent serving while callers
	// move away.
	drainShare = 0.4
	// closeLimit bounds the wait for answers under way at a planned stop.
	closeLimit = 1500 * time.Millisecond
	// leaveLimit bounds the time to give up the lead at a planned stop.
	leaveLimit = 500 * time.Millisecond
	// headerTimeout bounds how long a caller may take to send its request's head.
	headerTimeout = 5 * time.Second
)

// runSite runs an instance on the users' platform until SIGTERM.
func runSite(ctx context.Context, args []string, io IO) error {
	f := newFlags("site", "run an instance on the platform, by the settings file that "+platform.SettingsEnv+" names", io)
	level := f.String("log-level", "info", "debug, info, warn or error")
	port := f.Int("metrics-port", 9464, "`port` of the metrics page on the instance's address; deploy/system.toml names the same")
	if err := f.Parse(args); err != nil {
		return usageError(err)
	}
	lv, err := zerolog.ParseLevel(*level)
	if err != nil {
		return usageError(err)
	}
	path := lookupEnv(io.Env, platform.SettingsEnv)
	if path == "" {
		return usageError(errs.At("read settings", "platform", errs.At(platform.SettingsEnv+" is not set", "", os.ErrNotExist)))
	}
	set, err := platform.ReadSettings(path)
	if err != nil {
		return usageError(err)
	}
	debug.SetGCPercent(gcPercent)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(set.MemoryMB<<20) * memoryShare))
	}
	out := newLogWriter(io.Out)
	defer out.Close()
	logger := zerolog.New(out).Level(lv).With().Timestamp().Str("instance", set.Instance).Logger()
	log.SetFlags(0)
	log.SetOutput(logger.Sample(&zerolog.BurstSampler{Burst: 5, Period: time.Second}).With().Str("part", "http").Logger())
	set.Metrics = net.JoinHostPort(set.IP, strconv.Itoa(*port))
	s, err := newSite(set, logger)
	if err != nil {
		return err
	}
	return s.run(ctx, path)
}

func lookupEnv(env []string, name string) string {
	for _, e := range env {
		if v, ok := strings.CutPrefix(e, name+"="); ok {
			return v
		}
	}
	return ""
}

// site is a running instance.
type site struct {
	set     platform.Settings
	logger  zerolog.Logger
	meter   *meter.Set
	core    *core.Core
	servers []*http.Server
	leaving chan struct{} // closed at a planned stop
	lacks   atomic.Pointer[string]
}

func newSite(set platform.Settings, logger zerolog.Logger) (*site, error) {
	life := make([]byte, 8)
	if _, err := rand.Read(life); err != nil {
		return nil, err
	}
	if _, err := uptime(); err != nil {
		return nil, err
	}
	s := &site{set: set, logger: logger, meter: meter.New(), leaving: make(chan struct{})}
	client := platform.NewHTTP()
	store := &platform.Store{Addr: set.Store, HTTP: client}
	workers := &platform.Workers{Store: store, HTTP: client}
	placement := &platform.Placement{Addr: set.Advice, HTTP: client}
	peers := cell.NewClient(client)
	s.core = core.New(core.Settings{
		Instance: set.Instance, Life: hex.EncodeToString(life), Domain: set.Domain, Addr: set.Peers, Machine: set.Machine, Params: set.Params,
		Log: store.Ledger(), Config: store.Orders(), DecodeConfig: platform.DecodeConfig, Workers: workers.Calls(),
		Advisers: core.Advisers{Own: placement.Advise, Peer: peers.Advise},
		Peers:    core.Peers{Submit: peers.Submit, Cancel: peers.Cancel, Status: peers.Status, Ready: peers.Ready},
		Relay:    core.Relay{Give: peers.Give, Answers: peers.Answers},
		Now:      time.Now, Uptime: s.uptime, Logger: logger, Meter: s.meter,
	})
	return s, nil
}

// uptime reads the clock that also counts time in which the machine is suspended.
func uptime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, errs.At("read the time since boot", "machine", err)
	}
	return time.Duration(t.Nano()), nil
}

// uptime is the same for the core. A clock that has been read once can be read.
func (s *site) uptime() time.Duration {
	d, err := uptime()
	if err != nil {
		s.logger.Error().Err(err).Msg("site: the time since boot can't be read any more")
	}
	return d
}

func (s *site) run(ctx context.Context, path string) error {
	front := &platform.Front{Core: s.core, Now: time.Now, Meter: s.meter}
	listeners := []struct {
		name, addr string
		handler    http.Handler
	}{
		{"callers", s.set.Callers, s.closing(front)},
		{"readiness", s.set.Readiness, http.HandlerFunc(s.readyz)},
		{"peers and operators", s.set.Peers, s.peers()},
		{"metrics", s.set.Metrics, s.metrics()},
	}
	parts := conc.NewWaitGroup()
	for _, l := range listeners {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errs.At("listen for "+l.name, l.addr, err)
		}
		srv := &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout}
		s.servers = append(s.servers, srv)
		parts.Go(func() {
			if err := srv.Serve(ln); err != http.ErrServerClosed {
				s.logger.Error().Err(err).Str("for", l.name).Msg("site: a listener ended")
			}
		})
	}
	s.logger.Info().Str("domain", s.set.Domain).Dur("lease-max", s.set.Params.LeaseMax).Msg("site: started")
	coreCtx, stopCore := context.WithCancel(context.WithoutCancel(ctx))
	defer stopCore()
	parts.Go(func() { s.core.Run(coreCtx) })
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case <-hup:
			s.reload(path)
		}
	}
	s.stop(stopCore)
	parts.Wait()
	return nil
}

// reload reads the settings file again. Addresses and bounds hold for the life
// of a process, so a change is only told.
func (s *site) reload(path string) {
	set, err := platform.ReadSettings(path)
	if err != nil {
		s.logger.Error().Err(err).Msg("site: the changed settings can't be used")
		return
	}
	s.logger.Info().Bool("changed", set != s.set).Msg("site: settings read again")
}

// stop ends the instance as planned: it gives up the lead, lets callers move
// away while it still serves, then closes.
func (s *site) stop(stopCore func()) {
	s.logger.Info().Msg("site: stops")
	close(s.leaving)
	ctx, cancel := context.WithTimeout(context.Background(), leaveLimit)
	s.core.Leave(ctx)
	cancel()
	time.Sleep(time.Duration(float64(s.set.Stop) * drainShare))
	ctx, cancel = context.WithTimeout(context.Background(), closeLimit)
	defer cancel()
	for _, srv := range s.servers {
		if err := srv.Shutdown(ctx); err != nil {
			s.logger.Warn().Err(err).Msg("site: a listener did not close in time")
			_ = srv.Close() // its connections end with the process anyway
		}
	}
	stopCore()
	s.logger.Info().Msg("site: stopped")
}

// closing asks callers to open a new connection elsewhere once the instance leaves.
func (s *site) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-s.leaving:
			w.Header().Set("Connection", "close")
		default:
		}
		h.ServeHTTP(w, r)
	})
}

func (s *site) readyz(w http.ResponseWriter, r *http.Request) {
	why := ""
	select {
	case <-s.leaving:
		why = "the instance leaves"
	default:
		why = s.core.Lacks(r.Context())
	}
	if old := s.lacks.Swap(&why); old == nil || *old != why {
		s.logger.Info().Bool("ready", why == "").Str("lacks", why).Msg("site: readiness")
	}
	if why != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// peers serves other instances and the product's own interface.
func (s *site) peers() http.Handler {
	m := httprouter.New()
	m.Handler(http.MethodPost, cell.Prefix+"*call", (&cell.Server{Core: s.core}).Handler())
	(&flows.Server{Core: s.core, Now: time.Now}).Register(m)
	return m
}

func (s *site) metrics() http.Handler {
	m := httprouter.New()
	m.GET("/metrics", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { s.meter.Write(w) })
	return m
}
