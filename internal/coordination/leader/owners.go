package leader

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// memberRemovalDelay is how long a member must be unlisted and without contact
// before the leader removes it.
const memberRemovalDelay = 10 * time.Second

// addMemberChanges adds to the batch acknowledgements of new members and
// removals of members that have ended or are gone. No member is acknowledged
// while promises from an outage may still carry the leader lease: the new member
// has made none, and an acknowledged member does not wait for them to end.
func (d *Domain) addMemberChanges(b *work.Batch) {
	listedInstances := map[string]bool{}
	for _, inst := range d.cfg.Instances(member.KindEntry) {
		listedInstances[inst.Name] = true
	}
	if len(listedInstances) == 0 {
		return // the list has not been read yet
	}
	lastContact := d.lastContacts()
	now := d.cfg.Now()
	for id, m := range d.state.Members {
		switch {
		case id == d.cfg.Member:
		case m.Dead && !d.state.OwnsMinions(id):
			b.Remove = append(b.Remove, id)
		case !m.Acked && !m.Dead:
			if !d.leadership.leaderLease.Promised(now) {
				b.Ack = append(b.Ack, id)
			}
		case !listedInstances[m.Instance] && now.Sub(lastContact[id]) > memberRemovalDelay && now.Sub(d.leadership.startedAt) > memberRemovalDelay && !d.state.OwnsMinions(id):
			b.Remove = append(b.Remove, id)
		}
	}
}

// lastContacts returns the time of the last heartbeat by member.
func (d *Domain) lastContacts() map[string]time.Time {
	lastContact := map[string]time.Time{}
	for _, p := range d.cfg.Peers() {
		lastContact[p.Member] = p.LastContact
	}
	return lastContact
}

// initialGrantDelay is how long a new leader waits for heartbeats of the other
// members before it changes the ownership of minions.
const initialGrantDelay = 800 * time.Millisecond

// addOwnershipChanges distributes the domain's minions evenly over its members.
// A minion of a member that is not eligible is revoked first. It is granted to
// another member only when the former owner's grant has certainly expired.
func (d *Domain) addOwnershipChanges(b *work.Batch, now time.Time) {
	if now.Sub(d.leadership.startedAt) < initialGrantDelay {
		return
	}
	eligible := d.eligibleOwners(now)
	owned := map[string][]string{}
	var unowned []string
	for _, inst := range d.cfg.Instances(member.KindMinion) {
		o := d.state.MinionOwners[inst.Name]
		switch {
		case inst.State != member.StateLive && o.Member == "":
		case o.Member == "":
			unowned = append(unowned, inst.Name)
		case eligible[o.Member] == "":
			b.Revoke = append(b.Revoke, inst.Name)
		default:
			owned[o.Member] = append(owned[o.Member], inst.Name)
		}
	}
	for _, minion := range unowned {
		if at, found := d.leadership.grantableFrom[minion]; found && now.Before(at) {
			continue
		}
		to := memberWithFewest(eligible, owned)
		if to == "" {
			return
		}
		owned[to] = append(owned[to], minion)
		b.Grant = append(b.Grant, work.Grant{Minion: minion, Member: to, Instance: eligible[to]})
	}
	d.addRebalance(b, eligible, owned, len(unowned))
}

// eligibleOwners returns the instances of the members that may own minions, by
// member: those that are not leaving and whose last contact is recent.
func (d *Domain) eligibleOwners(now time.Time) map[string]string {
	eligible := map[string]string{}
	if !d.leaving {
		eligible[d.cfg.Member] = d.cfg.Instance
	}
	for _, p := range d.cfg.Peers() {
		m, ok := d.state.Members[p.Member]
		if ok && !m.Dead && !p.Leaving && now.Sub(p.LastContact) < member.SuspectAfter {
			eligible[p.Member] = m.Instance
		}
	}
	// A new leader has not had contact with all members yet, so present owners
	// stay eligible at first.
	if now.Sub(d.leadership.startedAt) < 2*member.SuspectAfter {
		for id, m := range d.state.Members {
			if !m.Dead && d.state.OwnsMinions(id) {
				eligible[id] = m.Instance
			}
		}
	}
	return eligible
}

func memberWithFewest(eligible map[string]string, owned map[string][]string) string {
	best := ""
	for id := range eligible {
		if best == "" || len(owned[id]) < len(owned[best]) || len(owned[id]) == len(owned[best]) && id < best {
			best = id
		}
	}
	return best
}

func memberWithMost(eligible map[string]string, owned map[string][]string) string {
	best := ""
	for id := range eligible {
		if best == "" || len(owned[id]) > len(owned[best]) || len(owned[id]) == len(owned[best]) && id < best {
			best = id
		}
	}
	return best
}

// addRebalance revokes one minion of the member with the most if the numbers
// differ by more than one. It moves one minion at a time, because a minion is
// idle from its revocation to its next grant.
func (d *Domain) addRebalance(b *work.Batch, eligible map[string]string, owned map[string][]string, unowned int) {
	if unowned > 0 || len(eligible) < 2 || len(b.Revoke) > 0 {
		return
	}
	from, to := memberWithMost(eligible, owned), memberWithFewest(eligible, owned)
	if len(owned[from])-len(owned[to]) > 1 {
		b.Revoke = append(b.Revoke, owned[from][len(owned[from])-1])
	}
}

// applyOwnership notes from when the revoked minions may be granted again: when
// the former owner's grant has certainly expired, and after every extension
// that this leader has promised, whichever member it was promised to.
func (d *Domain) applyOwnership(b *work.Batch, now time.Time) {
	l := d.leadership
	for _, minion := range b.Revoke {
		at := now.Add(d.cfg.LeaseDurations.OwnerLease + d.cfg.LeaseDurations.Margin)
		for _, until := range l.ownershipUntil {
			if extended := until.Add(d.cfg.LeaseDurations.Margin); extended.After(at) {
				at = extended
			}
		}
		l.grantableFrom[minion] = at
	}
	for _, g := range b.Grant {
		delete(l.grantableFrom, g.Minion)
	}
}

// OwnedMinions returns the minions that this instance owns, with the time until
// which it may dispatch requests to each. That is the length of a grant after
// the last read that reached the end of the stream. A promise of the leader
// extends it; the leader itself may dispatch while its leader lease is valid
// when the log is down.
func (d *Domain) OwnedMinions(now time.Time) map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := d.stream.CaughtUpAt().Add(d.cfg.LeaseDurations.OwnerLease)
	if d.ownershipUntil.After(until) {
		until = d.ownershipUntil
	}
	if d.leadership != nil && d.logDown(now) {
		if end := d.leadership.leaderLease.Expiry(d.cfg.LeaseDurations); end.After(until) {
			until = end
		}
	}
	out := map[string]time.Time{}
	for minion, o := range d.state.MinionOwners {
		if o.Member == d.cfg.Member {
			out[minion] = until
		}
	}
	return out
}
