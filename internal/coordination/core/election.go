package core

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// Timing of leader election.
const (
	// heartbeatInterval is the longest time between two appends of a leader.
	heartbeatInterval = 250 * time.Millisecond
	// minElectionTimeout and maxElectionTimeout bound the election timeout: how
	// long the ledger may be read without a record of the leader before other
	// instances stand for election. In between it is electionSlack plus
	// electionGapFactor times the longest recent time between two contacts. The
	// maximum is four heartbeats, the minimum the time of a few calls to the
	// store.
	minElectionTimeout = 400 * time.Millisecond
	maxElectionTimeout = 1000 * time.Millisecond
	electionSlack      = 200 * time.Millisecond
	electionGapFactor  = 3
	// gapDecay sets the decay of the longest recent time between two contacts:
	// each further contact shortens it by 1/gapDecay.
	gapDecay = 16
	// initialElectionTimeout is the election timeout while the ledger contains
	// no claim.
	initialElectionTimeout = 300 * time.Millisecond
	// candidacyStep staggers the candidacies of instances by the time of a few
	// calls to the store.
	candidacyStep  = 40 * time.Millisecond
	candidacySteps = 8 // per class of machines, see candidacyRank
	// candidacyTimeout bounds the append of one claim.
	candidacyTimeout = time.Second
	// candidacyPause is the pause after a candidacy, and after stepping down. A
	// failed append of the claim shortens it to a quarter.
	candidacyPause = 1500 * time.Millisecond
	// maxTerm is far above the number of elections that there can be. A claim of
	// the largest integer would leave no later term.
	maxTerm = 1 << 53
)

// electionState is an instance's state of the leader and of its own candidacy.
type electionState struct {
	term            int64         // of the newest claim
	minTerm         int64         // highest epoch that the store is known to have seen
	leader          claim         // newest claim
	lastContact     time.Time     // when a record of the leader was last read or stored
	maxGap          time.Duration // longest recent time between two contacts
	readableSince   time.Time     // since when reads have succeeded, zero while they fail
	caughtUpAt      time.Time     // when the ledger was last read to its end
	nextCandidacyAt time.Time     // earliest time of the next candidacy
	readFailing     bool          // the failure of reads has been logged
	leaving         bool          // this instance stops and does not stand again
	probes          leaderProbes

	nextTransferAt   time.Time // of the next check for a better-provisioned peer
	transferAttempts int       // selects the peer to probe, in turn

	confirmedAt time.Duration // uptime at which the newest append known to be stored was sent
}

// noteContact notes that a record of the leader has been read or stored. The
// records of one read count as one contact.
func (c *Core) noteContact(now time.Time) {
	e := &c.election
	if gap := now.Sub(e.lastContact); gap > 0 {
		e.maxGap = max(min(gap, maxElectionTimeout), e.maxGap-e.maxGap/gapDecay)
	}
	e.lastContact = now
}

// electionTimeout returns how long the ledger may be read without a record of
// the leader before other instances stand for election.
func (e *electionState) electionTimeout() time.Duration {
	return max(minElectionTimeout, min(maxElectionTimeout, electionSlack+electionGapFactor*e.maxGap))
}

func (c *Core) readFailed(now time.Time, err error) {
	var expired *ledger.ExpiredError
	if errors.As(err, &expired) {
		c.settings.Logger.Warn().Err(err).Msg("ledger: records expired; reading the newest record of each key again")
		return
	}
	c.readable.Store(false)
	if !c.election.readFailing {
		c.election.readFailing = true
		c.settings.Logger.Warn().Err(err).Msg("ledger: can't be read")
	}
	c.election.readableSince = time.Time{}
}

func (c *Core) readOK(now time.Time) {
	c.readable.Store(true)
	c.lastAnswerAt.Store(now.UnixNano())
	if c.election.readFailing {
		c.election.readFailing = false
		c.settings.Logger.Info().Msg("ledger: can be read again")
	}
	if c.election.readableSince.IsZero() {
		c.election.readableSince = now
	}
}

