package admit

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

const (
	// MaxLoadAge is the age of a summary beyond which nothing is refused by it. It is
	// four times the interval of the summaries.
	MaxLoadAge = 2 * time.Second
	// uselessFactor is the multiple of its objective beyond which the completion of a
	// job is worth nothing.
	uselessFactor = 3
	// waitMargin is the part of an expected wait that is left out of account, because
	// a wrong refusal costs a job and a wrong acceptance only a place at the end of
	// the order. Each earlier refusal of the same job adds marginPerRefusal, for at
	// most maxRefusalsCounted of them, so that a client that comes back goes before
	// new ones.
	waitMargin         = 0.2
	marginPerRefusal   = 0.1
	maxRefusalsCounted = 3
	// minSpread is the least time over which refused clients are spread. Retry-After
	// is in whole seconds.
	minSpread = time.Second
	// maxRetryAfter is the longest Retry-After.
	maxRetryAfter = time.Minute
	// maxWait bounds the durations of this package, so that sums don't overflow.
	maxWait = 24 * time.Hour
)

// Reading is the newest summary that an instance has read.
type Reading struct {
	Load *Load         // nil if there is none
	Age  time.Duration // upper bound of the time since the summary was stored
	Term int64         // newest term that the instance knows
}

// usable reports whether jobs may be refused by the summary.
func (r *Reading) usable() bool {
	return r.Load != nil && r.Load.Term == r.Term && r.Age >= 0 && r.Age <= MaxLoadAge
}

// Reason is why a job is refused.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = ""         // it is accepted
	ReasonBacklog  Reason = "backlog"  // of all work that goes before it
	ReasonCustomer Reason = "customer" // of its customer's own work
	ReasonTooLong  Reason = "too-long" // it takes too long even without a wait
)

// Verdict is the decision on a job. The other fields but Reason are set only if the
// job is refused.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration // in whole seconds
	End        time.Duration // expected time until the job is complete
	Objective  time.Duration
}

// Decide decides whether to accept a job at the time now, of which the same
// instance has refused the given number of submissions before. It refuses a job
// that can't be expected to complete while that is of any use. Jobs that start
// later, have several rounds, never end or have no objective are accepted.
func Decide(now time.Time, s *flow.Spec, r Reading, refusals int) Verdict {
	objective := milliseconds(s.ObjectiveMs())
	if !r.usable() || objective <= 0 || s.Repeat.Times > 1 || s.Repeat.FirstStartMs > now.UnixMilli() {
		return Verdict{}
	}
	g := r.Load.group(s.Queue)
	if g == nil || g.All.Rate <= 0 {
		return Verdict{}
	}
	workMs := 0.0
	for i := range s.Steps {
		st := &s.Steps[i]
		if st.LongRunning {
			return Verdict{}
		}
		if !st.Filling {
			workMs += float64(st.Count) * float64(st.Size.CPU) / 1000 * float64(st.EstimateMs)
		}
	}
	chain := milliseconds(s.LongestChainMs())
	run := max(chain, g.All.timeFor(workMs))
	wait, reason := g.All.wait(objective), ReasonBacklog
	if own := g.Customers[s.Customer].withoutHeadroom(chain).wait(objective); own < wait {
		wait, reason = own, ReasonCustomer
	}
	counted := time.Duration(float64(wait) * (1 - waitMargin - marginPerRefusal*float64(min(refusals, maxRefusalsCounted))))
	limit := uselessFactor * objective
	excess := counted + run - limit
	if counted == 0 || excess <= 0 {
		return Verdict{}
	}
	if run > limit {
		reason = ReasonTooLong
	}
	return Verdict{Reason: reason, RetryAfter: retryAfter(s.ID, excess, limit, run > limit), End: wait + run, Objective: objective}
}

// milliseconds returns a duration of at most maxWait.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(ms, maxWait.Milliseconds())) * time.Millisecond
}

// retryAfter returns the Retry-After of a job whose expected end is by excess later
// than limit. Clients are spread over the length of the excess after its end. If it
// is longer than limit, the job can't be served in a time that is of use to its
// client, which is told to come back after twice that time; hopeless means that the
// job would not be served at any load.
func retryAfter(id string, excess, limit time.Duration, hopeless bool) time.Duration {
	switch {
	case hopeless:
		excess = maxRetryAfter / 2
	case excess > limit:
		excess = min(2*excess, maxRetryAfter/2)
	}
	h := fnv.New32a()
	h.Write([]byte(id)) // never fails
	spread := max(excess, minSpread).Seconds() * float64(h.Sum32()) / (1 << 32)
	seconds := math.Ceil(excess.Seconds() + spread)
	return min(time.Duration(max(seconds, 1))*time.Second, maxRetryAfter)
}
