package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// TestOnlyLostMinionsCountAsLost guards against requests that are given up
// because connections were cut, or because minions were leaving or down before.
func TestOnlyLostMinionsCountAsLost(t *testing.T) {
	refused := errors.New("connection refused")
	tests := []struct {
		name   string
		change func(r *Router)
		broken bool
		load   func(ctx context.Context) error
		sends  int
		code   string
	}{
		{"closed and down", nil, true, func(context.Context) error { return refused }, maxMinionsLost, CodeMinionsLost},
		{"closed and answers", nil, true, func(context.Context) error { return nil }, maxAttempts, CodeAnswerLost},
		{"closed and silent", nil, true, func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, maxAttempts, CodeAnswerLost},
		{"answer incomplete", nil, false, func(context.Context) error { return refused }, maxAttempts, CodeAnswerLost},
		{"leaving since", func(r *Router) {
			for _, m := range r.pool.Minions() {
				m.Leaving = true
			}
		}, true, func(context.Context) error { return refused }, 1, ""},
		{"lost before", func(r *Router) {
			for _, m := range r.pool.Minions() {
				m.LoadUnknown = true
			}
		}, true, func(context.Context) error { return refused }, 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				sends := 0
				r := newTestRouter(Config{
					Send: func(context.Context, string, *Request, bool) (Reply, error) {
						sends++
						return Reply{}, &SendError{Sent: true, Broken: tt.broken, Err: errors.New("EOF")}
					},
					QueryLoad: func(ctx context.Context, _ string) (Load, error) { return Load{}, tt.load(ctx) },
					Helper:    func(time.Time, func(member.Peer) bool) (member.Peer, bool) { return member.Peer{}, false },
				}, "m1", "m2", "m3", "m4", "m5", "m6")
				for range 100 {
					r.budget.RecordRequest()
				}
				req := &Request{ID: "r", Class: route.ClassQuick, Idempotent: true, Deadline: time.Now().Add(time.Minute)}
				if tt.change == nil {
					a := r.Do(context.Background(), req)
					is.Equal(sends, tt.sends)
					is.Equal(a.Outcome, OutcomeUnknown)
					is.Equal(a.Code, tt.code)
					return
				}
				m := r.pool.AcquireSlot(req.Class, "", r.cfg.Now())
				tt.change(r)
				a, _ := r.dispatch(context.Background(), req, m, true)
				is.Equal(a.Code, CodeAnswerLost)
			})
		})
	}
}
