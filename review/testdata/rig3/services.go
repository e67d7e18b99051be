package main

import (
	"fmt"
	"time"
)

func init() {
	cases["services"], deployments["services"] = servicesCase, deployment{minions: 16, instances: 3}
}

// servicesCase has two services of eight minions each. On the first one a long job
// fills a minion, and a gang that needs all eight waits for it. Large jobs come at once
// on the second service. Ordinary jobs of the first service then have to start: seven
// of its minions are idle.
func servicesCase(r *rig, trouble bool) (bool, error) {
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
	long, err := submit("the long job", "", "100000", map[string]any{"count": 2, "cpu": 15000, "mem_mb": 5600, "estimate_ms": 100000})
	if err != nil {
		return false, err
	}
	if r.awaitRun(long, 2, 10*time.Second) == nil {
		return false, fmt.Errorf("the long job does not start")
	}
	if _, err := submit("the gang job", "", "5000", map[string]any{"count": 16, "cpu": 15000, "mem_mb": 5600, "estimate_ms": 5000, "gang": true}); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for range 8 {
			if _, err := submit("a large job of the other service", "other/", "100000", map[string]any{"count": 2, "cpu": 15000, "mem_mb": 5600, "estimate_ms": 100000}); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(4 * time.Second)
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
		r.note("%s of service %s runs %d tasks of 15 cores and has 32 cores", h.minion.id, h.service, len(h.minion.running))
		h.mu.Unlock()
	}
	r.note("%d of %d ordinary jobs lie", lost, len(ids))
	return lost > 0, nil
}
