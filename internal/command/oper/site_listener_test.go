package oper

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/platform"
)

// brokenListener accepts no connection.
type brokenListener struct{ net.Listener }

func (brokenListener) Accept() (net.Conn, error) { return nil, errors.New("spoiled") }

// TestSiteEndsIfAListenerFails guards against a process that stays ready
// without its listener for callers.
func TestSiteEndsIfAListenerFails(t *testing.T) {
	is := is.New(t)
	s := &siteInstance{
		settings: platform.Settings{CallerAddr: "callers", ReadinessAddr: "127.0.0.1:0", PeerAddr: "127.0.0.1:0", MetricsAddr: "127.0.0.1:0"},
		logger:   zerolog.Nop(), meter: meter.New(), leaving: make(chan struct{}),
		listen: func(network, addr string) (net.Listener, error) {
			if addr != "callers" {
				return net.Listen(network, addr)
			}
			l, err := net.Listen(network, "127.0.0.1:0")
			return brokenListener{l}, err
		},
	}
	s.core = core.New(core.Settings{
		Instance: "a", Log: store.New(1).Log("a"), ConfigLog: store.New(2).Log("a"), Directory: store.New(3).Log("a"), Now: time.Now, Uptime: func() time.Duration { return 0 }, Logger: zerolog.Nop(), Meter: s.meter,
		DecodeConfig: func(ledger.Record) (*flow.Config, error) { return nil, nil },
		Workers:      core.WorkerCalls{List: func(context.Context) ([]sched.WorkerInfo, error) { return nil, nil }},
	})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // ends a test that hangs
	defer cancel()
	err := s.run(ctx, "", nil)
	is.True(err != nil && strings.Contains(err.Error(), "spoiled"))
}
