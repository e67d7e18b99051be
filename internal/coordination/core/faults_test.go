package core_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

// faultKinds are the kinds of faults from which the random plan is drawn.
var faultKinds = []string{
	"none", "leader killed", "instance killed", "all killed", "store silent", "store busy", "store lossy", "store late",
	"instance cut from store", "leader cut from store", "leader cut from workers", "worker crashed", "records expire", "resign", "cancel",
}

// TestRandomSiteFaultsKeepGuarantees runs a site under a random plan of faults.
// It guards against false outcomes of calls, violated guarantees at the
// workers, and jobs that never end.
func TestRandomSiteFaultsKeepGuarantees(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		// Everything is drawn before virtual time begins.
		var plan []faultStep
		for range rapid.IntRange(1, 7).Draw(rt, "moves") {
			plan = append(plan, faultStep{
				fault:      rapid.SampledFrom(faultKinds).Draw(rt, "fault"),
				jobs:       rapid.IntRange(0, 5).Draw(rt, "jobs"),
				tasks:      rapid.IntRange(1, 6).Draw(rt, "tasks"),
				estimateMs: int64(rapid.IntRange(50, 4000).Draw(rt, "takes")),
				gang:       rapid.Bool().Draw(rt, "gang"),
				pick:       rapid.IntRange(0, 100).Draw(rt, "which"),
				duration:   time.Duration(rapid.IntRange(300, 7000).Draw(rt, "lasts")) * time.Millisecond,
				pause:      time.Duration(rapid.IntRange(10, 3000).Draw(rt, "pause")) * time.Millisecond,
			})
		}
		var violations []string
		violations = append(runSiteWithWorkers(t, 4, 6, func(s *site) { violations = s.runPlan(plan) }), violations...)
		if len(violations) > 0 {
			rt.Fatalf("guarantees violated: %v", violations)
		}
	})
}

// faultStep is one step of a plan: it submits jobs, injects a fault and pauses.
type faultStep struct {
	fault           string
	jobs, tasks     int
	estimateMs      int64
	gang            bool
	pick            int // selects the instance, worker or job
	duration, pause time.Duration
}

// runPlan runs the plan and waits until its faults are over and all jobs should
// have ended. It returns the guarantees to callers that were violated.
func (s *site) runPlan(plan []faultStep) (violations []string) {
	results := map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	submitted := 0
	for _, step := range plan {
		for range step.jobs {
			st := tasks(step.tasks, step.estimateMs)
			st.Gang = step.gang
			sp := s.NewJob(fmt.Sprintf("j%d", submitted), "q", st)
			submitted++
			names := s.InstanceNames()
			if len(names) == 0 {
				continue
			}
			c := s.Core(names[(step.pick+submitted)%len(names)])
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				err := c.SubmitOrForward(ctx, sp)
				mu.Lock()
				defer mu.Unlock()
				results[sp.ID] = err
			})
		}
		s.injectFault(step)
		time.Sleep(step.pause)
	}
	time.Sleep(8 * time.Second)
	wg.Wait()
	for i := range 4 {
		if name := fmt.Sprintf("e%d", i); s.Core(name) == nil {
			s.Start(name)
		}
	}
	time.Sleep(60 * time.Second)
	for id, err := range results {
		stored := s.Store.NewestValue("j/"+id) != nil
		switch {
		case err == nil && !stored:
			violations = append(violations, id+" was accepted and is not stored")
		case errors.Is(err, core.ErrNotExecuted) && stored:
			violations = append(violations, id+" was refused and is stored")
		}
		if !stored {
			continue
		}
		for _, name := range s.InstanceNames() {
			if st := s.JobState(name, id); st != "complete" && st != "canceled" {
				violations = append(violations, fmt.Sprintf("%s is shown as %s by %s", id, st, name))
			}
		}
	}
	return violations
}

// injectFault injects the fault of a step. Faults that last end by themselves.
func (s *site) injectFault(step faultStep) {
	names := s.InstanceNames()
	if len(names) == 0 {
		return
	}
	target, leader := names[step.pick%len(names)], s.Leader()
	if leader == "" {
		leader = target
	}
	restart := func(name string) {
		if s.Core(name) == nil {
			return
		}
		s.Kill(name)
		time.AfterFunc(step.duration/2, func() {
			if s.Core(name) == nil {
				s.Start(name)
			}
		})
	}
	disturbStore := func(client string, t store.Fault) {
		s.Store.SetFault(client, t)
		time.AfterFunc(step.duration, func() { s.Store.SetFault(client, store.NoFault) })
	}
	switch step.fault {
	case "leader killed":
		restart(leader)
	case "instance killed":
		restart(target)
	case "all killed":
		for _, name := range names {
			restart(name)
		}
	case "store silent":
		disturbStore("", store.Unresponsive)
	case "store busy":
		disturbStore("", store.Refusing)
	case "store lossy":
		disturbStore("", store.LosingAnswers)
	case "store late":
		disturbStore("", store.DelayingAppends)
	case "instance cut from store":
		disturbStore(target, store.Unresponsive)
	case "leader cut from store":
		disturbStore(leader, store.Unresponsive)
	case "leader cut from workers":
		s.Fleet.SetPartitioned(leader, true)
		time.AfterFunc(step.duration, func() { s.Fleet.SetPartitioned(leader, false) })
	case "worker crashed":
		s.Fleet.Crash(fmt.Sprintf("w%02d", step.pick%6), max(step.duration, 2*time.Second))
	case "records expire":
		s.Store.ExpireRecords()
	case "resign":
		if c := s.Core(leader); c != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			c.Resign(ctx)
		}
	case "cancel":
		if c := s.Core(target); c != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_ = c.CancelOrForward(ctx, fmt.Sprintf("j%d", step.pick%10), keys.Caller{}) // may fail under the fault
		}
	}
}
