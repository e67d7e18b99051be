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

// readTimeoutMargin is how much longer than its wait a read may take before it
// times out.
const readTimeoutMargin = 3 * time.Second

// StateMachine is the state machine to which a Follower applies records. The
// Follower calls its functions from one goroutine and without holding its own
// lock.
type StateMachine struct {
	// Apply applies the record at offset. The content is nil for the records of
	// snapshots, which only advance the offset.
	Apply    func(offset int64, content []byte, received time.Time)
	Snapshot func() ([]byte, error)  // encodes the state
	Load     func(data []byte) error // replaces the state by an encoded one
	Offset   func() int64            // of the last record applied; -1 for none
	// Fetch returns a snapshot from a peer. It is nil if there are no peers to ask.
	Fetch func(ctx context.Context) ([]byte, error)
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Stream          string
	MaxReadWait     time.Duration // longest wait of one read for new records
	RetryDelay      time.Duration // pause after a failed read
	SnapshotRecords int64         // records after which a snapshot is due
	SnapshotAge     time.Duration // age at which a snapshot is due; well below the log's retention
	Now             func() time.Time
	Logger          zerolog.Logger
}

// Follower applies one stream to a state machine. It is safe for concurrent
// use.
type Follower struct {
	cfg          FollowerConfig
	log          ledger.Log
	stateMachine StateMachine
	done         chan struct{}

	mu         sync.Mutex    // guards caughtUpAt, ready and changed
	caughtUpAt time.Time     // start of the last read that reached the end of the stream
	ready      bool          // the state machine holds a state that the stream had
	failing    bool          // the last read failed; used by Run only, like the fields below
	changed    chan struct{} // closed when records were applied, then replaced

	lastSnapshot   int64         // offset of the newest snapshot seen
	lastSnapshotAt time.Time     // when it was seen
	snapshotJitter time.Duration // random delay of the next snapshot; 0 if not drawn yet
	readSize       ledger.ReadSize
}

// NewFollower returns a Follower that applies the stream's records to the state
// machine sm. Run must be called to start it.
func NewFollower(cfg FollowerConfig, log ledger.Log, sm StateMachine) *Follower {
	return &Follower{cfg: cfg, log: log, stateMachine: sm, done: make(chan struct{}), changed: make(chan struct{}), lastSnapshot: -1, lastSnapshotAt: cfg.Now()}
}

// Done returns a channel that is closed when Run has returned.
func (f *Follower) Done() <-chan struct{} { return f.done }

// CaughtUpAt returns the start time of the last read that reached the end of
// the stream, or the zero time if no read has. The state machine has applied
// every record that was in the stream at that time.
func (f *Follower) CaughtUpAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.caughtUpAt
}

// Ready reports whether the state machine holds a state that the stream had at
// some time. It may be out of date.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// Changed returns a channel that is closed once the next page has been applied.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// WaitFor calls ok at once and after each applied page, and returns nil when it
// returns true. It returns the error of ctx when that ends first.
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

// Run reads and applies the stream until ctx ends. It must be called once.
func (f *Follower) Run(ctx context.Context) {
	defer close(f.done)
	for ctx.Err() == nil {
		err := f.poll(ctx)
		f.logTransition(ctx, err)
		if err != nil {
			sleep(ctx, f.cfg.RetryDelay)
		}
	}
}

// logTransition logs only when reads start or stop failing, so that a long
// outage does not flood the log.
func (f *Follower) logTransition(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == f.failing {
		return
	}
	f.failing = err != nil
	if f.failing {
		f.cfg.Logger.Warn().Err(err).Str("stream", f.cfg.Stream).Msg("stream: reading fails")
		return
	}
	f.cfg.Logger.Info().Str("stream", f.cfg.Stream).Msg("stream: reading works again")
}

// poll reads and applies one page, and appends a snapshot if one is due.
func (f *Follower) poll(ctx context.Context) error {
	start := f.cfg.Now()
	page, err := f.read(ctx)
	var expired *ledger.ExpiredError
	if errors.As(err, &expired) {
		return f.loadNewestSnapshot(ctx, expired.OldestOffset)
	}
	if err != nil {
		f.fetchFromPeer(ctx)
		return errs.At("read stream "+f.cfg.Stream, "log", err)
	}
	f.apply(page)
	f.finishPage(start, page)
	return f.maybeSnapshot(ctx)
}

