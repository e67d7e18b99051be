package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

var durations = lease.Durations{
	LeaderLease: 2 * time.Second, Margin: 500 * time.Millisecond, OwnerLease: 2 * time.Second, TaskLease: time.Minute, Promise: 10 * time.Second, MaxPromised: time.Minute,
}

func atSecond(s float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second)))
}

// TestLeaderMayActUntilLeaseExpiry checks the expiry of a leader's lease after a
// confirmed record and after promises, which extend it up to a limit. Past the
// expiry the leader must not act, because another member may claim.
func TestLeaderMayActUntilLeaseExpiry(t *testing.T) {
	cases := []struct {
		name      string
		confirmed float64
		promised  float64
		expiry    float64
	}{
		{"confirmed-only", 10, 0, 12},
		{"promise-carries-on", 10, 25, 25},
		{"promise-shorter", 10, 11, 12},
		{"promise-at-most-rest", 10, 500, 70},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var l lease.LeaderLease
			is.True(!l.Valid(atSecond(0), durations))
			l.Renew(atSecond(c.confirmed))
			l.Extend(atSecond(c.promised))
			is.Equal(l.Expiry(durations), atSecond(c.expiry))
			is.True(l.Valid(atSecond(c.expiry-0.001), durations))
			is.True(!l.Valid(atSecond(c.expiry), durations))
		})
	}
}

// TestClaimWaitsForLeaseExpiry checks from when on a member may claim. It received
// the leader's last record at 10 s and read its own join at 5 s. A promise of its
// own always prevents a claim until it ends.
func TestClaimWaitsForLeaseExpiry(t *testing.T) {
	cases := []struct {
		name       string
		membership lease.Membership
		acked      bool
		peerDied   float64 // 0 for not after the join
		from       float64
	}{
		{"nobody-leads", lease.Membership{}, false, 0, 0},
		{"counted-member", lease.Membership{HasLeader: true, Peers: 2}, true, 0, 12.5},
		{"leader-dead", lease.Membership{HasLeader: true, LeaderDead: true, Peers: 2}, true, 0, 10.5},
		{"newcomer-and-leader-alone", lease.Membership{HasLeader: true}, false, 0, 12.5},
		{"newcomer-and-a-dead-peer", lease.Membership{HasLeader: true, Peers: 2, DeadPeers: 1}, false, 0, 17.5},
		{"newcomer-and-a-peer-that-died-later", lease.Membership{HasLeader: true, Peers: 2, DeadPeers: 1}, false, 30, 42.5},
		{"newcomer-and-a-peer-that-died-last", lease.Membership{HasLeader: true, Peers: 2, DeadPeers: 1}, false, 65, 72.5},
		{"newcomer-and-living-peers", lease.Membership{HasLeader: true, Peers: 2}, false, 0, 72.5},
		{"newcomer-and-living-peers-after-a-removal", lease.Membership{HasLeader: true, Peers: 1}, false, 30, 72.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			claimant := lease.Claimant{LastLeaderRecord: atSecond(10), Joined: atSecond(5), Acked: c.acked}
			if c.peerDied > 0 {
				claimant.PeerDied = atSecond(c.peerDied)
			}
			is.True(claimant.MayClaim(atSecond(c.from), durations, c.membership))
			if c.from > 0 {
				is.True(!claimant.MayClaim(atSecond(c.from-0.001), durations, c.membership))
			}
			claimant.PromisedUntil = atSecond(c.from + 1)
			is.True(!claimant.MayClaim(atSecond(c.from), durations, c.membership))
		})
	}
}

// TestLeaseAndClaimNeverOverlap guards against two instances that act as leader
// at the same time. It draws when records are sent and read and when promises
// are made, with delays, and checks that the claimant may never claim while the
// leader's lease has not expired.
func TestLeaseAndClaimNeverOverlap(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		var l lease.LeaderLease
		claimant := lease.Claimant{LastLeaderRecord: atSecond(0), Acked: true}
		l.Renew(atSecond(0))
		now := 0.0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += rapid.Float64Range(0.01, 3).Draw(t, "pause")
			delay := rapid.Float64Range(0, 2).Draw(t, "delay")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0: // a record is sent, appended to the log and read by both, the claimant first
				if l.Valid(atSecond(now), durations) {
					claimant.LastLeaderRecord = atSecond(now + delay)
					l.Renew(atSecond(now))
					now += delay
				}
			case 1: // a promise is requested now and made later; the leader counts from the request
				claimant.PromisedUntil = atSecond(now + delay).Add(durations.Promise)
				l.Extend(atSecond(now).Add(durations.Promise))
				now += delay
			case 2: // a read reaches the end of the log and shows nothing new
				if claimant.MayClaim(atSecond(now), durations, lease.Membership{HasLeader: true, Peers: 1}) && l.Valid(atSecond(now), durations) {
					t.Fatalf("at %.2f s: the claimant may claim and the leader may act; want at most one of them", now)
				}
			}
		}
	})
}
