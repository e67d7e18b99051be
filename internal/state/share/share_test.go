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
