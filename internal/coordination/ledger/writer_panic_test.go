package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// TestAppendPanicsIfAnAttemptPanics guards against an append that waits for an
// attempt that has panicked.
func TestAppendPanicsIfAnAttemptPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := ledger.Log{Append: func(context.Context, ledger.Producer, int64, []ledger.Record) (int64, error) { panic("spoiled") }}
		w := ledger.NewWriter(log, ledger.Producer{Name: "p", Epoch: 1}, 0, time.Now)
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		start := time.Now()
		defer func() {
			is.True(strings.Contains(fmt.Sprint(recover()), "spoiled"))
			is.Equal(time.Since(start), time.Duration(0)) // at once
		}()
		_, _ = w.Append(ctx, []ledger.Record{{Key: "k"}})
		t.Error("Append returned, want the panic of its attempt")
	})
}
