package place

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// reservation is capacity reserved for one item that found no capacity for long
// because other items took it. There is at most one reservation at a time, so
// two gangs can't deadlock with each one reserving half of what both need.
type reservation struct {
	item          Item
	reserved      map[string]work.Size // by worker
	planned       time.Time            // when reserved was computed
	expectedStart time.Time            // when all of it is free, by the declared ends known at the first plan
}

// runTimeStretch is the factor on an item's declared run time when deciding
// whether it ends before a reservation starts and may use the reserved capacity
// until then. Tasks often run longer than declared.
const runTimeStretch = 2

// urgentReserveAfter is how long an urgent item waits before capacity is
// reserved for it, if Config.ReserveAfter is not shorter.
const urgentReserveAfter = time.Second

// maybeReserve reserves capacity for an item that has been pending long enough,
// unless another item has the reservation. An urgent item replaces the
// reservation of an item that is not urgent.
func (e *Engine) maybeReserve(it Item, now time.Time) {
	urgent := it.Class == work.ClassUrgent
	delay := e.cfg.ReserveAfter
	if urgent {
		delay = min(delay, urgentReserveAfter)
	}
	if delay <= 0 || now.Sub(it.Queued) < delay {
		return
	}
	if e.reservation != nil && (!urgent || e.reservation.item.Class == work.ClassUrgent) {
		return
	}
	e.reservation = e.planReservation(it, now)
}

// replanInterval is the shortest interval between two plans of a reservation.
const replanInterval = time.Second

// refreshReservation drops the reservation if its item is no longer wanted, and
// plans it again from the present allocations once replanInterval has passed.
func (e *Engine) refreshReservation(now time.Time) {
	if e.reservation == nil {
		return
	}
	it := e.reservation.item
	if e.Wanted != nil && !e.Wanted(it) {
		e.reservation = nil
		return
	}
	if now.Sub(e.reservation.planned) < replanInterval {
		return
	}
	expectedStart := e.reservation.expectedStart
	e.reservation = e.planReservation(it, now)
	if e.reservation != nil {
		// The first estimate is kept. Otherwise items that use the reserved
		// capacity meanwhile could postpone the start for ever.
		e.reservation.expectedStart = expectedStart
	}
}

// taskSlot is capacity for one task on a worker from a time on.
type taskSlot struct {
	worker    *Worker
	available time.Time
}

// planReservation returns a reservation on the schedulable workers that have
// capacity for the item's tasks earliest by declared ends. It returns nil if they
// never have enough.
func (e *Engine) planReservation(it Item, now time.Time) *reservation {
	var slots []taskSlot
	for _, w := range e.workers {
		if w.Schedulable {
			slots = e.taskSlots(slots, w, it, now)
		}
	}
	if len(slots) < it.TaskCount {
		return nil
	}
	sort.SliceStable(slots, func(i, j int) bool { return slots[i].available.Before(slots[j].available) })
	res := &reservation{item: it, planned: now, reserved: map[string]work.Size{}}
	for _, slot := range slots[:it.TaskCount] {
		res.reserved[slot.worker.Name] = res.reserved[slot.worker.Name].Add(it.Size)
		res.expectedStart = slot.available
	}
	return res
}

// taskSlots appends to slots the times from which the worker has capacity for
// one, two, ... tasks of the item, by the declared ends of its allocations.
// Allocations without a declared end count as never ending.
func (e *Engine) taskSlots(slots []taskSlot, w *Worker, it Item, now time.Time) []taskSlot {
	free := w.free()
	found := 0
	add := func(at time.Time) {
		for fitting := fitCount(free, it.Size, it.TaskCount); found < fitting; found++ {
			slots = append(slots, taskSlot{w, at})
		}
	}
	add(now)
	allocations := append([]allocation(nil), e.allocations[w.Name]...)
	sort.SliceStable(allocations, func(i, j int) bool { return allocations[i].declaredEnd.Before(allocations[j].declaredEnd) })
	for _, a := range allocations {
		if a.declaredEnd.IsZero() || found >= it.TaskCount {
			continue
		}
		free = free.Add(a.size)
		at := a.declaredEnd
		if at.Before(now) {
			at = now
		}
		add(at)
	}
	return slots
}

// usesReservation reports whether placing the item on the worker would take
// capacity that is reserved for another item. An item that is expected to end
// before the reservation starts may use that capacity, and so may urgent items.
func (e *Engine) usesReservation(w *Worker, it Item, free work.Size, now time.Time) bool {
	if e.reservation == nil || e.reservation.item.Ref == it.Ref || it.Class == work.ClassUrgent {
		return false
	}
	reserved, ok := e.reservation.reserved[w.Name]
	if !ok || it.Size.Add(reserved).FitsIn(free) {
		return false
	}
	return it.RunTime <= 0 || now.Add(runTimeStretch*it.RunTime).After(e.reservation.expectedStart)
}
