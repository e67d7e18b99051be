package main

import (
	"fmt"
	"time"
)

func init() {
	cases["late"], deployments["late"] = lateCase, deployment{minions: 8, instances: 3}
}

// lateCase has batch tasks with checkpoints on three of eight minions and a job on a
// fourth one. A gang of a more urgent queue comes that needs all eight. By the time
// that the job on the fourth minion has ended, the gang is late. Ordinary jobs that
// come then have to start: four minions and more are idle.
func lateCase(r *rig, trouble bool) (bool, error) {
	submit := func(what, prefix, spec string, step map[string]any) (string, error) {
		id := newID()
		status, text := r.retried("POST", prefix+id, map[string]any{"spec": spec, "steps": []any{step}})
		if status != 200 {
			return id, fmt.Errorf("%s was not accepted: %d %s", what, status, text)
		}
		r.note("%s is %s", what, id)
		return id, nil
	}
	time.Sleep(2 * time.Second) // the leader has found the minions
	batch, err := submit("the batch job", "batch/", "100000", map[string]any{"count": 6, "cpu": 15000, "mem_mb": 5600, "estimate_ms": 100000, "checkpointing": true})
	if err != nil {
		return false, err
	}
	if r.awaitRun(batch, 6, 10*time.Second) == nil {
		return false, fmt.Errorf("the batch job does not start")
	}
	job, err := submit("the job on the fourth minion", "", "26000", map[string]any{"count": 2, "cpu": 15000, "mem_mb": 5600, "estimate_ms": 26000})
	if err != nil {
		return false, err
	}
	if r.awaitRun(job, 2, 10*time.Second) == nil {
		return false, fmt.Errorf("the job on the fourth minion does not start")
	}
	if trouble {
		if _, err := submit("the gang job", "", "1000", map[string]any{"count": 16, "cpu": 15000, "mem_mb": 5600, "estimate_ms": 1000, "gang": true}); err != nil {
			return false, err
		}
	}
	time.Sleep(28 * time.Second)
	var ids []string
	for range 3 {
		id, err := submit("an ordinary job", "", "500", map[string]any{"count": 2, "cpu": 2800, "mem_mb": 5700, "estimate_ms": 500})
		if err != nil {
			return false, err
		}
		ids = append(ids, id)
	}
	r.note("the traffic ends")
	time.Sleep(14 * time.Second) // finish_s
	const looks = 40             // within 4 s
	idle := map[string]int{}
	for range looks {
		for _, id := range ids {
			if len(r.runsOf(id)) == 0 {
				idle[id]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	lost := 0
	for _, id := range ids {
		state := r.state(id)
		r.note("GET %s: %s; no run in %d of %d looks within 4 s", id, state, idle[id], looks)
		if idle[id] == looks && state != "complete" {
			lost++
		}
	}
	for _, h := range r.hosts {
		h.mu.Lock()
		r.note("%s runs %d tasks of 15 cores and has 32 cores", h.minion.id, len(h.minion.running))
		h.mu.Unlock()
	}
	r.note("%d of %d ordinary jobs lie", lost, len(ids))
	return lost > 0, nil
}
