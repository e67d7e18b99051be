package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestMemberIsNotAcknowledgedDuringPromisedLease guards against two leaders at a
// time: a leader whose lease still rests on promises from an outage must not
// acknowledge a member that has promised nothing, because an acknowledged member
// claims as soon as the leader is silent.
func TestMemberIsNotAcknowledgedDuringPromisedLease(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	now := start
	d := New(Config{
		Domain: "d", Member: "a", LeaseDurations: lease.Durations{LeaderLease: 2 * time.Second, Promise: 10 * time.Second, MaxPromised: time.Minute},
		Now:       func() time.Time { return now },
		Instances: func(string) []member.Instance { return []member.Instance{{Name: "n"}} },
		Peers:     func() []member.Peer { return nil },
	})
	for offset, r := range []work.Record{
		{Join: &work.Member{ID: "a", Addr: "1"}}, {Join: &work.Member{ID: "b", Addr: "2"}},
		{Claim: &work.Claim{Term: 1, Member: "a", LastLeaderOffset: -1}},
		{Batch: &work.Batch{Term: 1, Seq: 1, Member: "a", Ack: []string{"b"}}},
	} {
		is.True(d.state.Apply(int64(offset), r))
	}
	d.leadership = &leadership{startedAt: start, promises: map[string]time.Time{}}
	d.leadership.leaderLease.Renew(start)
	acked := func() []string {
		b := &work.Batch{}
		d.addMemberChanges(b)
		return b.Ack
	}
	d.HandleReply(member.Report{Domain: "d", Member: "b", NoClaimFor: 10 * time.Second}, start)
	now = start.Add(5 * time.Second) // the log is back
	d.leadership.leaderLease.Renew(now)
	is.True(d.state.Apply(4, work.Record{Join: &work.Member{ID: "n", Addr: "3", Instance: "n"}}))
	is.Equal(acked(), nil)
	now = start.Add(10 * time.Second) // b's promise has ended
	is.Equal(acked(), []string{"n"})
}
