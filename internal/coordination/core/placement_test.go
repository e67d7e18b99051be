package core

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestPlacementQueueServesQuickCallsFirst checks that waiting quick calls get a
// slot before long ones, and that a caller whose context has ended gets none.
func TestPlacementQueueServesQuickCallsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &placementQueue{}
		ctx := context.Background()
		for range maxPlacementCalls {
			is.True(q.acquire(ctx, false))
		}
		var order []string
		var wg sync.WaitGroup
		wait := func(ctx context.Context, name string, quick bool) {
			wg.Go(func() {
				if q.acquire(ctx, quick) {
					order = append(order, name)
					time.Sleep(time.Second)
					q.release()
				}
			})
			synctest.Wait()
		}
		short, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		wait(ctx, "long 1", false)
		wait(short, "left", true)
		wait(ctx, "long 2", false)
		wait(ctx, "quick", true)
		time.Sleep(10 * time.Millisecond)
		q.release()
		time.Sleep(10 * time.Second)
		wg.Wait()
		is.Equal(order, []string{"quick", "long 1", "long 2"})
		q.release()
		is.Equal(q.active, 0)
	})
}
