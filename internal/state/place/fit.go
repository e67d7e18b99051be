package place

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/share"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Ways to choose among the workers that have enough free capacity for a task.
const (
	FitSpareAccelerators = "best-keep"    // best fit, but workers with free accelerators come last for tasks that need none
	FitBest              = "best"         // the worker with the least capacity left over
	FitFirst             = "first"        // the first worker in the order in which they were added
	FitRandom            = "random"       // the first worker from a random one on
	FitLeastLoaded       = "least-loaded" // the worker with the most capacity left over
)

// idleAcceleratorPenalty is added to a worker's score if a task that needs no
// accelerator would leave accelerators idle there. In the score, the whole CPU
// capacity of a worker left over counts 1, and so does its whole memory.
const idleAcceleratorPenalty = 4.0

// chooseWorkers returns the name of a worker for each task of the item, or nil
// if not all tasks fit. The workers are the same before and after: each choice
// is added to Unrecorded, so that the next one sees it, and removed at the end.
func (e *Engine) chooseWorkers(it Item, now time.Time) []string {
	chosen := make([]*Worker, 0, it.TaskCount)
	for range it.TaskCount {
		w := e.chooseWorker(it, now)
		if w == nil {
			break
		}
		w.Unrecorded = w.Unrecorded.Add(it.Size)
		chosen = append(chosen, w)
	}
	names := make([]string, 0, it.TaskCount)
	for _, w := range chosen {
		w.Unrecorded = w.Unrecorded.Sub(it.Size)
		names = append(names, w.Name)
	}
	if len(names) < it.TaskCount {
		return nil
	}
	return names
}

// chooseWorker returns the worker for one task of the item, or nil if no
// schedulable worker has enough unreserved capacity.
func (e *Engine) chooseWorker(it Item, now time.Time) *Worker {
	if e.cfg.Fit == FitRandom {
		return e.chooseRandomWorker(it, now)
	}
	var best *Worker
	var bestScore float64
	for _, w := range e.workers {
		if !w.Schedulable {
			continue
		}
		free := w.free()
		if !it.Size.FitsIn(free) || e.usesReservation(w, it, free, now) || e.isolates(w, it, now) {
			continue
		}
		if e.cfg.Fit == FitFirst {
			return w
		}
		s := e.score(w, it.Size, free)
		if best == nil || s < bestScore {
			best, bestScore = w, s
		}
	}
	return best
}

func (e *Engine) chooseRandomWorker(it Item, now time.Time) *Worker {
	n := len(e.workers)
	if n == 0 {
		return nil
	}
	e.randomState = e.randomState*6364136223846793005 + 1442695040888963407
	start := int(e.randomState>>33) % n
	for i := range n {
		w := e.workers[(start+i)%n]
		if !w.Schedulable {
			continue
		}
		free := w.free()
		if it.Size.FitsIn(free) && !e.usesReservation(w, it, free, now) && !e.isolates(w, it, now) {
			return w
		}
	}
	return nil
}

// score rates a worker that has enough free capacity. The worker with the lowest
// score is chosen.
func (e *Engine) score(w *Worker, size, free work.Size) float64 {
	remaining := free.Sub(size)
	cpu := share.Fraction(remaining.CPU, w.Capacity.CPU)
	memory := share.Fraction(remaining.Memory, w.Capacity.Memory)
	switch e.cfg.Fit {
	case FitLeastLoaded:
		return -(cpu + memory)
	case FitBest:
		return cpu + memory
	}
	s := cpu + memory
	if size.Accelerators == 0 && remaining.Accelerators > 0 {
		s += idleAcceleratorPenalty
	}
	return s
}
