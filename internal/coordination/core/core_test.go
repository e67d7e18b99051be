package core_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/sites"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

const service = "svc"

// site is a simulated site with the checks of the tests.
type site struct {
	*sites.Site
	t  *testing.T
	is *is.I
}

// runSite runs body on a simulated site with six workers, and fails the test
// for each violated guarantee.
func runSite(t *testing.T, instances int, body func(s *site)) {
	t.Helper()
	for _, b := range runSiteWithWorkers(t, instances, 6, body) {
		t.Errorf("guarantee violated: %s", b)
	}
}

// runSiteWithWorkers runs body, in virtual time, on a simulated site with
// instances e0, e1 and so on. It returns the guarantees that the workers saw
// violated.
func runSiteWithWorkers(t *testing.T, instances, workers int, body func(s *site)) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, is: is.New(t), Site: sites.New(sites.Config{
			Service: service, Workers: workers, Capacity: work.Size{CPU: 16000, Memory: 64000}, Logger: zerolog.Nop(),
			Domain: domainOf,
			Queues: []flow.Queue{{Name: "q", Prefix: "/q/", Policy: flow.Policy{Service: service, MaxAttempts: 3, Stretch: 2, SlackMs: 1000}}},
		})}
		for i := range instances {
			s.Start(fmt.Sprintf("e%d", i))
		}
		time.Sleep(3 * time.Second)
		body(s)
		violations = s.Fleet.Violations()
		s.Close()
		time.Sleep(time.Minute) // for the store's late appends and the workers' timers
	})
	return violations
}

// domainOf returns the failure domain of an instance: the first letter of its
// name.
func domainOf(instance string) string { return instance[:1] }

// tasks returns a step of n tasks that take ms milliseconds each.
func tasks(n int, ms int64) flow.Step {
	return flow.Step{Count: n, Size: work.Size{CPU: 2000, Memory: 1000}, EstimateMs: ms}
}

// wantState fails the test unless every instance reports the job's state as want.
func (s *site) wantState(id, want string) {
	s.t.Helper()
	for _, name := range s.InstanceNames() {
		if got := s.JobState(name, id); got != want {
			s.t.Errorf("instance %s: job %s: got state %s, want %s", name, id, got, want)
		}
	}
}

// TestSubmittedJobsCompleteOnce guards against jobs that are lost or run twice
// without faults, also when one is submitted again at another instance.
func TestSubmittedJobsCompleteOnce(t *testing.T) {
	runSite(t, 3, func(s *site) {
		is := s.is
		is.True(s.Leader() != "")
		is.NoErr(s.Submit("e0", s.NewJob("a1", "q", tasks(4, 300), flow.Step{Count: 2, Size: work.Size{CPU: 100}, EstimateMs: 100, After: []int{0}})))
		gang := tasks(5, 400)
		gang.Gang = true
		is.NoErr(s.Submit("e1", s.NewJob("a2", "q", gang)))
		is.NoErr(s.Submit("e2", s.NewJob("a2", "q", gang))) // again, at another instance
		time.Sleep(300 * time.Millisecond)
		s.wantState("a2", "active")
		time.Sleep(3 * time.Second)
		s.wantState("a1", "complete")
		s.wantState("a2", "complete")
		s.wantState("nobody", "no such job")
		is.Equal(s.Fleet.RunStarts(), 11)
	})
}

// TestLeaderLossLosesAndRepeatsNothing guards against tasks that are lost or
// run twice when leadership changes while they run. The leader is killed, cut
// off from the store or the workers, or resigns. All instances must be ready
// again afterwards.
func TestLeaderLossLosesAndRepeatsNothing(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *site, leader string)
	}{
		{"killed", func(s *site, l string) { s.Kill(l) }},
		{"killed and back", func(s *site, l string) { s.Kill(l); s.Start(l) }},
		{"cut from the store", func(s *site, l string) { s.Store.SetFault(l, store.Unresponsive) }},
		{"refused by the store", func(s *site, l string) { s.Store.SetFault(l, store.Refusing) }},
		{"cut from store and workers", func(s *site, l string) { s.Store.SetFault(l, store.Unresponsive); s.Fleet.SetPartitioned(l, true) }},
		{"resigned", func(s *site, l string) { s.Core(l).Resign(context.Background()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 4, func(s *site) {
				is := s.is
				for i := range 8 {
					is.NoErr(s.Submit("e0", s.NewJob(fmt.Sprintf("a%d", i), "q", tasks(3, 2500))))
				}
				time.Sleep(time.Second)
				old := s.Leader()
				tt.do(s, old)
				time.Sleep(4 * time.Second)
				s.Store.SetFault(old, store.NoFault)
				s.Fleet.SetPartitioned(old, false)
				time.Sleep(3 * time.Second)
				is.NoErr(s.Submit(s.Follower(), s.NewJob("b", "q", tasks(3, 200))))
				time.Sleep(8 * time.Second)
				for _, id := range s.JobIDs() {
					s.wantState(id, "complete")
				}
				is.Equal(s.Fleet.RunStarts(), 27) // no task ran twice
				for _, name := range s.InstanceNames() {
					if why := s.Core(name).NotReadyReason(context.Background()); why != "" || !s.Core(name).Ready() {
						t.Errorf("instance %s: not ready: %s", name, why)
					}
				}
			})
		})
	}
}

