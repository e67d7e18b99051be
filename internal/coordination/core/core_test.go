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
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

const service = "svc"

// site is a site of stand-ins with what the tests ask of it.
type site struct {
	*sites.Site
	t  *testing.T
	is *is.I
}

func play(t *testing.T, instances int, body func(s *site)) {
	t.Helper()
	for _, b := range playOn(t, instances, 6, body) {
		t.Errorf("broken: %s", b)
	}
}

// playOn plays instances e0, e1 and so on over some workers in virtual time and
// gives the promises that were broken.
func playOn(t *testing.T, instances, workers int, body func(s *site)) (broken []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, is: is.New(t), Site: sites.New(sites.Shape{
			Service: service, Workers: workers, Capacity: work.Size{CPU: 16000, Memory: 64000}, Logger: zerolog.Nop(),
			Queues: []flow.Queue{{Name: "q", Prefix: "/q/", Policy: flow.Policy{Service: service, MaxAttempts: 3, Stretch: 2, SlackMs: 1000}}},
		})}
		for i := range instances {
			s.Start(fmt.Sprintf("e%d", i))
		}
		time.Sleep(3 * time.Second)
		body(s)
		broken = s.Fleet.Broken()
		s.Close()
		time.Sleep(time.Minute) // for the store's late appends and the workers' timers
	})
	return broken
}

func tasks(n int, ms int64) flow.Step {
	return flow.Step{Count: n, Size: work.Size{CPU: 2000, Memory: 1000}, EstimateMs: ms}
}

// wantState fails unless every instance shows the job so.
func (s *site) wantState(id, want string) {
	s.t.Helper()
	for _, name := range s.Names() {
		if got := s.State(name, id); got != want {
			s.t.Errorf("%s shows %s as %s, not %s", name, id, got, want)
		}
	}
}

func TestServes(t *testing.T) {
	play(t, 3, func(s *site) {
		is := s.is
		is.True(s.Leader() != "")
		is.NoErr(s.Submit("e0", s.Job("a1", "q", tasks(4, 300), flow.Step{Count: 2, Size: work.Size{CPU: 100}, EstimateMs: 100, After: []int{0}})))
		gang := tasks(5, 400)
		gang.Gang = true
		is.NoErr(s.Submit("e1", s.Job("a2", "q", gang)))
		is.NoErr(s.Submit("e2", s.Job("a2", "q", gang))) // again, elsewhere
		time.Sleep(300 * time.Millisecond)
		s.wantState("a2", "active")
		time.Sleep(3 * time.Second)
		s.wantState("a1", "complete")
		s.wantState("a2", "complete")
		s.wantState("nobody", "no such job")
		is.Equal(s.Fleet.Starts(), 11)
	})
}

// TestLeaderLost takes the leader away in each way while tasks run.
func TestLeaderLost(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *site, leader string)
	}{
		{"killed", func(s *site, l string) { s.Kill(l) }},
		{"killed and back", func(s *site, l string) { s.Kill(l); s.Start(l) }},
		{"cut from the store", func(s *site, l string) { s.Store.Set(l, store.Silent) }},
		{"refused by the store", func(s *site, l string) { s.Store.Set(l, store.Busy) }},
		{"cut from store and workers", func(s *site, l string) { s.Store.Set(l, store.Silent); s.Fleet.Cut(l, true) }},
		{"resigned", func(s *site, l string) { s.At(l).Leave(context.Background()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 4, func(s *site) {
				is := s.is
				for i := range 8 {
					is.NoErr(s.Submit("e0", s.Job(fmt.Sprintf("a%d", i), "q", tasks(3, 2500))))
				}
				time.Sleep(time.Second)
				old := s.Leader()
				tt.do(s, old)
				time.Sleep(4 * time.Second)
				s.Store.Set(old, store.Fine)
				s.Fleet.Cut(old, false)
				time.Sleep(3 * time.Second)
				is.NoErr(s.Submit(s.Follower(), s.Job("b", "q", tasks(3, 200))))
				time.Sleep(8 * time.Second)
				for _, id := range s.Jobs() {
					s.wantState(id, "complete")
				}
				is.Equal(s.Fleet.Starts(), 27) // nothing ran again
				for _, name := range s.Names() {
					if why := s.At(name).Lacks(context.Background()); why != "" || !s.At(name).Ready() {
						t.Errorf("%s is not ready: %s", name, why)
					}
				}
			})
		})
	}
}

