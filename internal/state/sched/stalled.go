package sched

import (
	"math"
	"time"
)

// Bounds of telling that tasks stand still. What a queue's estimates are worth
// is learned: the mean and the deviation of the log of run time to estimate.
const (
	// A run is overdue at overdueBase plus overdueDeviations deviations above the mean,
	// and overdueSlack more; several of distinct jobs on one worker say that the
	// worker is stuck.
	overdueBase       = 0.5
	overdueDeviations = 2.5
	overdueSlack      = 500 * time.Millisecond
	minOverdueJobs    = 2
	// stalledBase, stalledDeviations and stalledSlack are the same for a run by itself,
	// maxStalledLog the most deviations together.
	stalledBase       = 1.0
	stalledDeviations = 4.0
	maxStalledLog     = 2.0
	stalledSlack      = 10 * time.Second
	// minLogSlowdown and maxLogSlowdown bound what was learned of queue and worker together:
	// short tasks seem slow by the time that their end travels.
	minLogSlowdown = -0.5
	maxLogSlowdown = 1.6
	// maxDeviation bounds the learned deviation.
	maxDeviation = 0.8
	// stallExclusionTime is how long a stuck worker is set aside.
	stallExclusionTime = 5 * time.Second
	// minStallCheckInterval and maxStallCheckInterval bound the time between two looks at a worker; in
	// between is the time at which a run can be overdue at the soonest.
	minStallCheckInterval = 150 * time.Millisecond
	maxStallCheckInterval = 5 * time.Second
)

// expectedRunTime gives how long a run should take, 0 if nothing is known, and the
// deviation of that as a log of a ratio.
func (e *Engine) expectedRunTime(r *run) (time.Duration, float64) {
	st := &r.job.Steps[r.id.Step]
	if st.Lasting || st.EstimateMs <= 0 {
		return 0, 0
	}
	q := e.queueStats(r.job.Queue)
	logSlowdown := q.Ratio
	if r.worker.Samples >= minSpeedSamples {
		logSlowdown += r.worker.Slow
	}
	logSlowdown = max(minLogSlowdown, min(maxLogSlowdown, logSlowdown))
	return time.Duration(float64(st.EstimateMs) * math.Exp(logSlowdown) * float64(time.Millisecond)), min(q.Dev, maxDeviation)
}

// scaleByExp gives d times e to the power of x.
func scaleByExp(d time.Duration, exponent float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(exponent))
}

// checkStallsBy makes the next look for tasks that stand still come by a time.
func (w *worker) checkStallsBy(at time.Time) {
	if at.Before(w.nextStallCheck) {
		w.nextStallCheck = at
	}
}

// stopStalledRuns stops tasks that stand still on a worker, so that they run elsewhere.
func (e *Engine) stopStalledRuns(now time.Time, w *worker) {
	if now.Before(w.nextStallCheck) || !w.reachable() {
		return
	}
	w.nextStallCheck = now.Add(maxCheckInterval)
	jobs := map[*job]bool{}
	var overdue []*run
	for _, r := range w.sortedRuns() {
		expected, deviation := e.expectedRunTime(r)
		if expected == 0 || !r.confirmed || r.stopReason != "" {
			continue
		}
		w.checkStallsBy(now.Add(maxStallCheckInterval))
		age := now.Sub(r.startedAt)
		stalledAfter := scaleByExp(expected, min(maxStalledLog, stalledBase+stalledDeviations*deviation)) + stalledSlack
		if age > stalledAfter {
			e.stopRun(now, r, "it takes far longer than expected")
			continue
		}
		overdueAfter := scaleByExp(expected, overdueBase+overdueDeviations*deviation) + overdueSlack
		switch {
		case age <= overdueAfter:
			w.checkStallsBy(r.startedAt.Add(overdueAfter))
		case w.lastDone.Before(r.startedAt):
			overdue = append(overdue, r)
			jobs[r.job] = true
			w.checkStallsBy(now)
		}
		w.checkStallsBy(r.startedAt.Add(stalledAfter))
	}
	if earliest := now.Add(minStallCheckInterval); w.nextStallCheck.Before(earliest) {
		w.nextStallCheck = earliest
	}
	if len(jobs) < minOverdueJobs {
		return
	}
	e.addEvent("worker-benched", TaskID{}, 0, w.ID, "its tasks stand still", now.Sub(w.lastDone))
	w.excludedUntil = now.Add(stallExclusionTime)
	for _, r := range overdue {
		e.stopRun(now, r, "its worker's tasks stand still")
	}
}
