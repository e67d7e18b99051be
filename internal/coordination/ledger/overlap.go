package ledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
)

// overlapping makes a call that may be repeated without harm. While it has no
// answer, it is repeated beside the first try: a call that was lost in an outage
// gets none, although the store may answer again.
type overlapping struct {
	firstDelay time.Duration // until the first repeat
	interval   time.Duration // between two repeats
	timeout    time.Duration // of the whole
	// call makes one attempt. Attempts are numbered from 0.
	call func(ctx context.Context, attempt int) error
}

// maxAttempts returns the number of attempts that there may be.
func (o *overlapping) maxAttempts() int { return 2 + int(o.timeout/o.interval) }

// run makes attempts until one succeeds or none is under way any more. It returns
// the number of the attempt that ended last, and its error. An *ExpiredError is
// returned at once. All attempts have ended when it returns.
func (o *overlapping) run(ctx context.Context) (attempt int, err error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	attempts := parts.New()
	defer attempts.Wait()
	defer cancel()
	type result struct {
		attempt int
		err     error
	}
	results := make(chan result, o.maxAttempts())
	sent, inFlight := 0, 0
	send := func() {
		n := sent
		sent++
		inFlight++
		attempts.Go(func() { results <- result{n, o.call(ctx, n)} })
	}
	send()
	repeat := time.NewTimer(o.firstDelay)
	defer repeat.Stop()
	for {
		select {
		case res := <-results:
			inFlight--
			var expired *ExpiredError
			if res.err == nil || inFlight == 0 || errors.As(res.err, &expired) {
				return res.attempt, res.err
			}
		case <-repeat.C:
			if sent < o.maxAttempts() {
				send()
			}
			repeat.Reset(o.interval)
		case <-attempts.Panicked():
			attempts.Wait() // panics
		}
	}
}
