package core

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
)

// Keys returns the configuration in force with the proof for it, or nil before the
// first configuration has been read.
func (c *Core) Keys() *keys.View { return c.keys.Load() }

// CheckKey decides on a call of a queue that has arrived as a whole and carries a
// key, or none if key is empty. v must have been loaded before.
func (c *Core) CheckKey(v *keys.View, q *flow.Queue, key string) keys.Decision {
	return v.Decide(q, key, c.settings.Uptime(), c.settings.Keys)
}

// NoteKey counts a call that was decided on by CheckKey, and logs it if it is
// refused.
func (c *Core) NoteKey(q *flow.Queue, d keys.Decision) {
	c.settings.Meter.Count("keyed_calls", "outcome", d.Outcome.String(), 1)
	if !d.Refused() {
		return
	}
	customer := "unknown"
	if d.Customer != nil {
		customer = d.Customer.Name
	}
	c.settings.Logger.Info().Str("queue", q.Name).Str("customer", customer).Str("outcome", d.Outcome.String()).Msg("keys: call refused")
}

// ProofAge returns the age of the proof that the configuration in force is the
// newest, and whether there is one.
func (c *Core) ProofAge() (time.Duration, bool) {
	v := c.keys.Load()
	if v == nil {
		return 0, false
	}
	return v.Proof.Age(c.settings.Uptime())
}

// customersOn reports whether the configuration in force has customers.
func (c *Core) customersOn() bool {
	cfg := c.config.Load()
	return cfg != nil && cfg.CustomersOn
}

// noteConfigRecord takes note of a record of the configuration log, of which conf
// and err are the results of decoding it. While the newest configuration can't be
// decoded, nothing proves that the one in force is right.
func (c *Core) noteConfigRecord(conf *flow.Config, err error) {
	old := c.config.Load()
	switch {
	case err != nil:
		c.configUnreadable = true
	case conf != nil && (old == nil || conf.Version >= old.Version):
		c.configUnreadable = false
	}
}

// setKeys makes conf the configuration by which keys are decided on. The proof
// stays: the read that showed conf was sent after the one that it stems from.
func (c *Core) setKeys(conf *flow.Config) {
	next := &keys.View{Table: keys.NewTable(conf)}
	if old := c.keys.Load(); old != nil {
		next.Proof = old.Proof
	}
	c.keys.Store(next)
}

// updateProof renews or ends the proof after the records of a batch of the
// configuration log have been applied.
func (c *Core) updateProof(b ledger.Batch) {
	old := c.keys.Load()
	if old == nil {
		return
	}
	next := &keys.View{Table: old.Table, Proof: old.Proof}
	switch {
	case c.configUnreadable:
		next.Proof = keys.Proof{}
	case b.Err == nil && b.CaughtUp:
		next.Proof = keys.Proof{Valid: true, SentAt: b.SentUptime}
	}
	c.keys.Store(next)
	if !next.Config.CustomersOn {
		return
	}
	if age, ok := c.ProofAge(); ok {
		c.settings.Meter.Gauge("config_proof_age_ms", float64(age.Milliseconds()))
	}
}

// setConfigTime tells the engine as of when the configuration is known, if there is
// a proof. The uptime is read after now, so a freeze in between makes the
// configuration look older than it is.
func (c *Core) setConfigTime(now time.Time) {
	if age, ok := c.ProofAge(); ok {
		c.engine.SetConfigTime(now.Add(-age))
	}
}
