package sched

import (
	"math/bits"

	"github.com/google/btree"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Weights of a worker's rank, as logs of ratios of run time.
const (
	// packWeight prefers the fuller of two workers that are equally fast.
	packWeight = 0.3
	// tooSlow keeps tasks from a worker on which they take five times the mean.
	tooSlow        = 1.6
	tooSlowSamples = 3
)

const (
	// levels is the number of classes of free processors; each is twice the one
	// before, and the last is open upwards.
	levels = 16
	// levelUnit is the size of the first class, in thousandths of a core.
	levelUnit = 256
	// indexDegree is that of the trees; the library's page suggests 32 or more.
	indexDegree = 32
)

// levelOf gives the class of free processors, in thousandths of a core.
func levelOf(cpu int64) int {
	return min(bits.Len64(uint64(max(cpu, 0)/levelUnit)), levels-1)
}

// index holds the listed workers by what they have free and by rank, so that a
// step is looked for only where it may fit, on the best workers first.
type index struct {
	trees [levels]*btree.BTreeG[*worker]
}

func newIndex() *index {
	x := &index{}
	for i := range x.trees {
		x.trees[i] = btree.NewG(indexDegree, betterWorker)
	}
	return x
}

func betterWorker(a, b *worker) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.ID < b.ID
}

// update puts the worker where it belongs now. It is called after each change of
// its room, its speed, or its being listed.
func (x *index) update(w *worker) {
	if w.indexed {
		x.trees[w.level].Delete(w)
	}
	w.indexed = w.listed
	if !w.listed {
		return
	}
	free := w.Capacity.CPU - w.used.CPU
	w.level, w.rank = levelOf(free), w.Slow
	if w.Capacity.CPU > 0 {
		w.rank += packWeight * float64(free) / float64(w.Capacity.CPU)
	}
	if w.Samples >= tooSlowSamples && w.Slow > tooSlow {
		w.rank += tooSlow
	}
	x.trees[w.level].ReplaceOrInsert(w)
}

// mayHold reports whether any worker may have a task's processors free.
func (x *index) mayHold(size work.Size) bool {
	for i := levelOf(size.CPU); i < levels; i++ {
		if x.trees[i].Len() > 0 {
			return true
		}
	}
	return false
}

// walk calls visit with the workers of the levels from and up to, but not with, to,
// best rank first, until it gives false. visit must not change any worker.
func (x *index) walk(from, to int, visit func(w *worker) bool) {
	heads := [levels]*worker{}
	for i := from; i < to; i++ {
		heads[i], _ = x.trees[i].Min()
	}
	for {
		best := -1
		for i := from; i < to; i++ {
			if heads[i] != nil && (best < 0 || betterWorker(heads[i], heads[best])) {
				best = i
			}
		}
		if best < 0 || !visit(heads[best]) {
			return
		}
		heads[best] = nextIn(x.trees[best], heads[best])
	}
}

// nextIn gives the worker that follows w in the tree, nil if none does.
func nextIn(t *btree.BTreeG[*worker], w *worker) (next *worker) {
	t.AscendGreaterOrEqual(w, func(v *worker) bool {
		if v == w {
			return true
		}
		next = v
		return false
	})
	return next
}
