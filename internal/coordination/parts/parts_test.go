package parts_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
)

// TestWaitPanicsWhileOtherPartsHang guards against a component that goes on
// after a part has panicked, because other parts never end.
func TestWaitPanicsWhileOtherPartsHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		release := make(chan struct{})
		defer close(release)
		g := parts.New()
		g.Go(func() { <-release })
		g.Go(func() {
			inner := parts.New()
			inner.Go(func() { <-release })
			inner.Go(func() { panic("spoiled") })
			inner.Wait()
		})
		v := recovered(g.Wait)
		is.True(strings.Contains(fmt.Sprint(v), "spoiled"))
		is.True(strings.Contains(fmt.Sprint(v), "parts_test.TestWaitPanicsWhileOtherPartsHang")) // the trace of the part
		<-g.Panicked()
	})
}

// TestWaitReturnsWhenAllPartsHaveEnded checks that Wait waits for every part.
func TestWaitReturnsWhenAllPartsHaveEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := parts.New()
		release, waited := make(chan struct{}), make(chan any, 1)
		g.Go(func() {})
		g.Go(func() { <-release })
		go func() { waited <- recovered(g.Wait) }()
		synctest.Wait()
		is.Equal(len(waited), 0)
		close(release)
		is.Equal(<-waited, nil)
	})
}

func recovered(f func()) (v any) {
	defer func() { v = recover() }()
	f()
	return nil
}
