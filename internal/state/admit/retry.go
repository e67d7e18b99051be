package admit

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Retry delays of refused calls, in whole seconds as the HTTP header needs them.
// An instance refuses a call at once while it can't store it: while the store is
// away, which lasts four to six seconds, or while its failure domain is cut off.
// Callers try four times more, so at the beginning of an outage they are asked to
// come back later than in its last seconds.
const (
	// shortRetryAfter is for queues whose slack is at most shortRetrySlackMs: a job
	// that comes back late is of little use to its caller.
	shortRetryAfter   = time.Second
	shortRetrySlackMs = 500
	// longRetryAfter is for the others, and for all in the first earlyOutage of an
	// outage.
	longRetryAfter = 2 * time.Second
	earlyOutage    = 3 * time.Second
	// maxRefusalGap is the time without a refusal after which an outage is over.
	maxRefusalGap = 1500 * time.Millisecond
)

// RetryAfter returns the delay after which a caller should repeat a call of a
// queue with the policy p that was not carried out. p is nil if the queue is not
// known. outage is for how long the instance has refused calls.
func RetryAfter(p *flow.Policy, outage time.Duration) time.Duration {
	if p == nil || p.SlackMs <= shortRetrySlackMs && outage >= earlyOutage {
		return shortRetryAfter
	}
	return longRetryAfter
}

// Outage is the time in which an instance refuses calls. The zero Outage is over.
type Outage struct {
	Since time.Time // of the first refusal
	Last  time.Time // of the newest refusal
}

// Note records whether a call was refused, and returns for how long calls have
// been.
func (o *Outage) Note(now time.Time, refused bool) time.Duration {
	if !refused {
		*o = Outage{}
		return 0
	}
	if now.Sub(o.Last) > maxRefusalGap {
		o.Since = now
	}
	o.Last = now
	return now.Sub(o.Since)
}
