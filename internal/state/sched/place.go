package sched

import (
	"math"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Weights of a worker's rank, as logs of ratios of run time.
const (
	// packWeight prefers the fuller of two workers that are equally fast.
	packWeight = 0.3
	// farWeight is the cost of running away from a task's data: the usual factor is 2.
	farWeight = 0.7
	// tooSlow keeps tasks from a worker on which they take five times the mean.
	tooSlow        = 1.6
	tooSlowSamples = 3
)

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
	seats  []*seat // best first
	of     map[*worker]*seat
	lowest int       // the lowest priority (highest number) of any job
	most   work.Size // more than any seat has free in each resource
	ranked int       // steps for which workers were looked at
}

// maxRanked bounds the steps for which one pass looks at workers, so that a long
// queue costs no more than a short one; the pass after it goes on.
const maxRanked = 48

// widest notes the most that any seat has free.
func (p *pass) widest() {
	p.most = work.Size{}
	for _, s := range p.seats {
		p.most = p.most.Max(s.free)
	}
}

// newPass gives the workers that are open for starts, best first.
func (e *Engine) newPass(now time.Time) *pass {
	p := &pass{now: now, of: make(map[*worker]*seat, len(e.order))}
	for _, w := range e.order {
		if !w.usable(now) {
			continue
		}
		s := &seat{w: w, free: w.Capacity.Sub(w.used), rank: w.Slow}
		if w.Capacity.CPU > 0 {
			s.rank += packWeight * float64(s.free.CPU) / float64(w.Capacity.CPU)
		}
		if w.Samples >= tooSlowSamples && w.Slow > tooSlow {
			s.rank += tooSlow
		}
		p.seats = append(p.seats, s)
		p.of[w] = s
	}
	sort.SliceStable(p.seats, func(i, k int) bool { return p.seats[i].rank < p.seats[k].rank })
	p.widest()
	return p
}

// Decide places what can start now and asks for the advice that is missing.
func (e *Engine) Decide(now time.Time) {
	if e.conf == nil {
		return
	}
	waiting := e.waiting(now)
	if len(waiting) == 0 {
		return
	}
	p := e.newPass(now)
	for _, c := range waiting {
		p.lowest = max(p.lowest, c.prio)
	}
	for i := range e.conf.Queues {
		p.lowest = max(p.lowest, e.conf.Queues[i].Policy.Priority)
	}
	for _, c := range waiting {
		if p.ranked >= maxRanked {
			return
		}
		// Room is kept for a gang before any of its tasks fits.
		st := &c.j.Steps[c.step]
		if (st.Gang || c.prio < p.lowest || taskSize(st).Within(p.most)) && e.promising(p, c) {
			e.placeStep(p, c)
		}
	}
}

// promising reports whether a look at the workers can lead to a start or to a
// question: not while an answer is under way and no ticket is at hand.
func (e *Engine) promising(p *pass, c candidate) bool {
	adv := e.policy(c.j).Advice
	if !adv.Needed() {
		return true
	}
	a := c.j.stepAdvice(c.round.Number, c.step)
	for _, t := range a.good {
		if p.now.Before(t.to) {
			return true
		}
	}
	if a.asking {
		// A gang's room is kept while the answer is under way.
		return c.j.Steps[c.step].Gang && len(a.good) > 0
	}
	return !p.now.Before(a.pauseTo) && e.caller(p.now, callLength(adv, minAsked)) != nil
}

// usable reports whether tasks may start on the worker. After a restart its size
// is known only when the list tells of the new incarnation.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.Draining && w.reachable() && w.strays == 0 && !now.Before(w.benchedTo) &&
		(w.Boot == 0 || w.Boot == w.boot)
}

// candidate is a step with tasks that may start.
type candidate struct {
	j     *job
	round *flow.Round
	step  int
	idle  []int
	class int // 0 in time, 1 late, 2 too late to be of use
	prio  int
}

