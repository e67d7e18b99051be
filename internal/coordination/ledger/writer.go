package ledger

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
)

// Limits of one append.
const (
	// If an attempt has no answer after the hedge delay, another one is made
	// while the first is still in flight. The hedge delay is hedgeDelayFactor
	// times the average answer time, so that a slow store does not get every
	// append twice, and at least minHedgeDelay, which is several times the
	// store's usual answer time of 7 ms.
	minHedgeDelay    = 100 * time.Millisecond
	maxHedgeDelay    = 2 * time.Second
	hedgeDelayFactor = 4
	// hedgeDelayGrowth multiplies the hedge delay after each attempt of an
	// append.
	hedgeDelayGrowth = 1.5
	// slowerAnswerWeight and fasterAnswerWeight are the weights of a new answer in
	// the average answer time, if it is slower or faster than the average.
	slowerAnswerWeight = 0.5
	fasterAnswerWeight = 0.2
	// maxAttemptsInFlight limits the attempts without an answer. An attempt is not
	// cancelled before its timeout, since its answer would then be lost.
	maxAttemptsInFlight = 6
	// maxExtraAttempts is how many more there may be after RetryNow.
	maxExtraAttempts = 3
	// attemptTimeout ends an attempt, since its connection may be dead.
	attemptTimeout = 4 * time.Second
	// minRetryDelay is the first delay after a failed attempt; further delays
	// grow up to maxRetryDelay. It is also the shortest delay after a failed
	// read.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
)

// Writer appends records under one producer. It repeats an append with an
// unknown outcome until the store answers, so that the next one can't overtake
// it. It is not safe for concurrent use.
type Writer struct {
	log               Log
	producer          Producer
	seq               int64         // sequence number of the last append that succeeded
	averageAnswerTime time.Duration // moving average
	now               func() time.Time
	retry             chan struct{} // signals Append to make another attempt

	// OnUnanswered is called when an attempt ends without a known outcome, and
	// before each further attempt of the same append. tries is the number of
	// attempts so far.
	OnUnanswered func(err error, tries int)
}

// NewWriter returns a Writer whose first append has sequence number seq+1.
func NewWriter(log Log, p Producer, seq int64, now func() time.Time) *Writer {
	return &Writer{log: log, producer: p, seq: seq, now: now, retry: make(chan struct{}, 1), OnUnanswered: func(error, int) {}}
}

// RetryNow makes an append under way try again at once, as the store has shown
// that it answers. It may be called at any time by any goroutine.
func (w *Writer) RetryNow() {
	select {
	case w.retry <- struct{}{}:
	default:
	}
}

// attemptResult is the result of one attempt of an append.
type attemptResult struct {
	end      int64
	err      error
	duration time.Duration
}

// Append appends the records and returns the offset after them. It returns a
// *RefusedError only if nothing was appended, a *FencedError if a producer with
// a higher epoch has appended, and a *SequenceError if the store expects another
// sequence number. Otherwise it repeats the append until ctx ends; after that
// error the outcome is unknown.
func (w *Writer) Append(ctx context.Context, records []Record) (int64, error) {
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	attempts := parts.New()
	defer attempts.Wait()
	defer cancel()
	results := make(chan attemptResult, maxAttemptsInFlight+maxExtraAttempts)
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval, retryDelay.MaxElapsedTime = minRetryDelay, maxRetryDelay, 0
	sent, inFlight, outcomesUnknown := 0, 0, 0
	select {
	case <-w.retry: // meant for an earlier append
	default:
	}
	send := func() {
		sent++
		inFlight++
		attempts.Go(func() { results <- w.attempt(ctx, records) })
	}
	send()
	hedgeDelay := w.hedgeDelay()
	nextAttempt := time.NewTimer(hedgeDelay)
	defer nextAttempt.Stop()
	for {
		select {
		case res := <-results:
			inFlight--
			var refused *RefusedError
			var fenced *FencedError
			var sequence *SequenceError
			switch {
			case res.err == nil:
				w.seq++
				w.updateAverage(res.duration)
				return res.end, nil
			case errors.As(res.err, &fenced), errors.As(res.err, &sequence):
				return 0, res.err
			case !errors.As(res.err, &refused):
				outcomesUnknown++
				w.OnUnanswered(res.err, sent)
			case inFlight == 0 && outcomesUnknown == 0:
				return 0, res.err
			}
			nextAttempt.Reset(retryDelay.NextBackOff())
		case <-nextAttempt.C:
			if inFlight < maxAttemptsInFlight {
				w.OnUnanswered(errNoAnswerYet, sent)
				send()
			}
			hedgeDelay = min(maxHedgeDelay, time.Duration(hedgeDelayGrowth*float64(hedgeDelay)))
			nextAttempt.Reset(hedgeDelay)
		case <-w.retry:
			if inFlight < maxAttemptsInFlight+maxExtraAttempts {
				w.OnUnanswered(errNoAnswerYet, sent)
				send()
			}
		case <-attempts.Panicked():
			attempts.Wait() // panics
		case <-callerCtx.Done():
			return 0, errors.Wrapf(callerCtx.Err(), "append by producer %s with sequence number %d: no result after %d attempts", w.producer.Name, w.seq+1, sent)
		}
	}
}

// errNoAnswerYet is reported before an append is repeated.
var errNoAnswerYet = errors.New("no answer yet")

// hedgeDelay returns how long to wait for an answer before the next attempt.
func (w *Writer) hedgeDelay() time.Duration {
	return min(maxHedgeDelay, max(minHedgeDelay, hedgeDelayFactor*w.averageAnswerTime))
}

// updateAverage adds the duration of an answered attempt to the average. It
// rises faster than it falls.
func (w *Writer) updateAverage(duration time.Duration) {
	weight := fasterAnswerWeight
	if duration > w.averageAnswerTime {
		weight = slowerAnswerWeight
	}
	w.averageAnswerTime += time.Duration(weight * float64(duration-w.averageAnswerTime))
}

func (w *Writer) attempt(ctx context.Context, records []Record) attemptResult {
	start := w.now()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	end, err := w.log.Append(ctx, w.producer, w.seq+1, records)
	return attemptResult{end: end, err: err, duration: w.now().Sub(start)}
}

// sleep waits for d and returns true, or returns false once ctx ends.
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
