package server

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Settings configures an instance.
type Settings struct {
	Instance      string        // name, unique among all instances
	Domain        string        // failure domain
	Listen        string        // IP:port to listen on
	Advertise     string        // IP:port at which other instances reach this one; Listen if empty
	Platform      string        // IP:port of the platform's service
	LogLevel      string        // debug, info, warn or error
	LeaderLease   time.Duration // this and the next five are lease durations; see package lease
	Margin        time.Duration
	OwnerLease    time.Duration
	TaskLease     time.Duration
	Promise       time.Duration
	MaxPromised   time.Duration
	BatchInterval time.Duration // shortest time between two appends by a leader
	RenewInterval time.Duration // longest time between two appends by a leader
	KeyWindow     time.Duration // how long idempotency keys are remembered
	SnapshotAge   time.Duration // age at which a stream's snapshot is due; at most a quarter of the log's retention
	DrainDelay    time.Duration // at a graceful shutdown: from failing the health check to refusing requests
	DrainLimit    time.Duration // at a graceful shutdown: longest wait for requests in flight
	MemoryMB      int64         // of which clients may take a part; 0 means no limit
	MaxFDs        int64         // file descriptors, of which clients may take a part; 0 means no limit
}

// Defaults returns settings with default values. Instance, Domain, Listen and
// Platform have none and must be set.
func Defaults() Settings {
	return Settings{
		LogLevel: "info", LeaderLease: 2 * time.Second, Margin: 500 * time.Millisecond, OwnerLease: 2 * time.Second,
		TaskLease: time.Minute, Promise: 2 * time.Minute, MaxPromised: time.Hour, BatchInterval: 50 * time.Millisecond,
		RenewInterval: 500 * time.Millisecond, KeyWindow: time.Hour, SnapshotAge: 5 * time.Minute,
		DrainDelay: 2 * time.Second, DrainLimit: 5 * time.Minute,
	}
}

// LeaseDurations returns the durations of the leases.
func (s Settings) LeaseDurations() lease.Durations {
	return lease.Durations{LeaderLease: s.LeaderLease, Margin: s.Margin, OwnerLease: s.OwnerLease, TaskLease: s.TaskLease, Promise: s.Promise, MaxPromised: s.MaxPromised}
}

// Check returns an error that names every wrong setting, or nil.
func (s Settings) Check() error {
	problems := &errs.List{}
	addProblem := func(name, value, allowed string) {
		problems.Add(errs.Error{Step: "check settings", Peer: "operator", Path: name, Value: value, Allowed: allowed})
	}
	if !work.ValidName(s.Instance) {
		addProblem("instance", s.Instance, "1 to 64 of a-z 0-9 . _ / -")
	}
	if !work.ValidName(s.Domain) {
		addProblem("domain", s.Domain, "1 to 64 of a-z 0-9 . _ / -")
	}
	checkAddr(addProblem, "listen", s.Listen)
	if s.Advertise != "" {
		checkAddr(addProblem, "advertise", s.Advertise)
	}
	checkAddr(addProblem, "platform", s.Platform)
	if !strings.Contains(" debug info warn error ", " "+s.LogLevel+" ") {
		addProblem("log-level", s.LogLevel, "debug, info, warn or error")
	}
	s.checkDurations(addProblem)
	if s.MemoryMB < 0 {
		addProblem("memory-mb", fmt.Sprint(s.MemoryMB), "0 or more")
	}
	if s.MaxFDs < 0 {
		addProblem("max-fds", fmt.Sprint(s.MaxFDs), "0 or more")
	}
	return problems.Err()
}

func checkAddr(addProblem func(name, value, allowed string), name, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		addProblem(name, value, "IP:port, for example 10.0.0.1:7070")
	}
}

func (s Settings) checkDurations(addProblem func(name, value, allowed string)) {
	check := func(name string, d, low, high time.Duration) {
		if d < low || d > high {
			addProblem(name, d.String(), fmt.Sprintf("%v to %v", low, high))
		}
	}
	ms := time.Millisecond
	check("lead", s.LeaderLease, 100*ms, time.Minute)
	check("margin", s.Margin, 10*ms, time.Minute)
	check("grant", s.OwnerLease, 100*ms, time.Minute)
	check("task-lease", s.TaskLease, 500*ms, 24*time.Hour)
	check("hold", s.Promise, 100*ms, 24*time.Hour)
	check("rest", s.MaxPromised, s.Promise, 30*24*time.Hour)
	check("batch-every", s.BatchInterval, ms, time.Second)
	check("renew-every", s.RenewInterval, 10*ms, s.LeaderLease/2)
	check("key-window", s.KeyWindow, time.Second, 24*time.Hour)
	check("snapshot-age", s.SnapshotAge, time.Second, 24*time.Hour)
	check("drain-delay", s.DrainDelay, 0, time.Minute)
	check("drain-limit", s.DrainLimit, 0, time.Hour)
}
