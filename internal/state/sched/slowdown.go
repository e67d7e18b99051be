package sched

import "math"

// Variances of the logs of run times. They and the deviations below are those of
// natural logs, so that equal ratios count the same.
const (
	// slowdownVariance is the variance of the slowdown of a worker of which nothing
	// is known: on a usual site the speeds of workers differ by a factor of 1.5
	// either way.
	slowdownVariance = 0.16
	// minSlowdownVariance bounds how certain an estimate becomes: a small change of
	// a worker's speed is then known after some ten tasks.
	minSlowdownVariance = 0.005
	// minEstimateVariance is the least variance that is assumed of the estimated
	// run times in a queue's jobs.
	minEstimateVariance = 0.02
	// taskVariance is the variance between the tasks of a step on equal workers.
	taskVariance = 0.05
	// maxSlowdownDeviation is the deviation, in standard deviations, beyond which a
	// worker's speed counts as changed and earlier run times no longer as known.
	maxSlowdownDeviation = 3
)

// runTime is how long a task took, as the log of the ratio to what is expected
// in its queue.
type runTime struct {
	worker      *worker
	incarnation int64
	logRatio    float64
}

// estimateVariance returns the variance of the estimated run times in the jobs
// of the queue, from what the deviation of run times leaves after the
// differences between workers and between tasks.
func (q *QueueEstimates) estimateVariance() float64 {
	// The mean absolute deviation of a normal distribution is the square root of
	// 2/pi standard deviations.
	variance := math.Pi / 2 * q.Deviation * q.Deviation
	return max(minEstimateVariance, variance-slowdownVariance-taskVariance)
}

// updateSlowdowns updates the estimated slowdowns of the workers on which the
// tasks of a step have run. What the step's estimate is off by is common to all
// its tasks, so each worker is compared with the others, and by the estimate
// itself only as far as the queue's estimates are known to be right.
func updateSlowdowns(q *QueueEstimates, runTimes []runTime, index *workerIndex) {
	type sample struct{ sum, n float64 } // of the tasks on one worker
	samples := map[*worker]*sample{}
	var workers []*worker
	for _, t := range runTimes {
		if t.worker.lastIncarnation != t.incarnation {
			continue
		}
		s := samples[t.worker]
		if s == nil {
			s = &sample{}
			samples[t.worker] = s
			workers = append(workers, t.worker)
		}
		s.sum += t.logRatio
		s.n++
	}
	// The log of the step's work is estimated from each worker and, with a mean of
	// 0, from the queue's estimates, weighted by the inverse variances.
	sum, weight := 0.0, 1/q.estimateVariance()
	weightOf := func(w *worker) float64 { return 1 / (w.slowdownVariance() + taskVariance/samples[w].n) }
	workOf := func(w *worker) float64 { return samples[w].sum/samples[w].n - w.LogSlowdown }
	for _, w := range workers {
		sum += weightOf(w) * workOf(w)
		weight += weightOf(w)
	}
	deviations, variances := make([]float64, len(workers)), make([]float64, len(workers))
	for i, w := range workers {
		others := weight - weightOf(w)
		deviations[i] = workOf(w) - (sum-weightOf(w)*workOf(w))/others
		variances[i] = 1/others + taskVariance/samples[w].n
	}
	for i, w := range workers {
		w.observe(deviations[i], variances[i])
		w.Samples += int(samples[w].n)
		index.update(w)
	}
}

// slowdownVariance returns the variance of the estimated slowdown.
func (w *WorkerEstimates) slowdownVariance() float64 {
	if w.Variance == 0 {
		return slowdownVariance
	}
	return w.Variance
}

// observe updates the slowdown by how far the run times on the worker deviate
// from what is expected with the present estimate. variance is that of the
// deviation if the slowdown were known exactly.
func (w *WorkerEstimates) observe(deviation, variance float64) {
	prior := w.slowdownVariance()
	if deviation*deviation > maxSlowdownDeviation*maxSlowdownDeviation*(prior+variance) {
		prior = slowdownVariance
	}
	gain := prior / (prior + variance)
	w.LogSlowdown += gain * deviation
	w.Variance = max(minSlowdownVariance, prior*(1-gain))
}
