package core_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

var errCut = errors.New("cut off")

// relay lets instances carry orders for each other, unless the called one is
// gone or cut off.
func (s *site) relay() core.Relay {
	return core.Relay{
		Give: func(_ context.Context, addr, leader string, term int64, orders []core.NumberedOrder) error {
			c := s.at(addr)
			if c == nil || s.silent(addr) {
				return errCut
			}
			c.Give(leader, term, orders)
			return nil
		},
		Answers: func(ctx context.Context, addr, leader string, after uint64, wait time.Duration) ([]core.NumberedAnswer, uint64, error) {
			c := s.at(addr)
			if c == nil || s.silent(addr) {
				return nil, after, errCut
			}
			list, last := c.Answers(ctx, leader, after, wait)
			return list, last, nil
		},
	}
}

func (s *site) silent(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mute[name]
}

// TestHelpers plays a site with more workers than a leader serves itself, while
// helpers are killed, fall silent and lose their workers.
func TestHelpers(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *site, helper string)
	}{
		{"calm", func(*site, string) {}},
		{"killed", func(s *site, h string) { s.kill(h) }},
		{"silent", func(s *site, h string) { s.setMute(h, true) }},
		{"cut from workers", func(s *site, h string) { s.fleet.Cut(h, true) }},
		{"leader killed", func(s *site, _ string) { s.kill(s.leader()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, b := range playSized(t, 4, 120, func(s *site) {
				is := s.is
				for i := range 30 {
					is.NoErr(s.submit("e0", s.job(fmt.Sprintf("a%d", i), tasks(10, 1500))))
				}
				time.Sleep(700 * time.Millisecond)
				tt.do(s, s.follower())
				for i := range 10 {
					is.NoErr(s.submit(s.leaderOrAny(), s.job(fmt.Sprintf("b%d", i), tasks(5, 100))))
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(12 * time.Second)
				for id := range s.specs {
					s.wantState(id, "complete")
				}
				is.Equal(s.fleet.Starts(), 350)
			}) {
				t.Errorf("broken: %s", b)
			}
		})
	}
}

func (s *site) setMute(name string, mute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute[name] = mute
}

func (s *site) leaderOrAny() string {
	if l := s.leader(); l != "" {
		return l
	}
	return s.names()[0]
}

// playSized is playOn with another number of workers.
func playSized(t *testing.T, instances, workers int, body func(s *site)) []string {
	t.Helper()
	return playOn(t, instances, body, func(s *site) {
		s.fleet = fleet.New(workers, work.Size{CPU: 16000, Memory: 64000}, service, leaseMax, s.lookup)
	})
}
