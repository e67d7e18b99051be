package place

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of the workers held for tasks that are to start alone.
const (
	holdSlack       = 2 * time.Second // beyond the time after which a held worker has had no start for long enough
	maxHeldFraction = 4               // at most one in so many workers is held, and at least one
)

func (w *Worker) hold(ref work.TaskRef, until time.Time) {
	w.heldFor = ref
	w.heldUntil = until
}

// isolates reports whether the item must stay off the worker so that a task
// starts alone there: the worker is held for another task, or the item is to
// start alone and the worker has just started others.
func (e *Engine) isolates(w *Worker, it Item, now time.Time) bool {
	if now.Before(w.heldUntil) && w.heldFor != it.Ref {
		return true
	}
	return it.Alone && now.Before(w.LastStart.Add(e.cfg.AloneFor))
}

// holdWorker keeps other items off a worker that has the capacity for an item
// that is to start alone, until it can start there. It returns false if no
// worker has the capacity. It holds none if enough are held already.
func (e *Engine) holdWorker(it Item, now time.Time) bool {
	held := 0
	for _, w := range e.workers {
		if !now.Before(w.heldUntil) {
			continue
		}
		held++
		if w.heldFor == it.Ref {
			return true
		}
	}
	beside := it
	beside.Alone = false
	w := e.chooseWorker(beside, now)
	if w == nil {
		return false
	}
	if held < max(1, len(e.workers)/maxHeldFraction) {
		w.hold(it.Ref, now.Add(e.cfg.AloneFor+holdSlack))
	}
	return true
}
