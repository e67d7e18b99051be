package admit

import (
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestOutageMultipliesTriesAtReplicas replays an outage in which callers arrive
// at an instance all the time and each refused one returns when it was told. It
// guards against an instance that tries each call at several replicas although
// all of them refuse, and against one that still refuses calls when they don't.
func TestOutageMultipliesTriesAtReplicas(t *testing.T) {
	const (
		callersPerSecond  = 20
		attempts          = 5
		outage            = 4200 * time.Millisecond
		maxTriesPerSecond = 12                     // in the outage
		maxDelay          = 120 * time.Millisecond // from its end until no call is refused
	)
	begin := time.Unix(1_800_000_000, 0)
	end := begin.Add(outage)
	var b Breaker
	var calls []time.Time
	for i := range 8 * callersPerSecond {
		calls = append(calls, begin.Add(-time.Second+time.Duration(i)*time.Second/callersPerSecond))
	}
	tries := 0
	var lastRefusal time.Time
	for round := 1; len(calls) > 0; round++ {
		// Calls are made in the order of time: those that return come in between.
		next := 0
		for i := range calls {
			if calls[i].Before(calls[next]) {
				next = i
			}
		}
		now := calls[next]
		calls = append(calls[:next], calls[next+1:]...)
		accepted := false
		for range b.Tries(now) {
			down := !now.Before(begin) && now.Before(end)
			if down {
				tries++
			}
			b.Note(!down)
			if !down {
				accepted = true
				break
			}
		}
		if accepted {
			continue
		}
		lastRefusal = now
		if back := now.Add(RetryAfter(&flow.Policy{SlackMs: 250})); back.Before(begin.Add(attempts * time.Second)) {
			calls = append(calls, back)
		}
	}
	if most := int(maxTriesPerSecond*outage.Seconds()) + MaxTries; tries > most {
		t.Errorf("got %d tries in the outage, want at most %d", tries, most)
	}
	if took := lastRefusal.Sub(end); took > maxDelay {
		t.Errorf("a call was refused %v after the outage; want none later than %v", took, maxDelay)
	}
}
