package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// TestInstancesBehindLedgerGiveNoStaleAnswers guards against instances that can
// read the ledger but have not yet read what was appended during an outage, and
// meanwhile give an old number of pending jobs, or an old state of a job. Two of
// three instances are behind, so that they also ask each other.
func TestInstancesBehindLedgerGiveNoStaleAnswers(t *testing.T) {
	runSite(t, 3, func(s *site) {
		is := s.is
		leader := s.Leader()
		behind := s.InstanceNames()
		for i, name := range behind {
			if name == leader {
				behind = append(behind[:i], behind[i+1:]...)
				break
			}
		}
		is.NoErr(s.Submit(leader, s.NewJob("short", "q", tasks(2, 2500))))
		time.Sleep(time.Second)
		for _, name := range behind {
			s.Store.SetFault(name, store.Unresponsive)
			s.Store.SetBandwidth(name, 90_000)
		}
		const jobs = 200
		for n := range jobs {
			spec := s.NewJob(fmt.Sprintf("t%d", n), "q", tasks(1, 60_000))
			spec.Payload = strings.Repeat("x", 4000)
			is.NoErr(s.Submit(leader, spec))
		}
		time.Sleep(4 * time.Second)
		s.wantState("short", "complete")
		for _, name := range behind {
			s.Store.SetFault(name, store.NoFault)
		}
		want, err := s.pendingJobs(leader)
		is.NoErr(err)
		is.True(want > jobs/2) // the workers have room for the rest
		refused := 0
		for range 80 {
			time.Sleep(250 * time.Millisecond)
			s.wantState("short", "complete")
			for _, name := range behind {
				got, err := s.pendingJobs(name)
				switch {
				case errors.Is(err, core.ErrNotExecuted):
					refused++
				case err != nil || got != want:
					t.Errorf("instance %s: pending jobs: got %d and error %v, want %d or %v", name, got, err, want, core.ErrNotExecuted)
				}
			}
		}
		t.Logf("pending jobs refused %d times", refused)
		is.True(refused > 0)
		for _, name := range behind {
			got, err := s.pendingJobs(name)
			is.NoErr(err)
			is.Equal(got, want)
		}
	})
}

// pendingJobs returns the number of pending jobs of the queue as an instance
// reports it.
func (s *site) pendingJobs(name string) (int, error) {
	return s.Core(name).PendingJobs("q")
}
