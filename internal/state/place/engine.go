package place

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Worker is the engine's view of one worker.
type Worker struct {
	Name        string
	Rack        string
	Capacity    work.Size
	Allocated   work.Size // sum of the declared sizes of the tasks allocated to it
	Unrecorded  work.Size // size of tasks it runs that are not allocated to it in the log's records
	Overuse     work.Size // measured usage above the declared sizes
	Schedulable bool      // new work may be placed on it
	LastStart   time.Time // when a task was last placed on it

	heldFor   work.TaskRef // item for which other items are kept off it
	heldUntil time.Time
}

// free returns the capacity available to new work.
func (w *Worker) free() work.Size {
	return w.Capacity.Sub(w.Allocated).Sub(w.Unrecorded).Sub(w.Overuse)
}

// ReportUsage records the size of the tasks that a worker runs beyond its
// recorded allocations, and its overuse: its measured usage beyond declared.
// declared is the largest sum of declared sizes of the tasks on the worker at any
// time when the usage may have been measured, so that usage of tasks that have
// ended since the measurement does not count as overuse.
func (e *Engine) ReportUsage(name string, unrecorded, usage, declared work.Size) {
	w := e.Worker(name)
	overuse := usage.Sub(declared).Max(work.Size{})
	e.dirty = e.dirty || unrecorded != w.Unrecorded || overuse != w.Overuse
	w.Unrecorded = unrecorded
	w.Overuse = overuse
}

// Item is an entry of the queue: a single task, or a whole gang.
type Item struct {
	Ref       work.TaskRef
	TaskCount int // tasks that must start together; 1 except for gangs
	Size      work.Size
	Tenant    string
	Class     string
	Queued    time.Time
	RunTime   time.Duration // declared run time; 0 when unknown
	Alone     bool          // a single task to place where no other task starts within Config.AloneFor before or after
}

// Placement is the decision to start an item's tasks on workers. Workers has
// one entry for each task, in the order of the task indexes; a worker may occur
// more than once.
type Placement struct {
	Item    Item
	Workers []string
}

// Tenant is a tenant's fair-share weight and its quota.
type Tenant struct {
	Share int64
	Quota work.Size // 0 in a resource means no limit
}

// Config is the policy of an Engine.
type Config struct {
	Fit            string        // one of the Fit constants
	Order          string        // one of the Order constants
	AgingThreshold time.Duration // items pending longer than this get one pick in agedPickInterval
	ReserveAfter   time.Duration // an item that fits nowhere for this long gets a reservation; 0 disables reservations
	AloneFor       time.Duration // see Item.Alone
	Seed           uint64        // for FitRandom
}

// Engine decides placements for one failure domain. It is not safe for
// concurrent use.
type Engine struct {
	cfg           Config
	workers       []*Worker
	workersByName map[string]*Worker
	totalCapacity work.Size
	tenants       map[string]*tenant
	tenantNames   []string // sorted, so that ties are broken the same way on every instance
	picks         uint64
	randomState   uint64
	reservation   *reservation
	allocations   map[string][]allocation // by worker; their declared ends serve to plan reservations
	pending       int
	rounds        uint64
	dirty         bool      // an item, an allocation or a worker has changed since the last round
	lastRound     time.Time // start of the last round
	// Wanted reports whether a queued item is still to be placed; items for which
	// it returns false are dropped. If it is nil, all items are wanted.
	Wanted func(Item) bool
}

// allocation is a task that occupies capacity of a worker.
type allocation struct {
	ref         work.TaskRef
	size        work.Size
	declaredEnd time.Time // zero when the run time is unknown
}

// idleInterval is the interval between rounds while nothing changes. Such
// rounds serve decisions that depend on the time alone, such as the age of an
// item.
const idleInterval = time.Second

// NewEngine returns an engine without workers.
func NewEngine(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, workersByName: map[string]*Worker{}, tenants: map[string]*tenant{},
		allocations: map[string][]allocation{}, randomState: cfg.Seed*2 + 1,
	}
}

// Worker returns the worker of that name. An unknown worker is added without
// capacity and is not schedulable.
func (e *Engine) Worker(name string) *Worker {
	w := e.workersByName[name]
	if w == nil {
		w = &Worker{Name: name}
		e.workersByName[name] = w
		e.workers = append(e.workers, w)
	}
	return w
}

// SetCapacity sets a worker's capacity and rack.
func (e *Engine) SetCapacity(name, rack string, c work.Size) {
	w := e.Worker(name)
	e.totalCapacity = e.totalCapacity.Add(c).Sub(w.Capacity)
	e.dirty = e.dirty || w.Capacity != c
	w.Capacity = c
	w.Rack = rack
}

// Remove removes a worker. No task may be allocated to it.
func (e *Engine) Remove(name string) {
	w := e.workersByName[name]
	if w == nil {
		return
	}
	e.totalCapacity = e.totalCapacity.Sub(w.Capacity)
	delete(e.workersByName, name)
	delete(e.allocations, name)
	for i, v := range e.workers {
		if v == w {
			e.workers = append(e.workers[:i], e.workers[i+1:]...)
			return
		}
	}
}

// SetTenant sets a tenant's weight and quota.
func (e *Engine) SetTenant(name string, t Tenant) { e.tenantFor(name).Tenant = t }

// RecordAllocation records that a task is allocated to a worker. A new leader
// calls it for the allocations that it finds in the log. end is the task's
// declared end; zero when unknown.
func (e *Engine) RecordAllocation(worker, tenant string, ref work.TaskRef, size work.Size, end time.Time) {
	w := e.Worker(worker)
	w.Allocated = w.Allocated.Add(size)
	t := e.tenantFor(tenant)
	t.used = t.used.Add(size)
	e.allocations[worker] = append(e.allocations[worker], allocation{ref, size, end})
}

