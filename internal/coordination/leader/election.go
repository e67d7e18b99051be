package leader

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Timing of claims and joins.
const (
	rejoinInterval = time.Second     // between two join records
	appendTimeout  = 2 * time.Second // of one append; a claim is repeated after this time
)

// sentClaim is a claim to the leadership that was sent and may still take
// effect.
type sentClaim struct {
	term   uint64
	sentAt time.Time
}

// join appends this member's join record, and repeats it every rejoinInterval
// until the member is part of the domain's state.
func (d *Domain) join(now time.Time) {
	if d.leaving || !d.stream.Ready() || d.logDown(now) || now.Sub(d.joinSentAt) < rejoinInterval {
		return
	}
	if _, ok := d.state.Members[d.cfg.Member]; ok {
		return
	}
	d.joinSentAt = now
	m := work.Member{ID: d.cfg.Member, Instance: d.cfg.Instance, Addr: d.cfg.Addr, Format: work.Format, AtMs: now.UnixMilli()}
	d.appendRecord(work.Record{Join: &m})
}

// tryClaim claims the leadership when the leader lease of the current leader
// has certainly expired.
func (d *Domain) tryClaim(now time.Time) {
	if d.leaving || d.logDown(now) || now.Before(d.noClaimBefore) {
		return
	}
	if d.lastClaim.term == d.state.Term+1 && now.Sub(d.lastClaim.sentAt) < appendTimeout {
		return
	}
	if !d.mayClaim(d.stream.CaughtUpAt()) {
		return
	}
	d.lastClaim = sentClaim{term: d.state.Term + 1, sentAt: now}
	c := work.Claim{Term: d.lastClaim.term, Member: d.cfg.Member, Instance: d.cfg.Instance, LastLeaderOffset: d.state.LastLeaderOffset}
	d.appendRecord(work.Record{Claim: &c})
}

// mayClaim reports whether this member is alive in the domain's state and the
// leader lease has certainly expired. read is the start of the last read that
// reached the end of the log.
func (d *Domain) mayClaim(read time.Time) bool {
	m, ok := d.state.Members[d.cfg.Member]
	if !ok || m.Dead {
		return false
	}
	claimant := lease.Claimant{LastLeaderRecord: d.lastLeaderRecord, PromisedUntil: d.noClaimBefore, Joined: d.joinedAt, PeerDied: d.peerDiedAt, Acked: m.Acked}
	return claimant.MayClaim(read, d.cfg.LeaseDurations, d.state.Membership())
}

// handleClaim processes a claim that has taken effect. It begins a term when
// the claim is the last one that this member sent.
func (d *Domain) handleClaim(c work.Claim, now time.Time) {
	d.cfg.Logger.Info().Str("leader", c.Instance).Uint64("term", c.Term).Msg("leader: new term")
	if c.Member != d.cfg.Member || c.Term != d.lastClaim.term || d.leaving {
		return
	}
	d.beginTerm(d.lastClaim.sentAt, now)
}

// appendRecord appends a record without waiting for the result, which is
// learned by reading the log.
func (d *Domain) appendRecord(r work.Record) {
	content, err := json.Marshal(r)
	if err != nil {
		d.cfg.Logger.Error().Err(err).Msg("leader: cannot encode record")
		return
	}
	d.appendAsync(content)
}

func (d *Domain) appendAsync(content []byte) {
	ctx := d.ctx
	if ctx == nil || ctx.Err() != nil {
		return
	}
	d.wg.Go(func() {
		c, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		// After an error the record may be in the log all the same; reading shows it.
		_ = d.stream.Append(c, content)
	})
}

// FillReport fills in the domain's fields of this instance's report. A leader
// that can't reach the log asks the other members for promises not to claim.
func (d *Domain) FillReport(r *member.Report, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.LeaderInstance = d.state.LeaderInstance
	r.Term = d.state.Term
	r.LogDown = d.logDown(now)
	r.LogReadAge = now.Sub(d.stream.CaughtUpAt())
	r.AskHold = d.leadership != nil && r.LogDown
}

// FillReply fills in the promises of the reply to a heartbeat: for how long this
// member does not claim the leadership, and for how long this member, as the
// leader, does not assign the sender's minions to others. Promises are made
// only while the log is down, and only to members of the same domain.
func (d *Domain) FillReply(from member.Report, reply *member.Report, now time.Time) {
	if from.Domain != d.cfg.Domain {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if from.AskHold && d.mayPromise(from.Member, now) {
		reply.NoClaimFor = d.cfg.LeaseDurations.Promise
		d.noClaimBefore = now.Add(d.cfg.LeaseDurations.Promise)
	}
	if d.leadership == nil || !d.logDown(now) || !d.leadership.leaderLease.Valid(now, d.cfg.LeaseDurations) {
		return
	}
	reply.NoReassignFor = min(d.cfg.LeaseDurations.Promise, d.leadership.leaderLease.Expiry(d.cfg.LeaseDurations).Sub(now))
	d.leadership.ownershipUntil[from.Member] = now.Add(reply.NoReassignFor)
}

// mayPromise reports whether this member may promise the requester not to
// claim. The requester must be the leader. This member must not promise while a
// claim of its own may still reach the log.
func (d *Domain) mayPromise(requester string, now time.Time) bool {
	if requester != d.state.Leader || d.leadership != nil || !d.logDown(now) {
		return false
	}
	claimOpen := d.lastClaim.term == d.state.Term+1 && !d.stream.CaughtUpAt().After(d.lastClaim.sentAt.Add(appendTimeout))
	return !claimOpen
}

// HandleReply processes the promises in the reply to a heartbeat that was sent
// at sent. They count from that time, which is earlier than when they were made.
func (d *Domain) HandleReply(r member.Report, sent time.Time) {
	if r.Domain != d.cfg.Domain {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.NoReassignFor > 0 && r.Member == d.state.Leader && sent.Add(r.NoReassignFor).After(d.ownershipUntil) {
		d.ownershipUntil = sent.Add(r.NoReassignFor)
	}
	if r.NoClaimFor <= 0 || d.leadership == nil {
		return
	}
	d.leadership.promises[r.Member] = sent.Add(r.NoClaimFor)
	if until, ok := d.earliestPromiseEnd(); ok {
		d.leadership.leaderLease.Extend(until)
	}
}

// earliestPromiseEnd returns the earliest end of the promises of all other
// members that the leader has acknowledged. It returns false when one of them
// has made no promise, or when there are no such members. A dead member counts
// until it is removed: a newcomer that has read of the death claims early,
// because the dead member promises nothing any more. A member counts from when
// its acknowledgement is sent, because it may read of it before this leader
// does. Other members without an acknowledgement are left out: they don't claim
// before the time at which promises can no longer extend the leader lease.
func (d *Domain) earliestPromiseEnd() (time.Time, bool) {
	var earliest time.Time
	found := false
	for id, m := range d.state.Members {
		if id == d.cfg.Member || !m.Acked && !d.leadership.sentAck(id) {
			continue
		}
		until, ok := d.leadership.promises[id]
		if !ok {
			return time.Time{}, false
		}
		if !found || until.Before(earliest) {
			earliest, found = until, true
		}
	}
	return earliest, found
}

// sentAck reports whether the batch that has not taken effect yet acknowledges
// the member.
func (l *leadership) sentAck(id string) bool {
	return l.pendingBatch != nil && slices.Contains(l.pendingBatch.batch.Ack, id)
}
