package leader

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// removeAfter is how long a member must be silent and unlisted before the
// leader takes it out.
const removeAfter = 10 * time.Second

// decideMembers counts new members in and takes out those that are gone.
func (d *Domain) decideMembers(b *work.Batch) {
	listed := map[string]bool{}
	for _, n := range d.cfg.Nodes(member.KindEntry) {
		listed[n.Name] = true
	}
	if len(listed) == 0 {
		return // the list has not been read yet
	}
	heard := d.heardMembers()
	now := d.cfg.Now()
	for id, m := range d.state.Members {
		switch {
		case id == d.cfg.Member:
		case m.Dead && !d.state.Owns(id):
			b.Remove = append(b.Remove, id)
		case !m.Acked && !m.Dead:
			b.Ack = append(b.Ack, id)
		case !listed[m.Instance] && now.Sub(heard[id]) > removeAfter && now.Sub(d.leadership.since) > removeAfter && !d.state.Owns(id):
			b.Remove = append(b.Remove, id)
		}
	}
}

func (d *Domain) heardMembers() map[string]time.Time {
	heard := map[string]time.Time{}
	for _, p := range d.cfg.Peers() {
		heard[p.Member] = p.Heard
	}
	return heard
}

// hearFirst is how long a new leader listens for the others before it hands out
// minions that nobody owns.
const hearFirst = 800 * time.Millisecond

// decideOwners hands the domain's minions to its members evenly. A minion is
// taken from a silent member by a record first and given to another only when
// the former owner's right has certainly ended.
func (d *Domain) decideOwners(b *work.Batch, now time.Time) {
	if now.Sub(d.leadership.since) < hearFirst {
		return
	}
	able := d.ableOwners(now)
	owned := map[string][]string{}
	var free []string
	for _, n := range d.cfg.Nodes(member.KindMinion) {
		o := d.state.Grants[n.Name]
		switch {
		case n.State != member.StateLive && o.Member == "":
		case o.Member == "":
			free = append(free, n.Name)
		case able[o.Member] == "":
			b.Revoke = append(b.Revoke, n.Name)
		default:
			owned[o.Member] = append(owned[o.Member], n.Name)
		}
	}
	for _, minion := range free {
		if at, waits := d.leadership.vacant[minion]; waits && now.Before(at) {
			continue
		}
		to := fewest(able, owned)
		if to == "" {
			return
		}
		owned[to] = append(owned[to], minion)
		b.Grant = append(b.Grant, work.Grant{Minion: minion, Member: to, Instance: able[to]})
	}
	d.rebalance(b, able, owned, len(free))
}

// ableOwners gives the members that may own minions, with their instances.
func (d *Domain) ableOwners(now time.Time) map[string]string {
	able := map[string]string{}
	if !d.leaving {
		able[d.cfg.Member] = d.cfg.Instance
	}
	for _, p := range d.cfg.Peers() {
		m, ok := d.state.Members[p.Member]
		if ok && !m.Dead && !p.Leaving && now.Sub(p.Heard) < member.SuspectAfter {
			able[p.Member] = m.Instance
		}
	}
	// A new leader has not heard everybody yet and takes nothing away.
	if now.Sub(d.leadership.since) < 2*member.SuspectAfter {
		for id, m := range d.state.Members {
			if !m.Dead && d.state.Owns(id) {
				able[id] = m.Instance
			}
		}
	}
	return able
}

func fewest(able map[string]string, owned map[string][]string) string {
	best := ""
	for id := range able {
		if best == "" || len(owned[id]) < len(owned[best]) || len(owned[id]) == len(owned[best]) && id < best {
			best = id
		}
	}
	return best
}

func most(able map[string]string, owned map[string][]string) string {
	best := ""
	for id := range able {
		if best == "" || len(owned[id]) > len(owned[best]) || len(owned[id]) == len(owned[best]) && id < best {
			best = id
		}
	}
	return best
}

// rebalance moves one minion at a time, since a move leaves it idle for a while.
func (d *Domain) rebalance(b *work.Batch, able map[string]string, owned map[string][]string, moving int) {
	if moving > 0 || len(able) < 2 || len(b.Revoke) > 0 {
		return
	}
	from, to := most(able, owned), fewest(able, owned)
	if len(owned[from])-len(owned[to]) > 1 {
		b.Revoke = append(b.Revoke, owned[from][len(owned[from])-1])
	}
}

func (d *Domain) commitOwners(b *work.Batch, now time.Time) {
	r := d.leadership
	for _, minion := range b.Revoke {
		at := now.Add(d.cfg.Terms.Grant + d.cfg.Terms.Margin)
		for _, until := range r.keptUntil {
			if k := until.Add(d.cfg.Terms.Margin); k.After(at) {
				at = k
			}
		}
		r.vacant[minion] = at
	}
	for _, g := range b.Grant {
		delete(r.vacant, g.Minion)
	}
}

// Owned gives the minions that this instance owns, with the time until which it
// may dispatch to each.
func (d *Domain) Owned(now time.Time) map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := d.stream.Tail().Add(d.cfg.Terms.Grant)
	if d.minionsKeptUntil.After(until) {
		until = d.minionsKeptUntil
	}
	if d.leadership != nil && d.logDown(now) {
		if end := d.leadership.right.End(d.cfg.Terms); end.After(until) {
			until = end
		}
	}
	out := map[string]time.Time{}
	for minion, o := range d.state.Grants {
		if o.Member == d.cfg.Member {
			out[minion] = until
		}
	}
	return out
}
