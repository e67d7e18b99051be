package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Timeouts of reads.
const (
	// readTimeoutMargin is the time beyond its wait after which a read times out.
	readTimeoutMargin = 700 * time.Millisecond
	// newestPageTimeout suffices for a page of the largest size from a slow store.
	newestPageTimeout = 3 * time.Second
)

// Batch is the result of one read.
type Batch struct {
	Reset          bool      // the reader started over: all records delivered before are void
	Records        []Record  // in order
	NextOffset     int64     // offset after Records
	CompleteOffset int64     // only if Reset: the state is complete once the log has been read up to this offset
	CaughtUp       bool      // the read reached the end of the log and the state is complete
	SentAt         time.Time // when the read was sent
	Err            error     // the read failed; only the time of the read is valid besides
}

// Reader reads the log continuously. Its exported fields must be set before Run is
// called and not changed later.
type Reader struct {
	Log Log
	// MaxReadWait is how long a read waits for a record.
	MaxReadWait time.Duration
	// ReadInterval returns the shortest time from the start of one read to that of the next.
	ReadInterval func() time.Duration
	// Deliver is called with each batch, in order, by the goroutine of Run.
	Deliver func(Batch)
	// Now returns the present time.
	Now func() time.Time

	mu               sync.Mutex    // guards the fields below
	nextCaughtUp     chan struct{} // closed after the next read that reaches the end of the log; nil if nobody waits
	caughtUpAt       time.Time     // start of the last read that reached the end of the log
	restartRequested bool
}

// Run reads and delivers batches until ctx ends. It must be called once.
func (t *Reader) Run(ctx context.Context) {
	next, completeAt := int64(-1), int64(0)
	for ctx.Err() == nil {
		start := t.Now()
		var b Batch
		if t.takeRestartRequest() {
			next = -1 // remains until the newest records have been read
		}
		if next < 0 {
			b = t.loadNewest(ctx, start)
			completeAt = b.CompleteOffset
		} else {
			b = t.read(ctx, next, start)
			b.CaughtUp = b.CaughtUp && b.NextOffset >= completeAt
		}
		var expired *ExpiredError
		switch {
		case b.Err == nil:
			next = b.NextOffset
		case errors.As(b.Err, &expired):
			next = -1
		}
		if ctx.Err() != nil {
			return
		}
		t.Deliver(b)
		t.notifyCaughtUp(b)
		pause := t.ReadInterval() - t.Now().Sub(start)
		if b.Err != nil {
			pause = max(pause, minRetryDelay)
		}
		if pause > 0 {
			sleep(ctx, pause)
		}
	}
}

// Restart makes the reader start over with the newest record of each key.
func (t *Reader) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restartRequested = true
}

// takeRestartRequest reports whether a restart was requested, and clears the
// request.
func (t *Reader) takeRestartRequest() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	requested := t.restartRequested
	t.restartRequested = false
	return requested
}

// loadNewest reads the newest record of each key. Records may be appended between
// the pages, so the log must then be read from where it ended at the first page.
// The state is complete once it has been read to where it ended at the last page.
func (t *Reader) loadNewest(ctx context.Context, start time.Time) Batch {
	b := Batch{Reset: true, SentAt: start, NextOffset: -1}
	for after := ""; ; {
		page, err := t.readNewestPage(ctx, after)
		if err != nil {
			return Batch{Err: err, SentAt: start}
		}
		b.Records = append(b.Records, page.Records...)
		if b.NextOffset < 0 {
			b.NextOffset = page.LogEnd
		}
		b.CompleteOffset = page.LogEnd
		if !page.More || page.LastKey == "" {
			return b
		}
		after = page.LastKey
	}
}

func (t *Reader) readNewestPage(ctx context.Context, after string) (NewestPage, error) {
	ctx, cancel := context.WithTimeout(ctx, newestPageTimeout)
	defer cancel()
	return t.Log.ReadNewest(ctx, after)
}

func (t *Reader) read(ctx context.Context, from int64, start time.Time) Batch {
	ctx, cancel := context.WithTimeout(ctx, t.MaxReadWait+readTimeoutMargin)
	defer cancel()
	page, err := t.Log.Read(ctx, from, t.MaxReadWait)
	if err != nil {
		return Batch{Err: err, SentAt: start}
	}
	next := page.FirstOffset + int64(len(page.Records))
	return Batch{Records: page.Records, NextOffset: next, CaughtUp: next >= page.LogEnd, SentAt: start}
}

// notifyCaughtUp wakes the callers of Sync after a batch that reached the end of
// the log was delivered.
func (t *Reader) notifyCaughtUp(b Batch) {
	if b.Err != nil || !b.CaughtUp {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.caughtUpAt = b.SentAt
	if t.nextCaughtUp != nil {
		close(t.nextCaughtUp)
		t.nextCaughtUp = nil
	}
}

// Sync waits until all records that were in the log when it was called have been
// delivered. If ctx ends first it returns the error of ctx.
func (t *Reader) Sync(ctx context.Context) error {
	calledAt := t.Now()
	for {
		t.mu.Lock()
		if t.caughtUpAt.After(calledAt) {
			t.mu.Unlock()
			return nil
		}
		if t.nextCaughtUp == nil {
			t.nextCaughtUp = make(chan struct{})
		}
		nextCaughtUp := t.nextCaughtUp
		t.mu.Unlock()
		select {
		case <-nextCaughtUp:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a read that reaches the end of the log")
		}
	}
}
