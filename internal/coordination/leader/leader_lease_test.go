package leader

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestExpiredLeaderLeaseBlocksStartsAndRenewals guards against a task that runs
// twice: the leader's process is paused until its leader lease has expired, and
// another leader may already have reassigned its tasks. Although it has not
// read of another leader yet, it must neither send starts nor renew task
// leases.
func TestExpiredLeaderLeaseBlocksStartsAndRenewals(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	started := 0
	d := New(Config{
		Domain: "d", Member: "a", LeaseDurations: lease.Durations{LeaderLease: 2 * time.Second, TaskLease: time.Minute},
		Now: func() time.Time { return now },
		Workers: WorkerCalls{Start: func(context.Context, string, []StartTask) error {
			started++
			return nil
		}},
	})
	d.state.Apply(0, work.Record{Join: &work.Member{ID: "a", Addr: "1"}})
	d.state.Apply(1, work.Record{Claim: &work.Claim{Term: 1, Member: "a", LastLeaderOffset: -1}})
	spec := work.JobSpec{ID: "j", Kind: work.KindBatch, Tasks: 1}
	d.state.Apply(2, work.Record{Submit: &work.Submit{Spec: spec}})
	ref := work.TaskRef{Job: "j"}
	d.state.Apply(3, work.Record{Batch: &work.Batch{Term: 1, Seq: 1, Member: "a", Assign: []work.Assign{{Task: ref, Attempt: 1, Worker: "w"}}}})
	l := &leadership{ctx: context.Background()}
	d.leadership = l
	ws := &workerSession{name: "w", synced: true, starts: map[work.TaskRef]*startStatus{}}
	act := func() (starts int, renews bool) {
		started = 0
		d.sendStarts(l, ws, []StartTask{{Attempt: Attempt{ref, 1}}})
		req, _, _ := d.nextSyncRequest(l, ws)
		return started, req.Renew
	}
	l.leaderLease.Renew(now)
	starts, renews := act()
	is.Equal(starts, 1)
	is.True(renews)
	now = now.Add(2 * time.Second)
	starts, renews = act()
	is.Equal(starts, 0)
	is.True(!renews)
}

// TestExpiredLeaderAcknowledgesNoEnds guards against ends that are lost: a
// leader that was paused until another one reassigned its tasks does not know
// the new attempts, and takes their ends for ends that the log already has. If it
// acknowledged them, the worker would no longer report them to the new leader.
func TestExpiredLeaderAcknowledgesNoEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := New(Config{
		Domain: "d", Member: "a", LeaseDurations: lease.Durations{LeaderLease: 2 * time.Second, TaskLease: time.Minute},
		Now: func() time.Time { return now },
	})
	d.state.Apply(0, work.Record{Join: &work.Member{ID: "a", Addr: "1"}})
	d.state.Apply(1, work.Record{Claim: &work.Claim{Term: 1, Member: "a", LastLeaderOffset: -1}})
	l := &leadership{ctx: context.Background(), unrecordedEnds: map[work.TaskRef]work.End{}}
	d.leadership = l
	ws := &workerSession{name: "w", synced: true, starts: map[work.TaskRef]*startStatus{}}
	ended := SyncReply{Incarnation: "i", Version: 2, Ended: []EndedTask{{Attempt: Attempt{work.TaskRef{Job: "j"}, 2}, Outcome: work.OutcomeDone, EndNumber: 7}}}
	l.leaderLease.Renew(now)
	sync := func() uint64 {
		d.handleEnded(ws, ended, now)
		req, _, _ := d.nextSyncRequest(l, ws)
		return req.AckedEnd
	}
	is.Equal(sync(), uint64(7)) // the log is up to date under the lease
	now = now.Add(2 * time.Second)
	is.Equal(sync(), uint64(0))
}
