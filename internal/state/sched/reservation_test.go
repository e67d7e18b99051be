package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// waitForStart runs the simulation until the first task of a job has started,
// and returns the time that this took, or limit if none has started by then.
func (s *sim) waitForStart(id string, limit time.Duration) time.Duration {
	startedAt := s.now
	for s.now.Sub(startedAt) < limit {
		s.run(20 * time.Millisecond)
		if p := s.progress(id); p.State != flow.Queued {
			return s.now.Sub(startedAt)
		}
	}
	return limit
}

// TestGangStartsDespiteStreamOfShortJobs guards against the starvation of a
// gang: short tasks of the same priority keep arriving and would take all
// capacity that becomes free if none were reserved for the gang.
func TestGangStartsDespiteStreamOfShortJobs(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 8, 4)
	s.run(time.Second)
	n := 0
	submitShortJob := func() {
		s.submit(newJobSpec(fmt.Sprintf("f%d", n), "q2", taskStep(4, 4000, 700)))
		n++
	}
	for range 8 {
		submitShortJob()
	}
	g := newJobSpec("g", "q2", gangStep(8, 15000, 500))
	s.submit(g)
	var waited time.Duration
	for p := s.progress("g"); p.State == flow.Queued && waited < 10*time.Second; p = s.progress("g") {
		submitShortJob()
		s.run(80 * time.Millisecond)
		waited += 80 * time.Millisecond
	}
	// The capacity of every running task becomes free within its run time; a gang
	// of the same priority should wait for at most twice that.
	if waited > 2*time.Second {
		t.Errorf("the gang started after %v; want at most 2s", waited)
	}
	s.run(30 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(s.progress("g").State, flow.Complete)
}

// TestUrgentTaskPreemptsOnlyCheckpointedTasks checks that tasks with
// checkpoints are preempted for tasks of a higher priority. It guards against
// the preemption of tasks without checkpoints, which would lose their work.
func TestUrgentTaskPreemptsOnlyCheckpointedTasks(t *testing.T) {
	for _, checkpoints := range []bool{true, false} {
		t.Run(fmt.Sprintf("saves=%v", checkpoints), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 9, 2)
			s.allowedShare = 1
			s.run(time.Second)
			long := taskStep(16, 4000, 6000)
			long.Checkpointing = checkpoints
			s.submit(newJobSpec("long", "q2", long))
			s.run(time.Second)
			s.submit(newJobSpec("urgent", "q0", taskStep(2, 8000, 300)))
			waited := s.waitForStart("urgent", 20*time.Second)
			if checkpoints && waited > 600*time.Millisecond {
				t.Errorf("the urgent job started after %v; want at most 600ms by preemption", waited)
			}
			if !checkpoints && waited < 3*time.Second {
				t.Errorf("the urgent job started after %v; want at least 3s, without preemption of tasks that have no checkpoints", waited)
			}
			s.run(30 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("long").State, flow.Complete)
		})
	}
}

// TestOversizedGangReservesNothing guards against capacity that stays reserved,
// and unused, for a gang that does not fit on all workers of its service together
// even while they are empty.
func TestOversizedGangReservesNothing(t *testing.T) {
	spread := gangStep(6, 20000, 400)
	spread.MaxPerWorker = 1
	tests := []struct {
		name  string
		queue string
		gang  flow.Step
	}{
		{"too large for all workers", "q2", gangStep(40, 20000, 400)},
		{"too large for all workers, with tickets", "q1", gangStep(40, 20000, 400)},
		{"too many for one on each worker", "q2", spread},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 12, 4)
			s.run(time.Second)
			s.submit(newJobSpec("g0", tt.queue, tt.gang))
			s.submit(newJobSpec("g1", tt.queue, tt.gang))
			s.run(500 * time.Millisecond)
			s.submit(newJobSpec("a", "q2", gangStep(4*32, 1000, 400))) // needs all workers
			s.run(3 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("a").State, flow.Complete)
		})
	}
}

// TestOversizedGangLeavesReservationToOthers guards against a gang that does not
// fit on the empty workers either, but keeps other gangs from reserving capacity
// and from querying.
func TestOversizedGangLeavesReservationToOthers(t *testing.T) {
	is := is.New(t)
	e := readyEngine(t, minGangQueries*maxQueryWorkers+10, flow.PlacementService{CallMs: 300, PerWorkerMs: 4, TicketValidMs: 2000})
	for _, w := range e.workersByID {
		w.used = work.Size{CPU: 23500, Memory: 1000}
		e.index.update(w)
	}
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("oversized", "q", gangStep(4*len(e.workersByID), 9000, 400))})
	e.AddJob(testTime(0), &flow.Job{Spec: newJobSpec("g", "q", gangStep(40, 9000, 400))})
	for ms := range 200 {
		now := testTime(10 * ms)
		e.Schedule(now)
		for _, q := range e.TakeOutput().Queries {
			is.Equal(q.Job, "g")
			tickets := map[string]string{}
			for _, w := range q.Workers {
				tickets[w] = "t"
			}
			e.HandleQueryResult(now, q, tickets, 2*time.Second, true)
		}
	}
	is.True(len(e.jobs["g"].stepPlacement(0, 0).reservedOn) > 0)
}

