package stream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
)

// readSlack is added to the wait of a read before its answer counts as lost.
const readSlack = 3 * time.Second

// Fold is the state that a follower feeds. The follower calls its functions
// from one goroutine.
type Fold struct {
	Apply    func(offset int64, content []byte, received time.Time)
	Snapshot func() ([]byte, error)
	Load     func(data []byte) error
	Offset   func() int64 // of the last record applied; -1 for none
	// Fetch asks a peer for a snapshot; nil where there is none to ask.
	Fetch func(ctx context.Context) ([]byte, error)
}

// FollowConfig sets a follower's pace.
type FollowConfig struct {
	Stream        string
	Wait          time.Duration // longest wait of one read
	Retry         time.Duration // pause after a failed read
	SnapshotCount int64         // records after which a snapshot is due
	SnapshotAge   time.Duration // time after which a snapshot is due; well inside the log's retention
	Now           func() time.Time
	Logger        zerolog.Logger
}

// Follower applies one stream to a fold.
type Follower struct {
	cfg  FollowConfig
	log  ledger.Log
	fold Fold
	done chan struct{}

	mu      sync.Mutex
	tail    time.Time // start of the last read that reached the end
	ready   bool      // the fold's state is one that the stream had
	failing bool
	changed chan struct{}

	last     int64     // offset of the newest snapshot seen
	lastAt   time.Time // when it was seen
	dueDelay time.Duration
}

// NewFollower gives a follower that has read nothing.
func NewFollower(cfg FollowConfig, log ledger.Log, fold Fold) *Follower {
	return &Follower{cfg: cfg, log: log, fold: fold, done: make(chan struct{}), changed: make(chan struct{}), last: -1, lastAt: cfg.Now()}
}

// Done is closed when Run has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Tail gives the start time of the last read that reached the end of the
// stream; the zero time when none has.
func (f *Follower) Tail() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tail
}

// Ready reports whether the fold holds a state that the stream had once.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// Changed gives a channel that is closed after the next page was applied.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// WaitFor returns nil once ok holds, which is asked again after each page.
func (f *Follower) WaitFor(ctx context.Context, ok func() bool) error {
	for {
		c := f.Changed()
		if ok() {
			return nil
		}
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Run reads until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.report(ctx, err)
		if err != nil {
			sleep(ctx, f.cfg.Retry)
		}
	}
}

// report logs only when the stream starts or stops failing, so that a long
// outage does not fill the log.
func (f *Follower) report(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == f.failing {
		return
	}
	f.failing = err != nil
	if f.failing {
		f.cfg.Logger.Warn().Err(err).Str("stream", f.cfg.Stream).Msg("stream: reading fails")
		return
	}
	f.cfg.Logger.Info().Str("stream", f.cfg.Stream).Msg("stream: reading works")
}

func (f *Follower) step(ctx context.Context) error {
	start := f.cfg.Now()
	page, err := f.read(ctx)
	var expired *ledger.ExpiredError
	if errors.As(err, &expired) {
		return f.rebuild(ctx, expired.First)
	}
	if err != nil {
		f.fetch(ctx)
		return errs.At("read stream "+f.cfg.Stream, "log", err)
	}
	f.apply(page)
	f.mark(start, page)
	return f.snapshot(ctx)
}

func (f *Follower) read(ctx context.Context) (ledger.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+readSlack)
	defer cancel()
	return f.log.Read(ctx, f.fold.Offset()+1, f.cfg.Wait)
}

func (f *Follower) apply(page ledger.Page) {
	now := f.cfg.Now()
	for i, r := range page.Records {
		offset := page.From + int64(i)
		if strings.HasPrefix(r.Key, prefixSnapshot) {
			f.last = offset
			f.lastAt = now
		}
		f.fold.Apply(offset, content(r), now)
	}
}

// content gives a record's content; a snapshot has none for a fold that already
// holds the records before it.
func content(r ledger.Record) []byte {
	if r.Key != keyRecord {
		return nil
	}
	return r.Value
}

func (f *Follower) mark(start time.Time, page ledger.Page) {
	// The fold has its own lock, under which it may ask this follower; so it is
	// not asked under the follower's.
	offset := f.fold.Offset()
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset+1 >= page.End {
		f.tail = start
		f.ready = true
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// fetch takes a peer's state when this follower has none and the log is away.
func (f *Follower) fetch(ctx context.Context) {
	if f.fold.Fetch == nil || f.Ready() {
		return
	}
	data, err := f.fold.Fetch(ctx)
	if err != nil {
		return
	}
	if err := f.fold.Load(data); err != nil {
		f.cfg.Logger.Warn().Err(err).Str("stream", f.cfg.Stream).Msg("stream: a peer's state was refused")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = true
	close(f.changed)
	f.changed = make(chan struct{})
}

// rebuild loads the newest snapshot, which the store keeps beyond the expiry of
// records. Without one that reaches the oldest record kept, first, the follower
// waits: it never guesses.
func (f *Follower) rebuild(ctx context.Context, first int64) error {
	state, err := newestSnapshot(ctx, f.log)
	if err != nil {
		return errs.At("look for a snapshot of "+f.cfg.Stream, "log", err)
	}
	if state != nil {
		if err := f.fold.Load(state); err != nil {
			return err
		}
	}
	if f.fold.Offset()+1 < first {
		f.fetch(ctx)
		return errors.Errorf("stream %s has expired before offset %d and holds no snapshot that reaches it", f.cfg.Stream, first)
	}
	return nil
}

// snapshot appends a snapshot when one is due. Each follower waits a random
// while longer, so that mostly only one of them does it; two do no harm.
func (f *Follower) snapshot(ctx context.Context) error {
	now := f.cfg.Now()
	if !f.Ready() || f.fold.Offset() <= f.last {
		return nil
	}
	if f.dueDelay == 0 {
		f.dueDelay = time.Duration(rand.Int64N(int64(f.cfg.SnapshotAge/2) + 1))
	}
	byAge := now.Sub(f.lastAt) >= f.cfg.SnapshotAge/2+f.dueDelay
	byCount := f.fold.Offset()-f.last >= f.cfg.SnapshotCount+int64(f.dueDelay)%(f.cfg.SnapshotCount/2+1)
	if !byAge && !byCount {
		return nil
	}
	state, err := f.fold.Snapshot()
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	records, err := splitSnapshot(state, fmt.Sprintf("%d-%x", f.fold.Offset(), rand.Uint64()))
	if err != nil {
		return err
	}
	f.dueDelay = 0
	return errs.At("append snapshot to "+f.cfg.Stream, "log", add(ctx, f.log, records))
}
