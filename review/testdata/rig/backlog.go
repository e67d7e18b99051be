package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["backlog"] = crashUnderBacklog }

// Sizes of the case. The disruption is one srv_crash: 1 of 8 minions (share 0.125;
// the site file has 0.14) for 3 s (the site file has 4.5 s).
const (
	backlogMinions = 8
	backlogJobs    = 120
	backlogWidth   = 1999 // tasks of each of the two wide steps
	backlogDown    = 3 * time.Second
	finishAfter    = 14 * time.Second // finish_s of the settings
	lostFor        = 3 * time.Second  // of the rule LOST
	lateJob        = "ffffffff00000001"
)

func backlogID(i int) string { return fmt.Sprintf("5c0e7a21d94b%04x", i) }

// crashUnderBacklog lets one minion crash under the first steps of many wide jobs.
// The jobs have to go on.
func crashUnderBacklog(r *rig) int {
	r.configure(4, 4)
	work := func(task string) taskWork {
		if firstStep(task) && !strings.HasPrefix(task, lateJob) {
			return taskWork{duration: 14*time.Second + spread(task, 20*time.Second)}
		}
		return taskWork{duration: 800*time.Millisecond + spread(task, 400*time.Millisecond)}
	}
	for i := range backlogMinions {
		if _, err := r.newMinion(fmt.Sprintf("i-%08x", 0x7a8b9c00+i), "vasteras-c", []string{"a", fmt.Sprintf("r%d-1", i/6+1)}, work); err != nil {
			r.note("can't start a minion: %v", err)
			return exitNotRun
		}
	}
	var instances []*instance
	for i := range 3 {
		in, err := r.newInstance(fmt.Sprintf("edge-vasteras-c-%d", i+1), "vasteras-c")
		if err != nil {
			r.note("can't set up an instance: %v", err)
			return exitNotRun
		}
		instances = append(instances, in)
	}
	if !r.startAll(20*time.Second, instances...) {
		return exitNotRun
	}
	for i := range backlogJobs {
		job := map[string]any{"spec": fmt.Sprintf("settlement, part %d", i), "steps": []map[string]any{
			{"count": 1, "cpu": 200, "mem_mb": 256, "estimate_ms": 24000},
			{"count": backlogWidth, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 1000, "depends_on": []int{0}},
			{"count": backlogWidth, "cpu": 1000, "mem_mb": 1024, "estimate_ms": 1000, "depends_on": []int{1}},
		}}
		if !r.submit(instances, backlogID(i), job) {
			return exitNotRun
		}
	}
	if !await(10*time.Second, func() bool { return r.count("start") >= backlogJobs }) {
		r.note("only %d of %d first steps have started", r.count("start"), backlogJobs)
		return exitNotRun
	}
	var fullest *minion
	for _, m := range r.minions {
		m.mu.Lock()
		n := len(m.runs)
		m.mu.Unlock()
		r.note("minion %s runs %d tasks", m.id, n)
		if fullest == nil || n > fullest.running() {
			fullest = m
		}
	}
	if r.trouble {
		r.note("1 of %d minions (%s, %d tasks) crashes and is back after %v", backlogMinions, fullest.id, fullest.running(), backlogDown)
		fullest.crash()
		time.Sleep(backlogDown)
		if err := fullest.boot(); err != nil {
			r.note("can't start the minion again: %v", err)
			return exitNotRun
		}
	} else {
		time.Sleep(backlogDown)
	}
	job := map[string]any{"spec": "one permit", "steps": []map[string]any{{"count": 2, "cpu": 2800, "mem_mb": 4000, "estimate_ms": 1000}}}
	if !r.submit(instances, lateJob, job) {
		return exitNotRun
	}
	r.note("end of the traffic")
	time.Sleep(finishAfter)
	return r.checkIdle(instances)
}

func (m *minion) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs)
}

// checkIdle checks the part of the rule LOST on jobs that don't go on: for 3 s a
// job that is not complete has nothing running while under half of the service's
// capacity is in use. All steps fit many times into what is free then.
func (r *rig) checkIdle(instances []*instance) int {
	ids := []string{lateJob}
	for i := range backlogJobs {
		ids = append(ids, backlogID(i))
	}
	idle := map[string]bool{}
	for _, id := range ids {
		state := r.state(instances, id)
		r.record("GET %s -> %s", id, state)
		idle[id] = state != "complete"
	}
	r.note("%d of %d jobs are not complete", count(idle), len(ids))
	underHalf := true
	starts := r.count("start")
	for end := time.Now().Add(lostFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		used := 0
		for _, m := range r.minions {
			m.mu.Lock()
			for task := range m.runs {
				id, _, _ := strings.Cut(task, ".")
				delete(idle, id)
				cpu := 1000
				switch {
				case id == lateJob:
					cpu = 2800
				case firstStep(task):
					cpu = 200
				}
				used += cpu
			}
			m.mu.Unlock()
		}
		if 2*used >= backlogMinions*32000 {
			underHalf = false
		}
	}
	lost := 0
	for _, id := range ids {
		if idle[id] {
			lost++
			r.record("nothing of %s has run for %v, its state is %q", id, lostFor, r.state(instances, id))
		}
	}
	r.note("in these %v: %d starts, under half of the capacity in use all the while: %v, jobs without anything running: %d", lostFor, r.count("start")-starts, underHalf, lost)
	r.note("state of the job that came after the crash: %q; appends that the store refused because of their size: %d", r.state(instances, lateJob), r.store.refusedAppends())
	for _, a := range r.journal.all() {
		r.record("minion %s, boot %d, at %.3f: %s %s run %d %s, end %d", a.minion, a.boot, a.at.Sub(r.began).Seconds(), a.what, a.task, a.run, a.how, a.n)
	}
	if !underHalf || lost == 0 {
		return exitHeld
	}
	starts = r.count("start")
	for _, in := range instances {
		in.kill()
	}
	if r.startAll(20*time.Second, instances...) {
		time.Sleep(stillIdleFor)
		r.note("not part of the check: all instances were restarted; in the %v after that there were %d starts, and the store refused %d appends in all", stillIdleFor, r.count("start")-starts, r.store.refusedAppends())
	}
	return exitBroken
}

// stillIdleFor is how long the case goes on to watch a system that has stopped.
const stillIdleFor = 20 * time.Second

func (s *store) refusedAppends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func count(set map[string]bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}

// firstStep reports whether a task, ID.K.STEP.INDEX, is of its job's first step.
func firstStep(task string) bool { return strings.Split(task, ".")[2] == "0" }