// ReleaseAllocation removes a task's allocation from a worker. An unknown
// allocation is ignored.
func (e *Engine) ReleaseAllocation(worker, tenant string, ref work.TaskRef, size work.Size) {
	list := e.allocations[worker]
	for i := range list {
		if list[i].ref != ref {
			continue
		}
		list[i] = list[len(list)-1]
		e.allocations[worker] = list[:len(list)-1]
		e.dirty = true
		w := e.Worker(worker)
		if w.heldFor == ref {
			w.heldUntil = time.Time{}
		}
		w.Allocated = w.Allocated.Sub(size)
		t := e.tenantFor(tenant)
		t.used = t.used.Sub(size)
		return
	}
}

// TotalCapacity returns the sum of the capacities of all workers.
func (e *Engine) TotalCapacity() work.Size { return e.totalCapacity }

// Pending returns the number of items in the queue. It includes items that are
// no longer wanted and not yet dropped.
func (e *Engine) Pending() int { return e.pending }

// Place runs one round at now and returns its placements. It starts no further
// item once they have limit tasks; the last gang may exceed the limit. It
// returns nil without a round if nothing has changed since the last round and
// that round is less than idleInterval ago.
func (e *Engine) Place(now time.Time, limit int) []Placement {
	if !e.dirty && now.Sub(e.lastRound) < idleInterval {
		return nil
	}
	e.lastRound = now
	out := e.placeRound(&round{now: now}, limit)
	e.dirty = len(out) > 0
	return out
}

// SetSchedulable sets whether new work may be placed on a worker.
func (e *Engine) SetSchedulable(name string, schedulable bool) {
	w := e.Worker(name)
	e.dirty = e.dirty || schedulable && !w.Schedulable
	w.Schedulable = schedulable
}

// Probe places at most one task on the named worker, whether it is schedulable or
// not, and on no other. Only single tasks for which accept returns true are
// considered, no gangs.
func (e *Engine) Probe(name string, now time.Time, accept func(Item) bool) []Placement {
	wasSchedulable := map[*Worker]bool{}
	for _, w := range e.workers {
		wasSchedulable[w] = w.Schedulable
		w.Schedulable = w.Name == name
	}
	out := e.placeRound(&round{now: now, probeFilter: accept}, 1)
	for w, schedulable := range wasSchedulable {
		w.Schedulable = schedulable
	}
	return out
}

// placeRound places pending items in queue order until none fits or the
// placements have limit tasks.
func (e *Engine) placeRound(r *round, limit int) []Placement {
	e.rounds++
	r.id = e.rounds
	var out []Placement
	now := r.now
	e.refreshReservation(now)
	for limit > 0 {
		q, i := e.nextCandidate(r)
		if q == nil {
			break
		}
		it := q.items[i]
		workers := e.chooseWorkers(it, now)
		if workers == nil {
			q.cursor = i + 1
			e.handleFailedFit(r, it)
			continue
		}
		q.removeAt(i)
		e.pending--
		e.allocate(it, workers, now)
		out = append(out, Placement{it, workers})
		limit -= it.TaskCount
	}
	return out
}

// handleFailedFit holds a worker or reserves capacity for an item that could not
// be placed.
func (e *Engine) handleFailedFit(r *round, it Item) {
	if it.Alone && e.holdWorker(it, r.now) {
		return
	}
	if !it.Alone {
		r.recordFailedFit(it)
	}
	e.maybeReserve(it, r.now)
}

// allocate records the placement of an item. The item's reservation, if it has
// one, ends.
func (e *Engine) allocate(it Item, workers []string, now time.Time) {
	if e.reservation != nil && e.reservation.item.Ref == it.Ref {
		e.reservation = nil
	}
	end := time.Time{}
	if it.RunTime > 0 {
		end = now.Add(it.RunTime)
	}
	for i, w := range workers {
		ref := work.TaskRef{Job: it.Ref.Job, Index: it.Ref.Index + i}
		e.RecordAllocation(w, it.Tenant, ref, it.Size, end)
		e.Worker(w).LastStart = now
		if it.Alone {
			e.Worker(w).hold(ref, now.Add(e.cfg.AloneFor))
		}
	}
}

// UnplaceableReason returns the reason why an item can't run on the known workers
// even when they are idle, or "" if it can. It compares with the workers'
// capacities, not with their free capacity.
func (e *Engine) UnplaceableReason(it Item) string {
	fitting := 0
	for _, w := range e.workers {
		fitting += fitCount(w.Capacity, it.Size, it.TaskCount)
		if fitting >= it.TaskCount {
			return ""
		}
	}
	if it.TaskCount == 1 {
		return "no worker of the domain is large enough for " + it.Size.String()
	}
	return "the workers of the domain can't hold all tasks of the gang at once, each " + it.Size.String()
}

// fitCount returns how many tasks of the size fit into the available capacity,
// at most limit.
func fitCount(available, size work.Size, limit int) int {
	n := int64(limit)
	n = min(n, resourceFitCount(available.CPU, size.CPU))
	n = min(n, resourceFitCount(available.Memory, size.Memory))
	n = min(n, resourceFitCount(available.Accelerators, size.Accelerators))
	return int(max(n, 0))
}

// resourceFitCount is fitCount for one resource. A task that needs none of the
// resource is not limited by it.
func resourceFitCount(available, size int64) int64 {
	if size == 0 {
		return work.MaxTasks
	}
	return available / size
}
