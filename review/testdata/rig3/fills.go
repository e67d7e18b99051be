package main

import (
	"fmt"
	"time"
)

func init() {
	cases["fills"], sizes["fills"] = fillsCase, [2]int{8, 3}
}

// fillsCase has a task that serves on each minion, with a target of 100 ms, and a job
// that fills beside each of them. The serving tasks' own load rises, from a tail of
// 40 ms to 90 ms, which is below the target; tasks that fill don't change it. Another
// job that fills has to start all the same.
func fillsCase(r *rig, trouble bool) (bool, error) {
	submit := func(what, spec string, step map[string]any) (string, error) {
		id := newID()
		status, text := r.retried("POST", id, map[string]any{"spec": spec, "steps": []any{step}})
		if status != 200 {
			return id, fmt.Errorf("%s was not accepted: %d %s", what, status, text)
		}
		r.note("%s is %s", what, id)
		return id, nil
	}
	awaitRuns := func(id string, n int) error {
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if len(r.runsOf(id)) >= n {
				return nil
			}
		}
		return fmt.Errorf("%d of %d tasks of %s have started", len(r.runsOf(id)), n, id)
	}
	r.tailMs.Store(40)
	time.Sleep(2 * time.Second) // the leader has found the minions
	n := len(r.hosts)
	serving, err := submit("the job that serves", "serve", map[string]any{"count": n, "cpu": 4000, "mem_mb": 4000, "daemon": true, "image": "front", "target_ms": 100, "anti_affinity": 1})
	if err != nil {
		return false, err
	}
	if err := awaitRuns(serving, n); err != nil {
		return false, err
	}
	first, err := submit("the first job that fills", "60000", map[string]any{"count": n, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 60000, "image": "fill", "fills": true, "anti_affinity": 1})
	if err != nil {
		return false, err
	}
	if err := awaitRuns(first, n); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		r.tailMs.Store(90)
		r.note("the tail of all serving tasks rises to 90 ms")
	}
	time.Sleep(8 * time.Second)
	second, err := submit("the second job that fills", "2000", map[string]any{"count": 4, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 2000, "image": "fill", "fills": true})
	if err != nil {
		return false, err
	}
	r.note("the traffic ends")
	time.Sleep(14 * time.Second) // finish_s
	const looks = 40             // within 4 s
	idle := 0
	for range looks {
		if len(r.runsOf(second)) == 0 {
			idle++
		}
		time.Sleep(100 * time.Millisecond)
	}
	state := r.state(second)
	r.note("the second job that fills is %s; it has had no run in %d of %d looks within 4 s; 32 of 256 cores are in use", state, idle, looks)
	return idle == looks && state != "complete", nil
}
