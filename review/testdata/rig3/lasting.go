package main

import (
	"fmt"
	"time"
)

func init() {
	cases["lasting"], sizes["lasting"] = lastingCase, [2]int{8, 3}
}

// lastingCase has five long tasks that each fill a minion, a task that lasts, and a
// gang of four that each need a whole minion, of which it finds two or three. It
// crashes the minion of the task that lasts for 4.5 s. The task has to run again,
// since three minions are idle.
func lastingCase(r *rig, trouble bool) (bool, error) {
	submit := func(what, spec string, step map[string]any) (string, error) {
		id := newID()
		status, text := r.retried("POST", id, map[string]any{"spec": spec, "steps": []any{step}})
		if status != 200 {
			return id, fmt.Errorf("%s was not accepted: %d %s", what, status, text)
		}
		r.note("%s is %s", what, id)
		return id, nil
	}
	time.Sleep(2 * time.Second) // the leader has found the minions
	for range 5 {
		id, err := submit("a long job", "110000", map[string]any{"count": 1, "cpu": 32000, "mem_mb": 5600, "estimate_ms": 110000})
		if err != nil {
			return false, err
		}
		if r.awaitRun(id, 1, 10*time.Second) == nil {
			return false, fmt.Errorf("long job %s does not start", id)
		}
	}
	lasting, err := submit("the job that lasts", "1000000", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "daemon": true})
	if err != nil {
		return false, err
	}
	h := r.awaitRun(lasting, 1, 10*time.Second)
	if h == nil {
		return false, fmt.Errorf("the job that lasts does not start")
	}
	if _, err := submit("the gang job", "10000", map[string]any{"count": 4, "cpu": 32000, "mem_mb": 5600, "estimate_ms": 10000, "gang": true}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		h.crash()
		time.Sleep(4500 * time.Millisecond)
		if err := h.boot(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	// Calm from here on: contact_ms, then the 4 s and the 3 s of the rule, and more.
	time.Sleep(3 * time.Second)
	from := time.Now()
	broken := false
	idleFrom := from
	for time.Since(from) < 20*time.Second {
		if r.isRunning(lasting) {
			idleFrom = time.Now()
		}
		broken = broken || time.Since(idleFrom) > 7*time.Second
		time.Sleep(50 * time.Millisecond)
	}
	r.note("the task that lasts has been without a run for %.1f of the last 20 s, which were calm", time.Since(idleFrom).Seconds())
	for _, h := range r.hosts {
		h.mu.Lock()
		for _, p := range h.minion.running {
			r.note("at work on %s: %s", h.minion.id, p.task)
		}
		if len(h.minion.running) == 0 {
			r.note("idle, with 32 cores and 128 GB: %s", h.minion.id)
		}
		h.mu.Unlock()
	}
	r.note("GET %s: %s", lasting, r.state(lasting))
	return broken, nil
}

// isRunning reports whether a run of the job is at work.
func (r *rig) isRunning(job string) bool {
	for _, rec := range r.runsOf(job) {
		if rec.how == "" {
			return true
		}
	}
	return false
}
