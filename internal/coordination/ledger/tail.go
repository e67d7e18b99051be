package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of reading.
const (
	// readSlack is added to the wait of a read before its answer counts as lost.
	readSlack = 700 * time.Millisecond
	// newestTimeout covers a page of the largest size over a slow store.
	newestTimeout = 3 * time.Second
)

// Batch is what one step of reading brought.
type Batch struct {
	Reset    bool      // the reader began anew: what it was told before no longer counts
	Records  []Record  // in order
	Next     int64     // offset after them
	Settled  int64     // after a reset: the state is whole once the log has been read to here
	CaughtUp bool      // nothing was left to read when the store answered
	AskedAt  time.Time // when the read was sent
	Err      error     // the read failed; the other fields are empty
}

// Tail follows the log.
type Tail struct {
	Log Log
	// Wait is how long a read waits for a record.
	Wait time.Duration
	// Pace gives the shortest time between two reads.
	Pace func() time.Duration
	// Deliver takes each batch, in order, from one goroutine.
	Deliver func(Batch)
	// Now gives the present time.
	Now func() time.Time

	mu      sync.Mutex
	synced  chan struct{} // closed when a read that was asked later has arrived
	askedAt time.Time
	reset   bool
}

// Run reads until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	next, settled := int64(-1), int64(0)
	for ctx.Err() == nil {
		began := t.Now()
		var b Batch
		if t.takeReset() {
			next = -1 // until a load goes well
		}
		if next < 0 {
			b = t.load(ctx, began)
			settled = b.Settled
		} else {
			b = t.read(ctx, next, began)
			b.CaughtUp = b.CaughtUp && b.Next >= settled
		}
		var expired *ExpiredError
		switch {
		case b.Err == nil:
			next = b.Next
		case errors.As(b.Err, &expired):
			next = -1
		}
		if ctx.Err() != nil {
			return
		}
		t.Deliver(b)
		t.mark(b)
		pause := t.Pace() - t.Now().Sub(began)
		if b.Err != nil {
			pause = max(pause, retryPause)
		}
		if pause > 0 {
			sleep(ctx, pause)
		}
	}
}

// Restart makes the reader begin anew with the newest record of each key.
func (t *Tail) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reset = true
}

func (t *Tail) takeReset() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reset
	t.reset = false
	return r
}

// load reads the newest record of each key. The pages are no snapshot, so the
// log is then followed from where it ended before the first of them.
func (t *Tail) load(ctx context.Context, began time.Time) Batch {
	b := Batch{Reset: true, AskedAt: began, Next: -1}
	for after := ""; ; {
		page, err := t.newest(ctx, after)
		if err != nil {
			return Batch{Err: err, AskedAt: began}
		}
		b.Records = append(b.Records, page.Records...)
		if b.Next < 0 {
			b.Next = page.End
		}
		b.Settled = page.End
		if !page.More || page.LastKey == "" {
			return b
		}
		after = page.LastKey
	}
}

func (t *Tail) newest(ctx context.Context, after string) (Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	return t.Log.Newest(ctx, after)
}

func (t *Tail) read(ctx context.Context, from int64, began time.Time) Batch {
	ctx, cancel := context.WithTimeout(ctx, t.Wait+readSlack)
	defer cancel()
	page, err := t.Log.Read(ctx, from, t.Wait)
	if err != nil {
		return Batch{Err: err, AskedAt: began}
	}
	next := page.From + int64(len(page.Records))
	return Batch{Records: page.Records, Next: next, CaughtUp: next >= page.End, AskedAt: began}
}

func (t *Tail) mark(b Batch) {
	if b.Err != nil || !b.CaughtUp {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.askedAt = b.AskedAt
	if t.synced != nil {
		close(t.synced)
		t.synced = nil
	}
}

// Sync waits until everything that was in the log when it was called has been
// delivered.
func (t *Tail) Sync(ctx context.Context) error {
	since := t.Now()
	for {
		t.mu.Lock()
		if t.askedAt.After(since) {
			t.mu.Unlock()
			return nil
		}
		if t.synced == nil {
			t.synced = make(chan struct{})
		}
		ch := t.synced
		t.mu.Unlock()
		select {
		case <-ch:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the log's end")
		}
	}
}
