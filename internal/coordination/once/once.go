// Package once deduplicates non-idempotent requests by their idempotency key,
// so that a request runs at most once, whichever entry instance its caller
// repeats it at. Before a request is sent to a minion, its key is claimed by a
// record in the log; the first claim in the log's order wins. Keys are
// remembered for a window. A request with an older key may run again, so
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

// Stream is the name of the stream that holds the claims.
const Stream = "once"

// States of a key.
const (
	StateClaimed = "claimed" // the request may have run; its outcome is unknown
	StateDone    = "done"    // the request has run
	StateNotRun  = "not-run" // the request has certainly not run; the key may be claimed again
)

const (
	appendInterval  = 20 * time.Millisecond // between two appends; the records in between share one
	maxReadWait     = time.Second
	readRetryDelay  = 200 * time.Millisecond
	snapshotRecords = 20000  // records after which a snapshot is due
	maxKeys         = 200000 // further claims fail until keys expire
)

// Record is a record of the stream: the claim of a key, or the outcome of one.
type Record struct {
	Key       string `json:"key"`
	RequestID string `json:"by"`                // ID of the request that claims the key
	Outcome   string `json:"outcome,omitempty"` // empty for a claim
	AtMs      int64  `json:"at-unix-ms"`        // by the clock of the instance that appended it; for operators only, not used here
}

// Holder is the request that has claimed a key, with the state of the key.
type Holder struct {
	RequestID string `json:"by"`
	State     string `json:"state"`

	lastClaimRead time.Time // when this instance read the last claim of the key
}

// State is the replicated state of all keys. The holder of a key depends on the
// log's order only. The expiry of a key depends on the clock of the instance
// that holds the State, so that a wrong clock elsewhere can't expire a key
// early. Every further claim of the key, also an unsuccessful one, restarts its
// window. A State is not safe for concurrent use.
type State struct {
	Offset int64             `json:"offset"`
	Keys   map[string]Holder `json:"keys"`

	claimOrder []expiry // by time read, oldest first
}

type expiry struct {
	key       string
	claimRead time.Time
}

// NewState returns a state without keys.
func NewState() *State { return &State{Offset: -1, Keys: map[string]Holder{}} }

// Apply applies a record that was read at now. It ignores offsets that it has
// applied already, and outcomes that are not the holder's. It first expires the
// keys whose last claim was read longer than window ago.
func (s *State) Apply(offset int64, record Record, now time.Time, window time.Duration) {
	if offset <= s.Offset {
		return
	}
	s.Offset = offset
	s.expire(now, window)
	h, found := s.Keys[record.Key]
	if record.Outcome != "" {
		if found && h.RequestID == record.RequestID {
			h.State = record.Outcome
			s.Keys[record.Key] = h
		}
		return
	}
	if !found || h.State == StateNotRun {
		h = Holder{RequestID: record.RequestID, State: StateClaimed}
	}
	h.lastClaimRead = now
	s.Keys[record.Key] = h
	s.claimOrder = append(s.claimOrder, expiry{record.Key, now})
}

func (s *State) expire(now time.Time, window time.Duration) {
	for len(s.claimOrder) > 0 && now.Sub(s.claimOrder[0].claimRead) > window {
		oldest := s.claimOrder[0]
		s.claimOrder = s.claimOrder[1:]
		if s.Keys[oldest.key].lastClaimRead.Equal(oldest.claimRead) {
			delete(s.Keys, oldest.key)
		}
	}
}

// resetExpiry starts the window of all keys at now. It is needed after a
// snapshot was loaded, which has no times.
func (s *State) resetExpiry(now time.Time) {
	s.claimOrder = s.claimOrder[:0]
	for key, h := range s.Keys {
		h.lastClaimRead = now
		s.Keys[key] = h
		s.claimOrder = append(s.claimOrder, expiry{key, now})
	}
}

// Config configures a Registry.
type Config struct {
	Log         ledger.Log
	Window      time.Duration // how long a key is remembered after its last claim
	SnapshotAge time.Duration // age at which a snapshot is due
	Now         func() time.Time
	Logger      zerolog.Logger
}

// Registry claims idempotency keys and records their outcomes. It is safe for
// concurrent use.
type Registry struct {
	cfg    Config
	stream *stream.Stream
	done   chan struct{}

	mu    sync.Mutex // guards state
	state *State
}

// New returns a registry without keys. Run must be called to read them.
func New(cfg Config) *Registry {
	r := &Registry{cfg: cfg, state: NewState(), done: make(chan struct{})}
	sm := stream.StateMachine{Apply: r.apply, Snapshot: r.snapshot, Load: r.load, Offset: r.offset}
	r.stream = stream.New(stream.FollowerConfig{
		Stream: Stream, MaxReadWait: maxReadWait, RetryDelay: readRetryDelay, SnapshotRecords: snapshotRecords,
		SnapshotAge: cfg.SnapshotAge, Now: cfg.Now, Logger: cfg.Logger,
	}, appendInterval, cfg.Log, sm)
	return r
}

// Done returns a channel that is closed when Run has returned.
func (r *Registry) Done() <-chan struct{} { return r.done }

// Run follows the stream and appends to it until ctx ends. It must be called
// once.
func (r *Registry) Run(ctx context.Context) {
	defer close(r.done)
	r.stream.Run(ctx)
}

// Claim claims the key for the request with the given ID and returns the holder
// of the key. The request may be sent only if it is the holder. After an error
// it must not be sent, although the claim may still take effect.
func (r *Registry) Claim(ctx context.Context, key, requestID string, now time.Time) (Holder, error) {
	if h, ok := r.holder(key); ok && h.State != StateNotRun {
		return h, nil
	}
	if err := r.append(ctx, Record{Key: key, RequestID: requestID, AtMs: now.UnixMilli()}); err != nil {
		return Holder{}, errs.At("claim idempotency key", "log", err)
	}
	var h Holder
	err := r.stream.WaitFor(ctx, func() bool {
		var ok bool
		h, ok = r.holder(key)
		return ok && (h.RequestID == requestID || h.State != StateNotRun)
	})
	return h, errs.At("read claim back", "log", err)
}

// RecordOutcome records the outcome of a claim, StateDone or StateNotRun, so
// that later claims of the key return it. If the log can't be reached the
// outcome is lost and the key stays claimed.
func (r *Registry) RecordOutcome(ctx context.Context, key, requestID, outcome string, now time.Time) error {
	return r.append(ctx, Record{Key: key, RequestID: requestID, Outcome: outcome, AtMs: now.UnixMilli()})
}

func (r *Registry) append(ctx context.Context, record Record) error {
	r.mu.Lock()
	full := len(r.state.Keys) >= maxKeys
	r.mu.Unlock()
	if full && record.Outcome == "" {
		return errors.Errorf("limit of %d idempotency keys reached", maxKeys)
	}
	content, err := json.Marshal(record)
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
	var record Record
	if len(content) == 0 || json.Unmarshal(content, &record) != nil || record.Key == "" {
		r.state.Offset = max(r.state.Offset, offset)
		return
	}
	r.state.Apply(offset, record, received, r.cfg.Window)
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
	n.resetExpiry(r.cfg.Now())
	r.state = n
	return nil
}

func (r *Registry) offset() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Offset
}
