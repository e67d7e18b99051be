package oper

import (
	"context"
	"flag"
	"log"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/transport/server"
	"github.com/tamaracklink/tamaracklink/platform"
)

func bindSettingFlags(f *flag.FlagSet, s *server.Settings) {
	f.StringVar(&s.Instance, "instance", s.Instance, "name of this instance, unique among all; a-z 0-9 . _ / -")
	f.StringVar(&s.Domain, "domain", s.Domain, "failure domain of this instance")
	f.StringVar(&s.Listen, "listen", s.Listen, "`IP:port` to serve callers, operators and other instances on")
	f.StringVar(&s.Advertise, "advertise", s.Advertise, "`IP:port` under which others reach this instance; empty means -listen")
	f.StringVar(&s.Platform, "platform", s.Platform, "`IP:port` of the platform's service")
	f.StringVar(&s.LogLevel, "log-level", s.LogLevel, "debug, info, warn or error")
	f.DurationVar(&s.LeaderLease, "lead", s.LeaderLease, "how long a leader may act after it sent its last confirmed record, for example 2s")
	f.DurationVar(&s.Margin, "margin", s.Margin, "added when waiting for another instance's lease to expire, for example 500ms")
	f.DurationVar(&s.OwnerLease, "grant", s.OwnerLease, "how long a minion's owner may dispatch to it after a read of the log, for example 2s")
	f.DurationVar(&s.TaskLease, "task-lease", s.TaskLease, "lease of batch and gang tasks, for example 1m")
	f.DurationVar(&s.Promise, "hold", s.Promise, "while the log is down: how long an instance promises a leader not to claim the leadership, for example 2m")
	f.DurationVar(&s.MaxPromised, "rest", s.MaxPromised, "while the log is down: longest time that such promises extend a leader's lease, for example 1h; at least -hold")
	f.DurationVar(&s.BatchInterval, "batch-every", s.BatchInterval, "shortest time between two of a leader's appends, for example 50ms")
	f.DurationVar(&s.RenewInterval, "renew-every", s.RenewInterval, "longest time between two of a leader's appends, for example 500ms; at most half of -lead")
	f.DurationVar(&s.KeyWindow, "key-window", s.KeyWindow, "how long idempotency keys are remembered, for example 1h")
	f.DurationVar(&s.SnapshotAge, "snapshot-age", s.SnapshotAge, "age at which a stream's snapshot is due, for example 5m; at most a quarter of the log's retention")
	f.DurationVar(&s.DrainDelay, "drain-delay", s.DrainDelay, "at a graceful shutdown: time between failing the load balancer's health check and refusing requests, for example 2s")
	f.Int64Var(&s.MemoryMB, "memory-mb", s.MemoryMB, "memory of the machine in `MB`, of which clients may take a part; 0 means what the machine has")
	f.Int64Var(&s.MaxFDs, "max-fds", s.MaxFDs, "`number` of file descriptors, of which clients may take a part; 0 means what the process may open")
	f.DurationVar(&s.DrainLimit, "drain-limit", s.DrainLimit, "at a graceful shutdown: longest wait for requests in flight, for example 5m")
}

// settingFlagNames returns the names of the flags of serve.
func settingFlagNames() []string {
	var s server.Settings
	f := flag.NewFlagSet("settings", flag.ContinueOnError)
	bindSettingFlags(f, &s)
	var names []string
	f.VisitAll(func(g *flag.Flag) { names = append(names, g.Name) })
	return names
}

func runServe(ctx context.Context, args []string, io IO) error {
	settings := server.Defaults()
	f := newFlags("serve", "run an entry instance until SIGTERM, which shuts it down gracefully", io)
	bindSettingFlags(f, &settings)
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	if err := settings.Check(); err != nil {
		return usageError(err)
	}
	if settings.MemoryMB == 0 {
		settings.MemoryMB = machineMemoryMB()
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryLimitShare))
	}
	if settings.MaxFDs == 0 {
		settings.MaxFDs = maxDescriptors()
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return usageError(err)
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("instance", settings.Instance).Logger()
	// net/http logs each broken connection through the standard logger; a few
	// lines a second are enough.
	log.SetFlags(0)
	log.SetOutput(logger.Sample(&zerolog.BurstSampler{Burst: 5, Period: time.Second}).With().Str("part", "http").Logger())
	i, err := server.NewInstance(settings, server.Env{OpenStore: platform.StreamLogs, Logger: logger})
	if err != nil {
		return err
	}
	return i.Run(ctx)
}