// applyClaim applies a claim to leadership. Claims of earlier terms, and all
// but the first claim of a term and its resignation, have no effect.
func (c *Core) applyClaim(now time.Time, value []byte) error {
	var cl claim
	if err := json.Unmarshal(value, &cl); err != nil {
		return err
	}
	if cl.Term < 1 || cl.Term > maxTerm {
		return errors.Errorf("claim of instance %q: term %d is not in 1..%d", cl.Instance, cl.Term, int64(maxTerm))
	}
	if cl.Term < c.election.term {
		return nil
	}
	if cl.Term == c.election.term && !cl.Resigned {
		return nil
	}
	c.election.term, c.election.leader = cl.Term, cl
	c.admission.term.Store(cl.Term)
	c.noteContact(now)
	own := cl.Instance == c.settings.Instance && cl.Incarnation == c.settings.Incarnation
	c.settings.Logger.Info().Int64("term", cl.Term).Str("instance", cl.Instance).Bool("resigned", cl.Resigned).Bool("mine", own).Msg("leader: claim read")
	if c.engine != nil && (!own || cl.Resigned) {
		c.stepDown(now, "another instance leads")
	}
	return nil
}

// holdsClaim reports whether the newest claim is this process's and is not
// resigned.
func (c *Core) holdsClaim() bool {
	leader := c.election.leader
	return leader.Instance == c.settings.Instance && leader.Incarnation == c.settings.Incarnation && !leader.Resigned && c.election.term > 0
}

// stepElection starts to lead if the newest claim is this process's, or stands
// for election when that is due. While it reloads, its claim may have been read
// before older records.
func (c *Core) stepElection(now time.Time) {
	if c.engine != nil || !c.ready.Load() || c.reloading || c.election.leaving {
		return
	}
	if c.holdsClaim() && c.election.term >= c.election.minTerm {
		c.startLeading(now)
		return
	}
	if c.election.readableSince.IsZero() || now.Before(c.election.nextCandidacyAt) {
		return
	}
	timeout := c.election.electionTimeout()
	wait := timeout
	switch {
	case c.election.term == 0:
		wait = initialElectionTimeout
	case c.election.leader.Resigned || c.leaderRestarted():
		wait = 0
	case c.election.leaderLostInOutage(now):
		wait = lostLeaderTimeout
	}
	since := c.election.lastContact
	if c.election.readableSince.After(since) && wait > 0 {
		since = c.election.readableSince
	}
	if now.Sub(since) < wait+c.candidacyRank()*candidacyStep || now.Sub(c.election.caughtUpAt) > timeout {
		return
	}
	c.standForElection(now)
}

// leaderRestarted reports whether the process that made the newest claim has
// ended: its instance has since registered another incarnation.
func (c *Core) leaderRestarted() bool {
	leader := c.election.leader
	member, ok := c.members[leader.Instance]
	if leader.Instance == c.settings.Instance {
		return leader.Incarnation != c.settings.Incarnation
	}
	return ok && member.Incarnation != leader.Incarnation
}

func hash32(parts ...string) uint32 {
	h := fnv.New32a()
	for _, p := range parts {
		h.Write([]byte(p)) // never fails
	}
	return h.Sum32()
}

// standForElection appends a claim for the next term. The candidacy has
// succeeded once the claim is read back from the ledger.
func (c *Core) standForElection(now time.Time) {
	c.election.nextCandidacyAt = now.Add(candidacyPause)
	term := max(c.election.term, c.election.minTerm) + 1
	record, err := encodeRecord(keyLeader, claim{Term: term, Instance: c.settings.Instance, Incarnation: c.settings.Incarnation})
	if err != nil {
		c.settings.Logger.Error().Err(err).Msg("leader: claim can't be encoded")
		return
	}
	c.settings.Logger.Info().Int64("term", term).Dur("silence", now.Sub(c.election.lastContact)).Int("probes-unanswered", c.election.probes.unanswered).Msg("leader: standing for election")
	c.parts.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, candidacyTimeout)
		defer cancel()
		_, err := c.settings.Log.Append(ctx, ledger.Producer{Name: leaderProducer, Epoch: term}, 1, []ledger.Record{record})
		if err == nil {
			return
		}
		c.post(func(now time.Time) {
			c.settings.Logger.Warn().Err(err).Int64("term", term).Msg("leader: candidacy failed")
			c.noteFence(err)
			c.election.nextCandidacyAt = now.Add(candidacyPause / 4)
		})
	})
}

