package core_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestUnansweredEntriesSlowNobody checks that entries of the list of workers that
// no worker answers for, which another writer may have stored, delay no task, with
// and without relays, and that no relay is taken for silent because of them.
func TestUnansweredEntriesSlowNobody(t *testing.T) {
	for _, workers := range []int{6, 120} {
		t.Run(fmt.Sprintf("workers=%d", workers), func(t *testing.T) {
			for _, b := range runSiteWithWorkers(t, 4, workers, func(s *site) {
				is := s.is
				for i := range 60 {
					capacity := work.Size{CPU: int64(1) << (i % 41), Memory: 1 << 40, Accelerators: 1 << 40}
					s.Fleet.ListUnanswered(sched.WorkerInfo{ID: fmt.Sprintf("odd%02d", i), Addr: "w00", Service: service, Rack: "r0", Capacity: capacity, Incarnation: int64(i % 2)})
				}
				time.Sleep(time.Second)
				for i := range 20 {
					is.NoErr(s.Submit(s.InstanceNames()[i%4], s.NewJob(fmt.Sprintf("a%d", i), "q", tasks(6, 300))))
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(time.Second)
				for _, id := range s.JobIDs() {
					s.wantState(id, "complete")
				}
				is.Equal(s.Fleet.RunStarts(), 120) // each task once
			}) {
				t.Errorf("guarantee violated: %s", b)
			}
		})
	}
}

// TestOddDirectoryEntrySlowsNobody checks that an entry of the directory that
// claims more processors and bandwidth than there are, at an address that can't be
// called, keeps no task from its workers and no instance from leading.
func TestOddDirectoryEntrySlowsNobody(t *testing.T) {
	for _, machine := range []string{`"cores":1e308,"link":1e308`, `"cores":-1e308,"link":1e308`, `"cores":1e308,"link":-1e308`, `"cores":1e18`} {
		t.Run(machine, func(t *testing.T) {
			for _, b := range runSiteWithWorkers(t, 4, 120, func(s *site) {
				is := s.is
				s.AppendToDirectory("n/odd", []byte(`{"addr":"10.0.0.1:70000","life":"x","domain":"e","replica":true,`+machine+`}`))
				time.Sleep(2 * time.Second)
				for i := range 20 {
					is.NoErr(s.Submit(s.InstanceNames()[i%4], s.NewJob(fmt.Sprintf("a%d", i), "q", tasks(6, 300))))
					time.Sleep(500 * time.Millisecond)
				}
				time.Sleep(time.Second)
				for _, id := range s.JobIDs() {
					s.wantState(id, "complete")
				}
				s.wantAllReady()
				s.Kill(s.Leader())
				time.Sleep(4 * time.Second)
				is.True(s.Leader() != "")
			}) {
				t.Errorf("guarantee violated: %s", b)
			}
		})
	}
}

// TestOddLedgerRecordsEndLeadership guards against a claim of another writer whose
// term leaves no later one, so that no instance could lead again, and checks
// estimates with numbers that no leader stores.
func TestOddLedgerRecordsEndLeadership(t *testing.T) {
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	tests := []struct{ key, value string }{
		{"leader", `{"term":9223372036854775807,"instance":"x","life":"y"}`},
		{"leader", `{"term":9223372036854775807,"instance":"x","life":"y","resigned":true}`},
		{"leader", `{"term":9007199254740993,"instance":"x","life":"y"}`},
		{"leader", `{"term":-9223372036854775808,"instance":"x","life":"y","resigned":true}`},
		{"leader", `{"term":1e300}`},
		{"leader", nested},
		{"learned", `{"workers":{"w00":{"boot":1,"slow":1e308,"samples":9223372036854775807,"var":-1},"w01":{"boot":1,"slow":-1e308,"samples":-9223372036854775808,"var":1e308}},"queues":{"q":{"allowed":-1e308,"ratio":1e308,"dev":-1e308}}}`},
		{"learned", `{"workers":{"w00":{"boot":1e300,"slow":1e999}},"queues":[]}`},
		{"j/odd", `{"id":"odd","queue":"q","policy":{"service":"svc","stretch":1e300,"slack-ms":9223372036854775807},"steps":[{"count":2000,"size":{"cpu-milli":9223372036854775807,"memory-mib":9223372036854775807},"gang":true,"estimate-ms":9223372036854775807}],"accepted-ms":-9223372036854775808}`},
		{"j/odd", `{"id":"odd","queue":"q","policy":{"service":"svc"},"steps":[{"count":1}],"repeat":{"times":1000000,"first-ms":9223372036854775807,"every-ms":9223372036854775807},"accepted-ms":9223372036854775807}`},
		{"j/odd", nested},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s %.60s", tt.key, tt.value), func(t *testing.T) {
			runSite(t, 3, func(s *site) {
				_, err := s.Store.Log("x").Append(context.Background(), ledger.Producer{Name: "x", Epoch: 1}, 1, []ledger.Record{{Key: tt.key, Value: []byte(tt.value)}})
				s.is.NoErr(err)
				time.Sleep(500 * time.Millisecond)
				if l := s.Leader(); l != "" {
					s.Kill(l)
					s.Start(l)
				}
				time.Sleep(6 * time.Second)
				s.is.NoErr(s.Submit("e0", s.NewJob("a", "q", tasks(20, 300))))
				time.Sleep(2 * time.Second)
				s.wantState("a", "complete")
			})
		})
	}
}