// TestSubmitOutcomeIsCorrectWhileStoreFails checks the outcome of calls during
// each kind of store fault. It guards against refused jobs that are stored, and
// against the loss of a job accepted before the fault.
func TestSubmitOutcomeIsCorrectWhileStoreFails(t *testing.T) {
	tests := []struct {
		fault store.Fault
		want  []error // any of them; nil is acceptance
	}{
		{store.Unresponsive, []error{core.ErrNotExecuted, core.ErrOutcomeUnknown}},
		{store.Refusing, []error{core.ErrNotExecuted}},
		{store.LosingAnswers, []error{nil, core.ErrOutcomeUnknown, core.ErrNotExecuted}},
		{store.DelayingAppends, []error{nil, core.ErrOutcomeUnknown, core.ErrNotExecuted}},
	}
	for i, tt := range tests {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			runSite(t, 3, func(s *site) {
				is := s.is
				is.NoErr(s.Submit("e0", s.NewJob("before", "q", tasks(6, 3000))))
				time.Sleep(500 * time.Millisecond)
				s.Store.SetFault("", tt.fault)
				refused := map[string]bool{}
				for n := range 10 {
					id := fmt.Sprintf("t%d", n)
					err := s.Submit(fmt.Sprintf("e%d", n%3), s.NewJob(id, "q", tasks(1, 100)))
					ok := false
					for _, w := range tt.want {
						ok = ok || errors.Is(err, w) || err == w
					}
					if !ok {
						t.Errorf("submit %s: got outcome %v, want one that fits the fault", id, err)
					}
					refused[id] = errors.Is(err, core.ErrNotExecuted)
					time.Sleep(200 * time.Millisecond)
				}
				s.Store.SetFault("", store.NoFault)
				time.Sleep(20 * time.Second)
				s.wantState("before", "complete")
				for id, r := range refused {
					if r && s.Store.NewestValue("j/"+id) != nil {
						t.Errorf("job %s: got a stored job after a refused submit, want none", id)
					}
				}
			})
		})
	}
}

// TestCancelSurvivesRestartFromSnapshot guards against a lost cancellation. A
// restarted process loads the newest record of each key in alphabetic order, so
// it reads the cancellation before the spec of the job.
func TestCancelSurvivesRestartFromSnapshot(t *testing.T) {
	runSite(t, 3, func(s *site) {
		is := s.is
		is.NoErr(s.Submit("e0", s.NewJob("a", "q", tasks(200, 60_000))))
		time.Sleep(time.Second)
		// There is no leader when the job is cancelled, so the cancellation is
		// stored only in the record of the call.
		old := s.Leader()
		s.Kill(old)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(s.Core(s.Follower()).CancelOrForward(ctx, "a", keys.Caller{}))
		for _, name := range s.InstanceNames() {
			s.Kill(name)
		}
		s.Store.ExpireRecords()
		for i := range 3 {
			s.Start(fmt.Sprintf("e%d", i))
		}
		time.Sleep(6 * time.Second)
		s.wantState("a", "canceled")
		n := s.Fleet.RunStarts()
		time.Sleep(5 * time.Second)
		is.Equal(s.Fleet.RunStarts(), n)
	})
}

// TestInstanceWithoutStoreServesThroughPeers guards against an instance that
// refuses callers when it alone has lost the store: it must submit jobs through
// its peers and report their current states.
func TestInstanceWithoutStoreServesThroughPeers(t *testing.T) {
	for _, fault := range []store.Fault{store.Unresponsive, store.Refusing} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			runSite(t, 3, func(s *site) {
				is := s.is
				isolated := s.Follower()
				is.NoErr(s.Submit(isolated, s.NewJob("before", "q", tasks(2, 2500))))
				time.Sleep(500 * time.Millisecond)
				s.Store.SetFault(isolated, fault)
				time.Sleep(2 * time.Second)
				is.True(!s.Core(isolated).Ready())
				is.Equal(s.Core(isolated).NotReadyReason(context.Background()), "")
				is.NoErr(s.Submit(isolated, s.NewJob("within", "q", tasks(2, 200))))
				time.Sleep(2 * time.Second)
				s.wantState("before", "complete")
				s.wantState("within", "complete")
				is.Equal(s.JobState(isolated, "nobody"), "no such job")
			})
		})
	}
}

// TestUnreadableRecordsAreSkipped guards against instances that stop serving
// when the ledger contains records of other writers that they can't decode.
func TestUnreadableRecordsAreSkipped(t *testing.T) {
	runSite(t, 2, func(s *site) {
		is := s.is
		ctx := context.Background()
		var bad []ledger.Record
		for _, k := range []string{"j/x", "p/x", "c/x", "n/x", "leader", "beat", "", "j/", "zzz"} {
			for _, v := range []string{"", "\x00", "{}", "[]", `{"id":7}`, strings.Repeat("\xff", 50)} {
				bad = append(bad, ledger.Record{Key: k, Value: []byte(v)})
			}
		}
		_, err := s.Store.Log("x").Append(ctx, ledger.Producer{Name: "x", Epoch: 1}, 1, bad)
		is.NoErr(err)
		is.NoErr(s.Submit("e0", s.NewJob("a", "q", tasks(2, 100))))
		time.Sleep(3 * time.Second)
		s.wantState("a", "complete")
	})
}
