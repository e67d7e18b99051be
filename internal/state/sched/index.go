package sched

import (
	"math/bits"

	"github.com/google/btree"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Weights of a worker's rank, as natural logs of ratios of run times.
const (
	// packingWeight is the weight of the free share of a worker's CPU: of two
	// equally fast workers, the fuller one is preferred.
	packingWeight = 0.3
	// slowWorkerThreshold is the log slowdown above which it is also added to a
	// worker's rank, to keep tasks from workers on which they take more than five
	// times the average.
	slowWorkerThreshold = 1.6
	// minSlowdownSamples is the number of runs that a worker's slowdown must be
	// estimated from before it adds slowWorkerThreshold to the rank or changes the
	// expected run times on the worker.
	minSlowdownSamples = 3
)

const (
	// cpuLevels is the number of levels of free CPU. Each level ends at twice the
	// bound of the one before; the last has no upper bound.
	cpuLevels = 16
	// firstLevelMilliCPU is the upper bound of the first level, exclusive, in
	// thousandths of a core.
	firstLevelMilliCPU = 256
	// treeDegree is the degree of the B-trees; the library's documentation
	// suggests 32 or more.
	treeDegree = 32
)

// cpuLevelOf returns the level of an amount of free CPU in thousandths of a
// core.
func cpuLevelOf(cpu int64) int {
	return min(bits.Len64(uint64(max(cpu, 0)/firstLevelMilliCPU)), cpuLevels-1)
}

// workerIndex holds the listed workers that have ever answered, by level of free
// CPU and by rank, so that only workers on which a step may fit are visited, the
// best first.
type workerIndex struct {
	trees [cpuLevels]*btree.BTreeG[*worker] // by level, ordered by betterWorker
}

func newWorkerIndex() *workerIndex {
	idx := &workerIndex{}
	for i := range idx.trees {
		idx.trees[i] = btree.NewG(treeDegree, betterWorker)
	}
	return idx
}

// betterWorker reports whether a has a better rank than b; equal ranks are
// ordered by ID.
func betterWorker(a, b *worker) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.ID < b.ID
}

// update computes the worker's level and rank and moves it in the index, or
// removes it if it is not listed or has never answered. It must be called after
// each change of the worker's capacity, its runs, its slowdown estimate, or
// whether it is listed, and after its first answer.
func (idx *workerIndex) update(w *worker) {
	if w.indexed {
		idx.trees[w.cpuLevel].Delete(w)
	}
	w.indexed = w.listed && w.hasAnswered()
	if !w.indexed {
		return
	}
	free := w.Capacity.CPU - w.used.CPU
	w.cpuLevel, w.rank = cpuLevelOf(free), w.LogSlowdown
	if w.Capacity.CPU > 0 {
		w.rank += packingWeight * float64(free) / float64(w.Capacity.CPU)
	}
	if w.Samples >= minSlowdownSamples && w.LogSlowdown > slowWorkerThreshold {
		w.rank += slowWorkerThreshold
	}
	idx.trees[w.cpuLevel].ReplaceOrInsert(w)
}

// mayFit reports whether any worker may have enough free CPU for a task.
// Workers of the task's own level may have less.
func (idx *workerIndex) mayFit(size work.Size) bool {
	for i := cpuLevelOf(size.CPU); i < cpuLevels; i++ {
		if idx.trees[i].Len() > 0 {
			return true
		}
	}
	return false
}

// visit calls f with the workers of the levels from (inclusive) to to
// (exclusive), best rank first, until f returns false. f must not change any
// worker's place in the index.
func (idx *workerIndex) visit(from, to int, f func(w *worker) bool) {
	heads := [cpuLevels]*worker{}
	for i := from; i < to; i++ {
		heads[i], _ = idx.trees[i].Min()
	}
	for {
		best := -1
		for i := from; i < to; i++ {
			if heads[i] != nil && (best < 0 || betterWorker(heads[i], heads[best])) {
				best = i
			}
		}
		if best < 0 || !f(heads[best]) {
			return
		}
		heads[best] = successor(idx.trees[best], heads[best])
	}
}

// successor returns the worker that follows w in the tree, nil if w is the
// last.
func successor(t *btree.BTreeG[*worker], w *worker) (next *worker) {
	t.AscendGreaterOrEqual(w, func(v *worker) bool {
		if v == w {
			return true
		}
		next = v
		return false
	})
	return next
}
