package core

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/intake"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
)

// Errors of callers' calls. ErrNotExecuted means that the call had no effect
// and will have none.
var (
	ErrNotExecuted    = errors.New("the call was not carried out")
	ErrOutcomeUnknown = errors.New("it is not known whether the call was carried out")
	ErrJobNotFound    = errors.New("no such job")
	// ErrOtherCustomer means that the job's ID is that of another customer's job.
	ErrOtherCustomer = errors.New("the ID is that of another customer's job")
)

// Limits of callers' calls.
const (
	// storeTimeout is how long a call waits for the store before it fails. A
	// call that is already in an append then has an unknown outcome. Callers
	// wait three seconds.
	storeTimeout = 2 * time.Second
	// statusTimeout is how long a call waits for the ledger to be read to its
	// end.
	statusTimeout = 700 * time.Millisecond
	// maxStateAge is how old a number of pending jobs may be, and for how long
	// an instance that reads the ledger may not have reached its end before
	// peers are asked for the states of jobs.
	maxStateAge = 2 * time.Second
)

// Config returns the configuration in force, or nil before the first has been
// read.
func (c *Core) Config() *flow.Config { return c.config.Load() }

// Ready reports whether this instance can work for its peers: it has a
// configuration, a loop that makes progress and a store that accepts reads and
// appends, and if it is a replica its state is complete. A replica that is
// ready can serve callers without a peer.
func (c *Core) Ready() bool {
	if c.replica.Load() && !c.ready.Load() {
		return false
	}
	return c.config.Load() != nil && !c.stalled() && c.storeHealthy()
}

// IsLeader reports whether this instance leads.
func (c *Core) IsLeader() bool { return c.leading.Load() }

// Submit stores a job. It returns nil for a job that is known already. The
// error is a *RejectedError, ErrNotExecuted, ErrOutcomeUnknown or
// ErrOtherCustomer, or that of encoding the job.
func (c *Core) Submit(ctx context.Context, s *flow.Spec) error {
	if rejected := c.checkAdmission(ctx, s); rejected != nil {
		return rejected
	}
	if st, ok := c.index.Get(s.ID); ok {
		if by := (keys.Caller{Customer: s.Customer, Check: c.customersOn()}); !by.HasAccess(st.Customer) {
			return ErrOtherCustomer
		}
		return nil
	}
	data, err := flow.EncodeSpec(s)
	if err != nil {
		return errors.Wrap(err, "encode job")
	}
	err = c.store(ctx, ledger.Record{Key: keySpec + s.ID, Value: data})
	if err == nil && c.answering.Load() {
		c.index.Add(s.ID, flow.Status{Queue: s.Queue, ConfigVersion: s.ConfigVersion, Customer: s.Customer})
	}
	event := c.settings.Logger.Info().Str("job", s.ID).Str("queue", s.Queue).Int64("config", s.ConfigVersion)
	if s.Customer != "" {
		event.Str("customer", s.Customer)
	}
	event.AnErr("refusal", err).Msg("intake: submit")
	return err
}

// Cancel stores the cancellation of a job. It does nothing for a job in a final
// state. The error is ErrJobNotFound, also for a job to which the caller has no
// access, ErrNotExecuted or ErrOutcomeUnknown.
func (c *Core) Cancel(ctx context.Context, id string, by keys.Caller) error {
	st, err := c.Status(ctx, id, by)
	if err != nil {
		return err
	}
	if st.State.Final() {
		return nil
	}
	err = c.store(ctx, ledger.Record{Key: keyCancel + id, Value: []byte{1}})
	if err == nil {
		c.markCanceled(id)
	}
	c.settings.Logger.Info().Str("job", id).AnErr("refusal", err).Msg("intake: cancel")
	return err
}

func (c *Core) markCanceled(id string) {
	if st, ok := c.index.Get(id); ok && !st.State.Final() {
		st.State = flow.Canceled
		c.index.Put(id, st)
	}
}

func (c *Core) store(ctx context.Context, r ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := c.intake.Store(ctx, r)
	switch {
	case errors.Is(err, intake.ErrNotStored):
		return ErrNotExecuted
	case err != nil:
		return ErrOutcomeUnknown
	}
	return nil
}

// current reports whether this instance's state is complete and, at the given
// uptime, no older than maxStateAge.
func (c *Core) current(uptime time.Duration) bool {
	return c.ready.Load() && uptime-time.Duration(c.currentAt.Load()) <= maxStateAge
}

// behind reports whether this instance can't read the ledger, or has not yet
// read what was appended while it could not.
func (c *Core) behind(uptime time.Duration) bool {
	return !c.readable.Load() || !c.current(uptime)
}

// CurrentStatus is Status for peers that ask because they are behind. If this
// instance is behind too, the error is ErrNotExecuted unless the job's state is
// final.
func (c *Core) CurrentStatus(ctx context.Context, id string, by keys.Caller) (flow.Status, error) {
	st, err := c.Status(ctx, id, by)
	if err == nil && !st.State.Final() && c.behind(c.settings.Uptime()) {
		return flow.Status{}, ErrNotExecuted
	}
	return st, err
}

// Status returns a job's status. For a job that is not known it first reads the
// ledger to its end. The error is ErrJobNotFound, also for a job to which the
// caller has no access, or ErrNotExecuted if the ledger can't be read in time.
func (c *Core) Status(ctx context.Context, id string, by keys.Caller) (flow.Status, error) {
	return accessible(by)(c.status(ctx, id))
}

// accessible returns a function that replaces the status of a job to which the
// caller has no access by ErrJobNotFound.
func accessible(by keys.Caller) func(flow.Status, error) (flow.Status, error) {
	return func(st flow.Status, err error) (flow.Status, error) {
		if err == nil && !by.HasAccess(st.Customer) {
			return flow.Status{}, ErrJobNotFound
		}
		return st, err
	}
}

func (c *Core) status(ctx context.Context, id string) (flow.Status, error) {
	if st, ok := c.index.Get(id); ok {
		return st, nil
	}
	if !c.replica.Load() {
		return flow.Status{}, ErrNotExecuted
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if err := c.reader.Sync(ctx); err != nil || !c.ready.Load() {
		return flow.Status{}, ErrNotExecuted
	}
	// The batch that Sync waited for is queued for the loop ahead of this
	// function, so it has been applied when the function runs.
	applied := make(chan struct{})
	c.post(func(time.Time) { close(applied) })
	select {
	case <-applied:
	case <-ctx.Done():
		return flow.Status{}, ErrNotExecuted
	case <-c.done:
		return flow.Status{}, ErrNotExecuted
	}
	if st, ok := c.index.Get(id); ok {
		return st, nil
	}
	return flow.Status{}, ErrJobNotFound
}

// PendingJobs returns the number of accepted jobs of a queue that wait for
// their first start. The error is ErrNotExecuted if the number known here is
// older than maxStateAge.
func (c *Core) PendingJobs(queue string) (int, error) {
	if !c.current(c.settings.Uptime()) {
		return 0, ErrNotExecuted
	}
	return c.index.Pending(queue), nil
}
