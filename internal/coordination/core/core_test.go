package core_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

const (
	service  = "svc"
	leaseMax = 6 * time.Second
)

// site is a few instances over one store and one fleet, in virtual time.
type site struct {
	t     *testing.T
	is    *is.I
	store *store.Store
	fleet *fleet.Fleet
	conf  *flow.Config

	mu    sync.Mutex
	nodes map[string]*node
	specs map[string]*flow.Spec
	mute  map[string]bool // instances that don't answer their peers
}

// at gives an instance's core, nil if its process is gone.
func (s *site) at(name string) *core.Core {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.nodes[name]; n != nil {
		return n.core
	}
	return nil
}

// names gives the instances that run.
func (s *site) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.nodes))
}

// node is one instance's process.
type node struct {
	core *core.Core
	stop func()
	done chan struct{}
}

func play(t *testing.T, instances int, body func(s *site)) {
	t.Helper()
	for _, b := range playOn(t, instances, body) {
		t.Errorf("broken: %s", b)
	}
}

// playOn plays in virtual time and gives the promises that were broken.
func playOn(t *testing.T, instances int, body func(s *site), edits ...func(s *site)) (broken []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, is: is.New(t), store: store.New(1), nodes: map[string]*node{}, specs: map[string]*flow.Spec{}, mute: map[string]bool{}}
		s.conf = &flow.Config{Version: 1, Services: map[string]flow.Service{service: {}}}
		s.conf.Queues = []flow.Queue{{Name: "q", Prefix: "/q/", Policy: flow.Policy{Service: service, MaxAttempts: 3, Stretch: 2, SlackMs: 1000}}}
		s.fleet = fleet.New(6, work.Size{CPU: 16000, Memory: 64000}, service, leaseMax, s.lookup)
		for _, edit := range edits {
			edit(s)
		}
		for i := range instances {
			s.start(fmt.Sprintf("e%d", i))
		}
		time.Sleep(3 * time.Second)
		body(s)
		broken = s.fleet.Broken()
		for _, name := range s.names() {
			s.kill(name)
		}
		time.Sleep(time.Minute) // for the store's late appends and the workers' timers
	})
	return broken
}

func (s *site) lookup(id sched.TaskID) (fleet.Spec, bool) {
	s.mu.Lock()
	sp := s.specs[id.Job]
	s.mu.Unlock()
	if sp == nil {
		return fleet.Spec{}, false
	}
	st := sp.Steps[id.Step]
	out := fleet.Spec{Size: st.Size, Takes: time.Duration(st.EstimateMs) * time.Millisecond}
	if st.Gang {
		out.Gang = st.Count
	}
	return out, true
}

var life int