// noteFence notes the epoch in force if the store refused an append as fenced.
func (c *Core) noteFence(err error) {
	var fenced *ledger.FencedError
	if errors.As(err, &fenced) {
		c.election.minTerm = max(c.election.minTerm, fenced.Epoch)
	}
}

// startLeading starts this instance's term. Its claim is in the ledger, so the
// store refuses appends of earlier leaders, and everything that they wrote
// before has been read.
func (c *Core) startLeading(now time.Time) {
	c.settings.Logger.Info().Int64("term", c.election.term).Int("jobs", len(c.jobs)).Msg("leader: term begins")
	c.engine = sched.New(c.settings.Params, now)
	c.passes = passStats{}
	c.restoreEstimates()
	c.appending = appendState{writer: c.leaderWriter(c.election.term), lastSentAt: now, estimatesAt: now}
	c.election.confirmedAt = c.settings.Uptime()
	c.election.nextTransferAt = now.Add(transferInterval)
	c.listing = listState{}
	c.relay = c.newRelayState()
	if conf := c.config.Load(); conf != nil {
		c.engine.SetConfig(conf)
		c.setConfigTime(now)
	}
	c.setPlacementClients()
	for _, id := range c.jobIDs() {
		c.engine.AddJob(now, c.jobs[id])
	}
	c.setLeading(true)
	c.settings.Meter.Count("leader_terms", "instance", c.settings.Instance, 1)
	c.decisionDue = true
}

// restoreEstimates passes the stored estimates of earlier leaders to the engine.
func (c *Core) restoreEstimates() {
	if len(c.estimates) == 0 {
		return
	}
	var estimates sched.Estimates
	if err := json.Unmarshal(c.estimates, &estimates); err != nil {
		c.settings.Logger.Error().Err(err).Msg("leader: stored estimates can't be decoded; starting without them")
		return
	}
	c.engine.RestoreEstimates(estimates)
}

func (c *Core) leaderWriter(term int64) *ledger.Writer {
	w := ledger.NewWriter(c.settings.Log, ledger.Producer{Name: leaderProducer, Epoch: term}, 1, c.settings.Now)
	w.OnUnanswered = func(err error, tries int) {
		c.settings.Logger.Warn().Err(err).Int("tries", tries).Msg("leader: append without an answer")
	}
	return w
}

// stepDown ends this instance's term. It drops decisions that are not stored,
// and reads the progress of all jobs from the ledger again.
func (c *Core) stepDown(now time.Time, why string) {
	c.settings.Logger.Warn().Int64("term", c.election.term).Str("why", why).Msg("leader: steps down")
	c.engine = nil
	c.setLeading(false)
	if c.appending.cancel != nil {
		c.appending.cancel()
	}
	c.appending = appendState{}
	c.relay.stop()
	c.relay = relayState{}
	for _, j := range c.jobs {
		j.Progress = flow.Progress{}
	}
	c.ready.Store(false)
	c.completeOffset = math.MaxInt64 // until the ledger reader has restarted
	c.reader.Restart()
	c.election.nextCandidacyAt = now.Add(candidacyPause)
}

// Resign resigns leadership, if this instance leads, and keeps it from standing
// for election again. It is for planned stops. It returns when the resignation
// is stored or ctx is done.
func (c *Core) Resign(ctx context.Context) {
	resigned := make(chan struct{})
	c.post(func(now time.Time) {
		c.election.leaving = true
		if c.engine == nil {
			close(resigned)
			return
		}
		c.appending.resigned = resigned
	})
	select {
	case <-resigned:
	case <-ctx.Done():
	case <-c.done:
	}
}
