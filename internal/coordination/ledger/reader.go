package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Timeouts of reads.
const (
	// readTimeoutMargin is how much longer than its wait a read may take before
	// it times out.
	readTimeoutMargin = 700 * time.Millisecond
	// newestPageTimeout suffices for a page of the largest size from a slow
	// store.
	newestPageTimeout = 3 * time.Second
	// firstRepeatDelay is how long after its wait a read without an answer is
	// repeated beside it. A read is sized to take less.
	firstRepeatDelay = 300 * time.Millisecond
	// pageRepeatInterval is the time after which a page of the newest records is
	// asked for again. A page takes some 0.4 s on the smallest link.
	pageRepeatInterval = 800 * time.Millisecond
	// minRepeatInterval is the shortest time between two repeats. For a reader
	// whose reads wait long it is half of that wait.
	minRepeatInterval = 200 * time.Millisecond
)

// Batch is the result of one read.
type Batch struct {
	Reset          bool      // the reader started over: the records delivered before are no longer valid
	Records        []Record  // in order
	NextOffset     int64     // offset after Records
	CompleteOffset int64     // only if Reset: the state is complete once the log has been read up to this offset
	CaughtUp       bool      // the read reached the end of the log and the state is complete
	AfterSilence   bool      // the store had left an earlier read without an answer
	SentAt         time.Time // when the read was sent
	// SentUptime is Reader.Uptime from before the read was sent. It is 0 for a load
	// and for a read that failed.
	SentUptime time.Duration
	Err        error // error of the read; the other fields but SentAt are then empty
}

// Reader reads the log continuously. Its exported fields must be set before Run
// is called and not changed later.
type Reader struct {
	Log Log
	// MaxReadWait is how long a read waits for a record.
	MaxReadWait time.Duration
	// ReadInterval returns the shortest time from the start of one read to that
	// of the next.
	ReadInterval func() time.Duration
	// Deliver is called with each batch, in order, by the goroutine of Run.
	Deliver func(Batch)
	// Now returns the present time.
	Now func() time.Time
	// Uptime returns the time of a clock that also counts while the machine is
	// suspended. If nil, batches have no SentUptime.
	Uptime func() time.Duration

	size    ReadSize // used by Run only
	failing bool     // the last read failed; used by Run only
	loading *Batch   // the pages of a load that is not complete; used by Run only
	after   string   // the last key in loading; used by Run only

	mu               sync.Mutex    // guards the fields below
	nextCaughtUp     chan struct{} // closed after the next read that reaches the end of the log; nil if nobody waits
	caughtUpAt       time.Time     // start of the last read that reached the end of the log
	restartRequested bool
}

// Run reads and delivers batches until ctx ends. It must be called once.
func (r *Reader) Run(ctx context.Context) {
	next, completeAt := int64(-1), int64(0)
	for ctx.Err() == nil {
		start := r.Now()
		var b Batch
		if r.takeRestartRequest() {
			next = -1 // remains until the newest records have been read
			r.loading = nil
		}
		if next < 0 {
			b = r.loadNewest(ctx, start)
			completeAt = b.CompleteOffset
		} else {
			b = r.read(ctx, next, start)
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
		r.Deliver(b)
		r.notifyCaughtUp(b)
		pause := r.ReadInterval() - r.Now().Sub(start)
		if b.Err != nil {
			pause = max(pause, minRetryDelay)
		}
		if pause > 0 {
			sleep(ctx, pause)
		}
	}
}

// Restart makes the reader start over with the newest record of each key.
func (r *Reader) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restartRequested = true
}

// takeRestartRequest reports whether a restart was requested, and clears the
// request.
func (r *Reader) takeRestartRequest() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	requested := r.restartRequested
	r.restartRequested = false
	return requested
}

// loadNewest reads the newest record of each key. Records may be appended
// between the pages, so the log must then be read from where it ended at the
// first page. The state is complete once it has been read to where it ended at
// the last page. After a failed page the next call goes on with that page, so
// that a large state is loaded although some of its pages fail.
func (r *Reader) loadNewest(ctx context.Context, start time.Time) Batch {
	if r.loading == nil {
		r.loading, r.after = &Batch{Reset: true, NextOffset: -1}, ""
	}
	b := r.loading
	for {
		page, err := r.readNewestPage(ctx, r.after)
		if err != nil {
			return Batch{Err: err, SentAt: start}
		}
		b.Records = append(b.Records, page.Records...)
		if b.NextOffset < 0 {
			b.NextOffset = page.LogEnd
		}
		b.CompleteOffset = page.LogEnd
		if !page.More || page.LastKey == "" {
			r.loading = nil
			b.SentAt = start
			return *b
		}
		r.after = page.LastKey
	}
}

