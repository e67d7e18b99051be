package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["poison"], deployments["poison"] = poisonCase, deployment{minions: 4, instances: 3}
}

// poisonCase submits one job that can never be done: its steps ask for labels that
// no minion has. The requester tries five times, each time at the next instance.
// Jobs that were accepted before are then cancelled.
func poisonCase(r *rig, trouble bool) (bool, error) {
	time.Sleep(2 * time.Second)
	var ids []string
	long := map[string]any{"spec": "100000", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 100000}}}
	for range 20 {
		id := newID()
		if status, text := r.retried("POST", id, long); status != 200 {
			return false, fmt.Errorf("a job was not accepted: %d %s", status, text)
		}
		ids = append(ids, id)
	}
	time.Sleep(time.Second)
	label := strings.Repeat("<&>", 85) // 255 bytes
	if !trouble {
		label = strings.Repeat("abc", 85)
	}
	var steps []any
	for range 64 {
		steps = append(steps, map[string]any{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 1000, "requirements": label, "data_rack": label, "image": label})
	}
	status, text := r.retried("POST", newID(), map[string]any{"spec": "1000", "steps": steps})
	r.note("the job that can never be done: %d %s", status, strings.TrimSpace(text))
	time.Sleep(2 * time.Second)
	// Each cancel is repeated until it is answered, for ack_ms and more.
	unanswered := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range ids {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
				if status, _ := r.retried("DELETE", id, nil); status == 200 || status == 410 {
					return
				}
			}
			mu.Lock()
			unanswered++
			mu.Unlock()
		}()
	}
	wg.Wait()
	r.note("%d of %d cancels had no 2xx or 410 within 20 s; %d appends refused for their size", unanswered, len(ids), r.store.refusals())
	return unanswered > len(ids)/10, nil
}
