package core

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestAdviseQueue checks that short calls pass long ones and that a caller that
// has left takes no slot.
func TestAdviseQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &adviseQueue{}
		ctx := context.Background()
		for range adviseSlots {
			is.True(q.enter(ctx, false))
		}
		var order []string
		var wg sync.WaitGroup
		wait := func(ctx context.Context, name string, quick bool) {
			wg.Go(func() {
				if q.enter(ctx, quick) {
					order = append(order, name)
					time.Sleep(time.Second)
					q.leave()
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
		q.leave()
		time.Sleep(10 * time.Second)
		wg.Wait()
		is.Equal(order, []string{"quick", "long 1", "long 2"})
		q.leave()
		is.Equal(q.active, 0)
	})
}
