package core_test

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// TestJobsWaitAfterSilentStoreReturns guards against a site that serves nobody
// for up to a second and more after the store answers again: its reads and
// appends waited for the time-outs of those that were lost in the outage.
func TestJobsWaitAfterSilentStoreReturns(t *testing.T) {
	// maxDelay is the time from the store's return until a job that is submitted
	// again and again has been accepted and started.
	const maxDelay = 500 * time.Millisecond
	for _, outage := range []time.Duration{1400, 2300, 3100, 3800} {
		outage *= time.Millisecond
		t.Run(outage.String(), func(t *testing.T) {
			runSite(t, 4, func(s *site) {
				s.is.NoErr(s.Submit("e0", s.NewJob("before", "q", tasks(6, 500))))
				time.Sleep(time.Second)
				s.Store.SetFault("", store.Unresponsive)
				stop := make(chan struct{})
				var callers sync.WaitGroup
				for i, name := range s.InstanceNames() {
					job := s.NewJob(fmt.Sprintf("a%d", i), "q", tasks(1, 100))
					callers.Go(func() {
						for s.Submit(name, job) != nil {
							select {
							case <-stop:
								return
							case <-time.After(20 * time.Millisecond):
							}
						}
					})
				}
				time.Sleep(outage)
				s.Store.SetFault("", store.NoFault)
				end, started := time.Now(), s.Fleet.RunStarts()
				for s.Fleet.RunStarts() < started+4 && time.Since(end) < 10*time.Second {
					time.Sleep(5 * time.Millisecond)
				}
				if took := time.Since(end); took > maxDelay {
					t.Errorf("time until the jobs had started after an outage of %v: got %v, want at most %v", outage, took, maxDelay)
				}
				close(stop)
				callers.Wait()
			})
		})
	}
}

// TestOutcomesAreUnknownWhileStoreIsSilent guards against instances that append a
// job themselves because the replicas refuse it, although the store does not
// answer them either. Their callers are left with an unknown outcome instead of a
// refusal, after which they could try again.
func TestOutcomesAreUnknownWhileStoreIsSilent(t *testing.T) {
	runSite(t, 0, func(s *site) {
		s.startDomains(10)
		s.Store.SetFault("", store.Unresponsive)
		for i, name := range s.InstanceNames() {
			if s.Core(name).IsReplica() {
				// An append of each replica has no answer from now on.
				go s.Submit(name, s.NewJob(fmt.Sprintf("first%02d", i), "q", tasks(1, 100)))
			}
		}
		time.Sleep(time.Second)
		refused, unknown := 0, 0
		for i, name := range s.InstanceNames() {
			if s.Core(name).IsReplica() {
				continue
			}
			switch err := s.Submit(name, s.NewJob(fmt.Sprintf("job%02d", i), "q", tasks(1, 100))); {
			case errors.Is(err, core.ErrOutcomeUnknown):
				unknown++
			case errors.Is(err, core.ErrNotExecuted):
				refused++
			}
		}
		s.Store.SetFault("", store.NoFault)
		if unknown > 0 || refused == 0 {
			t.Errorf("got %d refusals and %d unknown outcomes; want refusals only", refused, unknown)
		}
		time.Sleep(5 * time.Second)
	})
}

// TestOutageMultipliesCallsToReplicas guards against instances that try each call
// at several replicas although all of them refuse calls.
func TestOutageMultipliesCallsToReplicas(t *testing.T) {
	const (
		outage           = 4 * time.Second
		callInterval     = 20 * time.Millisecond // of the callers of one instance
		maxPerSecond     = 12                    // calls of one instance to replicas
		maxRefusalsAfter = 300 * time.Millisecond
	)
	runSite(t, 0, func(s *site) {
		s.startDomains(10)
		var outside []string
		for _, name := range s.InstanceNames() {
			if !s.Core(name).IsReplica() {
				outside = append(outside, name)
			}
		}
		s.Store.SetFault("", store.Refusing)
		time.Sleep(time.Second)
		before := s.PeerSubmits()
		jobs := 0
		for end := time.Now().Add(outage); time.Now().Before(end); time.Sleep(callInterval) {
			for _, name := range outside {
				jobs++
				go s.Submit(name, s.NewJob(fmt.Sprintf("job%04d", jobs), "q", tasks(1, 100)))
			}
		}
		if n, most := s.PeerSubmits()-before, int(maxPerSecond*outage.Seconds())*len(outside); n > most {
			t.Errorf("got %d calls to replicas for %d jobs; want at most %d", n, jobs, most)
		}
		s.Store.SetFault("", store.NoFault)
		time.Sleep(maxRefusalsAfter)
		for i, name := range outside {
			if err := s.Submit(name, s.NewJob(fmt.Sprintf("after%02d", i), "q", tasks(1, 100))); err != nil {
				t.Errorf("instance %s: submit %v after the outage: %v", name, maxRefusalsAfter, err)
			}
		}
		time.Sleep(5 * time.Second)
	})
}