func (f *Follower) read(ctx context.Context) (ledger.Page, error) {
	timeout, start := f.cfg.MaxReadWait+readTimeoutMargin, f.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err := f.log.Read(ctx, f.stateMachine.Offset()+1, f.readSize.Bytes(), f.cfg.MaxReadWait)
	f.readSize.Update(page, err, f.cfg.Now().Sub(start), timeout)
	return page, err
}

func (f *Follower) apply(page ledger.Page) {
	now := f.cfg.Now()
	for i, r := range page.Records {
		offset := page.FirstOffset + int64(i)
		if strings.HasPrefix(r.Key, snapshotPrefix) {
			f.lastSnapshot = offset
			f.lastSnapshotAt = now
		}
		f.stateMachine.Apply(offset, recordContent(r), now)
	}
}

// recordContent returns the content of a record. It is nil for a part of a
// snapshot, since the state machine has already applied the records before it.
func recordContent(r ledger.Record) []byte {
	if r.Key != recordKey {
		return nil
	}
	return r.Value
}

// finishPage updates caughtUpAt and notifies the callers of WaitFor after a
// page was applied.
func (f *Follower) finishPage(start time.Time, page ledger.Page) {
	// The state machine may call this Follower while it holds its own lock, so
	// calling it under the Follower's lock could deadlock.
	offset := f.stateMachine.Offset()
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset+1 >= page.LogEnd {
		f.caughtUpAt = start
		f.ready = true
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// fetchFromPeer loads a peer's state if the Follower is not ready. It is called
// when the log can't be read.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	if f.stateMachine.Fetch == nil || f.Ready() {
		return
	}
	data, err := f.stateMachine.Fetch(ctx)
	if err != nil {
		return
	}
	if err := f.stateMachine.Load(data); err != nil {
		f.cfg.Logger.Warn().Err(err).Str("stream", f.cfg.Stream).Msg("stream: cannot load the state of a peer")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = true
	close(f.changed)
	f.changed = make(chan struct{})
}

// loadNewestSnapshot loads the newest snapshot, which the store retains beyond
// the expiry of records. If it does not reach the oldest retained record, at
// offset first, it returns an error and the Follower retries: it never skips
// records.
func (f *Follower) loadNewestSnapshot(ctx context.Context, first int64) error {
	state, err := newestSnapshot(ctx, f.log)
	if err != nil {
		return errs.At("look for a snapshot of "+f.cfg.Stream, "log", err)
	}
	if state != nil {
		if err := f.stateMachine.Load(state); err != nil {
			return err
		}
	}
	if f.stateMachine.Offset()+1 < first {
		f.fetchFromPeer(ctx)
		return errors.Errorf("stream %s has expired before offset %d and holds no snapshot that reaches it", f.cfg.Stream, first)
	}
	return nil
}

// maybeSnapshot appends a snapshot when one is due. Each Follower adds a random
// delay, so that usually only one instance appends it; two snapshots do no
// harm.
func (f *Follower) maybeSnapshot(ctx context.Context) error {
	now := f.cfg.Now()
	if !f.Ready() || f.stateMachine.Offset() <= f.lastSnapshot {
		return nil
	}
	if f.snapshotJitter == 0 {
		f.snapshotJitter = time.Duration(rand.Int64N(int64(f.cfg.SnapshotAge/2) + 1))
	}
	byAge := now.Sub(f.lastSnapshotAt) >= f.cfg.SnapshotAge/2+f.snapshotJitter
	byCount := f.stateMachine.Offset()-f.lastSnapshot >= f.cfg.SnapshotRecords+int64(f.snapshotJitter)%(f.cfg.SnapshotRecords/2+1)
	if !byAge && !byCount {
		return nil
	}
	state, err := f.stateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	records, err := splitSnapshot(state, fmt.Sprintf("%d-%x", f.stateMachine.Offset(), rand.Uint64()))
	if err != nil {
		return err
	}
	f.snapshotJitter = 0
	return errs.At("append snapshot to "+f.cfg.Stream, "log", appendRecords(ctx, f.log, records))
}
