// Package conf keeps an instance's view of the configuration: it follows the
// configuration stream, answers reads from memory and carries patches to the
// log. A patch's verdict is learned by reading the patch back.
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

// Pace of appending a patch whose verdict is not yet known.
const (
	verdictWait  = 1500 * time.Millisecond
	groupPause   = 10 * time.Millisecond
	readWait     = time.Second
	readRetry    = 200 * time.Millisecond
	snapshotEach = 1000 // records
)

// Config sets up a View.
type Config struct {
	Log         ledger.Log
	SnapshotAge time.Duration
	Fetch       func(ctx context.Context) ([]byte, error)
	Now         func() time.Time
	Logger      zerolog.Logger
}

// View is the configuration as this instance knows it.
type View struct {
	cfg    Config
	stream *stream.Stream
	done   chan struct{}

	mu    sync.RWMutex
	state *config.State
}

// New gives a view that holds version 0.
func New(cfg Config) *View {
	v := &View{cfg: cfg, state: config.NewState(), done: make(chan struct{})}
	fold := stream.Fold{Apply: v.apply, Snapshot: v.Snapshot, Load: v.load, Offset: v.offset, Fetch: cfg.Fetch}
	v.stream = stream.New(stream.FollowConfig{
		Stream: Stream, Wait: readWait, Retry: readRetry, SnapshotCount: snapshotEach,
		SnapshotAge: cfg.SnapshotAge, Now: cfg.Now, Logger: cfg.Logger,
	}, groupPause, cfg.Log, fold)
	return v
}

// Done is closed when Run has ended.
func (v *View) Done() <-chan struct{} { return v.done }

// Run follows the stream until ctx ends.
func (v *View) Run(ctx context.Context) {
	defer close(v.done)
	v.stream.Run(ctx)
}

// Ready reports whether a version that was once in force is known.
func (v *View) Ready() bool { return v.stream.Ready() }

// Tail gives the start of the last read that reached the end of the stream.
func (v *View) Tail() time.Time { return v.stream.Tail() }

// Version gives the version in force here.
func (v *View) Version() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Version
}

// Model gives the typed configuration in force here and its version. The maps
// are shared and must not be changed.
func (v *View) Model() (config.Model, uint64) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Model(), v.state.Version
}

// At gives the document of a remembered version.
func (v *View) At(version uint64) (json.RawMessage, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.At(version)
}

// History gives the remembered changes, oldest first.
func (v *View) History() []config.Change {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return append([]config.Change(nil), v.state.History...)
}

// Snapshot encodes the whole view for a peer or the log.
func (v *View) Snapshot() ([]byte, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.state.Snapshot()
}

// Propose appends the patch and waits for its verdict. An error means that the
// verdict is not known; proposing the same patch id again is safe.
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
		if verdict, ok := v.await(ctx, p.ID); ok {
			return verdict, nil
		}
		if ctx.Err() != nil {
			return config.Verdict{}, errs.At("propose patch "+p.ID, "log", errors.Wrapf(ctx.Err(), "verdict not known (last append: %v)", appendErr))
		}
	}
}

func (v *View) await(ctx context.Context, id string) (config.Verdict, bool) {
	c, cancel := context.WithTimeout(ctx, verdictWait)
	defer cancel()
	var verdict config.Verdict
	err := v.stream.WaitFor(c, func() bool {
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