// TestGangTooLargeForAllowedWorkersReservesNothing guards against capacity that
// stays reserved for a gang that fits on all workers of its service, but not on
// those that the placement service allows.
func TestGangTooLargeForAllowedWorkersReservesNothing(t *testing.T) {
	for _, workers := range []int{20, 100} {
		t.Run(fmt.Sprintf("workers=%d", workers), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 12, workers)
			s.allowedShares = map[string]float64{"q1": 0.1}
			s.run(time.Second)
			s.submit(newJobSpec("g", "q1", gangStep(workers/2, 20000, 400)))
			s.run(5 * time.Second)
			s.submit(newJobSpec("a", "q2", gangStep(workers, 32000, 400))) // needs all workers
			s.run(3 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("a").State, flow.Complete)
		})
	}
}

// TestGangReservesBesideWaitingGangOfLowerPriority guards against a gang that
// waits for as long as a gang of a lower priority reserves capacity partially.
func TestGangReservesBesideWaitingGangOfLowerPriority(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 8, 4)
	for i := range s.config.Queues {
		s.config.Queues[i].Policy.PlacementService = flow.PlacementService{}
	}
	s.run(time.Second)
	n := 0
	submitShortJob := func() {
		s.submit(newJobSpec(fmt.Sprintf("f%d", n), "q1", taskStep(4, 4000, 700)))
		n++
	}
	for range 8 {
		submitShortJob()
	}
	s.run(100 * time.Millisecond)
	s.submit(newJobSpec("lower", "q2", gangStep(8, 15000, 500)))
	for range 10 {
		submitShortJob()
		s.run(80 * time.Millisecond)
	}
	s.submit(newJobSpec("higher", "q1", gangStep(8, 15000, 500)))
	var waited time.Duration
	for p := s.progress("higher"); p.State == flow.Queued && waited < 10*time.Second; p = s.progress("higher") {
		submitShortJob()
		s.run(80 * time.Millisecond)
		waited += 80 * time.Millisecond
	}
	// The same bound as without the other gang.
	if waited > 2*time.Second {
		t.Errorf("the gang of the higher priority started after %v; want at most 2s", waited)
	}
	s.run(30 * time.Second)
	is.Equal(s.violations, nil)
	is.Equal(s.progress("higher").State, flow.Complete)
}

// TestLateGangKeepsRoomFromGangsInTime guards against gangs that become late
// because one that is late already has the partial reservation and renews it.
func TestLateGangKeepsRoomFromGangsInTime(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1, 4)
	s.config = &flow.Config{Version: 2, Queues: []flow.Queue{
		{Name: "gangs", Policy: flow.Policy{Service: simService, Priority: 1, MaxAttempts: 3, Stretch: 1, SlackMs: 1000}},
		{Name: "filler", Policy: flow.Policy{Service: simService, MaxAttempts: 3}},
	}}
	s.startLeader()
	s.run(time.Second)
	for i, id := range s.workerNames {
		s.workers[id].speed = 1
		s.workers[id].info.Labels = []string{id}
		s.refreshWorkers()
		st := taskStep(1, 16000, 20_000)
		st.Label = id
		spec := newJobSpec(fmt.Sprintf("filler%d", i), "filler", st)
		spec.Policy = s.config.Queue("filler").Policy
		s.submit(spec)
	}
	s.run(500 * time.Millisecond)
	gang := func(id string, cpu int64) *flow.Spec {
		spec := newJobSpec(id, "gangs", gangStep(4, cpu, 500))
		spec.Policy = s.config.Queue("gangs").Policy
		s.submit(spec)
		return spec
	}
	gang("wide", 20000) // fits when the others end, after its objective
	s.run(3 * time.Second)
	spec := gang("small", 14000)
	s.run(5 * time.Second)
	p := s.progress("small")
	if p.State != flow.Complete || p.EndedMs-spec.AcceptedMs > spec.ObjectiveMs() {
		t.Errorf("the gang that fits has state %s after %v; want it complete within its objective of %d ms", p.State, 5*time.Second, spec.ObjectiveMs())
	}
	s.run(30 * time.Second)
	is.Equal(s.progress("wide").State, flow.Complete)
	is.Equal(s.violations, nil)
}
