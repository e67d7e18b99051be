package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// maxMinionsLost is the number of minions lost under a request after which it is
// sent to no other one.
const maxMinionsLost = 2

// minionLost reports whether the attempt's minion was lost under it: the minion
// closed the connection and can't be reached. A minion that does not answer in
// time may be cut off, and one that is leaving was expected to go. A lost minion
// gets no requests until it has answered a load query.
func (r *Router) minionLost(ctx context.Context, req *Request, att *attempt) bool {
	r.mu.Lock()
	addr, leaving := att.minion.Addr, att.minion.Leaving
	r.mu.Unlock()
	if leaving || att.minionUnproved || ctx.Err() != nil {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	_, err := r.cfg.QueryLoad(callCtx, addr)
	if err == nil || callCtx.Err() != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	att.minion.LoadUnknown = true
	r.cfg.Logger.Warn().Str("minion", att.minion.Name).Str("request", req.ID).Str("attempt", att.id).Str("tenant", req.Tenant).
		Int("minions-lost", req.MinionsLost+1).Msg("entry: minion lost under a request")
	return true
}

// giveUpAfterLosses returns the answer to a request that is sent to no other
// minion because of the minions lost under it.
func (r *Router) giveUpAfterLosses(req *Request, last Answer) Answer {
	last.Code = CodeMinionsLost
	last.Detail = fmt.Sprintf("%d minions were lost while they ran it; it is sent to no other: %s", req.MinionsLost, last.Detail)
	r.cfg.Logger.Error().Str("request", req.ID).Str("tenant", req.Tenant).Str("path", req.Path).Str("minion", last.Minion).
		Int("minions-lost", req.MinionsLost).Msg("entry: request is sent to no other minion")
	return last
}

// callerAnswer replaces the code that only peers use.
func callerAnswer(req *Request, a Answer) Answer {
	if a.Code == CodeMinionLost && !req.Forwarded {
		a.Code = CodeAnswerLost
	}
	return a
}

// awaitSlotApart acquires a free slot of an own minion that runs no other request
// under which a minion was lost, so that they don't lose a second one together.
// It waits for one for half of the time left, and returns nil if there is none.
func (r *Router) awaitSlotApart(ctx context.Context, req *Request, avoid string) *route.Minion {
	t := time.NewTicker(forwardCheckInterval)
	defer t.Stop()
	begin := r.cfg.Now()
	end := begin.Add(req.Deadline.Sub(begin) / 2)
	for {
		now := r.cfg.Now()
		m, usable := r.acquireSlotApart(req.Class, avoid, now)
		if m != nil || !usable || !now.Before(end) {
			return m
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// acquireSlotApart returns nil if no such slot is free, and reports whether one
// may become free soon.
func (r *Router) acquireSlotApart(class, avoid string, now time.Time) (m *route.Minion, usable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m = r.pool.AcquireSlotApart(class, avoid, now)
	if m != nil {
		m.AfterLoss++
	}
	return m, r.pool.AnyUsable(avoid, now)
}

// addAfterLoss changes the number of requests on the minion under which a minion
// was lost before.
func (r *Router) addAfterLoss(m *route.Minion, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.AfterLoss += n
}