// TestStoreAway checks what callers are told while the store is away, and that
// nothing is lost by it.
func TestStoreAway(t *testing.T) {
	tests := []struct {
		trouble store.Trouble
		want    []error // any of them; nil is acceptance
	}{
		{store.Silent, []error{core.ErrNotRun, core.ErrUnknown}},
		{store.Busy, []error{core.ErrNotRun}},
		{store.Lossy, []error{nil, core.ErrUnknown, core.ErrNotRun}},
		{store.Late, []error{nil, core.ErrUnknown, core.ErrNotRun}},
	}
	for i, tt := range tests {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			play(t, 3, func(s *site) {
				is := s.is
				is.NoErr(s.Submit("e0", s.Job("before", "q", tasks(6, 3000))))
				time.Sleep(500 * time.Millisecond)
				s.Store.Set("", tt.trouble)
				refused := map[string]bool{}
				for n := range 10 {
					id := fmt.Sprintf("t%d", n)
					err := s.Submit(fmt.Sprintf("e%d", n%3), s.Job(id, "q", tasks(1, 100)))
					ok := false
					for _, w := range tt.want {
						ok = ok || errors.Is(err, w) || err == w
					}
					if !ok {
						t.Errorf("submit %s: %v", id, err)
					}
					refused[id] = errors.Is(err, core.ErrNotRun)
					time.Sleep(200 * time.Millisecond)
				}
				s.Store.Set("", store.Fine)
				time.Sleep(20 * time.Second)
				s.wantState("before", "complete")
				for id, r := range refused {
					if r && s.Store.Get("j/"+id) != nil {
						t.Errorf("%s was refused and is stored", id)
					}
				}
			})
		})
	}
}

// TestCancelAcrossRestart checks that a job stays cancelled for processes that
// begin with the newest records, whose keys come in alphabetic order.
func TestCancelAcrossRestart(t *testing.T) {
	play(t, 3, func(s *site) {
		is := s.is
		is.NoErr(s.Submit("e0", s.Job("a", "q", tasks(200, 60_000))))
		time.Sleep(time.Second)
		// The leader is away when the job is cancelled, so that only the caller's
		// record tells of it.
		old := s.Leader()
		s.Kill(old)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(s.At(s.Follower()).CancelAnywhere(ctx, "a"))
		for _, name := range s.Names() {
			s.Kill(name)
		}
		s.Store.Expire()
		for i := range 3 {
			s.Start(fmt.Sprintf("e%d", i))
		}
		time.Sleep(6 * time.Second)
		s.wantState("a", "canceled")
		n := s.Fleet.Starts()
		time.Sleep(5 * time.Second)
		is.Equal(s.Fleet.Starts(), n)
	})
}

// TestWithoutStore checks that an instance that has lost the store serves through
// its peers: it takes jobs in and shows what has become of them.
func TestWithoutStore(t *testing.T) {
	for _, trouble := range []store.Trouble{store.Silent, store.Busy} {
		t.Run(fmt.Sprint(trouble), func(t *testing.T) {
			play(t, 3, func(s *site) {
				is := s.is
				one := s.Follower()
				is.NoErr(s.Submit(one, s.Job("before", "q", tasks(2, 2500))))
				time.Sleep(500 * time.Millisecond)
				s.Store.Set(one, trouble)
				time.Sleep(2 * time.Second)
				is.True(!s.At(one).Ready())
				is.Equal(s.At(one).Lacks(context.Background()), "")
				is.NoErr(s.Submit(one, s.Job("within", "q", tasks(2, 200))))
				time.Sleep(2 * time.Second)
				s.wantState("before", "complete")
				s.wantState("within", "complete")
				is.Equal(s.State(one, "nobody"), "no such job")
			})
		})
	}
}

// TestOtherWriters checks that records that can't be read stop nobody.
func TestOtherWriters(t *testing.T) {
	play(t, 2, func(s *site) {
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
		is.NoErr(s.Submit("e0", s.Job("a", "q", tasks(2, 100))))
		time.Sleep(3 * time.Second)
		s.wantState("a", "complete")
	})
}
