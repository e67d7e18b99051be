package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// TestReaderWaitsForLostReadAfterSilence guards against a reader that waits for
// the time-out of a read that was lost in an outage, while the store answers
// again. The reads of all instances begin at the end of the same outage, so that
// nothing is seen by any of them until then.
func TestReaderWaitsForLostReadAfterSilence(t *testing.T) {
	const (
		maxDelay          = 300 * time.Millisecond // until the log has been read after the outage
		maxCallsPerSecond = 8
	)
	for _, outage := range []time.Duration{1300, 2000, 2900, 3700, 4200, 5500} {
		outage *= time.Millisecond
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				st := store.New(1)
				log := st.Log("a")
				var calls, caughtUpAt atomic.Int64 // caughtUpAt in Unix nanoseconds
				read := log.Read
				log.Read = func(ctx context.Context, from int64, maxBytes int, wait time.Duration) (ledger.Page, error) {
					calls.Add(1)
					return read(ctx, from, maxBytes, wait)
				}
				ctx, cancel := context.WithCancel(context.Background())
				r := &ledger.Reader{
					Log: log, MaxReadWait: 250 * time.Millisecond, ReadInterval: func() time.Duration { return 80 * time.Millisecond }, Now: time.Now,
					Deliver: func(b ledger.Batch) {
						if b.CaughtUp {
							caughtUpAt.Store(time.Now().UnixNano())
						}
					},
				}
				var wg sync.WaitGroup
				wg.Go(func() { r.Run(ctx) })
				time.Sleep(time.Second)
				is.True(caughtUpAt.Load() != 0)
				st.SetFault("a", store.Unresponsive)
				before := calls.Load()
				time.Sleep(outage)
				if n := calls.Load() - before; n > int64(maxCallsPerSecond*outage.Seconds()) {
					t.Errorf("got %d reads in an outage of %v; want at most %d a second", n, outage, maxCallsPerSecond)
				}
				st.SetFault("a", store.NoFault)
				end := time.Now()
				for caughtUpAt.Load() < end.UnixNano() && time.Since(end) < time.Minute {
					time.Sleep(5 * time.Millisecond)
				}
				if took := time.Since(end); took > maxDelay {
					t.Errorf("time until the log was read after an outage of %v: got %v, want at most %v", outage, took, maxDelay)
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// TestAppendWaitsForLostAttemptsAfterSilence guards against an append that waits
// for the time-outs of the attempts that were lost in an outage, while reads show
// that the store answers again.
func TestAppendWaitsForLostAttemptsAfterSilence(t *testing.T) {
	const maxDelay = 100 * time.Millisecond // from the sign that the store answers
	for _, outage := range []time.Duration{1300, 2000, 2900, 3700, 4200, 5500} {
		outage *= time.Millisecond
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				st := store.New(1)
				w := ledger.NewWriter(st.Log("a"), ledger.Producer{Name: "p", Epoch: 1}, 0, time.Now)
				for i := range 5 {
					_, err := w.Append(t.Context(), []ledger.Record{{Key: fmt.Sprint(i), Value: []byte("v")}})
					is.NoErr(err)
				}
				st.SetFault("a", store.Unresponsive)
				var end time.Time
				time.AfterFunc(outage, func() {
					st.SetFault("a", store.NoFault)
					end = time.Now()
					w.RetryNow()
				})
				_, err := w.Append(t.Context(), []ledger.Record{{Key: "k", Value: []byte("v")}})
				is.NoErr(err)
				if took := time.Since(end); took > maxDelay {
					t.Errorf("time until the append was stored after an outage of %v: got %v, want at most %v", outage, took, maxDelay)
				}
				time.Sleep(time.Minute)
				is.Equal(st.RecordCount(), 6)
			})
		})
	}
}

// TestLoadWaitsForLostPageAfterSilence guards against an instance that was started
// in an outage and waits for the time-out of a page that was lost in it, while the
// store answers again.
func TestLoadWaitsForLostPageAfterSilence(t *testing.T) {
	const maxDelay = time.Second // until the load is complete
	for _, outage := range []time.Duration{200, 1200, 2500, 3500, 5000} {
		outage *= time.Millisecond
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st := store.New(1)
				for i := range 100 {
					// It fails only when the context has ended.
					_, _ = st.Log("b").Append(t.Context(), ledger.Producer{}, 0, []ledger.Record{{Key: fmt.Sprintf("k%03d", i), Value: []byte("v")}})
				}
				st.SetFault("a", store.Unresponsive)
				ctx, cancel := context.WithCancel(context.Background())
				loaded := make(chan int, 1)
				r := &ledger.Reader{
					Log: st.Log("a"), MaxReadWait: 250 * time.Millisecond, ReadInterval: func() time.Duration { return 80 * time.Millisecond }, Now: time.Now,
					Deliver: func(b ledger.Batch) {
						if b.Reset {
							loaded <- len(b.Records)
						}
					},
				}
				var wg sync.WaitGroup
				wg.Go(func() { r.Run(ctx) })
				time.Sleep(outage)
				st.SetFault("a", store.NoFault)
				end := time.Now()
				is.New(t).Equal(<-loaded, 100)
				if took := time.Since(end); took > maxDelay {
					t.Errorf("time until the log was loaded after an outage of %v: got %v, want at most %v", outage, took, maxDelay)
				}
				cancel()
				wg.Wait()
			})
		})
	}
}
