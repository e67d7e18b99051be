package admit

import (
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestCallersReturnAfterOutage replays outages of the store during which callers
// arrive all the time, are refused at once, and come back when they are told.
func TestCallersReturnAfterOutage(t *testing.T) {
	const attempts = 5 // the first one and four more
	tests := []struct {
		name   string
		policy *flow.Policy
		// maxWait is the longest time from the end of the outage until a caller is
		// back that still has an attempt.
		maxWait time.Duration
		// allReturn is set if no caller may run out of attempts in the outage.
		allReturn bool
	}{
		{"urgent", &flow.Policy{SlackMs: 250}, time.Second, false},
		{"patient", &flow.Policy{SlackMs: 3000}, 2 * time.Second, true},
		{"unknown queue", nil, time.Second, false},
	}
	for _, tt := range tests {
		for _, outage := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second} {
			t.Run(tt.name+" "+outage.String(), func(t *testing.T) {
				for arrival := time.Duration(0); arrival < outage; arrival += 100 * time.Millisecond {
					at, n := arrival, 1
					for at < outage && n < attempts {
						at += RetryAfter(tt.policy)
						n++
					}
					switch {
					case at < outage && tt.allReturn:
						t.Errorf("the caller that arrived after %v has no attempt left at the end of an outage of %v", arrival, outage)
					case at >= outage && at-outage > tt.maxWait:
						t.Errorf("the caller that arrived after %v is back %v after the outage; want at most %v", arrival, at-outage, tt.maxWait)
					}
				}
			})
		}
	}
}