// lateFactor is how many objectives after its acceptance a job is of no use.
const lateFactor = 3

// waiting gives the steps with tasks that may start, in the order in which they
// are looked at. A job of which none waits is not open any more, until one of its
// tasks or steps changes.
func (e *Engine) waiting(now time.Time) []candidate {
	var list []candidate
	for j := range e.open {
		found := len(list)
		for _, r := range j.Progress.Rounds {
			for s := range r.Steps {
				if idle := e.idle(j, r, s); len(idle) > 0 {
					list = append(list, candidate{j: j, round: r, step: s, idle: idle, class: lateness(now, j, r), prio: e.policy(j).Priority})
				}
			}
		}
		if len(list) == found {
			delete(e.open, j)
		}
		if now.Before(j.blockTil) {
			list = list[:found]
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].before(&list[k]) })
	return list
}

// before tells which of two steps is looked at first: by lateness, urgency, and
// the order in which the jobs came.
func (c *candidate) before(d *candidate) bool {
	switch {
	case c.class != d.class:
		return c.class < d.class
	case c.prio != d.prio:
		return c.prio < d.prio
	case c.j != d.j:
		return c.j.seq < d.j.seq
	case c.round != d.round:
		return c.round.Number < d.round.Number
	}
	return c.step < d.step
}

func lateness(now time.Time, j *job, r *flow.Round) int {
	since := max(j.AcceptedMs, j.DueMs(r.Number))
	age := now.UnixMilli() - since
	switch {
	case j.objMs <= 0 || age <= j.objMs:
		return 0
	case age <= lateFactor*j.objMs:
		return 1
	}
	return 2
}

// idle gives the tasks of a step that may start. A gang starts as a whole.
func (e *Engine) idle(j *job, r *flow.Round, s int) []int {
	var idle []int
	for i := range r.Steps[s] {
		if r.Steps[s][i].Phase == flow.Idle {
			idle = append(idle, i)
		}
	}
	if len(idle) == 0 || !r.Ready(j.Spec, s) {
		return nil
	}
	if j.Steps[s].Gang && len(idle) != len(r.Steps[s]) {
		return nil
	}
	return idle
}

// placeStep places the tasks of a step where its tickets allow, and does what
// brings the rest nearer to their start: it asks for tickets, makes room, or
// keeps room free.
func (e *Engine) placeStep(p *pass, c candidate) {
	st := &c.j.Steps[c.step]
	pol := e.policy(c.j)
	p.ranked++
	defer p.widest()
	need := len(c.idle)
	if !pol.Advice.Needed() {
		seats := e.anySeats(p, c, st, pol, need)
		if n := e.place(p, c, st, seats, nil); n < need {
			e.makeRoom(p, c, st, seats, need-n)
		}
		return
	}
	a := c.j.stepAdvice(c.round.Number, c.step)
	ready, known := e.knownSeats(p, c, st, pol, a)
	if need -= e.place(p, c, st, ready, a); need == 0 {
		return
	}
	chosen := e.makeRoom(p, c, st, known, need)
	if a.asking {
		return
	}
	names := stale(p, a, chosen, st.Gang)
	if len(chosen) == 0 {
		names = e.unknown(p, c, st, pol, a, known, need)
	}
	if len(names) > 0 {
		e.ask(p.now, c.j, c.round.Number, c.step, pol.Advice, names)
	}
}

// stale names those of the chosen workers whose tickets must be fetched. The
// tickets of a gang are fetched together, so that none expires before the last.
func stale(p *pass, a *stepAdvice, chosen []*seat, gang bool) []string {
	var names []string
	old := 0
	for _, s := range chosen {
		valid := a.good[s.w.ID].boot == s.w.boot && p.now.Before(a.good[s.w.ID].to)
		if !valid {
			old++
		}
		if (!valid || gang) && len(names) < maxAsked {
			names = append(names, s.w.ID)
		}
	}
	if old == 0 {
		return nil
	}
	return names
}

