package entry

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// Shortest times between two messages to peers.
const (
	slotOfferInterval = 20 * time.Millisecond // between two offers of free slots
	slotQueryInterval = 40 * time.Millisecond // between two queries for free slots
)

// querySlots asks a peer for its free slots if requests wait here, at most once
// per slotQueryInterval.
func (r *Router) querySlots() {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	ctx := r.ctx
	if r.cfg.QuerySlots == nil || ctx == nil || ctx.Err() != nil || r.queue.Len() == 0 || now.Sub(r.lastSlotQuery) < slotQueryInterval {
		return
	}
	r.lastSlotQuery = now
	r.wg.Go(r.cfg.QuerySlots)
}

// offerSlots reports free slots to a peer with waiting requests if none wait
// here, at most once per slotOfferInterval. The caller must hold mu; the message
// is sent without it.
func (r *Router) offerSlots(now time.Time) {
	ctx := r.ctx
	if r.cfg.OfferSlots == nil || ctx == nil || ctx.Err() != nil || r.leaving {
		return
	}
	if r.queue.Len() > 0 || now.Sub(r.lastSlotOffer) < slotOfferInterval || r.pool.FreeSlots(now) == 0 {
		return
	}
	r.lastSlotOffer = now
	r.wg.Go(func() { r.cfg.OfferSlots(now) })
}

// HandlePeerReport forwards waiting requests to a peer that reported more free
// slots than waiting requests, as many as the difference. It does nothing if
// there are free slots here.
func (r *Router) HandlePeerReport(report member.Report) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if report.Leaving || report.Instance == r.cfg.Instance || r.pool.FreeSlots(now) > 0 {
		return
	}
	for range report.FreeSlots - report.WaitingRequests {
		waiter, expired := r.queue.PopForForwarding(now)
		for _, e := range expired {
			close(e.Destination)
		}
		if waiter == nil {
			return
		}
		waiter.Destination <- route.Destination{Peer: report.Instance, PeerAddr: report.Addr}
	}
}

// findPeer returns a peer to which to forward the request. The peer has
// reported a free slot. If there is a free slot here too, the peer must be
// clearly faster; localServiceTime is the expected service time here, or 0 if
// no slot is free. A non-idempotent request is forwarded only if this instance
// has no usable minions, since a lost answer of the peer leaves its outcome
// unknown.
func (r *Router) findPeer(req *Request, localServiceTime time.Duration) (member.Peer, bool) {
	now := r.cfg.Now()
	if req.Forwarded || r.cfg.Helper == nil || req.Deadline.Sub(now) < minForwardTime {
		return member.Peer{}, false
	}
	if !req.Idempotent && r.hasSlots(now) {
		return member.Peer{}, false
	}
	return r.cfg.Helper(now, func(p member.Peer) bool {
		return localServiceTime == 0 || route.WorthForwarding(localServiceTime, p.LeastServiceTime, p.RTT/2)
	})
}

func (r *Router) hasSlots(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool.TotalSlots(now) > 0
}

// forward forwards the request to a peer and returns the peer's answer. It
// reports whether another attempt is allowed.
func (r *Router) forward(ctx context.Context, req *Request, instance, addr string) (Answer, bool) {
	r.cfg.RecordForward(instance)
	forwarded := *req
	forwarded.Forwarded = true
	a, err := r.cfg.Forward(ctx, addr, &forwarded)
	if err == nil {
		return a, a.Outcome == OutcomeNotRun || a.Outcome == OutcomeUnknown && req.Idempotent
	}
	r.cfg.Suspect(instance)
	return Answer{Outcome: OutcomeUnknown, Code: CodePeerLost, Detail: err.Error()}, req.Idempotent
}
