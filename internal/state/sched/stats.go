package sched

import "time"

// Stats are figures of the leader's state, for logs and metrics.
type Stats struct {
	Jobs             int // known jobs
	LiveJobs         int // jobs that have not ended or still have runs
	PendingSteps     int // steps with tasks that may start
	LatePendingSteps int // pending steps that are past their objective
	// PendingStepsByQueue is the number of pending steps by queue, without queues
	// that have none.
	PendingStepsByQueue map[string]int
	Runs                int     // runs that are not known to have ended
	Stopping            int     // runs that are being stopped
	Workers             int     // listed workers
	Usable              int     // workers on which tasks may start
	CPUUsed             float64 // share of the usable workers' CPU that runs use
	QueriesInFlight     int     // queries to the placement service that are not answered yet
	UnansweredStarts    int     // runs whose start was not answered
}

// Stats returns the figures as of now.
func (e *Engine) Stats(now time.Time) Stats {
	s := Stats{Jobs: len(e.jobs), LiveJobs: len(e.liveJobs), PendingStepsByQueue: map[string]int{}}
	for _, ps := range e.pendingSteps(now) {
		s.PendingSteps++
		s.PendingStepsByQueue[ps.job.Queue]++
		if ps.lateness > 0 {
			s.LatePendingSteps++
		}
	}
	var used, capacity int64
	for _, w := range e.workersByID {
		s.Runs += len(w.runs)
		for _, r := range w.runs {
			if r.stopReason != "" {
				s.Stopping++
			}
			if r.startUnanswered {
				s.UnansweredStarts++
			}
		}
		if w.listed {
			s.Workers++
		}
		if w.usable(now) {
			s.Usable++
			used += w.used.CPU
			capacity += w.Capacity.CPU
		}
	}
	if capacity > 0 {
		s.CPUUsed = float64(used) / float64(capacity)
	}
	for _, c := range e.clients {
		s.QueriesInFlight += len(c.inFlight)
	}
	return s
}
