// Package conf maintains an instance's view of the configuration. It follows
// the configuration stream, answers reads from memory and appends patches to
// the log. The verdict on a patch, whether it is applied or rejected, is learned
// by reading the patch back.
package conf

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/stream"
	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
)

// Stream is the name of the configuration stream.
const Stream = "config"

// Times and limits of the configuration stream.
const (
	verdictTimeout  = 1500 * time.Millisecond // a patch without a verdict is appended again after this time
	appendInterval  = 10 * time.Millisecond   // between two appends; the records in between share one
	maxReadWait     = time.Second
	readRetryDelay  = 200 * time.Millisecond
	snapshotRecords = 1000 // records after which a snapshot is due
)

// Config configures a View.
type Config struct {
	Log         ledger.Log
	SnapshotAge time.Duration                             // age at which a snapshot is due
	Fetch       func(ctx context.Context) ([]byte, error) // returns a peer's snapshot; may be nil
	Now         func() time.Time
	Logger      zerolog.Logger
}

// View is the configuration as this instance has read it. It is safe for
// concurrent use.
type View struct {
	cfg    Config
	stream *stream.Stream
	done   chan struct{}

	mu    sync.RWMutex // guards state
	state *config.State
}

// New returns a View of version 0, the empty configuration. Run must be called
// to start it.
func New(cfg Config) *View {
	v := &View{cfg: cfg, state: config.NewState(), done: make(chan struct{})}
	sm := stream.StateMachine{Apply: v.apply, Snapshot: v.Snapshot, Load: v.load, Offset: v.offset, Fetch: cfg.Fetch}
	v.stream = stream.New(stream.FollowerConfig{
		Stream: Stream, MaxReadWait: maxReadWait, RetryDelay: readRetryDelay, SnapshotRecords: snapshotRecords,
		SnapshotAge: cfg.SnapshotAge, Now: cfg.Now, Logger: cfg.Logger,
	}, appendInterval, cfg.Log, sm)
	return v
}

// Done returns a channel that is closed when Run has returned.
func (v *View) Done() <-chan struct{} { return v.done }

// Run follows the stream and appends patches until ctx ends. It must be called
// once.
func (v *View) Run(ctx context.Context) {
	defer close(v.done)
	v.stream.Run(ctx)
}

// Ready reports whether the View holds a version that was in force at some time.
// It may be out of date.
func (v *View) Ready() bool { return v.stream.Ready() }

// CaughtUpAt returns the start time of the last read that reached the end of
// the stream, or the zero time if no read has.
func (v *View) CaughtUpAt() time.Time { return v.stream.CaughtUpAt() }

// Version returns the newest version that this instance has read.
func (v *View) Version() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Version
}

// Model returns the typed form of the newest version that this instance has
// read, and its number. The maps are shared and must not be changed.
func (v *View) Model() (config.Model, uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Model(), v.state.Version
}

// DocumentAt returns the document of a version, or an error if it is not in the
// history.
func (v *View) DocumentAt(version uint64) (json.RawMessage, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.DocumentAt(version)
}

// History returns the retained changes, oldest first.
func (v *View) History() []config.Change {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return append([]config.Change(nil), v.state.History...)
}

// Snapshot returns the encoded state, for a peer or for the log.
func (v *View) Snapshot() ([]byte, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Snapshot()
}

// Propose appends the patch and waits for its verdict, which may be a rejection.
// It repeats the append until ctx ends. After an error the verdict is unknown,
// and it is safe to propose a patch with the same ID again.
func (v *View) Propose(ctx context.Context, p config.Patch) (config.Verdict, error) {
	content, err := json.Marshal(p)
	if err != nil {
		return config.Verdict{}, errors.Wrap(err, "encode patch")
	}
	for {
		if verdict, ok := v.verdict(p.ID); ok {
			return verdict, nil
		}
		appendErr := v.stream.Append(ctx, content)
		if verdict, ok := v.awaitVerdict(ctx, p.ID); ok {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return config.Verdict{}, errs.At("propose patch "+p.ID, "log", errors.Wrapf(ctx.Err(), "verdict unknown (last append: %v)", appendErr))
		}
	}
}

// awaitVerdict waits for the verdict up to verdictTimeout. It returns false if
// there is none.
func (v *View) awaitVerdict(ctx context.Context, id string) (config.Verdict, bool) {
	waitCtx, cancel := context.WithTimeout(ctx, verdictTimeout)
	defer cancel()
	var verdict config.Verdict
	err := v.stream.WaitFor(waitCtx, func() bool {
		var ok bool
		verdict, ok = v.verdict(id)
		return ok
	})
	return verdict, err == nil
}

func (v *View) verdict(id string) (config.Verdict, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Verdict(id)
}

// apply applies a record of the stream. A record that is not a patch only
// advances the offset.
func (v *View) apply(offset int64, content []byte, _ time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var p config.Patch
	if len(content) == 0 || json.Unmarshal(content, &p) != nil || p.ID == "" {
		v.state.Skip(offset)
		return
	}
	verdict := v.state.Apply(offset, p)
	v.cfg.Logger.Info().Str("patch", errs.Shorten(p.ID)).Str("result", verdict.Result).
		Uint64("version", verdict.Version).Msg("config: patch judged")
}

func (v *View) load(data []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state.Load(data)
}

func (v *View) offset() int64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Offset
}
