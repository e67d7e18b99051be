package sched

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

// Bounds of the users' rule on tasks that could run and do not.
const (
	settleTime  = 14 * time.Second // after the last fault, until the rule holds
	maxIdleTime = 3 * time.Second  // of a task for which there is room
	// lastingGrace is the time after its last run from which the rule holds for a
	// task that lasts, however full its service is.
	lastingGrace = 6 * time.Second
)

// TestStartableTasksAreNotLeftIdle guards against tasks that wait although most
// of the workers' capacity is free. Jobs of the kinds of a busy site meet random
// faults, several at a time. Once these are over, no task that could start may be
// idle for maxIdleTime while there is room for its step twice over and less than
// half of the processors is in use.
func TestStartableTasksAreNotLeftIdle(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, uint64(rapid.IntRange(1, 1<<30).Draw(rt, "seed")), rapid.IntRange(6, 24).Draw(rt, "workers"))
		s.timedQueries, s.placementClients, s.taskFailureRate = true, 6, 0.02
		s.setBusyQueues()
		s.startLeader()
		s.run(time.Second)
		n := 0
		var quietAt time.Time
		for range rapid.IntRange(1, 12).Draw(rt, "rounds") {
			for range rapid.IntRange(0, 16).Draw(rt, "jobs") {
				s.submit(drawBusyJob(rt, s.now, fmt.Sprintf("j%d", n)))
				n++
			}
			for range rapid.IntRange(0, 2).Draw(rt, "faults") {
				w := s.workers[rapid.SampledFrom(s.workerNames).Draw(rt, "worker")]
				duration := time.Duration(rapid.IntRange(200, 7000).Draw(rt, "ms")) * time.Millisecond
				s.injectFault(rt, rapid.SampledFrom(simFaultKinds).Draw(rt, "fault"), w, duration)
				if end := s.now.Add(max(duration, 2*time.Second)); end.After(quietAt) {
					quietAt = end
				}
			}
			s.run(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		s.checkNoTaskIsLeftIdle(rt, quietAt)
	})
}

// checkNoTaskIsLeftIdle runs the simulation until the rule holds, and fails the test
// if a task is left idle then.
func (s *sim) checkNoTaskIsLeftIdle(rt *rapid.T, quietAt time.Time) {
	s.run(max(quietAt.Sub(s.now), 0) + settleTime)
	idleSince := map[TaskID]time.Time{}
	for range 40 {
		if s.allJobsEnded() {
			break
		}
		s.run(250 * time.Millisecond)
		s.checkIdleTasks(rt, idleSince)
	}
	if s.engine != nil {
		if stats := s.engine.Stats(s.now); stats.Stranded > 0 {
			rt.Fatalf("the leader has lost track of %d jobs, the oldest is %s", stats.Stranded, stats.StrandedJob)
		}
	}
	if len(s.violations) > 0 {
		rt.Fatalf("invariant violated: %s", s.violations[0])
	}
}

// TestTasksOfTwoServicesAreNotLeftIdle guards against the same beside tasks that run
// longer than the test, on two services that are used unlike, with and without
// customers.
func TestTasksOfTwoServicesAreNotLeftIdle(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(t, uint64(rapid.IntRange(1, 1<<30).Draw(rt, "seed")), rapid.IntRange(4, 12).Draw(rt, "workers"))
		for i := range rapid.IntRange(4, 12).Draw(rt, "workers of the other service") {
			s.addWorker(fmt.Sprintf("x%02d", i), "r2").info.Service = "other"
		}
		s.timedQueries, s.placementClients, s.taskFailureRate = true, 6, 0.02
		s.setBusyQueues()
		for _, q := range s.config.Queues[:len(s.config.Queues):len(s.config.Queues)] {
			s.allowedShares["other-"+q.Name] = s.allowedShares[q.Name]
			q.Name, q.Policy.Service = "other-"+q.Name, "other"
			s.config.Queues = append(s.config.Queues, q)
		}
		if s.config.CustomersOn = rapid.Bool().Draw(rt, "customers"); s.config.CustomersOn {
			s.config.Customers = []flow.Customer{{Name: "c0", Weight: 1}, {Name: "c1", Weight: 3}}
		}
		s.startLeader()
		s.run(time.Second)
		otherShare := rapid.IntRange(0, 10).Draw(rt, "tenths of the jobs to the other service")
		n := 0
		for range rapid.IntRange(1, 8).Draw(rt, "rounds") {
			for range rapid.IntRange(0, 8).Draw(rt, "jobs") {
				spec := drawBusyJob(rt, s.now, fmt.Sprintf("j%d", n))
				n++
				if rapid.IntRange(0, 5).Draw(rt, "wide") == 0 {
					spec = newJobSpec(spec.ID, "free", gangStep(rapid.IntRange(4, 24).Draw(rt, "tasks"), 15000, 1000))
				}
				spec.Customer = rapid.SampledFrom([]string{"c0", "c1"}).Draw(rt, "customer")
				if rapid.IntRange(1, 10).Draw(rt, "service") <= otherShare {
					spec.Queue = "other-" + spec.Queue
				}
				for i := range spec.Steps {
					if rapid.IntRange(0, 3).Draw(rt, "long") == 0 {
						spec.Steps[i].EstimateMs = longMs
					}
				}
				s.submit(spec)
			}
			s.run(time.Duration(rapid.IntRange(50, 3000).Draw(rt, "pause")) * time.Millisecond)
		}
		s.checkNoTaskIsLeftIdle(rt, s.now)
	})
}

