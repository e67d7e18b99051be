// Package lease decides until when a leader may act under its lease, and from
// when on another member may claim the leadership, so that the two never overlap.
// A leader renews its lease by records in the log or, while the log can't be
// reached, by promises of its peers. All times are readings of the instance's
// own monotonic clock; clocks of different instances are never compared.
package lease

import "time"

// Durations are the durations of the leases. All instances of a domain must use
// the same.
type Durations struct {
	LeaderLease time.Duration // a leader may act this long after it sent its last confirmed record
	Margin      time.Duration // added when waiting for another instance's lease to expire; covers different clock rates and messages in flight
	OwnerLease  time.Duration // a minion's owner may dispatch to it this long after the start of a read of the log that showed no revocation
	TaskLease   time.Duration // a worker stops a task this long after the last renewal of its lease
	Promise     time.Duration // duration of a promise not to claim, made while the log can't be reached
	MaxPromised time.Duration // longest time that promises alone extend a leader's lease; a new member waits it out before it claims
}

// LeaderLease is a leader's lease. The zero value is an expired lease.
type LeaderLease struct {
	lastConfirmed time.Time // when the last record was sent that the log confirmed
	promisedUntil time.Time // until when all peers have promised not to claim
}

// Renew renews the lease by a record, sent at the given time, that the log has
// confirmed.
func (l *LeaderLease) Renew(sent time.Time) {
	if sent.After(l.lastConfirmed) {
		l.lastConfirmed = sent
	}
}

// Extend extends the lease: every other member whose claim could count has
// promised not to claim before the given time.
func (l *LeaderLease) Extend(until time.Time) {
	if until.After(l.promisedUntil) {
		l.promisedUntil = until
	}
}

// Expiry returns the expiry of the lease; zero if no record was confirmed.
// Promises extend it to at most d.MaxPromised after the last confirmed record was
// sent.
func (l *LeaderLease) Expiry(d Durations) time.Time {
	if l.lastConfirmed.IsZero() {
		return time.Time{}
	}
	end := l.lastConfirmed.Add(d.LeaderLease)
	limit := l.lastConfirmed.Add(d.MaxPromised)
	promised := l.promisedUntil
	if promised.After(limit) {
		promised = limit
	}
	if promised.After(end) {
		return promised
	}
	return end
}

// Valid reports whether the lease has not expired at now.
func (l *LeaderLease) Valid(now time.Time, d Durations) bool { return now.Before(l.Expiry(d)) }

// Promised reports whether a promise made to the leader is still in force at now.
func (l *LeaderLease) Promised(now time.Time) bool { return now.Before(l.promisedUntil) }

// Membership describes, as the log shows it, the leader and the members that
// could extend its lease by promises.
type Membership struct {
	HasLeader  bool // there is a leader that has not resigned
	LeaderDead bool // the leader's process is known to have ended
	Peers      int  // members other than the leader whose promises the leader needs
	DeadPeers  int  // those of Peers whose process is known to have ended
}

// Claimant is the state by which a member that may claim the leadership judges
// whether the leader's lease has expired.
type Claimant struct {
	LastLeaderRecord time.Time // when the leader's last record was received
	PromisedUntil    time.Time // until when this member has promised not to claim
	Joined           time.Time // when this member read its own join record
	PeerDied         time.Time // when this member last read that a peer is dead; zero for never
	Acked            bool      // the leader needs this member's promise too
}

// MayClaim reports whether the member may claim the leadership. read is the start
// of its last read that reached the end of the log, so any record that the leader
// appended before read has been received. A leader whose process has ended can't
// act; only its last messages in flight, which d.Margin covers, are waited for.
func (c Claimant) MayClaim(read time.Time, d Durations, m Membership) bool {
	if read.Before(c.PromisedUntil) {
		return false
	}
	if !m.HasLeader {
		return true
	}
	if m.LeaderDead {
		return !read.Before(c.LastLeaderRecord.Add(d.Margin))
	}
	if read.Before(c.LastLeaderRecord.Add(d.LeaderLease + d.Margin)) {
		return false
	}
	return c.Acked || !read.Before(c.newcomerMayClaimFrom(d, m))
}

// newcomerMayClaimFrom returns from when on a member whose promise the leader
// does not need yet may claim. Until then the promises of the other members may
// still extend the leader's lease, which they do at most for a limited time
// after the leader's last record. Without other members there are no promises.
// If a member is dead whose promise the leader needs, the lease can't be
// extended further, and the promises that it made end within their fixed
// duration after its death.
func (c Claimant) newcomerMayClaimFrom(d Durations, m Membership) time.Time {
	leaderWait := d.LeaderLease + d.Margin
	if m.Peers == 0 {
		return c.Joined.Add(leaderWait)
	}
	from := latest(c.Joined, c.LastLeaderRecord).Add(d.MaxPromised + leaderWait)
	if m.DeadPeers == 0 {
		return from
	}
	if early := latest(c.Joined, c.PeerDied).Add(d.Promise + leaderWait); early.Before(from) {
		return early
	}
	return from
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