// unknown names workers to ask about for the first time: as many as should hold
// the tasks that the known ones can't, by the queue's share of allowed workers,
// and more while naming them costs little beside the call itself.
func (e *Engine) unknown(p *pass, c candidate, st *flow.Step, pol flow.Policy, a *stepAdvice, known []*seat, need int) []string {
	room := 0.0
	if st.Gang {
		// Asked about again once room comes free; what is missing is more workers.
		for _, s := range known {
			room += float64(s.fit + s.more)
		}
	}
	share := max(e.queue(c.j.Queue).Allowed, 0.05)
	least := cheapNames(pol.Advice)
	var names, full []string
	for _, s := range p.seats {
		if len(names) >= maxAsked || (room >= float64(need) && len(names) >= least) {
			return names
		}
		if _, ok := a.good[s.w.ID]; ok || a.bad[s.w.ID] || !e.look(p, c, st, pol, s) {
			continue
		}
		if s.fit == 0 {
			full = append(full, s.w.ID)
			continue
		}
		names = append(names, s.w.ID)
		room += float64(s.fit) * share
	}
	for _, id := range full {
		if len(names) >= maxAsked || room >= float64(need) {
			break
		}
		names = append(names, id)
		room += share
	}
	return names
}

func total(seats []*seat) int {
	n := 0
	for _, s := range seats {
		n += s.fit
	}
	return n
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
	// A task that failed goes elsewhere if it can, in case its worker is at fault.
	if t := &c.round.Steps[c.step][c.idle[0]]; t.Fails > 0 && t.Worker == s.w.ID && len(p.seats) > 1 {
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
	var out, full []*seat
	sum := 0
	for _, s := range p.seats {
		if !e.look(p, c, st, pol, s) {
			continue
		}
		if s.fit == 0 {
			full = append(full, s)
			continue
		}
		out = append(out, s)
		// The order holds for any step, unless where it runs matters.
		if sum += s.fit; sum >= need && st.DataRack == "" && !st.OneRack {
			return out
		}
	}
	return ordered(append(out, full...), c, st)
}

// knownSeats gives the workers that are known to be allowed, and those of them
// whose tickets hold.
func (e *Engine) knownSeats(p *pass, c candidate, st *flow.Step, pol flow.Policy, a *stepAdvice) (ready, known []*seat) {
	for id := range a.good {
		w := e.workers[id]
		if w == nil {
			continue
		}
		if s := p.of[w]; s != nil && e.look(p, c, st, pol, s) {
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

// place places idle tasks of the step on the seats and gives how many.
func (e *Engine) place(p *pass, c candidate, st *flow.Step, seats []*seat, a *stepAdvice) int {
	if st.Gang && total(seats) < len(c.idle) {
		return 0
	}
	run := 0
	if st.Gang {
		for _, i := range c.idle {
			run = max(run, c.round.Steps[c.step][i].Run)
		}
	}
	size := taskSize(st)
	placed := 0
	for _, s := range seats {
		for ; s.fit > 0 && placed < len(c.idle); placed++ {
			i := c.idle[placed]
			t := &c.round.Steps[c.step][i]
			if !st.Gang {
				run = t.Run
			}
			t.Phase, t.Run, t.Worker, t.Boot = flow.Placed, run+1, s.w.ID, s.w.boot
			r := e.newRun(p.now, c.j, TaskID{c.j.ID, c.round.Number, c.step, i}, t, s.w)
			if a != nil {
				r.ticket, r.ticketTo = a.good[s.w.ID].value, a.good[s.w.ID].to
			}
			e.starts = append(e.starts, r)
			s.fit--
			s.free = s.free.Sub(size)
			e.event("placed", r.id, r.n, s.w.ID, "", p.now.Sub(c.j.seenAt))
		}
	}
	if placed > 0 {
		e.release(c)
		e.dirty[c.j] = true
	}
	return placed
}
