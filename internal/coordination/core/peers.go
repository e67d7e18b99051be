package core

import (
	"context"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Peers are the calls to other instances. Their errors are those of this package.
type Peers struct {
	Submit func(ctx context.Context, addr string, s *flow.Spec) error
	Cancel func(ctx context.Context, addr, id string) error
	Status func(ctx context.Context, addr, id string) (flow.Status, error)
	// Ready asks whether the instance can store calls now.
	Ready func(ctx context.Context, addr string) bool
}

// Bounds of handing calls over to peers.
const (
	maxHandovers    = 2 // peers that one call is handed to, one after another
	handoverTimeout = 900 * time.Millisecond
	// probeTimeout bounds the question whether a peer can take a call: one that is
	// cut off must not leave a caller with an unknown outcome.
	probeTimeout = 150 * time.Millisecond
	// probeHolds is how long an answer to it counts.
	probeHolds = 300 * time.Millisecond
)

// SubmitAnywhere submits a job here or, if this instance can't store it, through
// a peer that may reach the store.
func (c *Core) SubmitAnywhere(ctx context.Context, s *flow.Spec) error {
	err := ErrNotRun
	if c.storeWell() {
		err = c.Submit(ctx, s)
	}
	return c.handOver(ctx, "submit", s.ID, err, func(ctx context.Context, addr string) error {
		err := c.set.Peers.Submit(ctx, addr, s)
		if err == nil {
			c.index.Add(s.ID, flow.Status{Queue: s.Queue})
		}
		return err
	})
}

// storeWell reports whether the store has lately been read and written from here.
// An append that it does not answer leaves a caller with an unknown outcome.
func (c *Core) storeWell() bool { return c.reads.Load() && c.intake.Healthy() }

// CancelAnywhere is SubmitAnywhere for cancelling.
func (c *Core) CancelAnywhere(ctx context.Context, id string) error {
	err := ErrNotRun
	if c.storeWell() {
		err = c.Cancel(ctx, id)
	}
	return c.handOver(ctx, "cancel", id, err, func(ctx context.Context, addr string) error {
		err := c.set.Peers.Cancel(ctx, addr, id)
		if err == nil {
			c.cancelled(id)
		}
		return err
	})
}

// StatusAnywhere is SubmitAnywhere for a job's state. An instance that can't read
// the ledger asks a peer also about a job that it knows, as its state may be old.
func (c *Core) StatusAnywhere(ctx context.Context, id string) (flow.Status, error) {
	st, err := c.Status(ctx, id)
	if err == nil && !st.State.Final() && !c.reads.Load() {
		return c.newerStatus(ctx, id, st), nil
	}
	err = c.handOver(ctx, "status", id, err, func(ctx context.Context, addr string) error {
		var err error
		st, err = c.set.Peers.Status(ctx, addr, id)
		return err
	})
	return st, err
}

// newerStatus gives a job's state as a peer that reads the ledger knows it, or
// the given one if there is none.
func (c *Core) newerStatus(ctx context.Context, id string, st flow.Status) flow.Status {
	for _, p := range c.handoverPeers() {
		if !c.peerReady(ctx, p) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		newer, err := c.set.Peers.Status(ctx, p, id)
		cancel()
		if err == nil {
			return newer
		}
	}
	return st
}

// Lacks names what this instance lacks to serve callers, itself or through a peer
// that it reaches; "" if it can.
func (c *Core) Lacks(ctx context.Context) string {
	switch {
	case c.config.Load() == nil:
		return "no configuration yet"
	case !c.ready.Load():
		return "the ledger has not been read to its end"
	case c.Ready():
		return ""
	}
	for _, p := range c.handoverPeers() {
		if c.peerReady(ctx, p) {
			return ""
		}
	}
	return "neither the store nor a peer that has it answers"
}

// handOver calls peers while the call is not known to have been carried out. To
// carry it out twice does no harm: a job and its cancellation are known by id.
func (c *Core) handOver(ctx context.Context, what, id string, err error, call func(ctx context.Context, addr string) error) error {
	unknown := errors.Is(err, ErrUnknown)
	if !unknown && !errors.Is(err, ErrNotRun) {
		return err
	}
	for _, p := range c.handoverPeers() {
		if !c.peerReady(ctx, p) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		err = call(ctx, p)
		cancel()
		c.set.Logger.Info().Str("job", id).Str("call", what).Str("peer", p).AnErr("refusal", err).Msg("core: handed over")
		if !errors.Is(err, ErrNotRun) && !errors.Is(err, ErrUnknown) {
			return err
		}
		unknown = unknown || errors.Is(err, ErrUnknown)
	}
	if unknown {
		return ErrUnknown
	}
	return err
}

// peerReady reports whether a peer has lately said that it can take calls.
func (c *Core) peerReady(ctx context.Context, addr string) bool {
	type probe struct {
		at    time.Time
		ready bool
	}
	now := c.set.Now()
	if v, ok := c.probes.Load(addr); ok && now.Sub(v.(probe).at) < probeHolds {
		return v.(probe).ready
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ready := c.set.Peers.Ready(ctx, addr)
	c.probes.Store(addr, probe{at: c.set.Now(), ready: ready})
	return ready
}

// handoverPeers gives addresses of peers, those of other failure domains first:
// what cut this instance off may have cut off its neighbours.
func (c *Core) handoverPeers() []string {
	peers := c.peers.Load()
	if peers == nil {
		return nil
	}
	var list []instance
	for name, p := range *peers {
		if name != c.set.Instance && p.Addr != c.set.Addr {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i].Domain == c.set.Domain, list[k].Domain == c.set.Domain
		if a != b {
			return b
		}
		return list[i].Life < list[k].Life
	})
	var out []string
	for _, p := range list[:min(maxHandovers, len(list))] {
		out = append(out, p.Addr)
	}
	return out
}
