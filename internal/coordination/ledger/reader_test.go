package ledger_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// TestReaderCatchesUpOnSmallLink guards against a reader that stays behind
// after an outage, because the records that one read returns take longer than
// its time-out on the reader's link. The log grows meanwhile.
func TestReaderCatchesUpOnSmallLink(t *testing.T) {
	const (
		recordBytes      = 1000
		recordsPerSecond = 200
		outage           = 15 * time.Second
	)
	tests := []struct {
		name           string
		bytesPerSecond int
		latencyFactor  int // of the store
		limit          time.Duration
	}{
		{"no limit", 0, 1, 1500 * time.Millisecond},
		{"a little too small for the largest read", 1_000_000, 1, 6 * time.Second},
		{"small", 400_000, 1, 20 * time.Second},
		{"small and slow store", 400_000, 60, 40 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				st := store.New(1)
				st.SetBandwidth("a", tt.bytesPerSecond)
				ctx, cancel := context.WithCancel(context.Background())
				var caughtUpAt atomic.Int64 // Unix nanoseconds
				r := &ledger.Reader{
					Log: st.Log("a"), MaxReadWait: 250 * time.Millisecond, ReadInterval: func() time.Duration { return 80 * time.Millisecond }, Now: time.Now,
					Deliver: func(b ledger.Batch) {
						if b.CaughtUp {
							caughtUpAt.Store(time.Now().UnixNano())
						}
					},
				}
				var wg sync.WaitGroup
				wg.Go(func() { r.Run(ctx) })
				wg.Go(func() {
					for ctx.Err() == nil {
						time.Sleep(100 * time.Millisecond)
						records := make([]ledger.Record, recordsPerSecond/10)
						for i := range records {
							records[i] = ledger.Record{Key: "k", Value: make([]byte, recordBytes)}
						}
						// It fails only when ctx has ended.
						_, _ = st.Log("b").Append(ctx, ledger.Producer{}, 0, records)
					}
				})
				time.Sleep(time.Second)
				is.True(caughtUpAt.Load() != 0)
				st.SetFault("a", store.Unresponsive)
				time.Sleep(outage)
				st.SetFault("a", store.NoFault)
				end := time.Now()
				for caughtUpAt.Load() < end.UnixNano() && time.Since(end) < time.Minute {
					time.Sleep(20 * time.Millisecond)
				}
				if took := time.Since(end); took > tt.limit {
					t.Errorf("time until the log was read to its end: got %v, want at most %v", took, tt.limit)
				}
				cancel()
				wg.Wait()
			})
		})
	}
}

// TestReadSizeFollowsRate checks the size of the read after one of 512 KiB with a
// time-out of a second, by the outcome of that read.
func TestReadSizeFollowsRate(t *testing.T) {
	const size = 512 << 10
	full := ledger.Page{LogEnd: 9, Records: []ledger.Record{{Value: make([]byte, size)}}}
	tests := []struct {
		name string
		page ledger.Page
		err  error
		took time.Duration
		want int
	}{
		{"quarter of the time-out", full, nil, 250 * time.Millisecond, size},
		{"faster", full, nil, 200 * time.Millisecond, size * 5 / 4},
		{"much faster", full, nil, 0, 1 << 20},
		{"slower", full, nil, 500 * time.Millisecond, size / 2},
		{"much slower", full, nil, 10 * time.Second, 64 << 10},
		{"timed out", ledger.Page{}, store.ErrNoAnswer, time.Second, size / 2},
		{"refused at once", ledger.Page{}, &ledger.RefusedError{}, 5 * time.Millisecond, size},
		{"at the end of the log", ledger.Page{LogEnd: 1, Records: full.Records}, nil, 900 * time.Millisecond, size},
		{"record larger than the read", ledger.Page{LogEnd: 9}, nil, 5 * time.Millisecond, 1 << 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var s ledger.ReadSize
			s.Update(ledger.Page{}, store.ErrNoAnswer, time.Second, time.Second)
			is.Equal(s.Bytes(), size)
			s.Update(tt.page, tt.err, tt.took, time.Second)
			is.Equal(s.Bytes(), tt.want)
		})
	}
}

// TestReaderLoadsLargeStateDespiteFailedPages guards against a reader that begins
// a load anew at each failed page, so that a state of many pages is never loaded
// while some of the calls fail.
func TestReaderLoadsLargeStateDespiteFailedPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const pages = 40
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		calls := 0
		var loaded ledger.Batch
		r := &ledger.Reader{
			Log: ledger.Log{
				ReadNewest: func(_ context.Context, after string) (ledger.NewestPage, error) {
					if calls++; calls%5 == 0 {
						return ledger.NewestPage{}, store.ErrNoAnswer
					}
					n, _ := strconv.Atoi(after) // 0 for the first page
					key := strconv.Itoa(n + 1)
					return ledger.NewestPage{Records: []ledger.Record{{Key: key}}, LastKey: key, More: n+1 < pages, LogEnd: int64(100 + n)}, nil
				},
				Read: func(context.Context, int64, int, time.Duration) (ledger.Page, error) {
					return ledger.Page{}, store.ErrNoAnswer
				},
			},
			ReadInterval: func() time.Duration { return 80 * time.Millisecond }, Now: time.Now,
			Deliver: func(b ledger.Batch) {
				if b.Reset {
					loaded = b
				}
			},
		}
		var wg sync.WaitGroup
		wg.Go(func() { r.Run(ctx) })
		time.Sleep(10 * time.Second)
		cancel()
		wg.Wait()
		is.Equal(len(loaded.Records), pages)
		is.Equal(loaded.NextOffset, int64(100))
		is.Equal(loaded.CompleteOffset, int64(100+pages-1))
	})
}

// TestSentUptimeIsFromBeforeRead guards against a batch that looks newer than it
// is, because the process was frozen while its read was under way.
func TestSentUptimeIsFromBeforeRead(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	uptime, sentAt, reads := time.Hour, time.Duration(0), 0
	r := &ledger.Reader{
		Log: ledger.Log{
			ReadNewest: func(context.Context, string) (ledger.NewestPage, error) { return ledger.NewestPage{}, nil },
			Read: func(context.Context, int64, int, time.Duration) (ledger.Page, error) {
				sentAt = uptime
				uptime += 10 * time.Second // frozen
				return ledger.Page{}, nil
			},
		},
		ReadInterval: func() time.Duration { return 0 }, Now: time.Now, Uptime: func() time.Duration { return uptime },
		Deliver: func(b ledger.Batch) {
			if b.CaughtUp {
				is.New(t).Equal(b.SentUptime, sentAt)
				if reads++; reads == 5 {
					cancel()
				}
			}
		},
	}
	r.Run(ctx)
}