// setBusyQueues sets queues of urgent tasks, gangs and batch jobs that need
// tickets, and one that needs none.
func (s *sim) setBusyQueues() {
	queue := func(name string, priority, attempts int, stretch float64, slackMs int64, service flow.PlacementService, share float64) flow.Queue {
		if s.allowedShares == nil {
			s.allowedShares = map[string]float64{}
		}
		s.allowedShares[name] = share
		return flow.Queue{Name: name, Policy: flow.Policy{Service: simService, Priority: priority, MaxAttempts: attempts, Stretch: stretch, SlackMs: slackMs, PlacementService: service}}
	}
	s.config = &flow.Config{Version: 2, Queues: []flow.Queue{
		queue("urgent", 0, 4, 1.5, 250, flow.PlacementService{CallMs: 5.6, PerWorkerMs: 0.08, TicketValidMs: 1500}, 0.7),
		queue("gangs", 1, 2, 2.2, 1000, flow.PlacementService{CallMs: 310, PerWorkerMs: 4.4, TicketValidMs: 1500}, 0.25),
		queue("batch", 2, 3, 4, 3000, flow.PlacementService{CallMs: 50, PerWorkerMs: 0.71, TicketValidMs: 1500}, 0.45),
		queue("free", 2, 3, 2, 1000, flow.PlacementService{}, 1),
	}}
}

