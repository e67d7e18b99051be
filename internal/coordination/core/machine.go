package core

import (
	"context"
	"sort"
	"strconv"
	"time"
)

// transferInterval is the time between two checks for a leader on a
// better-provisioned machine, and the least time to lead before a transfer. A
// change of leader costs about half a second.
const transferInterval = 3 * time.Second

// Machine describes the resources of the machine that an instance runs on. A
// leader needs more of them than a follower.
type Machine struct {
	Cores    float64 `json:"cores"` // in processors, possibly fractional
	LinkMbps float64 `json:"link"`  // bandwidth of the network link, in Mbit/s
}

// dominates reports whether m is better for a leader than o: it has at least as
// much of every resource, and more of one.
func (m Machine) dominates(o Machine) bool {
	return m.Cores >= o.Cores && m.LinkMbps >= o.LinkMbps && m != o
}

// candidacyRank returns by how many times candidacyStep this instance delays
// its candidacy. Instances on better-provisioned machines come first; those on
// equal machines stand one after another, in the order of a hash that includes
// the term, without the leader that they replace.
func (c *Core) candidacyRank() time.Duration {
	term := strconv.FormatInt(c.election.term, 10)
	own := hash32(c.settings.Incarnation, term)
	replicas, before := 0, 0
	for name, m := range c.members {
		if !m.Replica {
			continue
		}
		replicas++
		if name != c.settings.Instance && name != c.election.leader.Instance && m.Machine == c.settings.Machine && hash32(m.Incarnation, term) < own {
			before++
		}
	}
	return time.Duration(candidacySteps*rankClass(len(c.dominatingPeers()), replicas) + min(before, candidacySteps-1))
}

// rankClass returns the class of an instance whose machine is dominated by
// those of the given number of instances, out of all: 0 if by none, up to 3 for
// the instances on the least provisioned machines.
func rankClass(dominating, all int) int {
	if dominating == 0 {
		return 0
	}
	return 1 + 3*dominating/(all+1)
}

// dominatingPeers returns the sorted names of the replicas whose machine
// dominates this one's.
func (c *Core) dominatingPeers() []string {
	var names []string
	for name, m := range c.members {
		if m.Replica && m.dominates(c.settings.Machine) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// stepTransfer resigns leadership in favour of an instance on a
// better-provisioned machine, once one of them is ready.
func (c *Core) stepTransfer(now time.Time) {
	e := &c.election
	if c.appending.resigned != nil || now.Before(e.nextTransferAt) {
		return
	}
	e.nextTransferAt = now.Add(transferInterval)
	names := c.dominatingPeers()
	if len(names) == 0 {
		return
	}
	e.transferAttempts++
	name := names[e.transferAttempts%len(names)]
	addr, term := c.members[name].Addr, e.term
	c.parts.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		if ready, err := c.settings.Peers.Ready(ctx, addr); !ready || err != nil {
			return
		}
		c.post(func(time.Time) {
			c.ifLeading(term, func() {
				if c.appending.resigned == nil {
					c.settings.Logger.Info().Str("peer", name).Int64("term", term).Msg("leader: resigning in favour of a better-provisioned instance")
					c.appending.resigned = make(chan struct{})
				}
			})
		})
	})
}
