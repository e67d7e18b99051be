package main

import (
	"fmt"
	"time"
)

func init() {
	cases["lease"], deployments["lease"] = leaseCase, deployment{minions: 8, instances: 3, holdMax: 10 * time.Second}
}

// leaseCase has a task that lasts. Its minion is lost for good, and at the same time
// the process of the leader is killed; it is started again after a second. The task
// has to run again within the time of the rule.
func leaseCase(r *rig, trouble bool) (bool, error) {
	time.Sleep(2 * time.Second) // the leader has found the minions
	id := newID()
	if status, text := r.retried("POST", id, map[string]any{"spec": "1000000", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "mem_mb": 1000, "daemon": true}}}); status != 200 {
		return false, fmt.Errorf("the job that lasts was not accepted: %d %s", status, text)
	}
	h := r.awaitRun(id, 1, 10*time.Second)
	if h == nil {
		return false, fmt.Errorf("the task does not start")
	}
	time.Sleep(3 * time.Second)
	from := time.Now()
	if trouble {
		h.crash()
		if err := r.killLeader(); err != nil {
			return false, err
		}
	}
	for time.Since(from) < 30*time.Second && !r.isRunning(id) {
		time.Sleep(10 * time.Millisecond)
	}
	idle := time.Since(from)
	r.note("the task that lasts has been without a run for %.2f s", idle.Seconds())
	// The process is back after 1 s, and calm begins contact_ms later; then come the
	// 4 s and the 3 s of the rule.
	const bound = (1 + 3 + 4 + 3) * time.Second
	return idle > bound, nil
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

// killLeader kills the process of the leader and starts it again after a second.
func (r *rig) killLeader() error {
	name := r.store.leader()
	for _, in := range r.instances {
		if in.name != name {
			continue
		}
		in.mu.Lock()
		defer in.mu.Unlock()
		_ = in.command.Process.Kill()
		_ = in.command.Wait()
		r.note("instance %s, the leader, is killed", name)
		time.AfterFunc(time.Second, func() {
			in.mu.Lock()
			defer in.mu.Unlock()
			if err := r.launch(in); err != nil {
				r.note("instance %s does not start again: %v", name, err)
			}
		})
		return nil
	}
	return fmt.Errorf("no instance is the leader %q", name)
}
