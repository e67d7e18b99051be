package core_test

import (
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/standin/store"
)

// replicas returns the number of instances that are replicas.
func (s *site) replicas() int {
	n := 0
	for _, name := range s.InstanceNames() {
		if s.Core(name).IsReplica() {
			n++
		}
	}
	return n
}

// TestOutageMakesEveryInstanceAReplica guards against instances that become
// replicas because the others say that they are not ready: while none has the
// store, and while they load the ledger over a small link. Each further replica
// reads every record and takes bandwidth from those that load.
func TestOutageMakesEveryInstanceAReplica(t *testing.T) {
	tests := []struct {
		name string
		do   func(s *site)
	}{
		{"store silent", func(s *site) {
			for range 2 {
				s.Store.SetFault("", store.Unresponsive)
				time.Sleep(5500 * time.Millisecond)
				s.Store.SetFault("", store.NoFault)
				time.Sleep(3 * time.Second)
			}
		}},
		{"store refuses", func(s *site) {
			s.Store.SetFault("", store.Refusing)
			time.Sleep(5500 * time.Millisecond)
			s.Store.SetFault("", store.NoFault)
		}},
		{"all restarted, and reading the ledger takes long", func(s *site) {
			s.Store.SetLatencyFactor(400)
			names := s.InstanceNames()
			for _, name := range names {
				s.Kill(name)
			}
			for _, name := range names {
				s.Start(name)
			}
			time.Sleep(6 * time.Second)
			s.Store.SetLatencyFactor(1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 0, func(s *site) {
				s.startDomains(10)
				before := s.replicas()
				tt.do(s)
				time.Sleep(5 * time.Second)
				if after := s.replicas(); after > before {
					t.Errorf("got %d replicas, want no more than the %d before", after, before)
				}
				s.wantAllReady()
			})
		})
	}
}
