package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["flap"] = flappingMinion }

// Sizes of the case. The disruption is srv_crash, several times (the site file has
// share 0.14 and for_s 4.5), which is srv_flap of the grown site files (share 0.1,
// gap_s 1.4, for_s 6.5) twice in a row.
const (
	flapMinions = 10
	flapGap     = 1400 * time.Millisecond
	flapFor     = 6500 * time.Millisecond
	flapTimes   = 2
	flapJob     = "0af23620ce4d1e70"
	flapWide    = 8                // tasks of the first step
	flapSettle  = 10 * time.Second // after the disruption
)

// flappingMinion lets a minion go down and up by turns that runs one of nine
// lasting tasks of a job, since only this minion is of the kind that the task
// requires. The job may not be shown as failed.
func flappingMinion(r *rig) int {
	r.configure(4, 4)
	work := func(string) taskWork { return taskWork{duration: time.Hour} }
	var flapping *minion
	for i := range flapMinions {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		m, err := r.newMinion(fmt.Sprintf("i-%08x", 0x5d6e7f00+i), "vasteras-c", []string{kind, fmt.Sprintf("r%d-1", i/6+1)}, work)
		if err != nil {
			r.note("can't start a minion: %v", err)
			return exitNotRun
		}
		if i == 0 {
			flapping = m
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
	job := map[string]any{"spec": "gate readers' service", "steps": []map[string]any{
		{"count": flapWide, "cpu": 8000, "mem_mb": 8000, "daemon": true, "requirements": "a"},
		{"count": 1, "cpu": 8000, "mem_mb": 8000, "daemon": true, "requirements": "b"},
	}}
	if !r.submit(instances, flapJob, job) {
		return exitNotRun
	}
	if !await(5*time.Second, func() bool { return r.runningOf(flapJob) == flapWide+1 }) {
		r.note("only %d tasks have started", r.runningOf(flapJob))
		return exitNotRun
	}
	r.note("GET %s -> %s, %d of %d tasks run", flapJob, r.state(instances, flapJob), r.runningOf(flapJob), flapWide+1)
	time.Sleep(3 * time.Second)
	for range flapTimes {
		if !r.trouble {
			time.Sleep(flapFor)
			continue
		}
		r.note("1 of %d minions (%s) goes down and up by turns, each %v, for %v", flapMinions, flapping.id, flapGap, flapFor)
		for end := time.Now().Add(flapFor); time.Now().Before(end); {
			flapping.crash()
			time.Sleep(min(flapGap, max(time.Until(end), 0)))
			if err := flapping.boot(); err != nil {
				r.note("can't start the minion again: %v", err)
				return exitNotRun
			}
			time.Sleep(min(flapGap, max(time.Until(end), 0)))
		}
	}
	r.note("the minions stay up")
	time.Sleep(flapSettle)
	state, running, failedEnds := r.state(instances, flapJob), r.runningOf(flapJob), 0
	for _, a := range r.journal.all() {
		r.note("minion %s, boot %d, at %.3f: %s %s run %d %s", a.minion, a.boot, a.at.Sub(r.began).Seconds(), a.what, a.task, a.run, a.how)
		if a.how == "failed" {
			failedEnds++
		}
	}
	r.note("GET %s -> %s, %d of %d tasks run; ends that were listed as failed: %d; nobody has cancelled the job", flapJob, state, running, flapWide+1, failedEnds)
	switch {
	case state == "failed" || state == "canceled":
		return exitBroken
	case state == "active" && running == flapWide+1:
		return exitHeld
	}
	return exitNotRun
}

// runningOf returns how many tasks of a job run.
func (r *rig) runningOf(id string) int {
	n := 0
	for _, m := range r.minions {
		m.mu.Lock()
		for task := range m.runs {
			if strings.HasPrefix(task, id+".") {
				n++
			}
		}
		m.mu.Unlock()
	}
	return n
}
