package stream

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Limits of one append and of the queue.
const (
	maxAppendRecords = 2000
	maxQueuedRecords = 50000
	appendTimeout    = 5 * time.Second
)

// Appender batches records into few appends: while an append is in progress, or
// the interval since the last one has not passed, further records are queued
// for the next. It is safe for concurrent use.
type Appender struct {
	log      ledger.Log
	stream   string
	interval time.Duration

	mu    sync.Mutex // guards queue
	queue []*queuedRecord
	wake  chan struct{}
	done  chan struct{}
}

// queuedRecord is a record that a caller waits to have appended.
type queuedRecord struct {
	content []byte
	result  chan error
}

// NewAppender returns an Appender that appends at most once per interval. Run
// must be called to start it.
func NewAppender(log ledger.Log, stream string, interval time.Duration) *Appender {
	return &Appender{log: log, stream: stream, interval: interval, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (a *Appender) Done() <-chan struct{} { return a.done }

// Append queues one record with the content and returns once it has been
// appended. It fails without appending when the queue is full. After any other
// error the record may have been appended all the same.
func (a *Appender) Append(ctx context.Context, content []byte) error {
	it := &queuedRecord{content: content, result: make(chan error, 1)}
	a.mu.Lock()
	if len(a.queue) >= maxQueuedRecords {
		a.mu.Unlock()
		return errors.Errorf("append to %s: limit of %d queued records reached", a.stream, maxQueuedRecords)
	}
	a.queue = append(a.queue, it)
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	select {
	case err := <-it.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run appends the queued records until ctx ends. Those still queued then fail.
// It must be called once.
func (a *Appender) Run(ctx context.Context) {
	defer close(a.done)
	for {
		select {
		case <-ctx.Done():
			a.failQueued(ctx.Err())
			return
		case <-a.wake:
		}
		for a.flush(ctx) {
			sleep(ctx, a.interval)
		}
	}
}

func (a *Appender) flush(ctx context.Context) bool {
	batch := a.nextBatch()
	if len(batch) == 0 {
		return false
	}
	records := make([]ledger.Record, 0, len(batch))
	for _, it := range batch {
		records = append(records, ledger.Record{Key: recordKey, Value: it.content})
	}
	err := appendRecords(ctx, a.log, records)
	for _, it := range batch {
		it.result <- err
	}
	return true
}

// appendRecords appends records without a producer. The store therefore does
// not deduplicate a retry; the state machines do.
func appendRecords(ctx context.Context, log ledger.Log, records []ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := log.Append(ctx, ledger.Producer{}, 0, records)
	return err
}

func (a *Appender) nextBatch() []*queuedRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.queue), maxAppendRecords)
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	return batch
}

func (a *Appender) failQueued(err error) {
	for {
		batch := a.nextBatch()
		if len(batch) == 0 {
			return
		}
		for _, it := range batch {
			it.result <- err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
