package core_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// startDomains starts n instances in each of three further failure domains, and
// waits until all are ready. Five in each are on larger machines.
func (s *site) startDomains(n int) {
	for _, d := range []string{"f", "g", "h"} {
		for i := range n {
			name := fmt.Sprintf("%s%02d", d, i)
			m := core.Machine{Cores: 0.14, LinkMbps: 20}
			if i < 5 {
				m = core.Machine{Cores: 0.8, LinkMbps: 200}
			}
			s.SetMachine(name, m)
			s.Start(name)
		}
	}
	time.Sleep(5 * time.Second)
	s.wantAllReady()
}

func (s *site) wantAllReady() {
	s.t.Helper()
	for _, name := range s.InstanceNames() {
		if why := s.Core(name).NotReadyReason(context.Background()); why != "" {
			s.t.Errorf("instance %s: not ready: %s", name, why)
		}
	}
}

// TestInstancesReadTheLedgerByTheHundred guards against a store whose read
// bandwidth is used up by instances that all read every record: their states
// then are seconds old, and the leader, which reads as late as they do, starts
// jobs that have been cancelled. It bounds what all instances together read by
// what twelve replicas and a leader need.
func TestInstancesReadTheLedgerByTheHundred(t *testing.T) {
	runSite(t, 0, func(s *site) {
		s.startDomains(30)
		before := s.Store.BytesRead()
		written := s.Store.BytesAppended()
		for i := range 40 {
			spec := s.NewJob(fmt.Sprintf("job%02d", i), "q", tasks(2, 300))
			s.is.NoErr(s.Submit(s.InstanceNames()[i], spec))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		const maxCopies = 13
		read, appended := s.Store.BytesRead()-before, s.Store.BytesAppended()-written
		if read > maxCopies*appended {
			t.Errorf("bytes read by %d instances: got %d for %d appended, want at most %d times as much", len(s.InstanceNames()), read, appended, maxCopies)
		}
		for _, id := range s.JobIDs() {
			s.wantState(id, "complete")
		}
		s.wantState("nobody", "no such job")
	})
}

// TestCallersAreServedWithoutTheReplicasOfTheirDomain guards against callers
// that get no answer, or a wrong one, because the replicas of their failure
// domain have ended, do not answer, or have lost the store.
func TestCallersAreServedWithoutTheReplicasOfTheirDomain(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *site, replica string)
	}{
		{"killed", func(s *site, r string) { s.Kill(r) }},
		{"silent", func(s *site, r string) { s.SetUnresponsive(r, true) }},
		{"cut from the store", func(s *site, r string) { s.Store.SetFault(r, store.Unresponsive) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 0, func(s *site) {
				s.startDomains(10)
				s.is.NoErr(s.Submit("f09", s.NewJob("before", "q", tasks(2, 2000))))
				for i := range 5 {
					tt.do(s, fmt.Sprintf("f%02d", i))
				}
				time.Sleep(500 * time.Millisecond)
				for i := range 4 {
					from := fmt.Sprintf("f%02d", 6+i)
					id := fmt.Sprintf("during%d", i)
					s.is.NoErr(s.Submit(from, s.NewJob(id, "q", tasks(1, 200))))
					if got := s.JobState(from, id); got != "queued" && got != "active" && got != "complete" {
						t.Errorf("instance %s: job %s: got state %s right after its acceptance", from, id, got)
					}
					if got := s.JobState(from, "nobody"); got != "no such job" {
						t.Errorf("instance %s: got state %s of a job that nobody submitted", from, got)
					}
				}
				time.Sleep(15 * time.Second)
				for i := range 4 {
					from := fmt.Sprintf("f%02d", 6+i)
					for _, id := range s.JobIDs() {
						if got := s.JobState(from, id); got != "complete" {
							t.Errorf("instance %s: job %s: got state %s, want complete", from, id, got)
						}
					}
				}
				for i := range 5 {
					s.Store.SetFault(fmt.Sprintf("f%02d", i), store.NoFault)
				}
				time.Sleep(3 * time.Second)
				s.wantAllReady()
			})
		})
	}
}

// TestSiteRecoversWithoutReplicas guards against a site without a leader once
// all its replicas are gone for good.
func TestSiteRecoversWithoutReplicas(t *testing.T) {
	runSite(t, 0, func(s *site) {
		s.startDomains(12)
		s.is.NoErr(s.Submit("g11", s.NewJob("before", "q", tasks(2, 9000))))
		time.Sleep(time.Second)
		for _, name := range s.InstanceNames() {
			if s.Core(name).IsReplica() {
				s.Kill(name)
			}
		}
		time.Sleep(15 * time.Second)
		s.wantAllReady()
		s.is.NoErr(s.Submit("g11", s.NewJob("after", "q", tasks(2, 300))))
		time.Sleep(10 * time.Second)
		s.wantState("before", "complete")
		s.wantState("after", "complete")
	})
}

// TestDirectorySurvivesMalformedRecords guards against an instance that ends, or
// stops finding its peers, because of a record of the directory that can't be
// decoded or describes nothing.
func TestDirectorySurvivesMalformedRecords(t *testing.T) {
	runSite(t, 3, func(s *site) {
		for i, value := range []string{"", "{", "7", `{"addr":7}`, `{"cores":-1e308,"link":"x"}`, "null", `{"replica":true}`} {
			s.AppendToDirectory(fmt.Sprintf("n/odd%d", i), []byte(value))
		}
		s.AppendToDirectory("", nil)
		s.AppendToDirectory("x/e0", []byte("{}"))
		time.Sleep(2 * time.Second)
		s.wantAllReady()
		old := s.Leader()
		s.Kill(old)
		s.Start(old)
		time.Sleep(4 * time.Second)
		s.wantAllReady()
		s.is.NoErr(s.Submit(old, s.NewJob("a", "q", tasks(2, 100))))
		time.Sleep(2 * time.Second)
		s.wantState("a", "complete")
	})
}

// TestLoadingReplicaIsNotReady guards against an instance that refuses callers
// while it loads the ledger as a new replica, although other replicas answer it.
func TestLoadingReplicaIsNotReady(t *testing.T) {
	runSite(t, 0, func(s *site) {
		s.startDomains(10)
		s.Store.SetFault("f04", store.Unresponsive)
		for i := range 10 {
			if name := fmt.Sprintf("f%02d", i); name != "f04" {
				s.Kill(name)
			}
		}
		time.Sleep(15 * time.Second)
		s.is.True(s.Core("f04").IsReplica())
		s.wantAllReady()
		s.is.NoErr(s.Submit("f04", s.NewJob("a", "q", tasks(1, 100))))
		time.Sleep(time.Second)
		s.wantState("a", "complete")
		s.Store.SetFault("f04", store.NoFault)
		time.Sleep(5 * time.Second)
	})
}
