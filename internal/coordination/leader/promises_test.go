package leader

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestNewcomerDoesNotClaimDuringPromisedLease guards against two leaders at a
// time: a, cut off from the log, acts under the promises of its peers b and c,
// while n joins, reads the log to its end and claims.
func TestNewcomerDoesNotClaimDuringPromisedLease(t *testing.T) {
	durations := lease.Durations{LeaderLease: 2 * time.Second, Margin: 500 * time.Millisecond, Promise: 10 * time.Second, MaxPromised: time.Minute}
	join := func(id, addr string) work.Record { return work.Record{Join: &work.Member{ID: id, Addr: addr}} }
	// entry is a record that n reads at the given time.
	type entry struct {
		at       time.Duration
		record   work.Record
		readByA  bool   // before a loses the log
		sentByA  bool   // a has sent it and not read it back
		deadPeer string // the peer that it says is dead
	}
	tests := []struct {
		name    string
		entries []entry
		want    time.Duration // when n may claim first
	}{
		{"peers live", []entry{{record: join("n", "4"), readByA: true}}, 62500 * time.Millisecond},
		{"peers live, and a renews its lease after n joined", []entry{
			{record: join("n", "4"), readByA: true},
			{at: 30 * time.Second, record: work.Record{Batch: &work.Batch{Term: 1, Seq: 2, Member: "a"}}, readByA: true},
		}, 92500 * time.Millisecond},
		{"a has read that a peer is dead", []entry{{record: join("n", "2"), readByA: true, deadPeer: "b"}}, 12500 * time.Millisecond},
		{"a has not read that a peer is dead", []entry{{record: join("n", "2"), deadPeer: "b"}}, 12500 * time.Millisecond},
		{"a peer dies long after n joined", []entry{
			{record: join("n", "4"), readByA: true},
			{at: 30 * time.Second, record: work.Record{MarkDead: &work.MarkDead{Member: "b"}}, deadPeer: "b"},
		}, 42500 * time.Millisecond},
		{"a peer dies shortly before the promises end", []entry{
			{record: join("n", "4"), readByA: true},
			{at: 55 * time.Second, record: work.Record{MarkDead: &work.MarkDead{Member: "b"}}, deadPeer: "b"},
		}, 62500 * time.Millisecond},
		{"a has not read that it acknowledged n", []entry{
			{record: join("n", "4"), readByA: true},
			{record: work.Record{Batch: &work.Batch{Term: 1, Seq: 2, Member: "a", Ack: []string{"n"}}}, sentByA: true},
		}, 2500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			newDomain := func(id string) *Domain {
				return New(Config{Domain: "d", Member: id, LeaseDurations: durations, Now: func() time.Time { return start }, Logger: zerolog.Nop()})
			}
			a, n := newDomain("a"), newDomain("n")
			a.leadership = &leadership{promises: map[string]time.Time{}}
			a.leadership.leaderLease.Renew(start)
			offset := int64(0)
			read := func(at time.Time, r work.Record, readByA bool) {
				content, err := json.Marshal(r)
				is.NoErr(err)
				n.apply(offset, content, at)
				if readByA {
					is.True(a.state.Apply(offset, r))
				}
				offset++
			}
			for _, r := range []work.Record{
				join("a", "1"), join("b", "2"), join("c", "3"),
				{Claim: &work.Claim{Term: 1, Member: "a", LastLeaderOffset: -1}},
				{Batch: &work.Batch{Term: 1, Seq: 1, Member: "a", Ack: []string{"b", "c"}}},
			} {
				read(start, r, true)
			}
			alive := map[string]bool{"b": true, "c": true}
			const step = 100 * time.Millisecond
			for passed := time.Duration(0); passed <= 2*durations.MaxPromised; passed += step {
				now := start.Add(passed)
				for _, e := range tt.entries {
					if e.at != passed {
						continue
					}
					read(now, e.record, e.readByA)
					delete(alive, e.deadPeer)
					if e.readByA && e.record.Batch != nil {
						a.leadership.leaderLease.Renew(now)
					}
					if e.sentByA {
						a.leadership.pendingBatch = &sentBatch{batch: e.record.Batch}
					}
				}
				if n.mayClaim(now) {
					if a.leadership.leaderLease.Valid(now, durations) {
						t.Errorf("n may claim after %v, while a may act until %v after the start", passed, a.leadership.leaderLease.Expiry(durations).Sub(start))
					}
					is.Equal(passed, tt.want)
					return
				}
				for peer := range alive {
					a.HandleReply(member.Report{Domain: "d", Member: peer, NoClaimFor: durations.Promise}, now)
				}
			}
			t.Error("n may never claim")
		})
	}
}
