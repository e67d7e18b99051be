package core_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestLeaderBehindLedgerStartsCancelledJob guards against a leader that reads
// the ledger seconds late, because the store or its link is short of bandwidth,
// and goes on to start tasks of a job whose cancellation was acknowledged.
func TestLeaderBehindLedgerStartsCancelledJob(t *testing.T) {
	runSite(t, 3, func(s *site) {
		is := s.is
		leader, other := s.Leader(), s.Follower()
		is.NoErr(s.Submit(other, s.NewJob("a", "q", tasks(300, 1500))))
		time.Sleep(time.Second)
		is.True(s.Fleet.RunStarts() > 0)
		s.Store.SetBandwidth(leader, 20_000)
		for n := range 200 {
			spec := s.NewJob(fmt.Sprintf("large%d", n), "q", flow.Step{Count: 1, Size: work.Size{CPU: 1_000_000}, EstimateMs: 1000})
			spec.Payload = strings.Repeat("x", 4000)
			is.NoErr(s.Submit(other, spec))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(s.Core(other).CancelOrForward(ctx, "a", keys.Caller{}))
		const cancelBound = 3 * time.Second // by which no task of the job starts
		time.Sleep(cancelBound)
		n := s.Fleet.RunStarts()
		is.True(n < 300)
		time.Sleep(10 * time.Second)
		if got := s.Fleet.RunStarts(); got > n {
			t.Errorf("starts of tasks of a job later than %v after its cancellation: got %d", cancelBound, got-n)
		}
		is.True(s.Leader() != "")
	})
}
