package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of making room.
const (
	// holdFor is how long room is kept for a step: a stop and a call for tickets.
	holdFor = 800 * time.Millisecond
	// yieldPause is the time between two rounds of stops for one step.
	yieldPause = 700 * time.Millisecond
	// minYieldAge keeps a task that has just started from giving way.
	minYieldAge = 300 * time.Millisecond
	// maxHolders is the number of steps for which room may be kept at a time
	// without being sufficient yet.
	maxHolders = 2
)

// held is room on a worker that is kept for a step.
type held struct {
	step TaskID // of the step; Index is 0
	prio int    // of its queue
	size work.Size
	to   time.Time
}

func (c candidate) stepID() TaskID {
	return TaskID{Job: c.j.ID, Round: c.round.Number, Step: c.step}
}

// heldForOthers gives the room of a worker that is kept for other steps of at
// least the same priority; short urgent tasks pass a gang that waits.
func (e *Engine) heldForOthers(now time.Time, w *worker, c candidate) work.Size {
	var sum work.Size
	if len(w.held) == 0 {
		return sum
	}
	id := c.stepID()
	kept := w.held[:0]
	for _, h := range w.held {
		if !now.Before(h.to) {
			continue
		}
		kept = append(kept, h)
		if h.step != id && h.prio <= c.prio {
			sum = sum.Add(h.size)
		}
	}
	w.held = kept
	return sum
}

// release gives up the room that is kept for a step.
func (e *Engine) release(c candidate) {
	id := c.stepID()
	delete(e.holders, id)
	a := c.j.stepAdvice(c.round.Number, c.step)
	for _, w := range a.heldOn {
		for i := range w.held {
			if w.held[i].step == id {
				w.held = append(w.held[:i], w.held[i+1:]...)
				break
			}
		}
	}
	a.heldOn = nil
}

// yields reports whether a run may be stopped for a step of that priority: it
// must lose next to nothing by it.
func (e *Engine) yields(r *run, prio int) bool {
	st := &r.job.Steps[r.id.Step]
	return st.Checkpoints && !st.Gang && !st.Lasting && r.confirmed && r.stopping == "" && e.policy(r.job).Priority > prio
}

// yielding gives the room that runs of lower priority could give up.
func (e *Engine) yielding(w *worker, c candidate) work.Size {
	var sum work.Size
	for _, r := range w.runs {
		if e.yields(r, c.prio) {
			sum = sum.Add(r.size)
		}
		if r.stopping != "" && r.job.State != flow.Complete {
			sum = sum.Add(r.size)
		}
	}
	return sum
}

// makeRoom chooses seats for the tasks that could not start, keeps their room
// for the step, and stops tasks of lower priority where that is needed. It gives
// the chosen seats, none if they would not suffice for a gang.
func (e *Engine) makeRoom(p *pass, c candidate, st *flow.Step, seats []*seat, need int) []*seat {
	sum := 0
	for _, s := range seats {
		if sum < need {
			e.lookFurther(p, c, st, s)
		}
		sum += s.fit + s.more
	}
	if sum == 0 || (st.Gang && sum < need) {
		if st.Gang && len(seats) > 0 && e.mayHold(p.now, c) {
			e.keep(p, c, st, seats, need)
		}
		return nil
	}
	a := c.j.stepAdvice(c.round.Number, c.step)
	mayStop := !p.now.Before(a.yieldAt) && c.class < 2
	var chosen []*seat
	stopped := false
	for _, s := range seats {
		if need <= 0 {
			break
		}
		n := min(s.fit, need)
		if s.more > 0 && n < need && (mayStop || st.Gang) {
			n = min(s.fit+s.more, need)
		}
		if n == 0 {
			continue
		}
		if n > s.fit && mayStop {
			e.stopFor(p.now, c, s, taskSize(st).Times(int64(n)))
			stopped = true
		}
		need -= n
		chosen = append(chosen, s)
		e.holdRoom(p, c, s, taskSize(st).Times(int64(n)))
	}
	if stopped {
		a.yieldAt = p.now.Add(yieldPause)
	}
	return chosen
}

// keep keeps room for a gang for which it does not suffice yet: what is free, and
// then room for one task more on workers that lack least for it, so that what
// comes free there is not taken by others.
func (e *Engine) keep(p *pass, c candidate, st *flow.Step, seats []*seat, need int) {
	size := taskSize(st)
	byFree := append([]*seat(nil), seats...)
	sort.SliceStable(byFree, func(i, k int) bool {
		return lacking(byFree[i], size) < lacking(byFree[k], size)
	})
	for _, s := range seats {
		need -= min(s.fit, need)
	}
	for _, s := range byFree {
		n := s.fit
		if need > 0 && size.Times(int64(n+1)).Within(s.w.Capacity) {
			n++
			need--
		}
		if n > 0 {
			e.holdRoom(p, c, s, size.Times(int64(n)))
		}
	}
}

// lacking gives the share of one more task's processors that a seat lacks.
func lacking(s *seat, size work.Size) float64 {
	if size.CPU == 0 {
		return 0
	}
	return 1 - float64(s.free.CPU-int64(s.fit)*size.CPU)/float64(size.CPU)
}

// lookFurther works out what a worker could take if tasks gave way.
func (e *Engine) lookFurther(p *pass, c candidate, st *flow.Step, s *seat) {
	most := len(c.idle)
	if st.MaxPerWorker > 0 {
		most = min(most, st.MaxPerWorker-placedOn(c, s.w))
	}
	if s.fit >= most || c.prio >= p.lowest {
		return
	}
	free := s.free.Sub(e.heldForOthers(p.now, s.w, c)).Add(e.yielding(s.w, c))
	s.more = max(fitCount(free, taskSize(st), most)-s.fit, 0)
}

// mayHold reports whether room may be kept for one more step that it does not
// suffice for yet.
func (e *Engine) mayHold(now time.Time, c candidate) bool {
	for id, to := range e.holders {
		if !now.Before(to) {
			delete(e.holders, id)
		}
	}
	if _, ok := e.holders[c.stepID()]; !ok && len(e.holders) >= maxHolders {
		return false
	}
	e.holders[c.stepID()] = now.Add(holdFor)
	return true
}

func (e *Engine) holdRoom(p *pass, c candidate, s *seat, size work.Size) {
	id := c.stepID()
	for i := range s.w.held {
		if s.w.held[i].step == id {
			s.w.held[i].size, s.w.held[i].to = size, p.now.Add(holdFor)
			return
		}
	}
	s.w.held = append(s.w.held, held{step: id, prio: c.prio, size: size, to: p.now.Add(holdFor)})
	a := c.j.stepAdvice(c.round.Number, c.step)
	a.heldOn = append(a.heldOn, s.w)
}

// stopFor stops runs of lower priority on a worker until size would fit.
func (e *Engine) stopFor(now time.Time, c candidate, s *seat, size work.Size) {
	free := s.free.Sub(e.heldForOthers(now, s.w, c))
	var victims []*run
	for _, r := range s.w.list() {
		if r.stopping != "" {
			free = free.Add(r.size) // its room comes free anyway
		} else if e.yields(r, c.prio) && now.Sub(r.startedAt) >= minYieldAge {
			victims = append(victims, r)
		}
	}
	sort.SliceStable(victims, func(i, k int) bool { return victims[i].size.CPU > victims[k].size.CPU })
	for _, r := range victims {
		if size.Within(free) {
			return
		}
		free = free.Add(r.size)
		e.stop(now, r, "gives way to "+c.j.ID)
	}
}
