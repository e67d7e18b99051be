package core

import (
	"context"
	"time"
)

// Probes of the leader while the store is away. The ledger shows no sign of the
// leader then, lost or not.
const (
	leaderProbeInterval = 400 * time.Millisecond
	// lostLeaderProbes is the number of probes in a row without an answer after
	// which the leader counts as lost.
	lostLeaderProbes = 2
	// lostLeaderTimeout is how long the ledger may be read without a record of a
	// leader that counts as lost. One that lives after all makes an append as soon
	// as its reads show that the store is back.
	lostLeaderTimeout = 200 * time.Millisecond
	// lostLeaderPeriod is how long after an outage of the store the probes made in it
	// count.
	lostLeaderPeriod = 1500 * time.Millisecond
)

// leaderProbes is the state of an instance's probes of the leader.
type leaderProbes struct {
	term       int64 // of the leader that was probed
	unanswered int   // probes in a row without an answer
	probing    bool
	nextAt     time.Time
}

// stepLeaderProbe probes the leader if this instance could take over from it and
// the store is away.
func (c *Core) stepLeaderProbe(now time.Time) {
	e := &c.election
	p := &e.probes
	leader, known := c.members[e.leader.Instance]
	if c.engine != nil || !c.replica.Load() || !e.readableSince.IsZero() || e.term == 0 || !known || e.leader.Instance == c.settings.Instance {
		return
	}
	if p.term != e.term {
		p.term, p.unanswered = e.term, 0
	}
	if p.probing || now.Before(p.nextAt) {
		return
	}
	p.probing, p.nextAt = true, now.Add(leaderProbeInterval)
	term := e.term
	c.parts.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		_, err := c.settings.Peers.Ready(ctx, leader.Addr)
		c.post(func(time.Time) {
			p.probing = false
			switch {
			case p.term != term:
			case err != nil:
				p.unanswered++
			default:
				p.unanswered = 0
			}
		})
	})
}

// leaderLostInOutage reports whether the leader answered no probe in an outage of
// the store that has just ended.
func (e *electionState) leaderLostInOutage(now time.Time) bool {
	return e.probes.term == e.term && e.probes.unanswered >= lostLeaderProbes && now.Sub(e.readableSince) < lostLeaderPeriod
}
