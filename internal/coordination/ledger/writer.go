package ledger

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/go-faster/errors"
)

// Bounds of one append.
const (
	// appendTimeout is several times the store's usual answer, so that a lost
	// answer is asked for again within the callers' patience.
	appendTimeout = 500 * time.Millisecond
	// slowestAppend bounds a repeated try against a store that has become slow.
	slowestAppend = 4 * time.Second
	retryPause    = 50 * time.Millisecond
	longestPause  = 400 * time.Millisecond
)

// Writer appends under one producer, one call at a time. It repeats a call whose
// outcome is not known until the store tells, so the next call never overtakes it.
type Writer struct {
	log      Log
	producer Producer
	seq      int64 // of the last append that was answered

	// Unsure is called when an answer stays away, with the count of tries so far.
	Unsure func(err error, tries int)
}

// NewWriter gives a writer whose first append has sequence number seq+1.
func NewWriter(log Log, p Producer, seq int64) *Writer {
	return &Writer{log: log, producer: p, seq: seq, Unsure: func(error, int) {}}
}

// Append writes the records and gives the offset after them. It returns a
// *RefusedError only if nothing was written, a *FencedError if the producer has
// lost its right, and otherwise tries on until ctx ends.
func (w *Writer) Append(ctx context.Context, records []Record) (int64, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.MaxElapsedTime = retryPause, longestPause, 0
	wait := appendTimeout
	for tries := 1; ; tries++ {
		end, err := w.try(ctx, wait, records)
		var refused *RefusedError
		var fenced *FencedError
		var seq *SequenceError
		switch {
		case err == nil:
			w.seq++
			return end, nil
		case errors.As(err, &fenced):
			return 0, err
		case errors.As(err, &refused) && tries == 1:
			return 0, err
		case errors.As(err, &seq):
			return 0, err
		}
		w.Unsure(err, tries)
		wait = min(2*wait, slowestAppend)
		if !sleep(ctx, pause.NextBackOff()) {
			return 0, errors.Wrapf(err, "append by %s, seq %d, after %d tries", w.producer.Name, w.seq+1, tries)
		}
	}
}

func (w *Writer) try(ctx context.Context, wait time.Duration, records []Record) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return w.log.Append(ctx, w.producer, w.seq+1, records)
}

// sleep waits for d and reports whether ctx still holds.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
