package entry

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// Pace of asking minions.
const (
	loadEvery   = 300 * time.Millisecond
	askTimeout  = 700 * time.Millisecond
	silentAfter = 800 * time.Millisecond // an attempt older than this is asked about
)

// watch asks each minion that has orphans, was never asked, or owes an answer for
// long, what it runs. Questions go over new connections, so that a connection
// gone silent does not hide a healthy minion.
func (r *Router) watch(ctx context.Context) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	overdue := map[*route.Minion]bool{}
	for _, f := range r.flights {
		if now.Sub(f.sent) > silentAfter {
			overdue[f.minion] = true
		}
	}
	for _, m := range r.pool.Minions() {
		if (m.Unasked || m.Orphans > 0 || overdue[m]) && !now.Before(m.AskAt) {
			m.AskAt = now.Add(loadEvery + askTimeout)
			r.wg.Go(func() { r.askLoad(ctx, m, now) })
		}
	}
}

func (r *Router) askLoad(ctx context.Context, m *route.Minion, sent time.Time) {
	r.mu.Lock()
	mine := r.flightsOn(m)
	addr := m.Addr
	r.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, askTimeout)
	load, err := r.cfg.Load(c, addr)
	cancel()
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	m.AskAt = now.Add(loadEvery)
	if err != nil {
		r.pool.Suspect(m.Name, now.Add(suspectFor))
		return
	}
	if load.Leaving {
		m.Leaving = true
	}
	r.judge(m, mine, load, sent)
	r.serve(now)
}

func (r *Router) flightsOn(m *route.Minion) map[string]*flight {
	mine := map[string]*flight{}
	for id, f := range r.flights {
		if f.minion == m {
			mine[id] = f
		}
	}
	return mine
}

// judge sets what the minion runs against what this instance waits for. Orphans
// can only get fewer: nobody else may dispatch to the minion.
func (r *Router) judge(m *route.Minion, mine map[string]*flight, load Load, asked time.Time) {
	running := map[string]bool{}
	orphans := 0
	for _, id := range load.Running {
		running[id] = true
		// A request that was sent after the question is not an orphan either.
		f := r.flights[id]
		if mine[id] == nil && (f == nil || f.minion != m) {
			orphans++
		}
	}
	if m.Unasked || orphans < m.Orphans {
		m.Orphans = orphans
	}
	m.Unasked = false
	for id, f := range mine {
		if r.flights[id] == f && !running[id] && asked.Sub(f.sent) > silentAfter {
			f.cancel(errSilent)
		}
	}
}
