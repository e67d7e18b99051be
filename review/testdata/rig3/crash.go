package main

import (
	"errors"
	"fmt"
	"time"
)

func init() {
	cases["crash"], sizes["crash"] = crashCase, [2]int{8, 3}
}

// crashCase submits a job of one task and crashes the minion that runs it, twice.
// Each time one of eight minions is down, for 4.5 s.
func crashCase(r *rig, trouble bool) (bool, error) {
	id := newID()
	job := map[string]any{"spec": "3000", "steps": []any{map[string]any{"count": 1, "cpu": 2000, "mem_mb": 5600, "estimate_ms": 3000}}}
	time.Sleep(2 * time.Second) // the leader has found the minions
	if status, text := r.retried("POST", id, job); status != 200 {
		return false, fmt.Errorf("the job was not accepted: %d %s", status, text)
	}
	for n := range 2 {
		h := r.awaitRun(id, n+1, 20*time.Second)
		if h == nil {
			break // the job's state tells why
		}
		time.Sleep(300 * time.Millisecond)
		if trouble {
			h.crash()
			time.AfterFunc(4500*time.Millisecond, func() {
				if err := h.boot(); err != nil {
					r.note("host %s does not start again: %v", h.name, err)
				}
			})
		}
	}
	state := ""
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		s := r.state(id)
		if s != state {
			state = s
			r.note("GET %s: %s", id, state)
		}
		if state == "complete" || state == "failed" || state == "canceled" {
			break
		}
	}
	failed := 0
	for _, rec := range r.runsOf(id) {
		r.note("run %d on %s: %q", rec.run, rec.minion, rec.how)
		if rec.how == "failed" {
			failed++
		}
	}
	r.note("the job is shown as %s; %d of its runs ended failed, max_attempts is 4", state, failed)
	switch state {
	case "failed", "canceled":
		return true, nil
	case "complete":
		return false, nil
	}
	return false, errors.New("the job came to no end")
}

// awaitRun waits until the n-th run of a job has started and returns its host, or
// nil.
func (r *rig) awaitRun(id string, n int, limit time.Duration) *host {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		runs := r.runsOf(id)
		if len(runs) < n {
			continue
		}
		for _, h := range r.hosts {
			h.mu.Lock()
			found := h.minion != nil && h.minion.id == runs[n-1].minion && len(h.minion.running) > 0
			h.mu.Unlock()
			if found {
				return h
			}
		}
	}
	return nil
}
