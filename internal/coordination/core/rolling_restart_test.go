package core_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestRollingRestartLosesAndRepeatsNothing guards against jobs that are lost or
// run twice during planned restarts: under load, all instances resign, stop and
// start one after another, twice.
func TestRollingRestartLosesAndRepeatsNothing(t *testing.T) {
	runSite(t, 4, func(s *site) {
		stop := s.startLoad("")
		for range 2 {
			for _, name := range s.InstanceNames() {
				ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
				s.Core(name).Resign(ctx)
				cancel()
				time.Sleep(200 * time.Millisecond)
				s.Kill(name)
				s.Start(name)
				time.Sleep(800 * time.Millisecond)
			}
		}
		stop()
		time.Sleep(5 * time.Second)
		accepted := 0
		for _, id := range s.JobIDs() {
			if s.Store.NewestValue("j/"+id) != nil {
				accepted++
				s.wantState(id, "complete")
			}
		}
		s.is.True(accepted > 100)
		s.is.Equal(s.Fleet.RunStarts(), accepted)
	})
}

// TestRapidConfigChangesConverge changes the configuration in quick succession,
// with hundreds of queues added and removed, while instances restart. It guards
// against instances that return to an older version, and against instances
// without the newest version a second after it was written.
func TestRapidConfigChangesConverge(t *testing.T) {
	runSite(t, 4, func(s *site) {
		base := s.Core("e0").Config().Queues
		seen := map[string]int64{}
		checkVersions := func() {
			for _, name := range s.InstanceNames() {
				c := s.Core(name).Config()
				if c == nil {
					continue
				}
				if c.Version < seen[name] {
					t.Errorf("instance %s: configuration version decreased from %d to %d", name, seen[name], c.Version)
				}
				seen[name] = c.Version
			}
		}
		version := int64(1)
		for n := range 60 {
			version += int64(1 + n%7)
			queues := append([]flow.Queue(nil), base...)
			for i := range 50 * (n % 8) {
				queues = append(queues, flow.Queue{Name: fmt.Sprintf("r%d-%d", n, i), Prefix: fmt.Sprintf("/r%d-%d/", n, i), Policy: base[0].Policy})
			}
			s.Configure(&flow.Config{Version: version, Queues: queues})
			if n == 20 || n == 40 {
				name := s.Follower()
				s.Kill(name)
				seen[name] = 0
				s.Start(name)
			}
			for range 10 {
				checkVersions()
				time.Sleep(10 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		checkVersions()
		for name, v := range seen {
			if v != version {
				t.Errorf("instance %s: got version %d, want %d, one second after the change", name, v, version)
			}
		}
		s.is.NoErr(s.Submit("e0", s.NewJob("a", "q", tasks(1, 100))))
		time.Sleep(time.Second)
		s.wantState("a", "complete")
	})
}
