package entry

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// TestPanickingRequestLeavesRouterUnlocked guards against a request whose panic
// net/http only logs, and after which every other request waits for the lock
// for good. The panics are those of a Router whose fields are nil.
func TestPanickingRequestLeavesRouterUnlocked(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := Config{
		Instance: "a", Now: func() time.Time { return now },
		Helper: func(time.Time, func(member.Peer) bool) (member.Peer, bool) { return member.Peer{}, false },
	}
	req := &Request{ID: "r", Tenant: "t", Class: route.ClassQuick, Deadline: now.Add(time.Minute)}
	tests := []struct {
		name string
		call func(r *Router)
	}{
		{"acquire a slot", func(r *Router) {
			r.queue = nil
			r.acquireSlot(context.Background(), req, now, "")
		}},
		{"acquire a free slot", func(r *Router) {
			r.queue = nil
			r.acquireFreeSlot(req.Class, "", now)
		}},
		{"wait for a slot", func(r *Router) {
			r.queue = nil
			r.enqueueAndWait(context.Background(), req, now)
		}},
		{"dispatch", func(r *Router) {
			r.inFlight = nil
			r.dispatch(context.Background(), req, &route.Minion{OwnedUntil: req.Deadline}, false)
		}},
		{"find a peer", func(r *Router) {
			r.pool = nil
			r.findPeer(req, 0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := New(cfg)
			panicked := func() (panicked bool) {
				defer func() { panicked = recover() != nil }()
				tt.call(r)
				return false
			}()
			is.True(panicked)
			is.True(r.mu.TryLock()) // the lock is free
		})
	}
}
