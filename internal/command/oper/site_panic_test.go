package oper

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/testing/ports"
	"github.com/tamaracklink/tamaracklink/platform"
)

// TestSiteEndsIfCorePanics guards against a process whose core has panicked and
// whose listeners still take calls that nobody carries out.
func TestSiteEndsIfCorePanics(t *testing.T) {
	callers, peers := ports.Free(t, 2), ports.Free(t, 2)
	addr := func(port int) string { return net.JoinHostPort("127.0.0.1", fmt.Sprint(port)) }
	configLog := store.New(2).Log("a")
	if _, err := configLog.Append(t.Context(), ledger.Producer{}, 0, []ledger.Record{{Key: "config", Value: []byte("1")}}); err != nil {
		t.Fatal(err)
	}
	panicNow := make(chan struct{})
	s := &siteInstance{
		settings: platform.Settings{CallerAddr: addr(callers), ReadinessAddr: addr(callers + 1), PeerAddr: addr(peers), MetricsAddr: addr(peers + 1)},
		logger:   zerolog.Nop(), meter: meter.New(), leaving: make(chan struct{}), listen: net.Listen,
	}
	s.core = core.New(core.Settings{
		Instance: "a", Log: store.New(1).Log("a"), ConfigLog: configLog, Directory: store.New(3).Log("a"), Now: time.Now, Uptime: func() time.Duration { return 0 }, Logger: zerolog.Nop(), Meter: s.meter,
		DecodeConfig: func(ledger.Record) (*flow.Config, error) {
			<-panicNow
			panic("spoiled")
		},
	})
	ended := make(chan any, 1)
	ctx, stop := context.WithCancel(t.Context())
	go func() {
		defer func() { ended <- recover() }()
		_ = s.run(ctx, "", nil) // panics
	}()
	for range 200 { // until it serves
		if resp, err := http.Get("http://" + s.settings.ReadinessAddr); err == nil {
			_ = resp.Body.Close()
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(panicNow)
	select {
	case v := <-ended:
		if !strings.Contains(fmt.Sprint(v), "spoiled") {
			t.Errorf("the site ended with %v, want the panic of its core", v)
		}
	case <-time.After(20 * time.Second): // ends a test that hangs
		t.Error("the site goes on after its core has panicked")
		stop()
		<-ended
	}
	stop()
}
