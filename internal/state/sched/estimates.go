package sched

import (
	"math"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Weights of learning.
const (
	// minSpeedSampleWeight is the weight of one more task in a worker's learned speed. The
	// first tasks weigh more: estimates are off about as much as speeds differ.
	minSpeedSampleWeight = 0.2
	speedPriorSamples    = 2.5
	// queueSampleWeight is the weight of one more task in the mean of a queue.
	queueSampleWeight = 0.03
	// maxLogRatio limits what one task can say, as a log of a ratio.
	maxLogRatio = 2.5
	// initialAllowedShare and initialDeviation are assumed of a queue of which nothing is
	// known; the latter is a factor of about 1.6.
	initialAllowedShare = 0.4
	initialDeviation    = 0.5
)

// Learned is what decisions have learned of workers and queues. It only makes
// them better: a leader decides safely without it.
type Learned struct {
	Workers map[string]WorkerStats `json:"workers"`
	Queues  map[string]QueueStats  `json:"queues"`
}

// WorkerStats are what was learned of an incarnation of a worker.
type WorkerStats struct {
	Incarnation int64   `json:"boot"`
	Slow        float64 `json:"slow"`    // log of how much longer tasks take here than on average
	Samples     int     `json:"samples"` // tasks that it was learned from
}

// QueueStats are what was learned of a queue.
type QueueStats struct {
	Allowed float64 `json:"allowed"` // share of workers that may run a step
	Ratio   float64 `json:"ratio"`   // mean log of run time to estimate
	Dev     float64 `json:"dev"`     // mean deviation from it
}

func (e *Engine) queueStats(name string) *QueueStats {
	q := e.queues[name]
	if q == nil {
		q = &QueueStats{Allowed: initialAllowedShare, Dev: initialDeviation}
		e.queues[name] = q
	}
	return q
}

// Learned gives what has been learned so far, in hundredths.
func (e *Engine) Learned() Learned {
	l := Learned{Workers: map[string]WorkerStats{}, Queues: map[string]QueueStats{}}
	for _, w := range e.workersByID {
		if w.Samples > 0 && w.listed {
			l.Workers[w.ID] = WorkerStats{Incarnation: w.lastIncarnation, Slow: roundToHundredths(w.Slow), Samples: w.Samples}
		}
	}
	for name, q := range e.queues {
		l.Queues[name] = QueueStats{Allowed: roundToHundredths(q.Allowed), Ratio: roundToHundredths(q.Ratio), Dev: roundToHundredths(q.Dev)}
	}
	return l
}

func roundToHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// Teach tells the engine what an earlier leader has learned.
func (e *Engine) Teach(l Learned) {
	e.priorStats = l.Workers
	for name, q := range l.Queues {
		e.queues[name] = &q
	}
}

// restoreWorkerStats takes what an earlier leader learned of the worker's incarnation, and
// forgets what was learned of another.
func (e *Engine) restoreWorkerStats(w *worker) {
	w.WorkerStats = WorkerStats{}
	if s := e.priorStats[w.ID]; s.Incarnation == w.lastIncarnation {
		w.WorkerStats = s
	}
	delete(e.priorStats, w.ID)
	e.index.update(w)
}

// updateEstimates updates how slow a worker is from a run that ended as done.
func (e *Engine) updateEstimates(now time.Time, r *run, st *flow.Step) {
	clear(r.worker.failedJobs)
	r.worker.lastDone = now
	if st.EstimateMs <= 0 || r.startedAt.IsZero() || r.number > 1 {
		return
	}
	logRatio := math.Log(float64(now.Sub(r.startedAt).Milliseconds()+1) / float64(st.EstimateMs))
	q := e.queueStats(r.job.Queue)
	relative := max(-maxLogRatio, min(maxLogRatio, logRatio-q.Ratio))
	q.Ratio += queueSampleWeight * relative
	q.Dev += queueSampleWeight * (math.Abs(relative) - q.Dev)
	if st.Gang {
		return // the slowest member decides
	}
	r.worker.Slow += max(minSpeedSampleWeight, 1/(float64(r.worker.Samples)+speedPriorSamples)) * (relative - r.worker.Slow)
	r.worker.Samples++
	e.index.update(r.worker)
}
