package sched

import (
	"math"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/pairs"
)

// Weights, bounds and initial values of the estimates.
const (
	// queueSampleWeight is the weight of one more task, or of one more answer
	// about a worker, in the means of a queue.
	queueSampleWeight = 0.03
	// maxLogRatio limits the effect of one task: its deviation from the mean of
	// its queue, as the log of a ratio.
	maxLogRatio = 2.5
	// initialAllowedShare and initialDeviation are assumed of a queue without
	// samples. The deviation is the log of a factor of about 1.6.
	initialAllowedShare = 0.4
	initialDeviation    = 0.5
)

// Estimates holds the estimates of workers and queues. They only improve the
// placement of tasks: a leader decides safely without them.
type Estimates struct {
	Workers map[string]WorkerEstimates `json:"workers"`
	Queues  map[string]QueueEstimates  `json:"queues"`
	Pairs   *pairs.State               `json:"pairs,omitempty"` // absent without images in jobs
}

// WorkerEstimates holds the estimates of one incarnation of a worker.
type WorkerEstimates struct {
	MeasuredIncarnation int64   `json:"boot"`
	LogSlowdown         float64 `json:"slow"`    // log of how much longer tasks take on it than on average
	Variance            float64 `json:"var"`     // of LogSlowdown; 0 means unknown
	Samples             int     `json:"samples"` // tasks that the slowdown is estimated from
}

// QueueEstimates holds the estimates of a queue.
type QueueEstimates struct {
	AllowedShare float64 `json:"allowed"` // share of workers that may run a step
	LogRatio     float64 `json:"ratio"`   // mean log of run time over estimate
	Deviation    float64 `json:"dev"`     // mean absolute deviation from LogRatio
}

// ensureQueueEstimates returns the estimates of a queue, initial ones if the
// queue has no samples yet.
func (e *Engine) ensureQueueEstimates(name string) *QueueEstimates {
	q := e.queueEstimates[name]
	if q == nil {
		q = &QueueEstimates{AllowedShare: initialAllowedShare, Deviation: initialDeviation}
		e.queueEstimates[name] = q
	}
	return q
}

// minAllowedShare is the least share of allowed workers that is assumed of a
// queue. It bounds how many workers a query names for one task.
const minAllowedShare = 0.05

// allowedShare returns the estimated share of workers that may run a step of a
// queue.
func (e *Engine) allowedShare(queue string) float64 {
	return max(e.ensureQueueEstimates(queue).AllowedShare, minAllowedShare)
}

// Estimates returns the present estimates, rounded to hundredths.
func (e *Engine) Estimates() Estimates {
	estimates := Estimates{Workers: map[string]WorkerEstimates{}, Queues: map[string]QueueEstimates{}, Pairs: e.pairs.State()}
	for _, w := range e.workersByID {
		if w.Samples > 0 && w.listed {
			estimates.Workers[w.ID] = WorkerEstimates{MeasuredIncarnation: w.lastIncarnation, LogSlowdown: roundToHundredths(w.LogSlowdown), Variance: roundToHundredths(w.Variance), Samples: w.Samples}
		}
	}
	for name, q := range e.queueEstimates {
		estimates.Queues[name] = QueueEstimates{AllowedShare: roundToHundredths(q.AllowedShare), LogRatio: roundToHundredths(q.LogRatio), Deviation: roundToHundredths(q.Deviation)}
	}
	return estimates
}

func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// RestoreEstimates sets the prior estimates of an earlier leader. Those of a
// worker apply only if its first report comes from the same incarnation. The
// engine retains prior.Workers and deletes entries from it.
func (e *Engine) RestoreEstimates(prior Estimates) {
	e.priorEstimates = prior.Workers
	e.pairs.Restore(prior.Pairs)
	for name, q := range prior.Queues {
		e.queueEstimates[name] = &q
	}
}

// restoreWorkerEstimates sets the worker's estimates to the prior ones of an
// earlier leader for the same incarnation, and discards those of another
// incarnation.
func (e *Engine) restoreWorkerEstimates(w *worker) {
	w.WorkerEstimates = WorkerEstimates{}
	if s := e.priorEstimates[w.ID]; s.MeasuredIncarnation == w.lastIncarnation {
		w.WorkerEstimates = s
	}
	delete(e.priorEstimates, w.ID)
	e.index.update(w)
}

// updateEstimates updates the estimates of the queue from a run that ended as
// done, notes its run time for the estimate of the worker's slowdown, and ends
// the worker's series of failures. Only the first run of a task counts for the
// estimates.
func (e *Engine) updateEstimates(now time.Time, r *run, st *flow.Step) {
	clear(r.worker.failedJobs)
	r.worker.suspectUntil = time.Time{}
	r.worker.lastDone = now
	if st.EstimateMs <= 0 || r.startedAt.IsZero() || r.number > 1 {
		return
	}
	e.load.noteDone(now, r, st)
	logRatio := math.Log(float64(now.Sub(r.startedAt).Milliseconds()+1) / float64(st.EstimateMs))
	q := e.ensureQueueEstimates(r.job.Queue)
	relative := max(-maxLogRatio, min(maxLogRatio, logRatio-q.LogRatio))
	q.LogRatio += queueSampleWeight * relative
	q.Deviation += queueSampleWeight * (math.Abs(relative) - q.Deviation)
	if st.Gang {
		return // the slowest member determines the run time of all
	}
	e.observeRunTime(now, r, st, relative)
	sp := r.job.stepPlacement(r.id.Round, r.id.Step)
	sp.runTimes = append(sp.runTimes, runTime{worker: r.worker, incarnation: r.worker.lastIncarnation, logRatio: relative})
}
