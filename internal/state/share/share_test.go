package share

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestFit guards against starts beyond a quota, and against a limit on resources
// that the quota does not limit.
func TestFit(t *testing.T) {
	quota, size := work.Size{CPU: 10, Memory: 100}, work.Size{CPU: 3, Memory: 10, Accelerators: 1}
	tests := []struct {
		name        string
		used, quota work.Size
		want        int
	}{
		{"part of the tasks", work.Size{}, quota, 3},
		{"the scarcest resource counts", work.Size{Memory: 85}, quota, 1},
		{"at the quota", work.Size{CPU: 8}, quota, 0},
		{"beyond it in a resource that is not needed", work.Size{Accelerators: 3}, work.Size{CPU: 30, Accelerators: 2}, 0},
		{"no quota", work.Size{CPU: 1e6}, work.Size{}, 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { is.New(t).Equal(Fit(tt.used, size, tt.quota, 5), tt.want) })
	}
}

// TestBucket guards against a rate above the weight, a window that is not refilled,
// and a fast clock that stops the refill for as long as it is ahead.
func TestBucket(t *testing.T) {
	is := is.New(t)
	var b Bucket
	taken := func(atMs int64, jobs int) (n int) {
		for range jobs {
			if b.Take(atMs, 2, 3) {
				n++
			}
		}
		return n
	}
	is.Equal(taken(0, 100), 6)         // the window's jobs
	is.Equal(taken(1000, 100), 2)      // those of a second
	is.Equal(taken(500, 100), 0)       // an earlier time refills nothing
	is.Equal(taken(3_600_000, 100), 6) // no more than the window's
	is.Equal(taken(10_000, 100), 0)    // the clock before was an hour fast
	is.Equal(taken(12_000, 100), 4)    // it does not stop the refill
}

// TestClocksThatDifferRefillNoMore guards against a customer that is never beyond
// its weight because jobs from two instances take turns whose clocks differ by more
// than the window.
func TestClocksThatDifferRefillNoMore(t *testing.T) {
	for _, skewMs := range []int64{-3000, 3000, 3600_000} {
		var b Bucket
		within := 0
		for i := range int64(100) { // 10 jobs a second
			atMs := 1_700_000_000_000 + 100*i
			if i%2 == 1 {
				atMs += skewMs
			}
			if b.Take(atMs, 1, 2) {
				within++
			}
		}
		// The depth at first and for the larger time, and 10 s of refill by each clock.
		if within < 10 || within > 24 {
			t.Errorf("skew of %d ms: %d of 100 jobs in 10 s are within 1 a second; want 10 to 24", skewMs, within)
		}
	}
}
