package entry

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// Times of load queries.
const (
	loadQueryInterval  = 300 * time.Millisecond // from the end of a query to the next one to the same minion
	loadQueryTimeout   = 700 * time.Millisecond
	answerOverdueAfter = 800 * time.Millisecond // an attempt in flight for longer causes a query
)

// queryLoads queries the load of each minion that has orphans, whose orphans
// are not known yet, or that has an overdue attempt. Queries use new
// connections, so that a dead connection does not hide a healthy minion.
func (r *Router) queryLoads(ctx context.Context) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	overdue := map[*route.Minion]bool{}
	for _, att := range r.inFlight {
		if now.Sub(att.sentAt) > answerOverdueAfter {
			overdue[att.minion] = true
		}
	}
	for _, m := range r.pool.Minions() {
		if (m.LoadUnknown || m.Orphans > 0 || overdue[m]) && !now.Before(m.NextLoadQuery) {
			m.NextLoadQuery = now.Add(loadQueryInterval + loadQueryTimeout)
			r.wg.Go(func() { r.queryLoad(ctx, m, now) })
		}
	}
}

// queryLoad queries the load of a minion and updates the minion's state. A
// minion that does not answer is suspected for suspicionDuration.
func (r *Router) queryLoad(ctx context.Context, m *route.Minion, queriedAt time.Time) {
	r.mu.Lock()
	attempts := r.attemptsOn(m)
	addr := m.Addr
	r.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	load, err := r.cfg.QueryLoad(callCtx, addr)
	cancel()
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	m.NextLoadQuery = now.Add(loadQueryInterval)
	if err != nil {
		r.pool.Suspect(m.Name, now.Add(suspicionDuration))
		return
	}
	if load.Leaving {
		m.Leaving = true
	}
	r.reconcile(m, attempts, load, queriedAt)
	r.assignSlots(now)
}

// attemptsOn returns the attempts in flight to a minion by ID. The caller must
// hold mu.
func (r *Router) attemptsOn(m *route.Minion) map[string]*attempt {
	attempts := map[string]*attempt{}
	for id, att := range r.inFlight {
		if att.minion == m {
			attempts[id] = att
		}
	}
	return attempts
}

// reconcile compares the requests that the minion runs with the attempts that
// were in flight to it when it was queried. It updates the number of orphans and
// cancels overdue attempts that the minion does not run. Once known, the number
// of orphans can only decrease here, since nobody else may dispatch to the
// minion. The caller must hold mu.
func (r *Router) reconcile(m *route.Minion, attempts map[string]*attempt, load Load, queriedAt time.Time) {
	running := map[string]bool{}
	orphans := 0
	for _, id := range load.Running {
		running[id] = true
		// An attempt that was sent after the query is not an orphan either.
		att := r.inFlight[id]
		if attempts[id] == nil && (att == nil || att.minion != m) {
			orphans++
		}
	}
	if m.LoadUnknown || orphans < m.Orphans {
		m.Orphans = orphans
	}
	m.LoadUnknown = false
	for id, att := range attempts {
		if r.inFlight[id] == att && !running[id] && queriedAt.Sub(att.sentAt) > answerOverdueAfter {
			att.cancel(errNotRunning)
		}
	}
}
