package stream

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Bounds of one append.
const (
	maxAppendRecords = 2000
	maxQueuedRecords = 50000
	appendTimeout    = 5 * time.Second
)

// Appender gathers records into few appends: while one append is under way, or
// the interval since the last has not passed, further records wait for the next.
type Appender struct {
	log      ledger.Log
	stream   string
	interval time.Duration

	mu    sync.Mutex
	queue []*item
	wake  chan struct{}
	done  chan struct{}
}

type item struct {
	content []byte
	result  chan error
}

// NewAppender gives an appender that appends at most once in each interval.
func NewAppender(log ledger.Log, stream string, interval time.Duration) *Appender {
	return &Appender{log: log, stream: stream, interval: interval, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Done is closed when Run has ended.
func (a *Appender) Done() <-chan struct{} { return a.done }

// Append adds one record's content. An error leaves open whether it took effect.
func (a *Appender) Append(ctx context.Context, content []byte) error {
	it := &item{content: content, result: make(chan error, 1)}
	a.mu.Lock()
	if len(a.queue) >= maxQueuedRecords {
		a.mu.Unlock()
		return errors.Errorf("append to %s: %d records wait already", a.stream, maxQueuedRecords)
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

// Run appends until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	defer close(a.done)
	for {
		select {
		case <-ctx.Done():
			a.fail(ctx.Err())
			return
		case <-a.wake:
		}
		for a.flush(ctx) {
			sleep(ctx, a.interval)
		}
	}
}

func (a *Appender) flush(ctx context.Context) bool {
	batch := a.take()
	if len(batch) == 0 {
		return false
	}
	records := make([]ledger.Record, 0, len(batch))
	for _, it := range batch {
		records = append(records, ledger.Record{Key: keyRecord, Value: it.content})
	}
	err := add(ctx, a.log, records)
	for _, it := range batch {
		it.result <- err
	}
	return true
}

// add appends records without a producer: a repeat stands in the stream twice,
// which folds tell.
func add(ctx context.Context, log ledger.Log, records []ledger.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := log.Append(ctx, ledger.Producer{}, 0, records)
	return err
}

func (a *Appender) take() []*item {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := min(len(a.queue), maxAppendRecords)
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	return batch
}

func (a *Appender) fail(err error) {
	for {
		batch := a.take()
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
