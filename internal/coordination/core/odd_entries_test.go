package core_test

import (
	"fmt"
	"testing"
	"time"

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
