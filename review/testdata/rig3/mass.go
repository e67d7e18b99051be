package main

import (
	"fmt"
	"time"
)

func init() {
	cases["mass"], sizes["mass"] = massCase, [2]int{8, 3}
}

const (
	massJobs     = 170
	ordinaryJobs = 5
)

// massCase submits jobs with one light first task and wide later steps, which wait
// for it, and crashes one of eight minions for 4.5 s: the one that runs most of the
// first tasks. Afterwards the first tasks have to run again elsewhere, and ordinary
// jobs that are accepted have to be done.
func massCase(r *rig, trouble bool) (bool, error) {
	step := func(count, estimate int, after ...int) map[string]any {
		s := map[string]any{"count": count, "cpu": 100, "mem_mb": 64, "estimate_ms": estimate}
		if len(after) > 0 {
			s["depends_on"] = after
		}
		return s
	}
	wide := map[string]any{"spec": "100000,500", "steps": []any{step(1, 100000), step(2000, 500, 0), step(1999, 500, 0)}}
	time.Sleep(2 * time.Second) // the leader has found the minions
	var ids []string
	for range massJobs {
		id := newID()
		if status, text := r.retried("POST", id, wide); status != 200 {
			return false, fmt.Errorf("a wide job was not accepted: %d %s", status, text)
		}
		ids = append(ids, id)
		time.Sleep(60 * time.Millisecond)
	}
	for end := time.Now().Add(20 * time.Second); r.runningNow() < massJobs && time.Now().Before(end); {
		time.Sleep(50 * time.Millisecond)
	}
	if n := r.runningNow(); n < massJobs {
		return false, fmt.Errorf("%d of %d first tasks run", n, massJobs)
	}
	r.note("all first tasks run")
	if trouble {
		busiest, most := r.hosts[0], 0
		for _, h := range r.hosts {
			h.mu.Lock()
			if n := len(h.minion.running); n > most {
				busiest, most = h, n
			}
			h.mu.Unlock()
		}
		r.note("the minion on host %s, which runs %d tasks, is about to crash", busiest.name, most)
		busiest.crash()
		time.Sleep(4500 * time.Millisecond)
		if err := busiest.boot(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	var accepted []string
	for range ordinaryJobs {
		id := newID()
		job := map[string]any{"spec": "500", "steps": []any{map[string]any{"count": 2, "cpu": 2800, "mem_mb": 5700, "estimate_ms": 500}}}
		if status, _ := r.retried("POST", id, job); status == 200 {
			accepted = append(accepted, id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	r.note("the traffic ends; %d of %d ordinary jobs were accepted", len(accepted), ordinaryJobs)
	time.Sleep(14 * time.Second) // finish_s
	const looks = 40             // within 4 s
	idle := map[string]int{}
	for range looks {
		for _, id := range append(ids[:len(ids):len(ids)], accepted...) {
			active := false
			for _, rec := range r.runsOf(id) {
				active = active || rec.how == "" || rec.how == "done"
			}
			if !active {
				idle[id]++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	lost := func(ids []string) (n int) {
		states := map[string]int{}
		for _, id := range ids {
			state := r.state(id)
			states[state]++
			if idle[id] == looks && state != "complete" {
				n++
			}
		}
		r.note("%d of %d have nothing running in %d looks within 4 s; states: %v", n, len(ids), looks, states)
		return n
	}
	r.note("wide jobs:")
	n := lost(ids)
	r.note("ordinary jobs:")
	n += lost(accepted)
	r.note("%d runs at work on all minions, which have 256 cores; %d appends refused for their size", r.runningNow(), r.store.refusals())
	return n > 0, nil
}
