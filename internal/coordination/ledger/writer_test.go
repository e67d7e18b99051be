package ledger_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// TestWriterAppendsOnceUnderFaults checks that each record is in the log once
// although answers are lost or appends are applied late, that a lost answer
// delays an append by little more than the minimum hedge delay, and that a slow
// store does not get every append twice.
func TestWriterAppendsOnceUnderFaults(t *testing.T) {
	const appends = 100
	tests := []struct {
		name        string
		setFault    func(st *store.Store)
		maxDuration time.Duration // of all appends
		maxCalls    int64         // to the store, for all appends
	}{
		{"fine", func(*store.Store) {}, appends * 10 * time.Millisecond, appends},
		{"answers lost", func(st *store.Store) { st.SetFault("a", store.LosingAnswers) }, appends * 150 * time.Millisecond, 3 * appends},
		{"carried out late", func(st *store.Store) { st.SetFault("a", store.DelayingAppends) }, appends * 150 * time.Millisecond, 3 * appends},
		{"slow", func(st *store.Store) { st.SetLatencyFactor(60) }, appends * 200 * time.Millisecond, appends + 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				st := store.New(7)
				var calls atomic.Int64
				log := st.Log("a")
				storeAppend := log.Append
				log.Append = func(ctx context.Context, p ledger.Producer, seq int64, records []ledger.Record) (int64, error) {
					calls.Add(1)
					return storeAppend(ctx, p, seq, records)
				}
				w := ledger.NewWriter(log, ledger.Producer{Name: "p", Epoch: 1}, 0, time.Now)
				tt.setFault(st)
				start := time.Now()
				for i := range appends {
					_, err := w.Append(context.Background(), []ledger.Record{{Key: fmt.Sprint(i), Value: []byte("v")}})
					is.NoErr(err)
				}
				if took := time.Since(start); took > tt.maxDuration {
					t.Errorf("%d appends took %v, want at most %v", appends, took, tt.maxDuration)
				}
				if n := calls.Load(); n > tt.maxCalls {
					t.Errorf("got %d store calls for %d appends, want at most %d", n, appends, tt.maxCalls)
				}
				time.Sleep(time.Minute) // until late appends have been applied
				is.Equal(st.RecordCount(), appends)
			})
		})
	}
}

// TestWriterReportsRefusalOnlyIfAllAttemptsRefused guards against an append
// that is reported as refused although it may have been applied: one of its
// attempts got no answer or lost its connection.
func TestWriterReportsRefusalOnlyIfAllAttemptsRefused(t *testing.T) {
	refused := &ledger.RefusedError{Reason: "busy"}
	tests := []struct {
		name     string
		attempts []error // result of each attempt; one with nil gets no answer
		want     bool    // whether the append is reported as refused
	}{
		{"refused at once", []error{refused}, true},
		{"no answer, then refused", []error{nil, refused, refused, refused, refused, refused}, false},
		{"broken, then refused", []error{errors.New("reset"), refused, refused, refused, refused, refused, refused}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var calls atomic.Int64
				log := ledger.Log{Append: func(ctx context.Context, _ ledger.Producer, _ int64, _ []ledger.Record) (int64, error) {
					i := int(calls.Add(1)) - 1
					if i < len(tt.attempts) && tt.attempts[i] != nil {
						return 0, tt.attempts[i]
					}
					<-ctx.Done()
					return 0, ctx.Err()
				}}
				w := ledger.NewWriter(log, ledger.Producer{Name: "p", Epoch: 1}, 0, time.Now)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				_, err := w.Append(ctx, []ledger.Record{{Key: "k", Value: []byte("v")}})
				var r *ledger.RefusedError
				is.Equal(errors.As(err, &r), tt.want)
			})
		})
	}
}
