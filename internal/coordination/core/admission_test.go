package core_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/admit"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// customersOn puts a configuration with customers in force.
func (s *site) customersOn() {
	s.Configure(&flow.Config{
		Version: 2, CustomersOn: true, Customers: []flow.Customer{{Name: "c", Weight: 2}},
		Queues: []flow.Queue{{Name: "q", Prefix: "/q/", Policy: flow.Policy{Service: service, MaxAttempts: 3, Stretch: 2, SlackMs: 1000}}},
	})
	time.Sleep(1500 * time.Millisecond)
}

// wantRejected fails the test unless an instance refuses a new job with a time to
// come back, and the store has not seen the job.
func (s *site) wantRejected(name, id string) {
	s.t.Helper()
	var rejected *core.RejectedError
	err := s.Submit(name, s.NewJob(id, "q", tasks(1, 500)))
	if !errors.As(err, &rejected) || rejected.RetryAfter < time.Second || rejected.RetryAfter%time.Second != 0 {
		s.t.Errorf("job %s at instance %s: got error %v, want a refusal with whole seconds", id, name, err)
	}
	if s.Store.NewestValue("j/"+id) != nil {
		s.t.Errorf("job %s at instance %s: the store has got the refused job", id, name)
	}
}

// TestJobsBeyondCapacityAreRefusedBeforeTheAppend guards against refused jobs that
// are stored, at any instance or through a peer, against refusals that are tried at
// further instances, and against records of the load without customers.
func TestJobsBeyondCapacityAreRefusedBeforeTheAppend(t *testing.T) {
	for _, customers := range []bool{true, false} {
		t.Run(fmt.Sprintf("customers=%v", customers), func(t *testing.T) {
			runSite(t, 3, func(s *site) {
				if customers {
					s.customersOn()
				}
				isolated := s.Follower()
				fill := func(prefix string) { // with 25 s of work for all workers
					for i := range 25 {
						s.is.NoErr(s.Submit(s.Leader(), s.NewJob(fmt.Sprint(prefix, i), "q", tasks(48, 1000))))
					}
					time.Sleep(1500 * time.Millisecond)
				}
				fill("first")
				if !customers {
					s.is.NoErr(s.Submit(isolated, s.NewJob("more", "q", tasks(1, 500))))
					s.is.Equal(s.Store.NewestValue("load"), nil)
					return
				}
				for _, name := range s.InstanceNames() {
					s.wantRejected(name, "at"+name)
				}
				s.is.NoErr(s.Submit(isolated, s.NewJob("first3", "q", tasks(48, 1000)))) // known already
				s.Store.SetFault(isolated, store.Refusing)
				time.Sleep(3 * time.Second)
				fill("then")
				before := s.PeerSubmits()
				s.wantRejected(isolated, "throughpeer")
				s.is.Equal(s.PeerSubmits()-before, 1)
				s.Store.SetFault(isolated, store.NoFault)
				time.Sleep(time.Minute)
				var last admit.Load
				s.is.NoErr(json.Unmarshal(s.Store.NewestValue("load"), &last))
				s.is.Equal(len(last.Groups), 0) // the backlog's end is told
			})
		})
	}
}

// TestOldSummariesRefuseNothing guards against refusals by a summary of an earlier
// term, by one older than 2 s, and by one that a restarted instance finds in the
// ledger. Its age is not known there.
func TestOldSummariesRefuseNothing(t *testing.T) {
	runSite(t, 3, func(s *site) {
		s.customersOn()
		number := int64(0)
		write := func(term int64) {
			number++
			load := admit.Load{Term: term, Number: number, Groups: []admit.Group{{Queues: []string{"q"}, All: admit.Backlog{FreshMs: 1e9, Rate: 1e5}, Customers: map[string]admit.Backlog{"": {FreshMs: 1e9, Rate: 1e5}}}}}
			data, err := json.Marshal(load)
			s.is.NoErr(err)
			_, err = s.Store.Log("x").Append(context.Background(), ledger.Producer{Name: "x", Epoch: 1}, number, []ledger.Record{{Key: "load", Value: data}})
			s.is.NoErr(err)
			time.Sleep(400 * time.Millisecond)
		}
		accepted := func(id string) {
			s.t.Helper()
			for _, name := range s.InstanceNames() {
				if err := s.Submit(name, s.NewJob(id+name, "q", tasks(1, 100))); err != nil {
					s.t.Errorf("%s: instance %s: got error %v, want the job accepted", id, name, err)
				}
			}
		}
		var first struct{ Term int64 }
		s.is.NoErr(json.Unmarshal(s.Store.NewestValue("leader"), &first))
		write(first.Term)
		s.wantRejected(s.Follower(), "refused")
		restarted := s.Follower()
		s.Kill(restarted)
		s.Start(restarted)
		time.Sleep(1200 * time.Millisecond)
		s.is.True(s.Core(restarted).Ready())
		s.is.NoErr(s.Submit(restarted, s.NewJob("restarted", "q", tasks(1, 100))))
		time.Sleep(800 * time.Millisecond)
		accepted("stale")
		write(first.Term)
		s.wantRejected(s.Follower(), "refused2")
		s.Kill(s.Leader())
		for s.Leader() == "" {
			time.Sleep(10 * time.Millisecond)
		}
		write(first.Term)
		accepted("newterm")
	})
}
