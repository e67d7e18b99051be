// Package lease decides until when a leader may act under its lease, and from
// when on a follower may claim the leadership, so that the two never overlap. A
// leader renews its lease by records in the log or, while the log can't be
// reached, by promises of its peers. All times are readings of the instance's
// own monotonic clock; clocks of different instances are never compared.
package lease

import "time"

// Terms are the durations of the leases. All instances of a domain must use the
// same.
type Terms struct {
	Lead   time.Duration // a leader may act this long after it sent its last confirmed record
	Margin time.Duration // added when waiting for another instance's lease to expire; covers different clock rates and messages in flight
	Grant  time.Duration // a minion's owner may dispatch to it this long after the start of a read of the log that showed no revocation
	Task   time.Duration // a worker stops a task this long after the last renewal of its lease
	Hold   time.Duration // duration of a promise not to claim, made while the log can't be reached
	Rest   time.Duration // longest time that promises alone extend a leader's lease; a new member waits it out before it claims
}

// Right is a leader's lease. The zero value is an expired lease.
type Right struct {
	lastConfirmed time.Time // when the last record was sent that the log confirmed
	promisedUntil time.Time // until when all peers have promised not to claim
}

// Confirm renews the lease by a record, sent at the given time, that the log has
// confirmed.
func (r *Right) Confirm(sent time.Time) {
	if sent.After(r.lastConfirmed) {
		r.lastConfirmed = sent
	}
}

// Promise extends the lease: every other member whose claim could count has
// promised not to claim before the given time.
func (r *Right) Promise(until time.Time) {
	if until.After(r.promisedUntil) {
		r.promisedUntil = until
	}
}

// End returns the expiry of the lease; zero if no record was confirmed. Promises
// extend it only up to a limit after the last confirmed record was sent.
func (r *Right) End(t Terms) time.Time {
	if r.lastConfirmed.IsZero() {
		return time.Time{}
	}
	end := r.lastConfirmed.Add(t.Lead)
	limit := r.lastConfirmed.Add(t.Rest)
	promised := r.promisedUntil
	if promised.After(limit) {
		promised = limit
	}
	if promised.After(end) {
		return promised
	}
	return end
}

// Holds reports whether the lease has not expired at now.
func (r *Right) Holds(now time.Time, t Terms) bool { return now.Before(r.End(t)) }

// Company describes, as the log shows it, the leader and the members that could
// extend its lease by promises.
type Company struct {
	Led        bool // there is a leader that has not resigned
	LeaderDead bool // the leader's process is known to have ended
	Peers      int  // members other than the leader whose promises the leader needs
	DeadPeers  int  // those of Peers whose process is known to have ended
}

// Watch is a follower's view of the leader's lease.
type Watch struct {
	Heard    time.Time // when the leader's last record was received
	Promised time.Time // until when this member has promised not to claim
	Joined   time.Time // when this member read its own join record
	Acked    bool      // the leader needs this member's promise too
}

// MayClaim reports whether the follower may claim the leadership. read is the
// start of its last read that reached the end of the log, so that a later record
// of the leader would have shown. A leader whose process has ended can't act;
// only its last messages in flight, which t.Margin covers, are waited for.
func (w Watch) MayClaim(read time.Time, t Terms, c Company) bool {
	if read.Before(w.Promised) {
		return false
	}
	if !c.Led {
		return true
	}
	if c.LeaderDead {
		return !read.Before(w.Heard.Add(t.Margin))
	}
	if read.Before(w.Heard.Add(t.Lead + t.Margin)) {
		return false
	}
	return w.Acked || !read.Before(w.Joined.Add(w.joinWait(t, c)))
}

// joinWait returns how long after joining a member whose promise the leader does
// not need yet must not claim, because the leader's lease may still be extended
// by promises of the other members. Without other members there are no promises.
// If a member is dead whose promise the leader needs, the lease can't be extended
// further, and each promise made before ends within its fixed duration.
func (w Watch) joinWait(t Terms, c Company) time.Duration {
	lapse := t.Lead + t.Margin
	switch {
	case c.Peers == 0:
		return lapse
	case c.DeadPeers > 0:
		return t.Hold + lapse
	}
	return t.Rest + lapse
}
