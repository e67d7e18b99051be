package core

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/admit"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
)

// Limits of calls to replicas by an instance that is none.
const (
	// replicaTimeout is how long one replica may take. Callers wait three
	// seconds.
	replicaTimeout = 900 * time.Millisecond
	// maxReplicaSilence is the time without an answer of any replica after which
	// an instance that is none is not ready. Replicas are probed each second.
	maxReplicaSilence = 3500 * time.Millisecond
)

// replicaCalls is what an instance knows of the replicas that it has called. It
// is safe for concurrent use. The zero value knows nothing.
type replicaCalls struct {
	mu         sync.Mutex      // guards the fields below
	failed     map[string]bool // replicas whose last call or probe failed, by address
	answeredAt time.Time       // of any replica
	breaker    admit.Breaker   // of calls that need the store
}

// tries returns at how many replicas a call that needs the store may be tried, and
// how many tries in a row have been in vain.
func (r *replicaCalls) tries(now time.Time) (tries, inVain int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaker.Tries(now), r.breaker.InVain
}

// noteTry records whether a replica has carried out a call that needs the store.
func (r *replicaCalls) noteTry(ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaker.Note(ok)
}

// note records whether a replica has answered.
func (r *replicaCalls) note(addr string, ok bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		delete(r.failed, addr)
		r.answeredAt = now
		return
	}
	if r.failed == nil {
		r.failed = map[string]bool{}
	}
	r.failed[addr] = true
}

// forget makes a replica count as one that has not been called yet.
func (r *replicaCalls) forget(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.failed, addr)
}

func (r *replicaCalls) answeredSince(t time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answeredAt.After(t)
}

// failing reports whether the last call of the replica failed.
func (r *replicaCalls) failing(addr string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed[addr]
}

// replicaNames returns the sorted names of the other replicas.
func (c *Core) replicaNames() []string {
	var names []string
	for name, m := range c.members {
		if m.Replica && name != c.settings.Instance {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// replicaTargets returns the addresses of the replicas to call, in order: those
// of this failure domain first, each instance with another one in front, and
// those that failed their last call last.
func (c *Core) replicaTargets() []string {
	peers := c.peers.Load()
	if peers == nil {
		return nil
	}
	type target struct {
		addr           string
		failing, local bool
		hash           uint32
	}
	var list []target
	for name, p := range *peers {
		if p.Replica && name != c.settings.Instance {
			list = append(list, target{p.Addr, c.replicas.failing(p.Addr), p.Domain == c.settings.Domain, hash32(c.settings.Instance, name)})
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		switch {
		case a.failing != b.failing:
			return b.failing
		case a.local != b.local:
			return a.local
		}
		return a.hash < b.hash
	})
	var addrs []string
	for _, t := range list[:min(admit.MaxTries, len(list))] {
		addrs = append(addrs, t.addr)
	}
	return addrs
}

// storeThroughReplica makes a call that needs the store, as callReplica does. While
// all replicas refuse such calls, most are refused without being tried.
func (c *Core) storeThroughReplica(ctx context.Context, operation, id string, call func(ctx context.Context, addr string) error) (tried bool, err error) {
	tries, inVain := c.replicas.tries(c.settings.Now())
	if tries == 0 {
		c.settings.Meter.Count("refused_untried", "call", operation, 1)
		c.settings.Logger.Info().Str("job", id).Str("call", operation).Int("tries-in-vain", inVain).Msg("core: call refused untried")
		return false, ErrNotExecuted
	}
	return true, c.callReplica(ctx, operation, id, tries, func(ctx context.Context, addr string) error {
		err := call(ctx, addr)
		c.replicas.noteTry(!notDone(err))
		return err
	})
}

// notDone reports whether a call was not carried out, as far as is known, for a
// reason that another instance may not have.
func notDone(err error) bool {
	return errors.Is(err, ErrNotExecuted) || errors.Is(err, ErrOutcomeUnknown)
}

// callReplica makes a call at one replica after another, at most at the given
// number, until one carries it out or knows that it can't be. A repeated call does
// no harm, since all calls are idempotent by job ID. If none does, it returns
// ErrOutcomeUnknown if the outcome of any call is unknown, and else ErrNotExecuted.
func (c *Core) callReplica(ctx context.Context, operation, id string, tries int, call func(ctx context.Context, addr string) error) error {
	unknown := false
	targets := c.replicaTargets()
	for _, addr := range targets[:min(tries, len(targets))] {
		ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
		err := call(ctx, addr)
		cancel()
		failed := notDone(err)
		c.replicas.note(addr, !failed, c.settings.Now())
		if !failed {
			return certain(err, unknown)
		}
		c.settings.Logger.Info().Str("job", id).Str("call", operation).Str("peer", addr).AnErr("refusal", err).Msg("core: replica did not carry out a call")
		unknown = unknown || errors.Is(err, ErrOutcomeUnknown)
	}
	if unknown {
		return ErrOutcomeUnknown
	}
	return ErrNotExecuted
}

// submitThroughReplica submits a job through a replica, which appends it
// together with others. If none carries it out and the store answers this
// instance, it appends the job itself.
func (c *Core) submitThroughReplica(ctx context.Context, s *flow.Spec) error {
	tried, err := c.storeThroughReplica(ctx, "submit", s.ID, func(ctx context.Context, addr string) error { return c.settings.Peers.Submit(ctx, addr, s) })
	if !notDone(err) || !tried || !c.storeAnswers(ctx) {
		return err
	}
	own := c.Submit(ctx, s)
	c.replicas.noteTry(own == nil)
	if own == nil || errors.Is(err, ErrNotExecuted) {
		return own
	}
	return err
}

// storeAnswers reports whether the store answers this instance now. Its last
// successful read may be seconds old, and an append without an answer leaves the
// caller with an unknown outcome.
func (c *Core) storeAnswers(ctx context.Context) bool {
	if !c.storeHealthy() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := c.settings.Log.Read(ctx, 0, 1, 0)
	var expired *ledger.ExpiredError
	return err == nil || errors.As(err, &expired)
}

// statusThroughReplica returns a job's status as a replica knows it.
func (c *Core) statusThroughReplica(ctx context.Context, id string, by keys.Caller) (st flow.Status, err error) {
	err = c.callReplica(ctx, "status", id, admit.MaxTries, func(ctx context.Context, addr string) error {
		var err error
		st, err = accessible(by)(c.settings.Peers.Status(ctx, addr, id, by))
		return err
	})
	return st, err
}

// PendingJobsOrForward is PendingJobs of this instance or, if it is not a
// replica, of one.
func (c *Core) PendingJobsOrForward(ctx context.Context, queue string) (n int, err error) {
	if c.answering.Load() {
		return c.PendingJobs(queue)
	}
	err = c.callReplica(ctx, "pending", "", admit.MaxTries, func(ctx context.Context, addr string) error {
		var err error
		n, err = c.settings.Peers.Pending(ctx, addr, queue)
		return err
	})
	return n, err
}

// IsReplica reports whether this instance holds the state of all jobs, or loads
// it.
func (c *Core) IsReplica() bool { return c.replica.Load() }
