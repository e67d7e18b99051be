package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// TestReplicaThatReloadsDoesNotLeadYet guards against a leader that begins a job
// anew, because it has led before it read what was appended between the pages of
// its load.
func TestReplicaThatReloadsDoesNotLeadYet(t *testing.T) {
	is := is.New(t)
	now, start := time.UnixMilli(1_700_000_000_000), time.Now()
	c := New(Settings{
		Instance: "e0", Incarnation: "life-1", Domain: "d", Addr: "e0",
		Params: sched.Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute},
		Log:    store.New(1).Log("e0"), ConfigLog: store.New(2).Log("e0"), Directory: store.New(3).Log("e0"),
		Now: func() time.Time { return now }, Uptime: func() time.Duration { return time.Since(start) },
		Logger: zerolog.Nop(), Meter: meter.New(),
	})
	spec := &flow.Spec{ID: "a", Queue: "q", Steps: []flow.Step{{Count: 1, EstimateMs: 100}}, Policy: flow.Policy{Service: "svc", MaxAttempts: 1}}
	specData, err := flow.EncodeSpec(spec)
	is.NoErr(err)
	round := flow.NewRound(spec, 0)
	round.Steps[0][0] = flow.Task{Phase: flow.Placed, Run: 1, Worker: "w"}
	progress := ledger.Record{Key: keyProgress + "a", Value: flow.EncodeProgress(nil, &flow.Progress{State: flow.Active, NextRound: 1, Rounds: []*flow.Round{round}})}
	won, err := encodeRecord(keyLeader, claim{Term: 1, Instance: "e0", Incarnation: "life-1"})
	is.NoErr(err)
	c.applyBatch(now, ledger.Batch{NextOffset: 1, CaughtUp: true, SentAt: now})
	is.True(c.ready.Load())

	// The job was appended after the page with the specs was read, its progress and
	// the claim before those pages were.
	c.applyBatch(now, ledger.Batch{Reset: true, Records: []ledger.Record{won, progress}, NextOffset: 10, CompleteOffset: 13, SentAt: now})
	c.stepElection(now)
	is.True(c.engine == nil)

	c.applyBatch(now, ledger.Batch{Records: []ledger.Record{{Key: keySpec + "a", Value: specData}, progress, won}, NextOffset: 13, CaughtUp: true, SentAt: now})
	c.stepElection(now)
	is.True(c.engine != nil)
	is.Equal(len(c.jobs["a"].Rounds), 1)
	is.Equal(c.jobs["a"].Rounds[0].Steps[0][0].Phase, flow.Placed)
	c.stop()
}
