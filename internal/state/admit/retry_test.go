package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

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
		{"urgent", &flow.Policy{SlackMs: 250}, time.Second, true},
		{"patient", &flow.Policy{SlackMs: 3000}, 2 * time.Second, true},
		{"unknown queue", nil, time.Second, false},
	}
	for _, tt := range tests {
		for _, outage := range []time.Duration{4 * time.Second, 5 * time.Second, 6 * time.Second} {
			t.Run(tt.name+" "+outage.String(), func(t *testing.T) {
				for arrival := time.Duration(0); arrival < outage; arrival += 100 * time.Millisecond {
					at, n := arrival, 1
					for at < outage && n < attempts {
						at += RetryAfter(tt.policy, at)
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

// TestOutageIsKnownByItsRefusals replays refusals at an instance.
func TestOutageIsKnownByItsRefusals(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	tests := []struct {
		name    string
		calls   []time.Duration // since begin; each is refused
		success time.Duration   // of a call that is carried out, 0 for none
		want    time.Duration   // outage at the last call
	}{
		{"first refusal", []time.Duration{0}, 0, 0},
		{"refused all the time", []time.Duration{0, time.Second, 2 * time.Second, 3500 * time.Millisecond}, 0, 3500 * time.Millisecond},
		{"refused now and then", []time.Duration{0, 10 * time.Second}, 0, 0},
		{"carried out in between", []time.Duration{0, time.Second, 2 * time.Second}, 1500 * time.Millisecond, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var o Outage
			var got time.Duration
			for _, at := range tt.calls {
				if tt.success > 0 && at > tt.success {
					o.Note(begin.Add(tt.success), false)
				}
				got = o.Note(begin.Add(at), true)
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}
