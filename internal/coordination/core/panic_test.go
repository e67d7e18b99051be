package core_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// TestRunPanicsIfAPartPanics guards against an instance that goes on without
// one of its parts: one without its loop refuses callers and keeps its
// configuration for good.
func TestRunPanicsIfAPartPanics(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(s *core.Settings)
		use   func(ctx context.Context, c *core.Core) // called once the instance runs, if set
	}{
		{name: "loop", spoil: func(s *core.Settings) { s.Uptime = func() time.Duration { panic("spoiled") } }},
		{name: "directory reader", spoil: func(s *core.Settings) {
			s.Directory.ReadNewest = func(context.Context, string) (ledger.NewestPage, error) { panic("spoiled") }
		}},
		{name: "registration", spoil: func(s *core.Settings) {
			s.Directory.Append = func(context.Context, ledger.Producer, int64, []ledger.Record) (int64, error) { panic("spoiled") }
		}},
		{name: "ledger reader", spoil: func(s *core.Settings) {
			s.Log.ReadNewest = func(context.Context, string) (ledger.NewestPage, error) { panic("spoiled") }
		}},
		{name: "configuration reader", spoil: func(s *core.Settings) {
			s.DecodeConfig = func(ledger.Record) (*flow.Config, error) { panic("spoiled") }
		}},
		{name: "intake", spoil: func(s *core.Settings) {
			s.Log.Append = func(context.Context, ledger.Producer, int64, []ledger.Record) (int64, error) { panic("spoiled") }
		}, use: func(ctx context.Context, c *core.Core) { _ = c.Submit(ctx, &flow.Spec{ID: "a", Queue: "q"}) }},
		{name: "call of the leader", spoil: func(s *core.Settings) {
			s.Workers.List = func(context.Context) ([]sched.WorkerInfo, error) { panic("spoiled") }
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				configLog := store.New(2).Log("e0")
				if _, err := configLog.Append(t.Context(), ledger.Producer{}, 0, []ledger.Record{{Key: "config", Value: []byte("1")}}); err != nil {
					t.Fatal(err)
				}
				settings := core.Settings{
					Instance: "e0", Incarnation: "life-1", Domain: "d", Addr: "e0",
					Params: sched.Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute},
					Log:    store.New(1).Log("e0"), ConfigLog: configLog, Directory: store.New(3).Log("e0"),
					DecodeConfig: func(ledger.Record) (*flow.Config, error) { return &flow.Config{Version: 1}, nil },
					Workers:      core.WorkerCalls{List: func(context.Context) ([]sched.WorkerInfo, error) { return nil, nil }},
					Now:          time.Now, Uptime: func() time.Duration { return 0 }, Logger: zerolog.Nop(), Meter: meter.New(),
				}
				tt.spoil(&settings)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				ended := make(chan any, 1)
				c := core.New(settings)
				go func() {
					defer func() { ended <- recover() }()
					c.Run(ctx)
				}()
				if tt.use != nil {
					go tt.use(ctx, c)
				}
				select {
				case v := <-ended:
					if !strings.Contains(fmt.Sprint(v), "spoiled") {
						t.Errorf("Run ended with %v, want the panic of the part", v)
					}
				case <-time.After(time.Minute):
					t.Error("Run goes on after a part has panicked")
					cancel()
					<-ended
				}
			})
		})
	}
}
