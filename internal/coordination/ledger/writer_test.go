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

// TestWriterUnderTrouble checks that appends stand in the log once, that a lost
// answer costs little more than the least patience, and that a slow store is not
// asked for everything twice.
func TestWriterUnderTrouble(t *testing.T) {
	const appends = 100
	tests := []struct {
		name    string
		do      func(s *store.Store)
		most    time.Duration // for all appends
		mostAsk int64         // calls
	}{
		{"fine", func(*store.Store) {}, appends * 10 * time.Millisecond, appends},
		{"answers lost", func(s *store.Store) { s.Set("a", store.Lossy) }, appends * 150 * time.Millisecond, 3 * appends},
		{"carried out late", func(s *store.Store) { s.Set("a", store.Late) }, appends * 150 * time.Millisecond, 3 * appends},
		{"slow", func(s *store.Store) { s.Slow(60) }, appends * 200 * time.Millisecond, appends + 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := store.New(7)
				var asked atomic.Int64
				log := s.Log("a")
				inner := log.Append
				log.Append = func(ctx context.Context, p ledger.Producer, seq int64, records []ledger.Record) (int64, error) {
					asked.Add(1)
					return inner(ctx, p, seq, records)
				}
				w := ledger.NewWriter(log, ledger.Producer{Name: "p", Epoch: 1}, 0, time.Now)
				tt.do(s)
				began := time.Now()
				for i := range appends {
					_, err := w.Append(context.Background(), []ledger.Record{{Key: fmt.Sprint(i), Value: []byte("v")}})
					is.NoErr(err)
				}
				if took := time.Since(began); took > tt.most {
					t.Errorf("%d appends took %v, more than %v", appends, took, tt.most)
				}
				if n := asked.Load(); n > tt.mostAsk {
					t.Errorf("%d calls for %d appends, more than %d", n, appends, tt.mostAsk)
				}
				time.Sleep(time.Minute) // what is carried out late
				is.Equal(s.Records(), appends)
			})
		})
	}
}

// TestWriterRefusal checks that an append counts as refused only if every try of
// it was refused.
func TestWriterRefusal(t *testing.T) {
	refused := &ledger.RefusedError{Reason: "busy"}
	tests := []struct {
		name  string
		tries []error // what each try is answered; a nil one hangs
		want  bool
	}{
		{"refused at once", []error{refused}, true},
		{"no answer, then refused", []error{nil, refused, refused, refused, refused, refused}, false},
		{"broken, then refused", []error{errors.New("reset"), refused, refused, refused, refused, refused, refused}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var n atomic.Int64
				log := ledger.Log{Append: func(ctx context.Context, _ ledger.Producer, _ int64, _ []ledger.Record) (int64, error) {
					i := int(n.Add(1)) - 1
					if i < len(tt.tries) && tt.tries[i] != nil {
						return 0, tt.tries[i]
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
