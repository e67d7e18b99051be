package admit

import "time"

// Limits of tries at replicas.
const (
	// MaxTries is at how many replicas a call is tried that each of them refuses.
	MaxTries = 4
	// trialInterval is the time between two trials while replicas refuse all
	// calls. Callers who are refused meanwhile return a second later.
	trialInterval = 100 * time.Millisecond
)

// Breaker decides at how many replicas an instance tries a call, from how its
// earlier calls ended. While all are refused it lets one through now and then.
//
// It answers the load of an outage of the store: every replica refuses every
// call, every caller returns after a second, and calls that each are tried at
// several replicas take the processors that are needed when the store is back.
//
// The zero Breaker lets all calls through.
type Breaker struct {
	InVain  int       // tries in a row that were refused or not answered
	TrialAt time.Time // when a call was last let through
}

// Tries returns at how many replicas a call may be tried now. With none it has
// to be refused at once.
func (b *Breaker) Tries(now time.Time) int {
	switch {
	case b.InVain < MaxTries:
		b.TrialAt = now
		return MaxTries
	case now.Sub(b.TrialAt) < trialInterval:
		return 0
	}
	b.TrialAt = now
	return 1
}

// Note records the outcome of a try: whether a replica carried the call out or
// told its result.
func (b *Breaker) Note(ok bool) {
	if ok {
		b.InVain = 0
		return
	}
	b.InVain++
}
