package main

import "time"

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
