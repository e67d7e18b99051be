package oper

import (
	"context"
	"flag"
	"log"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/transport/server"
	"github.com/tamaracklink/tamaracklink/platform"
)

func bindSettings(f *flag.FlagSet, s *server.Settings) {
	f.StringVar(&s.Instance, "instance", s.Instance, "name of this instance, unique among all; a-z 0-9 . _ / -")
	f.StringVar(&s.Domain, "domain", s.Domain, "failure domain of this instance")
	f.StringVar(&s.Listen, "listen", s.Listen, "`IP:port` to serve callers, operators and other instances on")
	f.StringVar(&s.Advertise, "advertise", s.Advertise, "`IP:port` under which others reach this instance; empty means -listen")
	f.StringVar(&s.Platform, "platform", s.Platform, "`IP:port` of the platform's service")
	f.StringVar(&s.LogLevel, "log-level", s.LogLevel, "debug, info, warn or error")
	f.DurationVar(&s.Lead, "lead", s.Lead, "how long a leader may act after its last confirmed record, as 2s")
	f.DurationVar(&s.Margin, "margin", s.Margin, "added when waiting for another's right to end, as 500ms")
	f.DurationVar(&s.Grant, "grant", s.Grant, "how long an owner may dispatch to its minions after reading the log, as 2s")
	f.DurationVar(&s.TaskLease, "task-lease", s.TaskLease, "lease of batch and gang tasks, as 1m")
	f.DurationVar(&s.Hold, "hold", s.Hold, "length of promises between instances while the log is down, as 2m")
	f.DurationVar(&s.Rest, "rest", s.Rest, "longest time that promises alone carry a leader, as 1h; at least -hold")
	f.DurationVar(&s.BatchEvery, "batch-every", s.BatchEvery, "shortest time between two of a leader's appends, as 50ms")
	f.DurationVar(&s.RenewEvery, "renew-every", s.RenewEvery, "longest time between two of a leader's appends, as 500ms; at most half of -lead")
	f.DurationVar(&s.KeyWindow, "key-window", s.KeyWindow, "how long idempotency keys are remembered, as 1h")
	f.DurationVar(&s.SnapshotAge, "snapshot-age", s.SnapshotAge, "age at which a stream's snapshot is due, as 5m; at most a quarter of the log's retention")
	f.DurationVar(&s.DrainDelay, "drain-delay", s.DrainDelay, "at a planned stop: time between failing the balancer's check and refusing requests, as 2s")
	f.DurationVar(&s.DrainLimit, "drain-limit", s.DrainLimit, "at a planned stop: longest wait for requests under way, as 5m")
}

// settingFlags names the flags of an instance's settings.
func settingFlags() []string {
	var s server.Settings
	f := flag.NewFlagSet("settings", flag.ContinueOnError)
	bindSettings(f, &s)
	var names []string
	f.VisitAll(func(g *flag.Flag) { names = append(names, g.Name) })
	return names
}

func runServe(ctx context.Context, args []string, io IO) error {
	set := server.Defaults()
	f := newFlags("serve", "run an entry instance until SIGTERM, which stops it as planned", io)
	bindSettings(f, &set)
	if err := parse(f, args, io); err != nil {
		return err
	}
	if err := set.Check(); err != nil {
		return usageError(err)
	}
	level, err := zerolog.ParseLevel(set.LogLevel)
	if err != nil {
		return usageError(err)
	}
	logger := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("instance", set.Instance).Logger()
	// net/http tells of broken connections there, each one; a few a second are enough.
	log.SetFlags(0)
	log.SetOutput(logger.Sample(&zerolog.BurstSampler{Burst: 5, Period: time.Second}).With().Str("part", "http").Logger())
	i, err := server.NewInstance(set, server.Env{Streams: platform.Streams, Logger: logger})
	if err != nil {
		return err
	}
	return i.Run(ctx)
}
