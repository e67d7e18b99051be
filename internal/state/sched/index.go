package sched

import (
	"math/bits"

	"github.com/google/btree"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Weights of a worker's rank, as logs of ratios of run time.
const (
	// packingWeight prefers the fuller of two workers that are equally fast.
	packingWeight = 0.3
	// slowWorkerThreshold keeps tasks from a worker on which they take five times the mean.
	slowWorkerThreshold = 1.6
	minSpeedSamples     = 3
)

const (
	// cpuLevels is the number of classes of free processors; each is twice the one
	// before, and the last is open upwards.
	cpuLevels = 16
	// firstLevelMilliCPU is the size of the first class, in thousandths of a core.
	firstLevelMilliCPU = 256
	// treeDegree is that of the trees; the library's page suggests 32 or more.
	treeDegree = 32
)

// cpuLevelOf gives the class of free processors, in thousandths of a core.
func cpuLevelOf(cpu int64) int {
	return min(bits.Len64(uint64(max(cpu, 0)/firstLevelMilliCPU)), cpuLevels-1)
}

// workerIndex holds the listed workers by what they have free and by rank, so that a
// step is looked for only where it may fit, on the best workers first.
type workerIndex struct {
	trees [cpuLevels]*btree.BTreeG[*worker]
}

func newWorkerIndex() *workerIndex {
	idx := &workerIndex{}
	for i := range idx.trees {
		idx.trees[i] = btree.NewG(treeDegree, betterWorker)
	}
	return idx
}

func betterWorker(a, b *worker) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.ID < b.ID
}

// update puts the worker where it belongs now. It is called after each change of
// its room, its speed, or its being listed.
func (idx *workerIndex) update(w *worker) {
	if w.indexed {
		idx.trees[w.cpuLevel].Delete(w)
	}
	w.indexed = w.listed
	if !w.listed {
		return
	}
	free := w.Capacity.CPU - w.used.CPU
	w.cpuLevel, w.rank = cpuLevelOf(free), w.Slow
	if w.Capacity.CPU > 0 {
		w.rank += packingWeight * float64(free) / float64(w.Capacity.CPU)
	}
	if w.Samples >= minSpeedSamples && w.Slow > slowWorkerThreshold {
		w.rank += slowWorkerThreshold
	}
	idx.trees[w.cpuLevel].ReplaceOrInsert(w)
}

// mayFit reports whether any worker may have a task's processors free.
func (idx *workerIndex) mayFit(size work.Size) bool {
	for i := cpuLevelOf(size.CPU); i < cpuLevels; i++ {
		if idx.trees[i].Len() > 0 {
			return true
		}
	}
	return false
}

// visit calls f with the workers of the levels from and up to, but not with, to,
// best rank first, until it gives false. f must not change any worker.
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

// successor gives the worker that follows w in the tree, nil if none does.
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
