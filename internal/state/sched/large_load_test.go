package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// largeLoad is the mixed load of a site with 1,100 workers, with a burst of
// urgent jobs at twice the usual rate. The estimates in its jobs are rough, those
// of short jobs most of all.
func largeLoad() []loadClass {
	policy := func(priority int, stretch float64, slack int64, s flow.PlacementService) flow.Policy {
		return flow.Policy{Service: simService, Priority: priority, MaxAttempts: 3, Stretch: stretch, SlackMs: slack, PlacementService: s}
	}
	return []loadClass{
		{
			queue: "gangs", policy: policy(1, 2.2, 1000, flow.PlacementService{CallMs: 490, PerWorkerMs: 7, TicketValidMs: 1500}), allowedShare: 0.25,
			perSecond: 5.8, burst: 1, steps: 1.2, width: 40, maxW: 240, cpu: 9000, maxCPU: 15000, workMs: 5000, maxMs: 12000, gangShare: 1, checkpoints: 0.5, estimateOff: 0.5, uneven: 0.15,
		},
		{
			queue: "batch", policy: policy(2, 4, 3000, flow.PlacementService{CallMs: 140, PerWorkerMs: 2, TicketValidMs: 1500}), allowedShare: 0.45,
			perSecond: 9.8, burst: 1, steps: 1.5, width: 50, maxW: 300, cpu: 5500, maxCPU: 16000, workMs: 2200, maxMs: 5400, checkpoints: 0.8, estimateOff: 0.2, uneven: 0.3,
		},
		{
			queue: "urgent", policy: policy(0, 1.5, 250, flow.PlacementService{CallMs: 8.9, PerWorkerMs: 0.13, TicketValidMs: 1500}), allowedShare: 0.7,
			perSecond: 154, burst: 2, steps: 1, width: 4.5, maxW: 27, cpu: 7800, maxCPU: 23000, workMs: 640, maxMs: 1600, gangShare: 0.3, estimateOff: 0.9, uneven: 0.15,
		},
	}
}

// TestBurstOfUrgentJobsIsServedAtLargeSite guards against urgent jobs that are
// late on a site with 1,100 workers while others have room there, in a burst at
// twice their usual rate.
func TestBurstOfUrgentJobsIsServedAtLargeSite(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 20 s of a site with 1,100 workers")
	}
	is := is.New(t)
	s := newLargeSim(t, 1)
	s.checkServed(s.runLoad(1, largeLoad(), 8*time.Second, 12*time.Second), minServedInTrouble)
	is.Equal(s.violations, nil)
}

// minServedInTrouble is the share of the jobs of each queue that must be complete
// within their objective: the users' target for days with trouble at this site.
const minServedInTrouble = 0.48

// newLargeSim returns a simulation of a site with 1,100 workers and 147 placement
// clients, which has a leader.
func newLargeSim(t *testing.T, seed uint64) *sim {
	t.Helper()
	s := newSim(t, seed, 1100)
	s.placementClients = 147
	s.timedQueries = true
	s.stopTime = 900 * time.Millisecond
	s.startLeader()
	s.run(time.Second)
	return s
}

// checkServed fails the test if less than minServed of the jobs of a queue were
// complete within their objective.
func (s *sim) checkServed(results map[string]*loadResult, minServed float64) {
	s.t.Helper()
	for queue, r := range results {
		served := float64(r.inTime) / float64(r.jobs)
		s.t.Logf("%s: %d jobs, %.2f in time, %.2f late; %d queries of %.0f s", queue, r.jobs, served, float64(r.late)/float64(r.jobs), s.queries[queue], s.querySeconds[queue])
		if served < minServed {
			s.t.Errorf("%.2f of the jobs of queue %q were complete in time; want at least %.2f", served, queue, minServed)
		}
	}
}
