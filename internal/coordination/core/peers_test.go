package core

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/state/meter"
)

// TestCallsReachReadyPeer guards against an instance without the store that
// tries the same few peers at each call, although these are gone for good and
// others are ready.
func TestCallsReachReadyPeer(t *testing.T) {
	const peersPerDomain = 4
	for ready := range 2 * peersPerDomain {
		t.Run(fmt.Sprintf("ready=%d", ready), func(t *testing.T) {
			is := is.New(t)
			now, readyAddr := time.Unix(1_800_000_000, 0), fmt.Sprint("p", ready)
			c := New(Settings{
				Instance: "own", Domain: "d0", Addr: "own", Now: func() time.Time { return now },
				Peers:  PeerCalls{Ready: func(_ context.Context, addr string) (bool, error) { return addr == readyAddr, nil }},
				Logger: zerolog.Nop(), Meter: meter.New(),
			})
			peers := map[string]instanceRecord{}
			for i := range 2 * peersPerDomain {
				name := fmt.Sprint("p", i)
				peers[name] = instanceRecord{Addr: name, Incarnation: name, Domain: fmt.Sprint("d", i/peersPerDomain), Replica: true}
			}
			c.peers.Store(&peers)
			err := ErrNotExecuted
			for range peersPerDomain {
				err = c.forwardToPeers(t.Context(), "status", "a", ErrNotExecuted, func(context.Context, string) error { return nil })
				now = now.Add(time.Second)
			}
			is.NoErr(err)
		})
	}
}
