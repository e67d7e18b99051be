package ledger

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v4"
	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
)

// Bounds of one append.
const (
	// leastPatience is how long an answer may stay away at least before the append
	// is repeated beside the first try: several times the store's usual 7 ms.
	// Otherwise it is patienceFactor times what answers took lately, so that a slow
	// store is not asked for everything twice.
	leastPatience  = 100 * time.Millisecond
	mostPatience   = 2 * time.Second
	patienceFactor = 4
	// patienceGrowth lengthens it with each try of one append.
	patienceGrowth = 1.5
	// slowerWeight and quickerWeight are the weights of one more answer in the
	// usual time, if it took longer and if it took less.
	slowerWeight  = 0.5
	quickerWeight = 0.2
	// mostOpen is the number of tries that may be without an answer at a time. One
	// that is given up can't be answered any more, so none is before its time-out.
	mostOpen = 6
	// tryTimeout ends one try: connections may have gone silent.
	tryTimeout = 4 * time.Second
	// retryPause follows a try that failed at once; it grows up to longestPause.
	retryPause   = 50 * time.Millisecond
	longestPause = 250 * time.Millisecond
)

// Writer appends under one producer, one call at a time. It repeats a call whose
// outcome is not known until the store tells, so the next call never overtakes it.
type Writer struct {
	log      Log
	producer Producer
	seq      int64         // of the last append that was answered
	usual    time.Duration // what answers took lately
	now      func() time.Time

	// Unsure is called when an answer stays away, with the count of tries so far.
	Unsure func(err error, tries int)
}

// NewWriter gives a writer whose first append has sequence number seq+1.
func NewWriter(log Log, p Producer, seq int64, now func() time.Time) *Writer {
	return &Writer{log: log, producer: p, seq: seq, now: now, Unsure: func(error, int) {}}
}

// answer is how one try ended.
type answer struct {
	end  int64
	err  error
	took time.Duration
}

// Append writes the records and gives the offset after them. It returns a
// *RefusedError only if nothing was written, a *FencedError if the producer has
// lost its right, and otherwise tries on until ctx ends.
func (w *Writer) Append(ctx context.Context, records []Record) (int64, error) {
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	tries := conc.NewWaitGroup()
	defer tries.Wait()
	defer cancel()
	answers := make(chan answer, mostOpen)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.MaxElapsedTime = retryPause, longestPause, 0
	sent, open, unknown := 0, 0, 0
	send := func() {
		sent++
		open++
		tries.Go(func() { answers <- w.try(ctx, records) })
	}
	send()
	patience := w.patience()
	again := time.NewTimer(patience)
	defer again.Stop()
	for {
		select {
		case a := <-answers:
			open--
			var refused *RefusedError
			var fenced *FencedError
			var seq *SequenceError
			switch {
			case a.err == nil:
				w.seq++
				w.note(a.took)
				return a.end, nil
			case errors.As(a.err, &fenced), errors.As(a.err, &seq):
				return 0, a.err
			case !errors.As(a.err, &refused):
				unknown++
				w.Unsure(a.err, sent)
			case open == 0 && unknown == 0:
				return 0, a.err
			}
			again.Reset(pause.NextBackOff())
		case <-again.C:
			if open < mostOpen {
				w.Unsure(errNoAnswerYet, sent)
				send()
			}
			patience = min(mostPatience, time.Duration(patienceGrowth*float64(patience)))
			again.Reset(patience)
		case <-outer.Done():
			return 0, errors.Wrapf(outer.Err(), "append by %s, seq %d, after %d tries", w.producer.Name, w.seq+1, sent)
		}
	}
}

var errNoAnswerYet = errors.New("no answer yet")

func (w *Writer) patience() time.Duration {
	return min(mostPatience, max(leastPatience, patienceFactor*w.usual))
}

// note takes how long an answer took.
func (w *Writer) note(took time.Duration) {
	weight := quickerWeight
	if took > w.usual {
		weight = slowerWeight
	}
	w.usual += time.Duration(weight * float64(took-w.usual))
}

func (w *Writer) try(ctx context.Context, records []Record) answer {
	began := w.now()
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	end, err := w.log.Append(ctx, w.producer, w.seq+1, records)
	return answer{end: end, err: err, took: w.now().Sub(began)}
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
