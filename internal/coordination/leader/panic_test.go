package leader_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
)

// TestRunPanicsIfACallToAWorkerPanics guards against a leader that goes on
// without the goroutine that talks to a worker.
func TestRunPanicsIfACallToAWorkerPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := leader.New(leader.Config{
			Instance: "a", Member: "a.1", Addr: "a", Domain: "d",
			LeaseDurations: lease.Durations{LeaderLease: 2 * time.Second, Margin: 500 * time.Millisecond, OwnerLease: 2 * time.Second, TaskLease: time.Minute, Promise: 2 * time.Minute, MaxPromised: time.Hour},
			BatchInterval:  50 * time.Millisecond, RenewInterval: 500 * time.Millisecond, SnapshotAge: 5 * time.Minute,
			Log: store.New(1).Log("a"),
			Instances: func(kind string) []member.Instance {
				if kind != member.KindWorker {
					return nil
				}
				return []member.Instance{{Name: "w", Kind: kind, Domain: "d", Addr: "w", State: "live"}}
			},
			Peers: func() []member.Peer { return nil },
			Model: func() (config.Model, uint64) { return config.Model{}, 1 }, ConfigReady: func() bool { return true },
			Workers: leader.WorkerCalls{Sync: func(context.Context, string, leader.SyncRequest) (leader.SyncReply, error) { panic("spoiled") }},
			Now:     time.Now, Logger: zerolog.Nop(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		start := time.Now()
		defer func() {
			is.True(strings.Contains(fmt.Sprint(recover()), "spoiled"))
			is.True(time.Since(start) < time.Minute) // long before ctx ends
		}()
		d.Run(ctx)
		t.Error("Run returned, want the panic of the call")
	})
}
