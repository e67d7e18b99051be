package core

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/intake"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Outcomes of callers' calls.
var (
	ErrNotRun  = errors.New("the call was not carried out")
	ErrUnknown = errors.New("it is not known whether the call was carried out")
	ErrNoJob   = errors.New("no such job")
)

// Bounds of callers' calls.
const (
	// storeWait is how long a call waits for a slow store before its caller is told
	// that the outcome is not known: callers wait three seconds.
	storeWait = 2 * time.Second
	// lookWait is the same for reading the ledger's end.
	lookWait = 700 * time.Millisecond
)

// Config gives the configuration in force, nil before the first.
func (c *Core) Config() *flow.Config { return c.config.Load() }

// Ready reports whether this instance can serve callers by itself.
func (c *Core) Ready() bool {
	return c.config.Load() != nil && c.ready.Load() && c.storeWell()
}

// Leads reports whether this instance leads.
func (c *Core) Leads() bool { return c.leads.Load() }

// Submit stores a job. A job that is known already is accepted again. The error
// is ErrNotRun or ErrUnknown.
func (c *Core) Submit(ctx context.Context, s *flow.Spec) error {
	if _, ok := c.index.Get(s.ID); ok {
		return nil
	}
	data, err := flow.EncodeSpec(s)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	err = c.store(ctx, ledger.Record{Key: keySpec + s.ID, Value: data})
	if err == nil {
		c.index.Add(s.ID, flow.Status{Queue: s.Queue})
	}
	c.set.Logger.Info().Str("job", s.ID).Str("queue", s.Queue).AnErr("refusal", err).Msg("intake: submit")
	return err
}

// Cancel stores that a job is cancelled. The error is ErrNoJob, ErrNotRun or
// ErrUnknown.
func (c *Core) Cancel(ctx context.Context, id string) error {
	st, err := c.Status(ctx, id)
	if err != nil {
		return err
	}
	if st.State.Final() {
		return nil
	}
	err = c.store(ctx, ledger.Record{Key: keyCancel + id, Value: []byte{1}})
	if err == nil {
		c.cancelled(id)
	}
	c.set.Logger.Info().Str("job", id).AnErr("refusal", err).Msg("intake: cancel")
	return err
}

func (c *Core) cancelled(id string) {
	if st, ok := c.index.Get(id); ok && !st.State.Final() {
		st.State = flow.Canceled
		c.index.Put(id, st)
	}
}

func (c *Core) store(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	err := c.intake.Store(ctx, r)
	switch {
	case errors.Is(err, intake.ErrRefused):
		return ErrNotRun
	case err != nil:
		return ErrUnknown
	}
	return nil
}

// Status gives a job's state. The error is ErrNoJob, or ErrNotRun if that can't
// be said now.
func (c *Core) Status(ctx context.Context, id string) (flow.Status, error) {
	if st, ok := c.index.Get(id); ok {
		return st, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookWait)
	defer cancel()
	if err := c.tail.Sync(ctx); err != nil || !c.ready.Load() {
		return flow.Status{}, ErrNotRun
	}
	// The batch that Sync waited for is taken by the loop; its turn comes before
	// this call's.
	taken := make(chan struct{})
	c.post(func(time.Time) { close(taken) })
	select {
	case <-taken:
	case <-ctx.Done():
		return flow.Status{}, ErrNotRun
	case <-c.done:
		return flow.Status{}, ErrNotRun
	}
	if st, ok := c.index.Get(id); ok {
		return st, nil
	}
	return flow.Status{}, ErrNoJob
}

// Pending gives how many accepted jobs of a queue wait for their first start.
func (c *Core) Pending(queue string) int { return c.index.Pending(queue) }