// drawBusyJob draws a job for one of the queues of setBusyQueues. Some have
// rounds, limits by worker, or tasks that run until they are cancelled.
func drawBusyJob(rt *rapid.T, now time.Time, id string) *flow.Spec {
	queue := rapid.SampledFrom([]string{"urgent", "gangs", "batch", "batch", "free"}).Draw(rt, "queue")
	var steps []flow.Step
	for i := range rapid.IntRange(1, 3).Draw(rt, "steps") {
		st := taskStep(rapid.IntRange(1, 10).Draw(rt, "count"), int64(rapid.IntRange(200, 9000).Draw(rt, "cpu")), int64(rapid.IntRange(50, 5000).Draw(rt, "estimate")))
		st.Size.Memory = int64(rapid.IntRange(500, 20000).Draw(rt, "memory"))
		st.Gang = queue == "gangs" || queue == "urgent" && rapid.IntRange(0, 2).Draw(rt, "gang") == 0
		st.Checkpointing = rapid.Bool().Draw(rt, "checkpoints")
		if !st.Gang && rapid.IntRange(0, 5).Draw(rt, "apart") == 0 {
			st.MaxPerWorker = rapid.IntRange(1, 3).Draw(rt, "per worker")
		}
		if queue == "free" && rapid.IntRange(0, 5).Draw(rt, "lasting") == 0 {
			st.LongRunning, st.Gang, st.Size.CPU = true, false, min(st.Size.CPU, 500)
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		steps = append(steps, st)
		if st.LongRunning {
			break
		}
	}
	spec := newJobSpec(id, queue, steps...)
	if rapid.IntRange(0, 7).Draw(rt, "repeats") == 0 && !steps[len(steps)-1].LongRunning {
		spec.Repeat = flow.Repeat{Times: rapid.IntRange(1, 4).Draw(rt, "times"), FirstStartMs: now.UnixMilli() + 500, IntervalMs: 2000}
	}
	return spec
}

// checkIdleTasks fails the test if a task has been idle for maxIdleTime although
// it could run. idleSince holds since when the tasks of the last check are.
func (s *sim) checkIdleTasks(rt *rapid.T, idleSince map[TaskID]time.Time) {
	idle := map[TaskID]bool{}
	services := map[string]*serviceUse{}
	running := map[TaskID]bool{}
	for _, name := range s.workerNames {
		w := s.workers[name]
		if !w.up {
			continue
		}
		u := services[w.info.Service]
		if u == nil {
			u = &serviceUse{}
			services[w.info.Service] = u
		}
		u.usedCPU, u.cpu = u.usedCPU+w.used().CPU, u.cpu+w.info.Capacity.CPU
		for id := range w.runs {
			running[id] = true
		}
	}
	for _, id := range s.jobIDs {
		u := services[s.config.Queue(s.jobs[id].spec.Queue).Policy.Service]
		for _, task := range s.startableTasks(id, running) {
			if s.jobs[id].spec.Steps[task.Step].LongRunning || u != nil && u.mostlyIdle() {
				idle[task] = true
			}
		}
	}
	for task := range idleSince {
		if !idle[task] {
			delete(idleSince, task)
		}
	}
	for task := range idle {
		since, ok := idleSince[task]
		if !ok {
			idleSince[task] = s.now
			continue
		}
		limit, service := maxIdleTime, s.config.Queue(s.jobs[task.Job].spec.Queue).Policy.Service
		if s.jobs[task.Job].spec.Steps[task.Step].LongRunning {
			limit += lastingGrace
		}
		if s.now.Sub(since) >= limit {
			rt.Fatalf("LOST: %v could run and has been idle for %v, with service %s %+v; %s", task, s.now.Sub(since), service, services[service], s.describeWaiting(task))
		}
	}
}

// startableTasks returns the tasks of a job that do not run, whose step may
// start, and for whose step there is room twice over.
func (s *sim) startableTasks(id string, running map[TaskID]bool) []TaskID {
	stored, p := s.jobs[id], s.progress(id)
	if stored.removed || stored.canceled || p.State.Final() {
		return nil
	}
	var tasks []TaskID
	for round := range stored.spec.RoundCount() {
		if s.now.UnixMilli() < stored.spec.EarliestStartMs(round) {
			break
		}
		for step := range stored.spec.Steps {
			st := &stored.spec.Steps[step]
			var idle []TaskID
			for i := range st.Count {
				if task := (TaskID{id, round, step, i}); !s.done[task] && !running[task] {
					idle = append(idle, task)
				}
			}
			if len(idle) == 0 || !s.stepsDone(id, round, st.After) || (st.Gang && len(idle) < st.Count) {
				continue
			}
			need := 1
			if st.Gang {
				need = st.Count
			}
			if s.roomFor(stored.spec, round, step, running) >= 2*need {
				tasks = append(tasks, idle...)
			}
		}
	}
	return tasks
}

func (s *sim) stepsDone(id string, round int, steps []int) bool {
	for _, step := range steps {
		for i := range s.jobs[id].spec.Steps[step].Count {
			if !s.done[TaskID{id, round, step, i}] {
				return false
			}
		}
	}
	return true
}

// roomFor returns how many tasks of a step fit into the free capacity of the
// workers that may run it.
func (s *sim) roomFor(spec *flow.Spec, round, step int, running map[TaskID]bool) int {
	st, fit, service := &spec.Steps[step], 0, s.config.Queue(spec.Queue).Policy.Service
	for _, name := range s.workerNames {
		w := s.workers[name]
		if !w.reachable() || w.info.Draining || w.info.Service != service || !s.allows(spec, name) {
			continue
		}
		most := 2 * st.Count
		if st.MaxPerWorker > 0 {
			most = st.MaxPerWorker
			for i := range st.Count {
				if w.runs[TaskID{spec.ID, round, step, i}] != nil {
					most--
				}
			}
		}
		fit += fitCount(w.info.Capacity.Sub(w.used()), work.Size{CPU: st.Size.CPU, Memory: st.Size.Memory}, max(most, 0))
	}
	return fit
}

// allows reports whether the placement service allows a job on a worker.
func (s *sim) allows(spec *flow.Spec, worker string) bool {
	share, ok := s.allowedShares[spec.Queue]
	if !ok {
		share = s.allowedShare
	}
	h := fnv.New32a()
	h.Write([]byte(spec.ID + worker))
	return float64(h.Sum32()%1000) < share*1000
}

// describeWaiting returns what the leader knows of a task's step, and what the
// steps of its queue wait for.
func (s *sim) describeWaiting(task TaskID) string {
	spec := s.jobs[task.Job].spec
	text := fmt.Sprintf("step %+v", spec.Steps[task.Step])
	if s.engine == nil {
		return text + "; no leader"
	}
	w := s.engine.Stats(s.now).Waiting[spec.Queue]
	if w == nil {
		return text + "; no step of its queue waits"
	}
	w.EachReason(func(r WaitReason, steps int) { text += fmt.Sprintf("; %d steps: %v", steps, r) })
	return text + fmt.Sprintf("; oldest %+v", w.Oldest)
}
