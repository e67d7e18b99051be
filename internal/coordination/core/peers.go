package core

import (
	"context"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
)

// PeerCalls holds the calls to other instances. They return the errors of this
// package.
type PeerCalls struct {
	Submit func(ctx context.Context, addr string, s *flow.Spec) error
	Cancel func(ctx context.Context, addr, id string, by keys.Caller) error
	Status func(ctx context.Context, addr, id string, by keys.Caller) (flow.Status, error)
	// Pending returns the number of pending jobs of a queue.
	Pending func(ctx context.Context, addr, queue string) (int, error)
	// Ready reports whether the instance can serve callers now. The error is that
	// of a call without an answer.
	Ready func(ctx context.Context, addr string) (bool, error)
}

// Limits of forwarding calls to peers.
const (
	maxForwards    = 2 // peers tried for one call, one after another
	forwardTimeout = 900 * time.Millisecond
	// probeTimeout bounds a readiness probe. A peer is probed before a call is
	// forwarded to it, since a peer that is cut off would leave the caller with
	// an unknown outcome.
	probeTimeout = 150 * time.Millisecond
	// probeTTL is how long the result of a probe is used.
	probeTTL = 300 * time.Millisecond
)

// SubmitOrForward submits a job from this instance or, if this instance can't
// store it or has no state, through a peer. The errors are those of Submit.
func (c *Core) SubmitOrForward(ctx context.Context, s *flow.Spec) error {
	if !c.answering.Load() {
		return c.submitThroughReplica(ctx, s)
	}
	err := ErrNotExecuted
	if c.storeHealthy() {
		err = c.Submit(ctx, s)
	}
	return c.forwardToPeers(ctx, "submit", s.ID, err, func(ctx context.Context, addr string) error {
		err := c.settings.Peers.Submit(ctx, addr, s)
		if err == nil && !c.customersOn() {
			c.index.Add(s.ID, flow.Status{Queue: s.Queue, ConfigVersion: s.ConfigVersion, Customer: s.Customer})
		}
		return err
	})
}

// storeHealthy reports whether this instance's recent reads and appends
// succeeded. If not, calls are not tried here, since an append without an
// answer leaves the caller with an unknown outcome.
func (c *Core) storeHealthy() bool { return c.readable.Load() && c.intake.Healthy() }

// CancelOrForward cancels a job from this instance or through a peer, as
// SubmitOrForward submits one. The errors are those of Cancel.
func (c *Core) CancelOrForward(ctx context.Context, id string, by keys.Caller) error {
	if !c.answering.Load() {
		_, err := c.storeThroughReplica(ctx, "cancel", id, func(ctx context.Context, addr string) error { return c.settings.Peers.Cancel(ctx, addr, id, by) })
		return err
	}
	err := ErrNotExecuted
	if c.storeHealthy() {
		err = c.Cancel(ctx, id, by)
	}
	return c.forwardToPeers(ctx, "cancel", id, err, func(ctx context.Context, addr string) error {
		err := c.settings.Peers.Cancel(ctx, addr, id, by)
		if err == nil {
			c.markCanceled(id)
		}
		return err
	})
}

// StatusOrForward returns a job's status from this instance or, if this
// instance can't determine it, from a peer. An instance that is behind asks a
// peer even if it has a status of the job, since that may be stale. The errors
// are those of Status, or ErrOutcomeUnknown.
func (c *Core) StatusOrForward(ctx context.Context, id string, by keys.Caller) (flow.Status, error) {
	if !c.answering.Load() {
		return c.statusThroughReplica(ctx, id, by)
	}
	st, err := c.Status(ctx, id, by)
	if err == nil && !st.State.Final() && c.behind(c.settings.Uptime()) {
		return c.statusFromPeers(ctx, id, by, st), nil
	}
	err = c.forwardToPeers(ctx, "status", id, err, func(ctx context.Context, addr string) error {
		var err error
		st, err = accessible(by)(c.settings.Peers.Status(ctx, addr, id, by))
		return err
	})
	return st, err
}

