package leader

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/place"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestTaskIsNotGivenUpBesideOlderMembers guards against states that differ
// during a rolling upgrade: an older program ignores the record that gives a
// task up. Until it has gone, the task is neither given up nor started.
func TestTaskIsNotGivenUpBesideOlderMembers(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	d := New(Config{Domain: "d", Member: "a", Now: func() time.Time { return now }})
	d.state.Apply(0, work.Record{Join: &work.Member{ID: "a", Addr: "1", Format: work.Format}})
	d.state.Apply(1, work.Record{Join: &work.Member{ID: "old", Addr: "2"}})
	d.state.Apply(2, work.Record{Claim: &work.Claim{Term: 1, Member: "a", LastLeaderOffset: -1}})
	d.state.Apply(3, work.Record{Submit: &work.Submit{Spec: work.JobSpec{ID: "j", Kind: work.KindBatch, Tasks: 1}}})
	ref := work.TaskRef{Job: "j"}
	for n := range 2 {
		b := &work.Batch{Term: 1, Seq: uint64(2*n + 1), Member: "a", Assign: []work.Assign{{Task: ref, Attempt: n + 1, Worker: "w"}}}
		is.True(d.state.Apply(int64(4+2*n), work.Record{Batch: b}))
		b = &work.Batch{Term: 1, Seq: uint64(2*n + 2), Member: "a", End: []work.End{{Task: ref, Attempt: n + 1, Outcome: work.OutcomeLost, Early: true, Crashed: true}}}
		is.True(d.state.Apply(int64(5+2*n), work.Record{Batch: b}))
	}
	l := &leadership{engine: place.NewEngine(place.Config{}), attribution: place.NewFailureAttribution(), pendingReasons: map[string]string{}}
	d.leadership = l
	d.enqueue(ref, now)
	is.Equal(len(l.giveUps), 0)
	is.Equal(len(l.deferred), 1)
	is.Equal(l.engine.Pending(), 0)
	d.state.Apply(8, work.Record{Release: &work.Release{Member: "old"}})
	d.enqueue(ref, now)
	is.Equal(len(l.giveUps), 1)
	is.Equal(l.engine.Pending(), 0)
	is.True(d.state.Apply(9, work.Record{Batch: &work.Batch{Term: 1, Seq: 5, Member: "a", GiveUp: l.giveUps}}))
	is.Equal(d.state.Jobs["j"].State(), work.JobFailed)
}
