package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/config"
)

// TestRunPanicsIfABackgroundCallPanics guards against a Router that goes on
// after the query of a minion's load has panicked.
func TestRunPanicsIfABackgroundCallPanics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := entry.New(entry.Config{
			Instance:      "a",
			OwnedMinions:  func(now time.Time) map[string]time.Time { return map[string]time.Time{"m": now.Add(time.Hour)} },
			ListedMinions: func() []member.Instance { return []member.Instance{{Name: "m", Addr: "m", Slots: 1}} },
			Model:         func() (config.Model, uint64) { return config.Model{}, 0 },
			QueryLoad:     func(context.Context, string) (entry.Load, error) { panic("spoiled") },
			Now:           time.Now, Logger: zerolog.Nop(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		defer func() {
			is.True(strings.Contains(fmt.Sprint(recover()), "spoiled"))
			is.True(time.Since(start) < time.Second) // long before ctx ends
		}()
		r.Run(ctx)
		t.Error("Run returned, want the panic of the call")
	})
}
