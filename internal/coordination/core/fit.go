package core

import (
	"context"
	"sort"
	"strconv"
	"time"
)

// handBackEvery is the time between two looks for a fitter machine to lead, and
// the least time to lead: a change costs about half a second.
const handBackEvery = 3 * time.Second

// Machine is what an instance runs on. A leader needs more of it than others.
type Machine struct {
	Cores    float64 `json:"cores"` // share of a processor
	LinkMbps float64 `json:"link"`  // megabits a second of its network link
}

// fitter reports whether m is the better home for a leader than o: it has no less
// of anything and more of something.
func (m Machine) fitter(o Machine) bool {
	return m.Cores >= o.Cores && m.LinkMbps >= o.LinkMbps && m != o
}

// rank spreads the instances' bids over time, anew for each term. Those on the
// fittest machines come first.
func (c *Core) rank() time.Duration {
	step := hash32(c.set.Life, strconv.FormatInt(c.lead.term, 10)) % rankSteps
	return time.Duration(rankSteps*sizeClass(len(c.fitterPeers()), len(c.members))) + time.Duration(step)
}

// sizeClass gives 0 for instances than which none is fitter, up to 3 for the least
// fit ones.
func sizeClass(fitter, all int) int {
	if fitter == 0 {
		return 0
	}
	return 1 + 3*fitter/(all+1)
}

// fitterPeers gives the names of the instances on fitter machines than this one's.
func (c *Core) fitterPeers() []string {
	var names []string
	for name, m := range c.members {
		if m.fitter(c.set.Machine) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// stepHandBack gives the lead up to an instance on a fitter machine, once one is
// there and well.
func (c *Core) stepHandBack(now time.Time) {
	l := &c.lead
	if c.append.resign != nil || now.Before(l.handBackAt) {
		return
	}
	l.handBackAt = now.Add(handBackEvery)
	names := c.fitterPeers()
	if len(names) == 0 {
		return
	}
	l.handBackTurn++
	name := names[l.handBackTurn%len(names)]
	addr, term := c.members[name].Addr, l.term
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		if !c.set.Peers.Ready(ctx, addr) {
			return
		}
		c.post(func(time.Time) {
			c.report(term, func() {
				if c.append.resign == nil {
					c.set.Logger.Info().Str("peer", name).Int64("term", term).Msg("leader: gives the lead up to a fitter machine")
					c.append.resign = make(chan struct{})
				}
			})
		})
	})
}
