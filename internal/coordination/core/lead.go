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

// Bounds of leadership.
const (
	// beatEvery is the longest time between two appends of a leader.
	beatEvery = 250 * time.Millisecond
	// leastSilence and mostSilence bound how long the ledger may be read without a
	// sign of the leader before others bid; in between it is silenceSlack and
	// silenceGaps times the usual time between two signs. The longest is four
	// beats, the shortest a few answers of the store.
	leastSilence = 400 * time.Millisecond
	mostSilence  = 1000 * time.Millisecond
	silenceSlack = 200 * time.Millisecond
	silenceGaps  = 3
	// gapDecay is the share by which the longest recent time between two signs
	// shrinks with each further sign.
	gapDecay = 16
	// startSilence is how long the ledger is read first if there has been no leader.
	startSilence = 300 * time.Millisecond
	// rankStep keeps the bids of instances apart by a few answers of the store.
	rankStep  = 40 * time.Millisecond
	rankSteps = 8
	// bidTimeout bounds one bid.
	bidTimeout = time.Second
	// bidPause is the pause after a bid.
	bidPause = 1500 * time.Millisecond
)

// leadership is what an instance knows of who leads.
type leadership struct {
	term     int64         // of the newest claim
	minTerm  int64         // the store has seen this epoch
	owner    claim         // of the newest claim
	heardAt  time.Time     // of the newest sign of the leader
	gap      time.Duration // longest recent time between two signs
	okSince  time.Time     // since when the ledger has been read without a failure
	caughtUp time.Time     // when the ledger was last read to its end
	bidAt    time.Time
	failing  bool
	leaving  bool

	handBackAt   time.Time // of the next look for a fitter machine
	handBackTurn int

	confirmed time.Duration // uptime at which the newest stored append was sent
}

// heard notes a sign of the leader. Signs that came with one read count as one.
func (c *Core) heard(now time.Time) {
	l := &c.lead
	if gap := now.Sub(l.heardAt); gap > 0 {
		l.gap = max(min(gap, mostSilence), l.gap-l.gap/gapDecay)
	}
	l.heardAt = now
}

// silence gives how long no sign of the leader may be read before others bid.
func (l *leadership) silence() time.Duration {
	return max(leastSilence, min(mostSilence, silenceSlack+silenceGaps*l.gap))
}

func (c *Core) readFailed(now time.Time, err error) {
	var expired *ledger.ExpiredError
	if errors.As(err, &expired) {
		c.set.Logger.Warn().Err(err).Msg("ledger: records have expired; reading anew")
		return
	}
	c.reads.Store(false)
	if !c.lead.failing {
		c.lead.failing = true
		c.set.Logger.Warn().Err(err).Msg("ledger: can't be read")
	}
	c.lead.okSince = time.Time{}
}

func (c *Core) readOK(now time.Time) {
	c.reads.Store(true)
	c.answeredAt.Store(now.UnixNano())
	if c.lead.failing {
		c.lead.failing = false
		c.set.Logger.Info().Msg("ledger: can be read again")
	}
	if c.lead.okSince.IsZero() {
		c.lead.okSince = now
	}
}

// applyClaim takes the record of who leads.
func (c *Core) applyClaim(now time.Time, value []byte) error {
	var cl claim
	if err := json.Unmarshal(value, &cl); err != nil {
		return err
	}
	if cl.Term < c.lead.term {
		return nil
	}
	if cl.Term == c.lead.term && !cl.Resigned {
		return nil
	}
	c.lead.term, c.lead.owner = cl.Term, cl
	c.heard(now)
	mine := cl.Instance == c.set.Instance && cl.Life == c.set.Life
	c.set.Logger.Info().Int64("term", cl.Term).Str("instance", cl.Instance).Bool("resigned", cl.Resigned).Bool("mine", mine).Msg("leader: claim read")
	if c.engine != nil && (!mine || cl.Resigned) {
		c.stepDown(now, "another instance leads")
	}
	return nil
}

// mine reports whether the newest claim is this process's.
func (c *Core) mine() bool {
	o := c.lead.owner
	return o.Instance == c.set.Instance && o.Life == c.set.Life && !o.Resigned && c.lead.term > 0
}

// stepLead takes the lead, or bids for it, when that is due.
func (c *Core) stepLead(now time.Time) {
	if c.engine != nil || !c.ready.Load() || c.lead.leaving {
		return
	}
	if c.mine() && c.lead.term >= c.lead.minTerm {
		c.begin(now)
		return
	}
	if c.lead.okSince.IsZero() || now.Before(c.lead.bidAt) {
		return
	}
	silence := c.lead.silence()
	wait := silence
	switch {
	case c.lead.term == 0:
		wait = startSilence
	case c.lead.owner.Resigned || c.ownerGone():
		wait = 0
	}
	since := c.lead.heardAt
	if c.lead.okSince.After(since) && wait > 0 {
		since = c.lead.okSince
	}
	if now.Sub(since) < wait+c.rank()*rankStep || now.Sub(c.lead.caughtUp) > silence {
		return
	}
	c.bid(now)
}

