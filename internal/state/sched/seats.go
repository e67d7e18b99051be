package sched

import (
	"math"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// farWeight is the cost of running away from a task's data, as the log of a ratio
// of run time: the usual factor is 2.
const farWeight = 0.7

// seat is the room of a worker during one pass of decisions.
type seat struct {
	w    *worker
	free work.Size
	rank float64 // the lower the better, for any step
	cost float64 // rank with what the step under decision adds
	fit  int     // tasks of that step that it can take
	more int     // further ones if tasks of lower priority give way
}

// pass is one round of decisions.
type pass struct {
	now    time.Time
	of     map[*worker]*seat // of the workers looked at so far; nil for one that is not open
	lowest int               // the lowest priority (highest number) of any queue
	ranked int               // steps for which workers were looked at
}

// seat gives the room of a worker that is open for starts, nil if it is not.
func (p *pass) seat(w *worker) *seat {
	s, ok := p.of[w]
	if !ok {
		if w.usable(p.now) {
			s = &seat{w: w, free: w.Capacity.Sub(w.used), rank: w.rank}
		}
		p.of[w] = s
	}
	return s
}

// usable reports whether tasks may start on the worker. After a restart its size
// is known only when the list tells of the new incarnation.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.Draining && w.reachable() && w.strays == 0 && !now.Before(w.benchedTo) &&
		(w.Boot == 0 || w.Boot == w.boot)
}

func taskSize(st *flow.Step) work.Size {
	size := st.Size
	if st.Filling {
		size.CPU = 0
	}
	return size
}

// look works out what a worker can take of the step; false if it never may.
func (e *Engine) look(p *pass, c candidate, st *flow.Step, pol flow.Policy, s *seat) bool {
	size := taskSize(st)
	if s.w.Service != pol.Service || !size.Within(s.w.Capacity) || (st.Label != "" && !s.w.has(st.Label)) {
		return false
	}
	if st.Filling && s.w.pacing.percent() < noFill {
		return false
	}
	// A task that failed goes elsewhere if it can, in case its worker is at fault.
	if t := &c.round.Steps[c.step][c.idle[0]]; t.Fails > 0 && t.Worker == s.w.ID && len(e.order) > 1 {
		return false
	}
	most := len(c.idle)
	if st.MaxPerWorker > 0 {
		most = min(most, st.MaxPerWorker-placedOn(c, s.w))
	}
	s.fit, s.more, s.cost = fitCount(s.free.Sub(e.heldForOthers(p.now, s.w, c)), size, most), 0, s.rank
	if st.DataRack != "" && s.w.Rack != st.DataRack {
		s.cost += farWeight
	}
	return most > 0
}

// placedOn counts the tasks of the step on a worker.
func placedOn(c candidate, w *worker) int {
	n := 0
	for i := range c.round.Steps[c.step] {
		if t := &c.round.Steps[c.step][i]; t.Phase == flow.Placed && t.Worker == w.ID {
			n++
		}
	}
	return n
}

// anySeats gives workers for a step that needs no tickets: those with room first,
// as many as suffice.
func (e *Engine) anySeats(p *pass, c candidate, st *flow.Step, pol flow.Policy, need int) []*seat {
	var out []*seat
	sum := 0
	full := e.walkSeats(p, c, st, pol, func(s *seat) bool {
		out = append(out, s)
		// The order holds for any step, unless where it runs matters.
		sum += s.fit
		return sum < need || st.DataRack != "" || st.OneRack
	})
	if sum >= need && st.DataRack == "" && !st.OneRack {
		return out
	}
	return ordered(append(out, full...), c, st)
}

// walkSeats calls visit with the seats that have room for a task of the step, best
// first, until it gives false. If it never does, the seats without room are given.
func (e *Engine) walkSeats(p *pass, c candidate, st *flow.Step, pol flow.Policy, visit func(s *seat) bool) (full []*seat) {
	ended := false
	take := func(w *worker) bool {
		s := p.seat(w)
		switch {
		case s == nil || !e.look(p, c, st, pol, s):
		case s.fit == 0:
			full = append(full, s)
		default:
			ended = !visit(s)
		}
		return !ended
	}
	from := levelOf(taskSize(st).CPU)
	e.index.walk(from, levels, take)
	if ended {
		return nil
	}
	e.index.walk(0, from, take)
	return full
}

// knownSeats gives the workers that are known to be allowed, and those of them
// whose tickets hold.
func (e *Engine) knownSeats(p *pass, c candidate, st *flow.Step, pol flow.Policy, a *stepAdvice) (ready, known []*seat) {
	for id := range a.good {
		w := e.workers[id]
		if w == nil {
			continue
		}
		if s := p.seat(w); s != nil && e.look(p, c, st, pol, s) {
			known = append(known, s)
		}
	}
	sort.Slice(known, func(i, k int) bool { return known[i].w.ID < known[k].w.ID })
	known = ordered(known, c, st)
	for _, s := range known {
		if t := a.good[s.w.ID]; t.boot == s.w.boot && p.now.Before(t.to) && s.fit > 0 {
			ready = append(ready, s)
		}
	}
	return ready, known
}

// ordered sorts seats: those with room first, the best first.
func ordered(seats []*seat, c candidate, st *flow.Step) []*seat {
	sort.SliceStable(seats, func(i, k int) bool {
		if (seats[i].fit > 0) != (seats[k].fit > 0) {
			return seats[i].fit > 0
		}
		return seats[i].cost < seats[k].cost
	})
	if st.OneRack {
		return oneRackFirst(seats, len(c.idle))
	}
	return seats
}

func (w *worker) has(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return w.Kind == label || w.Rack == label
}

func fitCount(free, size work.Size, most int) int {
	n := int64(most)
	if free.CPU < 0 || free.Memory < 0 || free.Accelerators < 0 {
		return 0
	}
	if size.CPU > 0 {
		n = min(n, free.CPU/size.CPU)
	}
	if size.Memory > 0 {
		n = min(n, free.Memory/size.Memory)
	}
	if size.Accelerators > 0 {
		n = min(n, free.Accelerators/size.Accelerators)
	}
	return int(n)
}

// oneRackFirst puts the workers of the rack first that holds all tasks with the
// best mean rank, if there is one.
func oneRackFirst(seats []*seat, need int) []*seat {
	fit, sum := map[string]int{}, map[string]float64{}
	for _, s := range seats {
		n := min(s.fit, need-fit[s.w.Rack])
		fit[s.w.Rack] += n
		sum[s.w.Rack] += float64(n) * s.cost
	}
	best, bestRank := "", math.Inf(1)
	for rack, n := range fit {
		if r := sum[rack] / float64(max(n, 1)); n >= need && (r < bestRank || (r == bestRank && rack < best)) {
			best, bestRank = rack, r
		}
	}
	if best == "" {
		return seats
	}
	sort.SliceStable(seats, func(i, k int) bool { return seats[i].w.Rack == best && seats[k].w.Rack != best })
	return seats
}

func total(seats []*seat) int {
	n := 0
	for _, s := range seats {
		n += s.fit
	}
	return n
}
