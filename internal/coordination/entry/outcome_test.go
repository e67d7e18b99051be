package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// newTestRouter returns a router that owns the named minions of 8 slots each.
func newTestRouter(cfg Config, minions ...string) *Router {
	cfg.Instance = "a"
	if cfg.Now == nil {
		cfg.Now = func() time.Time { return time.Unix(1000, 0) }
	}
	cfg.CloseIdle = func(string) {}
	r := New(cfg)
	for _, name := range minions {
		r.pool.Add(name, name, 8).OwnedUntil = time.Unix(2000, 0)
	}
	return r
}

// TestSentRequestIsNotReportedAsNotRun guards against an idempotent request that
// is reported as not run although an attempt before the last one was sent and
// may have run.
func TestSentRequestIsNotReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	sends := 0
	r := newTestRouter(Config{Send: func(context.Context, string, *Request, bool) (Reply, error) {
		sends++
		return Reply{}, &SendError{Sent: sends == 1, Err: errors.New("lost")}
	}}, "m1", "m2")
	a := r.Do(context.Background(), &Request{ID: "r", Class: route.ClassQuick, Idempotent: true, Deadline: time.Now().Add(time.Minute)})
	is.Equal(sends, maxAttempts)
	is.Equal(a.Outcome, OutcomeUnknown)
	is.Equal(a.Code, CodeAnswerLost)
	is.Equal(a.Attempts, maxAttempts)
}