// ownerGone reports whether the process that made the newest claim has ended: its
// instance has registered another one since.
func (c *Core) ownerGone() bool {
	o := c.lead.owner
	m, ok := c.members[o.Instance]
	if o.Instance == c.set.Instance {
		return o.Life != c.set.Life
	}
	return ok && m.Life != o.Life
}

func hash32(parts ...string) uint32 {
	h := fnv.New32a()
	for _, p := range parts {
		h.Write([]byte(p)) // never fails
	}
	return h.Sum32()
}

// bid appends a claim. Whether it won shows when the claim is read back.
func (c *Core) bid(now time.Time) {
	c.lead.bidAt = now.Add(bidPause)
	term := max(c.lead.term, c.lead.minTerm) + 1
	rec, err := encodeRecord(keyLeader, claim{Term: term, Instance: c.set.Instance, Life: c.set.Life})
	if err != nil {
		c.set.Logger.Error().Err(err).Msg("leader: the claim can't be encoded")
		return
	}
	c.set.Logger.Info().Int64("term", term).Dur("silence", now.Sub(c.lead.heardAt)).Msg("leader: bid")
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, bidTimeout)
		defer cancel()
		_, err := c.set.Log.Append(ctx, ledger.Producer{Name: leaderProducer, Epoch: term}, 1, []ledger.Record{rec})
		if err == nil {
			return
		}
		c.post(func(now time.Time) {
			c.set.Logger.Warn().Err(err).Int64("term", term).Msg("leader: bid failed")
			c.noteFence(err)
			c.lead.bidAt = now.Add(bidPause / 4)
		})
	})
}

func (c *Core) noteFence(err error) {
	var fenced *ledger.FencedError
	if errors.As(err, &fenced) {
		c.lead.minTerm = max(c.lead.minTerm, fenced.Epoch)
	}
}

// begin starts to lead: the claim stands in the ledger, so no earlier leader can
// write any more, and all that they wrote before it has been read.
func (c *Core) begin(now time.Time) {
	c.set.Logger.Info().Int64("term", c.lead.term).Int("jobs", len(c.jobs)).Msg("leader: begins")
	c.engine = sched.New(c.set.Params, now)
	c.teach()
	c.append = appending{writer: c.leaderWriter(c.lead.term), lastAt: now, learnedAt: now}
	c.lead.confirmed = c.set.Uptime()
	c.lead.handBackAt = now.Add(handBackEvery)
	c.listing = listing{}
	c.relay = c.newRelaying()
	if conf := c.config.Load(); conf != nil {
		c.engine.SetConfig(conf)
	}
	c.setCallers()
	for _, id := range c.jobIDs() {
		c.engine.AddJob(now, c.jobs[id])
	}
	c.leads.Store(true)
	c.set.Meter.Count("leader_terms", "instance", c.set.Instance, 1)
	c.changed = true
}

// teach tells the engine what earlier leaders have learned.
func (c *Core) teach() {
	if len(c.learned) == 0 {
		return
	}
	var l sched.Learned
	if err := json.Unmarshal(c.learned, &l); err != nil {
		c.set.Logger.Error().Err(err).Msg("leader: what earlier leaders learned can't be read; it is passed over")
		return
	}
	c.engine.Teach(l)
}

func (c *Core) leaderWriter(term int64) *ledger.Writer {
	w := ledger.NewWriter(c.set.Log, ledger.Producer{Name: leaderProducer, Epoch: term}, 1, c.set.Now)
	w.Unsure = func(err error, tries int) {
		c.set.Logger.Warn().Err(err).Int("tries", tries).Msg("leader: append without an answer")
	}
	return w
}

// stepDown stops leading. What was decided but not stored is forgotten, and the
// jobs' progress is read anew.
func (c *Core) stepDown(now time.Time, why string) {
	c.set.Logger.Warn().Int64("term", c.lead.term).Str("why", why).Msg("leader: steps down")
	c.engine = nil
	c.leads.Store(false)
	if c.append.cancel != nil {
		c.append.cancel()
	}
	c.append = appending{}
	c.relay.stop()
	c.relay = relaying{}
	for _, j := range c.jobs {
		j.Progress = flow.Progress{}
	}
	c.ready.Store(false)
	c.settled = math.MaxInt64 // until the reader has begun anew
	c.tail.Restart()
	c.lead.bidAt = now.Add(bidPause)
}

// Leave gives up the lead, as a planned stop does, and returns when the record
// is stored or ctx ends.
func (c *Core) Leave(ctx context.Context) {
	left := make(chan struct{})
	c.post(func(now time.Time) {
		c.lead.leaving = true
		if c.engine == nil {
			close(left)
			return
		}
		c.append.resign = left
	})
	select {
	case <-left:
	case <-ctx.Done():
	case <-c.done:
	}
}
