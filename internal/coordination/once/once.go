// Package once makes a non-idempotent request run at most once, whichever
// entry instance its caller repeats it at: before the request is sent, its key
// is claimed by a record in the log, and the first claim in the log's order
// wins. Keys are remembered for a window; a key that is older may run again, so
// callers must not repeat a request later than that.
package once

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/stream"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
)

// Stream is the name of the stream of claims.
const Stream = "once"

// States of a key.
const (
	StateClaimed = "claimed" // its outcome is unknown
	StateDone    = "done"
	StateNotRun  = "not-run" // certain; the key may be claimed again
)

const (
	groupPause   = 20 * time.Millisecond
	readWait     = time.Second
	readRetry    = 200 * time.Millisecond
	snapshotEach = 20000 // records
	maxKeys      = 200000
)

// Claim is a record of the stream: a claim, or the outcome of one.
type Claim struct {
	Key     string `json:"key"`
	By      string `json:"by"`                // names the attempt
	Outcome string `json:"outcome,omitempty"` // empty for a claim
	At      int64  `json:"at-unix-ms"`        // by the claimant's clock, for people only
}

// Holder is who holds a key.
type Holder struct {
	By    string `json:"by"`
	State string `json:"state"`

	seen time.Time // when this reader read the last claim of the key
}

// State is the fold of the stream. Who holds a key follows from the log's order
// alone. When a key is forgotten follows from the reader's own clock, so that
// no other machine's wrong clock can free it early; every further claim of the
// key, also one that is refused, starts its time anew.
type State struct {
	Offset int64             `json:"offset"`
	Keys   map[string]Holder `json:"keys"`

	order []expiry // by time, oldest first
}

type expiry struct {
	key  string
	seen time.Time
}

// NewState gives a state without keys.
func NewState() *State { return &State{Offset: -1, Keys: map[string]Holder{}} }

// Apply folds a claim or an outcome that was read at now.
func (s *State) Apply(offset int64, c Claim, now time.Time, window time.Duration) {
	if offset <= s.Offset {
		return
	}
	s.Offset = offset
	s.expire(now, window)
	h, held := s.Keys[c.Key]
	if c.Outcome != "" {
		if held && h.By == c.By {
			h.State = c.Outcome
			s.Keys[c.Key] = h
		}
		return
	}
	if !held || h.State == StateNotRun {
		h = Holder{By: c.By, State: StateClaimed}
	}
	h.seen = now
	s.Keys[c.Key] = h
	s.order = append(s.order, expiry{c.Key, now})
}

func (s *State) expire(now time.Time, window time.Duration) {
	for len(s.order) > 0 && now.Sub(s.order[0].seen) > window {
		first := s.order[0]
		s.order = s.order[1:]
		if s.Keys[first.key].seen.Equal(first.seen) {
			delete(s.Keys, first.key)
		}
	}
}

// restart counts all keys as read now, as after loading a snapshot.
func (s *State) restart(now time.Time) {
	s.order = s.order[:0]
	for key, h := range s.Keys {
		h.seen = now
		s.Keys[key] = h
		s.order = append(s.order, expiry{key, now})
	}
}

// Config sets up a Registry.
type Config struct {
	Log         ledger.Log
	Window      time.Duration
	SnapshotAge time.Duration
	Now         func() time.Time
	Logger      zerolog.Logger
}

// Registry claims keys.
type Registry struct {
	cfg    Config
	stream *stream.Stream
	done   chan struct{}

	mu    sync.Mutex
	state *State
}

// New gives a registry that has read nothing.
func New(cfg Config) *Registry {
	r := &Registry{cfg: cfg, state: NewState(), done: make(chan struct{})}
	fold := stream.Fold{Apply: r.apply, Snapshot: r.snapshot, Load: r.load, Offset: r.offset}
	r.stream = stream.New(stream.FollowConfig{
		Stream: Stream, Wait: readWait, Retry: readRetry, SnapshotCount: snapshotEach,
		SnapshotAge: cfg.SnapshotAge, Now: cfg.Now, Logger: cfg.Logger,
	}, groupPause, cfg.Log, fold)
	return r
}

// Done is closed when Run has ended.
func (r *Registry) Done() <-chan struct{} { return r.done }

// Run follows the stream until ctx ends.
func (r *Registry) Run(ctx context.Context) {
	defer close(r.done)
	r.stream.Run(ctx)
}

// Claim claims the key for the attempt. It reports who holds the key, which is
// the attempt itself where the claim won. An error means that nothing may be
// sent; the claim may take effect later all the same.
func (r *Registry) Claim(ctx context.Context, key, by string, now time.Time) (Holder, error) {
	if h, ok := r.holder(key); ok && h.State != StateNotRun {
		return h, nil
	}
	if err := r.append(ctx, Claim{Key: key, By: by, At: now.UnixMilli()}); err != nil {
		return Holder{}, errs.At("claim idempotency key", "log", err)
	}
	var h Holder
	err := r.stream.WaitFor(ctx, func() bool {
		var ok bool
		h, ok = r.holder(key)
		return ok && (h.By == by || h.State != StateNotRun)
	})
	return h, errs.At("read claim back", "log", err)
}

// Settle notes the outcome of a claim, so that a repeat learns it. The outcome
// is lost when the log can't be reached; the key then stays claimed.
func (r *Registry) Settle(ctx context.Context, key, by, outcome string, now time.Time) error {
	return r.append(ctx, Claim{Key: key, By: by, Outcome: outcome, At: now.UnixMilli()})
}

func (r *Registry) append(ctx context.Context, c Claim) error {
	r.mu.Lock()
	full := len(r.state.Keys) >= maxKeys
	r.mu.Unlock()
	if full && c.Outcome == "" {
		return errors.Errorf("%d keys are held already", maxKeys)
	}
	content, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "encode claim")
	}
	return r.stream.Append(ctx, content)
}

func (r *Registry) holder(key string) (Holder, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.state.Keys[key]
	return h, ok
}

func (r *Registry) apply(offset int64, content []byte, received time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var c Claim
	if len(content) == 0 || json.Unmarshal(content, &c) != nil || c.Key == "" {
		r.state.Offset = max(r.state.Offset, offset)
		return
	}
	r.state.Apply(offset, c, received, r.cfg.Window)
}

func (r *Registry) snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return json.Marshal(r.state)
}

func (r *Registry) load(data []byte) error {
	n := NewState()
	if err := json.Unmarshal(data, n); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Offset < r.state.Offset {
		return errors.Errorf("snapshot at offset %d is older than %d", n.Offset, r.state.Offset)
	}
	n.restart(r.cfg.Now())
	r.state = n
	return nil
}

func (r *Registry) offset() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Offset
}
