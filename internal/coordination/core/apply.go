package core

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// applyBatch applies what one read of the ledger returned.
func (c *Core) applyBatch(now time.Time, b ledger.Batch) {
	if b.Err != nil {
		c.readFailed(now, b.Err)
		return
	}
	c.readOK(now)
	if b.AfterSilence {
		c.retryAppends()
	}
	if b.Reset {
		c.completeOffset, c.reloading = b.CompleteOffset, true
		clear(c.earlyCancels)
		c.dropRemovedJobs(b.Records)
		c.settings.Logger.Info().Int("records", len(b.Records)).Int64("next", b.NextOffset).Msg("ledger: loaded the newest record of each key")
	}
	for _, r := range b.Records {
		c.applyRecord(now, r)
	}
	if b.CaughtUp && b.NextOffset >= c.completeOffset {
		c.currentAt.Store(int64(b.SentUptime))
		c.reloading = false
		c.ready.Store(true)
		c.answering.Store(true)
		c.election.caughtUpAt = now
	}
	if len(b.Records) > 0 {
		c.decisionDue = true
	}
}

// retryAppends makes the appends under way try again at once. Those that were
// lost in an outage of the store get no answer, and repeats of them become rare
// while it lasts.
func (c *Core) retryAppends() {
	c.intake.RetryNow()
	if c.appending.writer != nil {
		c.appending.writer.RetryNow()
	}
}

// dropRemovedJobs drops the known jobs of which loaded, the newest record of each
// key, contains no spec. They were removed by records that this instance has not
// read. Every known job was in the ledger before the load began, so one that is
// not removed has its spec in loaded.
func (c *Core) dropRemovedJobs(loaded []ledger.Record) {
	stored := make(map[string]bool, len(c.jobs))
	for _, r := range loaded {
		if prefix, id := splitKey(r.Key); prefix == keySpec {
			stored[id] = true
		}
	}
	for id := range c.jobs {
		if !stored[id] {
			c.dropJob(id)
		}
	}
}

func (c *Core) dropJob(id string) {
	delete(c.jobs, id)
	c.index.Remove(id)
}

// applyRecord applies one record. It skips records that can't be decoded, which
// other writers may have appended.
func (c *Core) applyRecord(now time.Time, r ledger.Record) {
	var err error
	switch prefix, name := splitKey(r.Key); prefix {
	case keySpec:
		err = c.applySpec(now, name, r.Value)
	case keyProgress:
		c.noteContact(now)
		err = c.applyProgress(name, r.Value)
	case keyCancel:
		c.applyCancel(now, name, r.Value)
	case keyLeader:
		err = c.applyClaim(now, r.Value)
	case keyHeartbeat:
		c.noteContact(now)
	case keyEstimates:
		c.estimates = r.Value
	case keyLoad:
		err = c.applyLoad(r.Value)
	}
	if err != nil {
		c.settings.Logger.Error().Err(err).Str("key", r.Key).Msg("ledger: skipping a record that can't be decoded")
	}
}

func (c *Core) applySpec(now time.Time, id string, value []byte) error {
	if len(value) == 0 {
		c.dropJob(id)
		return nil
	}
	if c.jobs[id] != nil {
		return nil
	}
	spec, err := flow.DecodeSpec(value)
	if err != nil {
		return err
	}
	j := &flow.Job{Spec: spec, Canceled: c.earlyCancels[id]}
	delete(c.earlyCancels, id)
	c.jobs[id] = j
	st := flow.Status{Queue: spec.Queue, ConfigVersion: spec.ConfigVersion, Customer: spec.Customer}
	if j.Canceled {
		st.State = flow.Canceled
	}
	c.index.Add(id, st)
	if j.Canceled {
		c.index.Put(id, st)
	}
	if c.engine != nil {
		c.engine.AddJob(now, j)
	}
	return nil
}

func (c *Core) applyProgress(id string, value []byte) error {
	j := c.jobs[id]
	if j == nil || c.engine != nil || len(value) == 0 {
		// The leader ignores progress records, since its engine already has the
		// progress that they contain.
		return nil
	}
	p, err := flow.DecodeProgress(value)
	if err != nil {
		return err
	}
	if err := p.CheckShape(j.Spec); err != nil {
		return err
	}
	j.Progress = p
	st := p.State
	if j.Canceled && !st.Final() {
		st = flow.Canceled
	}
	if p.State.Final() && len(p.Rounds) == 0 {
		j.Payload = ""
	}
	c.index.Put(id, flow.Status{Queue: j.Queue, State: st})
	return nil
}

func (c *Core) applyCancel(now time.Time, id string, value []byte) {
	j := c.jobs[id]
	if len(value) == 0 || (j != nil && j.Canceled) {
		return
	}
	if j == nil {
		// A load returns the newest records in the order of their keys, in
		// which a cancellation comes before the spec of its job.
		c.earlyCancels[id] = true
		return
	}
	j.Canceled = true
	if st, ok := c.index.Get(id); ok && !st.State.Final() {
		st.State = flow.Canceled
		c.index.Put(id, st)
	}
	if c.engine != nil {
		c.engine.Cancel(now, id)
	}
}
