package admit

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Retry delays of refused calls, in whole seconds as the HTTP header needs them.
// An instance refuses a call at once while it can't store it: while the store is
// away, which lasts four to six seconds, or while its failure domain is cut off.
const (
	// shortRetryAfter is for queues whose slack is at most shortRetrySlackMs: a job
	// that comes back late is of little use to its caller.
	shortRetryAfter   = time.Second
	shortRetrySlackMs = 500
	// longRetryAfter is for the others. Callers try four times, so the attempts of a
	// patient caller outlast the outage.
	longRetryAfter = 2 * time.Second
)

// RetryAfter returns the delay after which a caller should repeat a call of a
// queue with the policy p that was not carried out. p is nil if the queue is not
// known.
func RetryAfter(p *flow.Policy) time.Duration {
	if p == nil || p.SlackMs <= shortRetrySlackMs {
		return shortRetryAfter
	}
	return longRetryAfter
}
