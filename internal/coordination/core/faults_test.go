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
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

// siteFaults are the kinds of trouble that the walk draws from.
var siteFaults = []string{
	"none", "leader killed", "instance killed", "all killed", "store silent", "store busy", "store lossy", "store late",
	"instance cut from store", "leader cut from store", "leader cut from workers", "worker crashed", "records expire", "resign", "cancel",
}

// TestSiteFaults plays whole instances under random faults: what callers were
// told must be true, the workers' promises kept, and every job must end.
func TestSiteFaults(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		// Everything is drawn before virtual time begins.
		var plan []siteMove
		for range rapid.IntRange(1, 7).Draw(rt, "moves") {
			plan = append(plan, siteMove{
				fault: rapid.SampledFrom(siteFaults).Draw(rt, "fault"),
				jobs:  rapid.IntRange(0, 5).Draw(rt, "jobs"),
				tasks: rapid.IntRange(1, 6).Draw(rt, "tasks"),
				ms:    int64(rapid.IntRange(50, 4000).Draw(rt, "takes")),
				gang:  rapid.Bool().Draw(rt, "gang"),
				at:    rapid.IntRange(0, 100).Draw(rt, "which"),
				lasts: time.Duration(rapid.IntRange(300, 7000).Draw(rt, "lasts")) * time.Millisecond,
				pause: time.Duration(rapid.IntRange(10, 3000).Draw(rt, "pause")) * time.Millisecond,
			})
		}
		var broken []string
		broken = append(playOn(t, 4, 6, func(s *site) { broken = s.walk(plan) }), broken...)
		if len(broken) > 0 {
			rt.Fatalf("broken: %v", broken)
		}
	})
}

// siteMove is one step of the walk.
type siteMove struct {
	fault        string
	jobs, tasks  int
	ms           int64
	gang         bool
	at           int
	lasts, pause time.Duration
}

func (s *site) walk(plan []siteMove) (broken []string) {
	told := map[string]error{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	n := 0
	for _, m := range plan {
		for range m.jobs {
			st := tasks(m.tasks, m.ms)
			st.Gang = m.gang
			sp := s.Job(fmt.Sprintf("j%d", n), "q", st)
			n++
			names := s.Names()
			if len(names) == 0 {
				continue
			}
			c := s.At(names[(m.at+n)%len(names)])
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				err := c.SubmitAnywhere(ctx, sp)
				mu.Lock()
				defer mu.Unlock()
				told[sp.ID] = err
			})
		}
		s.fault(m)
		time.Sleep(m.pause)
	}
	time.Sleep(8 * time.Second)
	wg.Wait()
	for i := range 4 {
		if name := fmt.Sprintf("e%d", i); s.At(name) == nil {
			s.Start(name)
		}
	}
	time.Sleep(60 * time.Second)
	for id, err := range told {
		stored := s.Store.Get("j/"+id) != nil
		switch {
		case err == nil && !stored:
			broken = append(broken, id+" was accepted and is not stored")
		case errors.Is(err, core.ErrNotRun) && stored:
			broken = append(broken, id+" was refused and is stored")
		}
		if !stored {
			continue
		}
		for _, name := range s.Names() {
			if st := s.State(name, id); st != "complete" && st != "canceled" {
				broken = append(broken, fmt.Sprintf("%s is shown as %s by %s", id, st, name))
			}
		}
	}
	return broken
}

func (s *site) fault(m siteMove) {
	names := s.Names()
	if len(names) == 0 {
		return
	}
	one, lead := names[m.at%len(names)], s.Leader()
	if lead == "" {
		lead = one
	}
	down := func(name string) {
		if s.At(name) == nil {
			return
		}
		s.Kill(name)
		time.AfterFunc(m.lasts/2, func() {
			if s.At(name) == nil {
				s.Start(name)
			}
		})
	}
	trouble := func(client string, t store.Trouble) {
		s.Store.Set(client, t)
		time.AfterFunc(m.lasts, func() { s.Store.Set(client, store.Fine) })
	}
	switch m.fault {
	case "leader killed":
		down(lead)
	case "instance killed":
		down(one)
	case "all killed":
		for _, name := range names {
			down(name)
		}
	case "store silent":
		trouble("", store.Silent)
	case "store busy":
		trouble("", store.Busy)
	case "store lossy":
		trouble("", store.Lossy)
	case "store late":
		trouble("", store.Late)
	case "instance cut from store":
		trouble(one, store.Silent)
	case "leader cut from store":
		trouble(lead, store.Silent)
	case "leader cut from workers":
		s.Fleet.Cut(lead, true)
		time.AfterFunc(m.lasts, func() { s.Fleet.Cut(lead, false) })
	case "worker crashed":
		s.Fleet.Crash(fmt.Sprintf("w%02d", m.at%6), max(m.lasts, 2*time.Second))
	case "records expire":
		s.Store.Expire()
	case "resign":
		if c := s.At(lead); c != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			c.Leave(ctx)
		}
	case "cancel":
		if c := s.At(one); c != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_ = c.CancelAnywhere(ctx, fmt.Sprintf("j%d", m.at%10)) // refusals are part of the trouble
		}
	}
}
