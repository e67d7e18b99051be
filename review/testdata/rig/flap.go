package main

import (
	"fmt"
	"time"
)

func init() { cases["flap"] = flappingMinion }

// Sizes of the case. The disruption is srv_flap as in the grown site files (share
// 0.1, gap_s 1.4, for_s 6.5), twice.
const (
	flapMinions = 10
	flapGap     = 1400 * time.Millisecond
	flapFor     = 6500 * time.Millisecond
	flapTimes   = 2
	flapPause   = 5 * time.Second // between two disruptions
	flapWork    = 25 * time.Second
	flapJob     = "0af23620ce4d1e70"
)

// flappingMinion lets the only minion of a kind that a job requires go down and
// up by turns. The job may be shown as failed only if its task has ended failed.
func flappingMinion(r *rig) int {
	const maxAttempts = 4
	r.configure(4, maxAttempts)
	work := func(string) taskWork { return taskWork{duration: flapWork, checkpoint: 500 * time.Millisecond} }
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
	job := map[string]any{"spec": "invoices of one tenant", "steps": []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 3600, "estimate_ms": 25000, "checkpointing": true, "requirements": "b"}}}
	if !r.submit(instances, flapJob, job) {
		return exitNotRun
	}
	if !await(5*time.Second, func() bool { return r.count("start") == 1 }) {
		r.note("the task has not started")
		return exitNotRun
	}
	time.Sleep(3 * time.Second)
	for i := range flapTimes {
		if !r.trouble {
			break
		}
		if i > 0 {
			time.Sleep(flapPause)
		}
		r.note("1 of %d minions (%s) goes down and up by turns, each %v, for %v", flapMinions, flapping.id, flapGap, flapFor)
		for end := time.Now().Add(flapFor); time.Now().Before(end); {
			flapping.crash()
			time.Sleep(flapGap)
			if err := flapping.boot(); err != nil {
				r.note("can't start the minion again: %v", err)
				return exitNotRun
			}
			time.Sleep(min(flapGap, max(time.Until(end), 0)))
		}
		r.note("the minion stays up")
	}
	state, shown := "", ""
	await(60*time.Second, func() bool {
		state = r.state(instances, flapJob)
		if state != shown && state != "" {
			r.note("GET %s -> %s", flapJob, state)
			shown = state
		}
		return state == "complete" || state == "failed" || state == "canceled"
	})
	failedEnds := 0
	for _, a := range r.journal.all() {
		r.note("minion %s, boot %d: %s %s run %d %s (at %.3f)", a.minion, a.boot, a.what, a.task, a.run, a.how, a.at.Sub(r.began).Seconds())
		if a.how == "failed" {
			failedEnds++
		}
	}
	r.note("the job is shown as %q; ends that were listed as failed: %d, max_attempts: %d", state, failedEnds, maxAttempts)
	switch {
	case state == "complete":
		return exitHeld
	case (state == "failed" && failedEnds < maxAttempts) || state == "canceled":
		return exitBroken
	}
	return exitNotRun
}