// statusFromPeers returns a job's status as known by a peer that is ready and
// not behind, or st if no such peer answers.
func (c *Core) statusFromPeers(ctx context.Context, id string, by keys.Caller, st flow.Status) flow.Status {
	for _, p := range c.forwardTargets() {
		if !c.peerReady(ctx, p) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		newer, err := accessible(by)(c.settings.Peers.Status(ctx, p, id, by))
		cancel()
		if err == nil {
			return newer
		}
	}
	return st
}

// NotReadyReason returns why this instance can't serve callers, neither itself
// nor through a peer, or "" if it can.
func (c *Core) NotReadyReason(ctx context.Context) string {
	switch {
	case c.config.Load() == nil:
		return "no configuration yet"
	case c.stalled():
		return "the loop makes no progress"
	case !c.keys.Load().Serves(c.settings.Uptime(), c.settings.Keys):
		return "every queue needs a key, and nothing proves that the configuration is the newest"
	case !c.answering.Load():
		if c.replicas.answeredSince(c.settings.Now().Add(-maxReplicaSilence)) {
			return ""
		}
		return "no replica has answered lately"
	case !c.ready.Load():
		return "the ledger has not been read to its end"
	case c.Ready():
		return ""
	}
	for _, p := range c.forwardTargets() {
		if c.peerReady(ctx, p) {
			return ""
		}
	}
	return "neither the store nor a peer that has it answers"
}

// forwardToPeers makes a call at one peer after another while its outcome err
// is ErrNotExecuted or ErrOutcomeUnknown. A repeated call does no harm, since
// submissions and cancellations are idempotent by job ID. If every call fails,
// it returns ErrOutcomeUnknown if the outcome of any was unknown.
func (c *Core) forwardToPeers(ctx context.Context, operation, id string, err error, call func(ctx context.Context, addr string) error) error {
	unknown := errors.Is(err, ErrOutcomeUnknown)
	if !unknown && !errors.Is(err, ErrNotExecuted) {
		return err
	}
	for _, p := range c.forwardTargets() {
		if !c.peerReady(ctx, p) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		err = call(ctx, p)
		cancel()
		c.settings.Logger.Info().Str("job", id).Str("call", operation).Str("peer", p).AnErr("refusal", err).Msg("core: forwarded to peer")
		if !notDone(err) {
			return certain(err, unknown)
		}
		unknown = unknown || errors.Is(err, ErrOutcomeUnknown)
	}
	if unknown {
		return ErrOutcomeUnknown
	}
	return err
}

// peerProbe is the result of a readiness probe of a peer.
type peerProbe struct {
	at    time.Time
	ready bool
}

// peerReady reports whether a peer is ready, by a probe no older than probeTTL.
func (c *Core) peerReady(ctx context.Context, addr string) bool {
	now := c.settings.Now()
	if v, ok := c.peerProbes.Load(addr); ok && now.Sub(v.(peerProbe).at) < probeTTL {
		return v.(peerProbe).ready
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ready, err := c.settings.Peers.Ready(ctx, addr)
	ready = ready && err == nil
	c.peerProbes.Store(addr, peerProbe{at: c.settings.Now(), ready: ready})
	return ready
}

// forwardTargets returns the addresses of up to maxForwards replicas. Those that
// were not ready at their last probe come last, so that others are tried in turn
// until one is ready. Peers of other failure domains come first, since the fault
// that cut this instance off may affect its whole domain.
func (c *Core) forwardTargets() []string {
	peers := c.peers.Load()
	if peers == nil {
		return nil
	}
	var list []instanceRecord
	for name, p := range *peers {
		if name != c.settings.Instance && p.Addr != c.settings.Addr && p.Replica {
			list = append(list, p)
		}
	}
	notReady := map[string]bool{}
	for _, p := range list {
		if v, ok := c.peerProbes.Load(p.Addr); ok {
			notReady[p.Addr] = !v.(peerProbe).ready
		}
	}
	sort.Slice(list, func(i, k int) bool {
		if a, b := notReady[list[i].Addr], notReady[list[k].Addr]; a != b {
			return b
		}
		a, b := list[i].Domain == c.settings.Domain, list[k].Domain == c.settings.Domain
		if a != b {
			return b
		}
		return list[i].Incarnation < list[k].Incarnation
	})
	var out []string
	for _, p := range list[:min(maxForwards, len(list))] {
		out = append(out, p.Addr)
	}
	return out
}
