package sched

import (
	"math"
	"time"
)

// Bounds of telling that tasks stand still. What a queue's estimates are worth
// is learned: the mean and the deviation of the log of run time to estimate.
const (
	// A run is overdue at overdueBase plus overdueDev deviations above the mean,
	// and overdueSlack more; several of distinct jobs on one worker say that the
	// worker is stuck.
	overdueBase  = 0.5
	overdueDev   = 2.5
	overdueSlack = 500 * time.Millisecond
	stuckJobs    = 2
	// lostBase, lostDev and lostSlack are the same for a run by itself,
	// lostMost the most deviations together.
	lostBase  = 1.0
	lostDev   = 4.0
	lostMost  = 2.0
	lostSlack = 10 * time.Second
	// minSlow and maxSlow bound what was learned of queue and worker together:
	// short tasks seem slow by the time that their end travels.
	minSlow = -0.5
	maxSlow = 1.6
	// maxDev bounds the learned deviation.
	maxDev = 0.8
	// stuckBench is how long a stuck worker is set aside.
	stuckBench = 5 * time.Second
	// stuckEvery and stuckLatest bound the time between two looks at a worker; in
	// between is the time at which a run can be overdue at the soonest.
	stuckEvery  = 150 * time.Millisecond
	stuckLatest = 5 * time.Second
)

// expected gives how long a run should take, 0 if nothing is known, and the
// deviation of that as a log of a ratio.
func (e *Engine) expected(r *run) (time.Duration, float64) {
	st := &r.job.Steps[r.id.Step]
	if st.Lasting || st.EstimateMs <= 0 {
		return 0, 0
	}
	q := e.queue(r.job.Queue)
	slow := q.Ratio
	if r.w.Samples >= tooSlowSamples {
		slow += r.w.Slow
	}
	slow = max(minSlow, min(maxSlow, slow))
	return time.Duration(float64(st.EstimateMs) * math.Exp(slow) * float64(time.Millisecond)), min(q.Dev, maxDev)
}

// times gives d times e to the power of x.
func times(d time.Duration, x float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(x))
}

// lookBy makes the next look for tasks that stand still come by a time.
func (w *worker) lookBy(at time.Time) {
	if at.Before(w.lookAt) {
		w.lookAt = at
	}
}

// lookStuck stops tasks that stand still on a worker, so that they run elsewhere.
func (e *Engine) lookStuck(now time.Time, w *worker) {
	if now.Before(w.lookAt) || !w.reachable() {
		return
	}
	w.lookAt = now.Add(idleLook)
	jobs := map[*job]bool{}
	var overdue []*run
	for _, r := range w.list() {
		want, dev := e.expected(r)
		if want == 0 || !r.confirmed || r.stopping != "" {
			continue
		}
		w.lookBy(now.Add(stuckLatest))
		age := now.Sub(r.startedAt)
		lost := times(want, min(lostMost, lostBase+lostDev*dev)) + lostSlack
		if age > lost {
			e.stop(now, r, "it takes far longer than expected")
			continue
		}
		late := times(want, overdueBase+overdueDev*dev) + overdueSlack
		switch {
		case age <= late:
			w.lookBy(r.startedAt.Add(late))
		case w.lastDone.Before(r.startedAt):
			overdue = append(overdue, r)
			jobs[r.job] = true
			w.lookBy(now)
		}
		w.lookBy(r.startedAt.Add(lost))
	}
	if earliest := now.Add(stuckEvery); w.lookAt.Before(earliest) {
		w.lookAt = earliest
	}
	if len(jobs) < stuckJobs {
		return
	}
	e.event("worker-benched", TaskID{}, 0, w.ID, "its tasks stand still", now.Sub(w.lastDone))
	w.benchedTo = now.Add(stuckBench)
	for _, r := range overdue {
		e.stop(now, r, "its worker's tasks stand still")
	}
}
