package sched

import "time"

// Stats are figures of the leader's state for logs and metrics.
type Stats struct {
	Jobs        int // known
	Live        int // not ended
	Waiting     int // steps with tasks that may start
	WaitingLate int // of them, past their objective
	// WaitingIn gives them by queue; a queue in which none waits is left out.
	WaitingIn map[string]int
	Runs      int     // not known to have ended
	Stopping  int     // of them, being stopped
	Workers   int     // listed
	Usable    int     // of them, open for starts
	CPUUsed   float64 // share of the usable workers' processors
	Asking    int     // questions under way
	Unsure    int     // starts that got no answer
}

// Stats gives the present figures.
func (e *Engine) Stats(now time.Time) Stats {
	s := Stats{Jobs: len(e.jobs), Live: len(e.liveJobs), WaitingIn: map[string]int{}}
	for _, ps := range e.pendingSteps(now) {
		s.Waiting++
		s.WaitingIn[ps.job.Queue]++
		if ps.lateness > 0 {
			s.WaitingLate++
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
				s.Unsure++
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
		s.Asking += len(c.inFlight)
	}
	return s
}
