package core

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/state/keys"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// TestPausedProcessSendsOrdersLate guards against a relay that is paused with
// orders at hand, and sends them when it wakes up: the leader has counted them
// as unanswered, and the jobs may have been cancelled or run elsewhere.
func TestPausedProcessSendsOrdersLate(t *testing.T) {
	for _, tt := range []struct {
		name   string
		pause  time.Duration
		starts int32
	}{
		{"running", 0, 1},
		{"paused for a moment", startTimeout / 2, 1},
		{"paused for seconds", 3 * time.Second, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var starts, reads atomic.Int32
				c := New(Settings{
					Now: time.Now, Logger: zerolog.Nop(), Meter: meter.New(),
					// The pause begins once the orders have arrived.
					Uptime: func() time.Duration {
						if reads.Add(1) == 1 {
							return time.Hour
						}
						return time.Hour + tt.pause
					},
					Workers: WorkerCalls{Start: func(context.Context, sched.Order, int64) sched.Answer {
						starts.Add(1)
						return sched.AnswerOK
					}},
				})
				c.RelayOrders("leader", 1, []NumberedOrder{{ID: 7, Order: sched.Order{Kind: sched.OrderStart, Worker: "w"}}})
				c.parts.Wait()
				is.Equal(starts.Load(), tt.starts)
				answers, _ := c.AwaitAnswers(t.Context(), "leader", 0, time.Second, 0)
				is.Equal(len(answers), 1)
				is.Equal(answers[0].Answer == sched.AnswerOK, tt.starts == 1) // else it counts as unanswered
			})
		})
	}
}

// TestCallerIsToldNotRunAfterALostAnswer guards against a call that a replica
// carried out, whose answer was lost, and that the caller is then told was not
// carried out, since the next replicas refuse it.
func TestCallerIsToldNotRunAfterALostAnswer(t *testing.T) {
	for _, tt := range []struct {
		name    string
		answers []error // of the replicas, in the order in which they are called
		want    error
	}{
		{"answer lost, then refused", []error{ErrOutcomeUnknown, ErrNotExecuted, ErrNotExecuted}, ErrOutcomeUnknown},
		{"refused, then answer lost", []error{ErrNotExecuted, ErrOutcomeUnknown, ErrNotExecuted}, ErrOutcomeUnknown},
		{"answer lost, then carried out", []error{ErrOutcomeUnknown, nil, ErrNotExecuted}, nil},
		{"refused by all", []error{ErrNotExecuted, ErrNotExecuted, ErrNotExecuted}, ErrNotExecuted},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			calls := 0
			c := New(Settings{Instance: "own", Domain: "d", Now: time.Now, Logger: zerolog.Nop(), Meter: meter.New()})
			peers := map[string]instanceRecord{}
			for _, name := range []string{"a", "b", "c"} {
				peers[name] = instanceRecord{Addr: name, Domain: "d", Replica: true}
			}
			c.peers.Store(&peers)
			c.settings.Peers.Cancel = func(context.Context, string, string, keys.Caller) error {
				calls++
				return tt.answers[calls-1]
			}
			is.Equal(c.CancelOrForward(t.Context(), "job", keys.Caller{}), tt.want)
		})
	}
}
