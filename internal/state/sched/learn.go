package sched

import (
	"math"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Weights of learning.
const (
	// speedWeight is the weight of one more task in a worker's learned speed. The
	// first tasks weigh more: estimates are off about as much as speeds differ.
	speedWeight = 0.2
	firstWeight = 2.5
	// queueWeight is the weight of one more task in the mean of a queue.
	queueWeight = 0.03
	// speedBound limits what one task can say, as a log of a ratio.
	speedBound = 2.5
	// allowedAtFirst and devAtFirst are assumed of a queue of which nothing is
	// known; the latter is a factor of about 1.6.
	allowedAtFirst = 0.4
	devAtFirst     = 0.5
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

func (e *Engine) queue(name string) *QueueStats {
	q := e.queues[name]
	if q == nil {
		q = &QueueStats{Allowed: allowedAtFirst, Dev: devAtFirst}
		e.queues[name] = q
	}
	return q
}

// Learned gives what has been learned so far, in hundredths.
func (e *Engine) Learned() Learned {
	l := Learned{Workers: map[string]WorkerStats{}, Queues: map[string]QueueStats{}}
	for _, w := range e.order {
		if w.Samples > 0 && w.listed {
			l.Workers[w.ID] = WorkerStats{Incarnation: w.boot, Slow: hundredths(w.Slow), Samples: w.Samples}
		}
	}
	for name, q := range e.queues {
		l.Queues[name] = QueueStats{Allowed: hundredths(q.Allowed), Ratio: hundredths(q.Ratio), Dev: hundredths(q.Dev)}
	}
	return l
}

func hundredths(x float64) float64 { return math.Round(x*100) / 100 }

// Teach tells the engine what an earlier leader has learned.
func (e *Engine) Teach(l Learned) {
	e.taught = l.Workers
	for name, q := range l.Queues {
		e.queues[name] = &q
	}
}

// recall takes what an earlier leader learned of the worker's incarnation, and
// forgets what was learned of another.
func (e *Engine) recall(w *worker) {
	w.WorkerStats = WorkerStats{}
	if s := e.taught[w.ID]; s.Incarnation == w.boot {
		w.WorkerStats = s
	}
	delete(e.taught, w.ID)
	e.index.update(w)
}

// learn updates how slow a worker is from a run that ended as done.
func (e *Engine) learn(now time.Time, r *run, st *flow.Step) {
	clear(r.w.failJobs)
	r.w.lastDone = now
	if st.EstimateMs <= 0 || r.startedAt.IsZero() || r.n > 1 {
		return
	}
	took := math.Log(float64(now.Sub(r.startedAt).Milliseconds()+1) / float64(st.EstimateMs))
	q := e.queue(r.job.Queue)
	rel := max(-speedBound, min(speedBound, took-q.Ratio))
	q.Ratio += queueWeight * rel
	q.Dev += queueWeight * (math.Abs(rel) - q.Dev)
	if st.Gang {
		return // the slowest member decides
	}
	r.w.Slow += max(speedWeight, 1/(float64(r.w.Samples)+firstWeight)) * (rel - r.w.Slow)
	r.w.Samples++
	e.index.update(r.w)
}