func (r *Reader) readNewestPage(ctx context.Context, after string) (NewestPage, error) {
	o := overlapping{firstDelay: pageRepeatInterval, interval: pageRepeatInterval, timeout: newestPageTimeout}
	pages := make([]NewestPage, o.maxAttempts())
	o.call = func(ctx context.Context, attempt int) (err error) {
		pages[attempt], err = r.Log.ReadNewest(ctx, after)
		return err
	}
	n, err := o.run(ctx)
	return pages[n], err
}

// read reads the log from an offset. Repeats of the read do not wait for records
// and ask for few of them.
func (r *Reader) read(ctx context.Context, from int64, start time.Time) Batch {
	wait := r.MaxReadWait
	o := overlapping{firstDelay: wait + firstRepeatDelay, interval: r.repeatInterval(), timeout: wait + readTimeoutMargin}
	if r.failing {
		wait, o.firstDelay = 0, o.interval
	}
	size := r.size.Bytes()
	results := make([]readResult, o.maxAttempts())
	o.call = func(ctx context.Context, attempt int) (err error) {
		// The clocks are read before the read is sent: the process may be frozen
		// between any two instructions, and the batch must not look newer than it is.
		res := readResult{first: attempt == 0, sentAt: r.Now(), sentUptime: r.uptime()}
		if res.first {
			res.page, err = r.Log.Read(ctx, from, size, wait)
		} else {
			res.page, err = r.Log.Read(ctx, from, minReadBytes, 0)
		}
		res.err = err
		results[attempt] = res
		return err
	}
	n, _ := o.run(ctx) // the result has the error
	return r.finishRead(results[n], start, o.timeout)
}

// readResult is the result of one attempt of a read.
type readResult struct {
	page   Page
	err    error
	first  bool // of the attempts of its read
	sentAt time.Time
	// sentUptime is the uptime from before the attempt.
	sentUptime time.Duration
}

func (r *Reader) uptime() time.Duration {
	if r.Uptime == nil {
		return 0
	}
	return r.Uptime()
}

func (r *Reader) repeatInterval() time.Duration { return max(minRepeatInterval, r.MaxReadWait/2) }

// finishRead returns the batch of a read that began at start and updates the size
// of the next one. The answer of a repeat tells that the read itself took too
// long.
func (r *Reader) finishRead(res readResult, start time.Time, timeout time.Duration) Batch {
	silent := r.failing || !res.first
	r.failing = res.err != nil
	switch {
	case res.first:
		r.size.Update(res.page, res.err, r.Now().Sub(start), timeout)
	default:
		r.size.Update(Page{}, errNoAnswerYet, timeout, timeout)
	}
	if res.err != nil {
		return Batch{Err: res.err, SentAt: start}
	}
	next := res.page.FirstOffset + int64(len(res.page.Records))
	return Batch{Records: res.page.Records, NextOffset: next, CaughtUp: next >= res.page.LogEnd, AfterSilence: silent, SentAt: res.sentAt, SentUptime: res.sentUptime}
}

// notifyCaughtUp wakes the callers of Sync after a batch that reached the end
// of the log was delivered.
func (r *Reader) notifyCaughtUp(b Batch) {
	if b.Err != nil || !b.CaughtUp {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.caughtUpAt = b.SentAt
	if r.nextCaughtUp != nil {
		close(r.nextCaughtUp)
		r.nextCaughtUp = nil
	}
}

// Sync waits until all records that were in the log when it was called have
// been delivered. If ctx ends first it returns the error of ctx.
func (r *Reader) Sync(ctx context.Context) error {
	calledAt := r.Now()
	for {
		r.mu.Lock()
		if r.caughtUpAt.After(calledAt) {
			r.mu.Unlock()
			return nil
		}
		if r.nextCaughtUp == nil {
			r.nextCaughtUp = make(chan struct{})
		}
		nextCaughtUp := r.nextCaughtUp
		r.mu.Unlock()
		select {
		case <-nextCaughtUp:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for a read that reaches the end of the log")
		}
	}
}
