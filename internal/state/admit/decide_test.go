package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestRefusedClientsComeBackInTime guards against refused clients that all return at
// once or before there is room, against newcomers that always go before clients that
// were refused, and against refusals of jobs to which the backlog says nothing.
func TestRefusedClientsComeBackInTime(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	reading := func(seconds int64) Reading {
		b := Backlog{FreshMs: seconds * 1e5, Rate: 1e5, Used: 1e5}
		return Reading{Term: 3, Load: &Load{Term: 3, Groups: []Group{{Queues: []string{"q"}, All: b, Customers: map[string]Backlog{"c": b}}}}}
	}
	job := func(id string) *flow.Spec {
		return &flow.Spec{ID: id, Queue: "q", Customer: "c", Policy: flow.Policy{Stretch: 2}, Steps: []flow.Step{{Count: 1, Size: work.Size{CPU: 1000}, EstimateMs: 1000}}}
	}
	// The objective is 2 s, so the expected end may be 6 s from now at most.
	first, last, turn := time.Hour, time.Duration(0), 0
	for i := range 400 {
		v := Decide(now, job(fmt.Sprint(i)), reading(9), 0) // 0.8 x 13 s + 1 s, an excess of 5.4 s
		first, last = min(first, v.RetryAfter), max(last, v.RetryAfter)
		if v.RetryAfter <= 8*time.Second {
			turn++
		}
	}
	if first != 6*time.Second || last != 11*time.Second || turn < 150 || turn > 250 {
		t.Errorf("got clients back after %v to %v, %d of 400 within 8 s; want 6 s to 11 s, about 190", first, last, turn)
	}
	if n, long := Decide(now, job("a"), reading(9), 0), Decide(now, job("a"), reading(60), 0); long.RetryAfter < 2*n.RetryAfter || long.RetryAfter > maxRetryAfter {
		t.Errorf("got a Retry-After of %v after a minute's work, want at least twice %v and at most %v", long.RetryAfter, n.RetryAfter, maxRetryAfter)
	}
	if Decide(now, job("a"), reading(3), 0).Reason == ReasonNone || Decide(now, job("a"), reading(3), 2).Reason != ReasonNone {
		t.Error("with 3 s of work ahead, want a newcomer refused and a job that was refused twice accepted")
	}
	for name, change := range map[string]func(s *flow.Spec, r *Reading){
		"no objective":   func(s *flow.Spec, _ *Reading) { s.Policy.Stretch = 0 },
		"starts later":   func(s *flow.Spec, _ *Reading) { s.Repeat.FirstStartMs = now.UnixMilli() + 1 },
		"several rounds": func(s *flow.Spec, _ *Reading) { s.Repeat.Times = 2 },
		"never ends":     func(s *flow.Spec, _ *Reading) { s.Steps[0].LongRunning = true },
		"other queue":    func(s *flow.Spec, _ *Reading) { s.Queue = "r" },
		"other customer": func(s *flow.Spec, _ *Reading) { s.Customer = "d" },
		"older term":     func(_ *flow.Spec, r *Reading) { r.Term = 4 },
		"old summary":    func(_ *flow.Spec, r *Reading) { r.Age = MaxLoadAge + 1 },
		"no summary":     func(_ *flow.Spec, r *Reading) { r.Load = nil },
	} {
		s, r := job("a"), reading(60)
		change(s, &r)
		if v := Decide(now, s, r, 0); v.Reason != ReasonNone {
			t.Errorf("%s: job refused: %s", name, v.Reason)
		}
	}
}
