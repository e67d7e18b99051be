package core

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// TestInstanceWithBlockedLoopIsNotReady guards against an instance that says
// that it is ready, to the platform and to peers, while its loop is blocked.
func TestInstanceWithBlockedLoopIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		configLog := store.New(2).Log("e0")
		_, err := configLog.Append(t.Context(), ledger.Producer{}, 0, []ledger.Record{{Key: "config", Value: []byte("1")}})
		is.NoErr(err)
		start := time.Now()
		c := New(Settings{
			Instance: "e0", Incarnation: "life-1", Domain: "d", Addr: "e0",
			Params: sched.Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute},
			Log:    store.New(1).Log("e0"), ConfigLog: configLog, Directory: store.New(3).Log("e0"),
			DecodeConfig: func(ledger.Record) (*flow.Config, error) { return &flow.Config{Version: 1}, nil },
			Workers:      WorkerCalls{List: func(context.Context) ([]sched.WorkerInfo, error) { return nil, nil }},
			Now:          time.Now, Logger: zerolog.Nop(), Meter: meter.New(),
			Uptime: func() time.Duration { return time.Hour + time.Since(start) },
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			c.Run(ctx)
		}()
		time.Sleep(time.Minute)
		is.Equal(c.NotReadyReason(ctx), "")
		is.True(c.Ready())

		release := make(chan struct{})
		unblock := sync.OnceFunc(func() { close(release) })
		defer unblock()
		c.post(func(time.Time) { <-release })
		time.Sleep(maxLoopPause - time.Second)
		is.Equal(c.NotReadyReason(ctx), "") // may be a long pass
		time.Sleep(time.Second + loopInterval)
		is.Equal(c.NotReadyReason(ctx), "the loop makes no progress")
		is.True(!c.Ready())

		unblock()
		time.Sleep(time.Second)
		is.Equal(c.NotReadyReason(ctx), "")
		is.True(c.Ready())
		stop()
		<-ended
	})
}