func (s *site) start(name string) {
	life++
	began := time.Now()
	settings := core.Settings{
		Instance: name, Life: fmt.Sprintf("life-%d", life), Domain: "d", Addr: name,
		Params: sched.Params{LeaseMax: leaseMax, LeaderMax: 4 * time.Second, GangWait: 3 * time.Second, KeepFor: 120 * time.Second, Heartbeat: 1500 * time.Millisecond},
		Log:    s.store.Log(name), Config: s.configLog(), DecodeConfig: func(r ledger.Record) (*flow.Config, error) { return s.conf, nil },
		Workers: s.fleet.Calls(name), Now: time.Now, Uptime: func() time.Duration { return time.Since(began) },
		Logger: zerolog.Nop(), Meter: meter.New(), Relay: s.relay(),
		Peers: core.Peers{
			Submit: func(ctx context.Context, addr string, sp *flow.Spec) error {
				if c := s.at(addr); c != nil {
					return c.Submit(ctx, sp)
				}
				return core.ErrNotRun
			},
			Cancel: func(ctx context.Context, addr, id string) error {
				if c := s.at(addr); c != nil {
					return c.Cancel(ctx, id)
				}
				return core.ErrNotRun
			},
			Status: func(ctx context.Context, addr, id string) (flow.Status, error) {
				if c := s.at(addr); c != nil {
					return c.Status(ctx, id)
				}
				return flow.Status{}, core.ErrNotRun
			},
			Ready: func(ctx context.Context, addr string) bool { c := s.at(addr); return c != nil && c.Ready() },
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &node{core: core.New(settings), stop: stop, done: make(chan struct{})}
	s.mu.Lock()
	s.nodes[name] = n
	s.mu.Unlock()
	go func() {
		defer close(n.done)
		n.core.Run(ctx)
	}()
}

// configLog holds one record for ever.
func (s *site) configLog() ledger.Log {
	return ledger.Log{
		Newest: func(context.Context, string) (ledger.Snapshot, error) {
			return ledger.Snapshot{Records: []ledger.Record{{Key: "config", Value: []byte("x")}}, End: 1}, nil
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (ledger.Page, error) {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
			return ledger.Page{From: from, End: from}, nil
		},
	}
}

func (s *site) kill(name string) {
	s.mu.Lock()
	n := s.nodes[name]
	delete(s.nodes, name)
	s.mu.Unlock()
	n.stop()
	<-n.done
}

func (s *site) leader() string {
	for _, name := range s.names() {
		if s.at(name).Leads() {
			return name
		}
	}
	return ""
}

func (s *site) job(id string, steps ...flow.Step) *flow.Spec {
	sp := &flow.Spec{ID: id, Queue: "q", Policy: s.conf.Queues[0].Policy, Steps: steps, AcceptedMs: time.Now().UnixMilli()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.specs[id] = sp
	return sp
}

func tasks(n int, ms int64) flow.Step {
	return flow.Step{Count: n, Size: work.Size{CPU: 2000, Memory: 1000}, EstimateMs: ms}
}

func (s *site) submit(node string, sp *flow.Spec) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return s.at(node).SubmitAnywhere(ctx, sp)
}

func (s *site) state(node, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	st, err := s.at(node).StatusAnywhere(ctx, id)
	if err != nil {
		return err.Error()
	}
	return st.State.String()
}

// wantState fails unless every instance shows the job so.
func (s *site) wantState(id, want string) {
	s.t.Helper()
	for _, name := range s.names() {
		if got := s.state(name, id); got != want {
			s.t.Errorf("%s shows %s as %s, not %s", name, id, got, want)
		}
	}
}

// follower gives an instance that does not lead.
func (s *site) follower() string {
	for _, name := range s.names() {
		if !s.at(name).Leads() {
			return name
		}
	}
	return ""
}

func TestServes(t *testing.T) {
	play(t, 3, func(s *site) {
		is := s.is
		is.True(s.leader() != "")
		is.NoErr(s.submit("e0", s.job("a1", tasks(4, 300), flow.Step{Count: 2, Size: work.Size{CPU: 100}, EstimateMs: 100, After: []int{0}})))
		gang := tasks(5, 400)
		gang.Gang = true
		is.NoErr(s.submit("e1", s.job("a2", gang)))
		is.NoErr(s.submit("e2", s.job("a2", gang))) // again, elsewhere
		time.Sleep(300 * time.Millisecond)
		s.wantState("a2", "active")
		time.Sleep(3 * time.Second)
		s.wantState("a1", "complete")
		s.wantState("a2", "complete")
		s.wantState("nobody", "no such job")
		is.Equal(s.fleet.Starts(), 11)
	})
}

// TestLeaderLost takes the leader away in each way while tasks run.
func TestLeaderLost(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *site, leader string)
	}{
		{"killed", func(s *site, l string) { s.kill(l) }},
		{"killed and back", func(s *site, l string) { s.kill(l); s.start(l) }},
		{"cut from the store", func(s *site, l string) { s.store.Set(l, store.Silent) }},
		{"refused by the store", func(s *site, l string) { s.store.Set(l, store.Busy) }},
		{"cut from store and workers", func(s *site, l string) { s.store.Set(l, store.Silent); s.fleet.Cut(l, true) }},
		{"resigned", func(s *site, l string) { s.at(l).Leave(context.Background()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play(t, 4, func(s *site) {
				is := s.is
				for i := range 8 {
					is.NoErr(s.submit("e0", s.job(fmt.Sprintf("a%d", i), tasks(3, 2500))))
				}
				time.Sleep(time.Second)
				old := s.leader()
				tt.do(s, old)
				time.Sleep(4 * time.Second)
				s.store.Set(old, store.Fine)
				s.fleet.Cut(old, false)
				time.Sleep(3 * time.Second)
				is.NoErr(s.submit(s.follower(), s.job("b", tasks(3, 200))))
				time.Sleep(8 * time.Second)
				for id := range s.specs {
					s.wantState(id, "complete")
				}
				is.Equal(s.fleet.Starts(), 27) // nothing ran again
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
				is.NoErr(s.submit("e0", s.job("before", tasks(6, 3000))))
				time.Sleep(500 * time.Millisecond)
				s.store.Set("", tt.trouble)
				refused := map[string]bool{}
				for n := range 10 {
					id := fmt.Sprintf("t%d", n)
					err := s.submit(fmt.Sprintf("e%d", n%3), s.job(id, tasks(1, 100)))
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
				s.store.Set("", store.Fine)
				time.Sleep(20 * time.Second)
				s.wantState("before", "complete")
				for id, r := range refused {
					if r && s.store.Get("j/"+id) != nil {
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
		is.NoErr(s.submit("e0", s.job("a", tasks(200, 60_000))))
		time.Sleep(time.Second)
		// The leader is away when the job is cancelled, so that only the caller's
		// record tells of it.
		old := s.leader()
		s.kill(old)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(s.at(s.follower()).CancelAnywhere(ctx, "a"))
		for _, name := range s.names() {
			s.kill(name)
		}
		s.store.Expire()
		for i := range 3 {
			s.start(fmt.Sprintf("e%d", i))
		}
		time.Sleep(6 * time.Second)
		s.wantState("a", "canceled")
		n := s.fleet.Starts()
		time.Sleep(5 * time.Second)
		is.Equal(s.fleet.Starts(), n)
	})
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
		_, err := s.store.Log("x").Append(ctx, ledger.Producer{Name: "x", Epoch: 1}, 1, bad)
		is.NoErr(err)
		is.NoErr(s.submit("e0", s.job("a", tasks(2, 100))))
		time.Sleep(3 * time.Second)
		s.wantState("a", "complete")
	})
}
