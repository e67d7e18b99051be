package core_test

import (
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// TestRemovedJobsDoNotRunAgain guards against jobs that run a second time after
// their removal. A leader is cut off from the store, another one removes ended
// jobs meanwhile, and the first leads again later.
func TestRemovedJobsDoNotRunAgain(t *testing.T) {
	const untilRemoval = 155 * time.Second // the site's retention, its slack and a few seconds
	tests := []struct {
		name    string
		recover func(s *site) // just before the store answers the first leader again
	}{
		{"removal still in the log", func(*site) {}},
		{"removal expired from the log", func(s *site) { s.Store.ExpireRecords() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *site) {
				is := s.is
				first := s.Leader()
				is.NoErr(s.Submit(first, s.NewJob("a", "q", tasks(3, 200))))
				time.Sleep(2 * time.Second)
				s.wantState("a", "complete")
				s.Store.SetFault(first, store.Unresponsive)
				time.Sleep(untilRemoval)
				if s.Store.NewestValue("j/a") != nil {
					t.Error("the second leader has not removed the job")
				}
				tt.recover(s)
				s.Store.SetFault(first, store.NoFault)
				time.Sleep(5 * time.Second)
				for _, name := range s.InstanceNames() {
					if name != first {
						s.Kill(name)
					}
				}
				time.Sleep(10 * time.Second)
				if got := s.Leader(); got != first {
					t.Errorf("leader: got %q, want %q", got, first)
				}
				if got := s.Fleet.RunStarts(); got != 3 {
					t.Errorf("starts of the job's three tasks: got %d, want 3", got)
				}
				s.wantState("a", "no such job")
			})
		})
	}
}
