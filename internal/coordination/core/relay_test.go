package core_test

import (
	"fmt"
	"testing"
	"time"
)

// TestRelayFaultsLoseAndRepeatNothing guards against orders lost or repeated at
// a relay. With more workers than a leader calls itself, it sends orders
// through relays, which are killed, stop answering, or lose their connection to
// workers.
func TestRelayFaultsLoseAndRepeatNothing(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *site, relay string)
	}{
		{"calm", func(*site, string) {}},
		{"killed", func(s *site, r string) { s.Kill(r) }},
		{"silent", func(s *site, r string) { s.SetUnresponsive(r, true) }},
		{"cut from workers", func(s *site, r string) { s.Fleet.SetPartitioned(r, true) }},
		{"leader killed", func(s *site, _ string) { s.Kill(s.Leader()) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, b := range runSiteWithWorkers(t, 4, 120, func(s *site) {
				is := s.is
				for i := range 30 {
					is.NoErr(s.Submit("e0", s.NewJob(fmt.Sprintf("a%d", i), "q", tasks(10, 1500))))
				}
				time.Sleep(700 * time.Millisecond)
				tt.do(s, s.Follower())
				for i := range 10 {
					is.NoErr(s.Submit(s.leaderOrAny(), s.NewJob(fmt.Sprintf("b%d", i), "q", tasks(5, 100))))
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(12 * time.Second)
				for _, id := range s.JobIDs() {
					s.wantState(id, "complete")
				}
				is.Equal(s.Fleet.RunStarts(), 350)
			}) {
				t.Errorf("guarantee violated: %s", b)
			}
		})
	}
}

func (s *site) leaderOrAny() string {
	if l := s.Leader(); l != "" {
		return l
	}
	return s.InstanceNames()[0]
}
