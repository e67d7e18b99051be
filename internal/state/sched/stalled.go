package sched

import (
	"math"
	"time"
)

// Bounds of the detection of stalled tasks. How far the run times in a queue
// are off the estimates in the job specs is itself estimated, as the mean and
// the deviation of the log of run time over estimate.
const (
	// A run is overdue when the log of its run time over the expected one
	// exceeds overdueBase plus overdueDeviations deviations, and overdueSlack
	// has passed beyond that. Overdue runs of minOverdueJobs distinct jobs on
	// one worker mean that the tasks of the worker are stalled.
	overdueBase       = 0.5
	overdueDeviations = 2.5
	overdueSlack      = 500 * time.Millisecond
	minOverdueJobs    = 2
	// stalledBase, stalledDeviations and stalledSlack are the same bounds for a
	// run that counts as stalled by itself. maxStalledLog bounds the sum of
	// stalledBase and the deviations.
	stalledBase       = 1.0
	stalledDeviations = 4.0
	maxStalledLog     = 2.0
	stalledSlack      = 10 * time.Second
	// minLogSlowdown and maxLogSlowdown bound the estimated log slowdown of queue
	// and worker together: short tasks seem slow because some time passes until
	// their end is reported.
	minLogSlowdown = -0.5
	maxLogSlowdown = 1.6
	// maxDeviation bounds the estimated deviation.
	maxDeviation = 0.8
	// stallExclusionTime is how long a worker with stalled tasks is excluded.
	stallExclusionTime = 5 * time.Second
	// minStallCheckInterval and maxStallCheckInterval bound the time between
	// two checks of a worker for stalled tasks. Within these bounds the next
	// check is due when a run can be overdue at the earliest.
	minStallCheckInterval = 150 * time.Millisecond
	maxStallCheckInterval = 5 * time.Second
)

// expectedRunTime returns how long a run should take, 0 if nothing is known,
// and the deviation of that as the log of a ratio.
func (e *Engine) expectedRunTime(r *run) (time.Duration, float64) {
	st := &r.job.Steps[r.id.Step]
	if st.LongRunning || st.EstimateMs <= 0 {
		return 0, 0
	}
	q := e.ensureQueueEstimates(r.job.Queue)
	logSlowdown := q.LogRatio
	if r.worker.Samples >= minSlowdownSamples {
		logSlowdown += r.worker.LogSlowdown
	}
	logSlowdown = max(minLogSlowdown, min(maxLogSlowdown, logSlowdown))
	return time.Duration(float64(st.EstimateMs) * math.Exp(logSlowdown) * float64(time.Millisecond)), min(q.Deviation, maxDeviation)
}

// scaleByExp returns d times e to the power of exponent.
func scaleByExp(d time.Duration, exponent float64) time.Duration {
	return time.Duration(float64(d) * math.Exp(exponent))
}

// checkStallsBy moves the next check for stalled tasks forward to at if it is
// due later.
func (w *worker) checkStallsBy(at time.Time) {
	if at.Before(w.nextStallCheck) {
		w.nextStallCheck = at
	}
}

// stopStalledRuns stops the stalled tasks of a worker, so that they run
// elsewhere. It excludes the worker if overdue runs of several jobs show that
// its tasks are stalled. An overdue run counts for that only if no run has
// ended as done on the worker since it started.
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
