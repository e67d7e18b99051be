package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// maxRanked bounds the steps for which one pass looks at workers, so that a long
// queue costs no more than a short one; the pass after it goes on.
const maxRanked = 48

// Decide places what can start now and asks for the advice that is missing.
func (e *Engine) Decide(now time.Time) {
	if e.conf == nil {
		return
	}
	waiting := e.waiting(now)
	if len(waiting) == 0 {
		return
	}
	p := &pass{now: now, of: map[*worker]*seat{}}
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
		if (st.Gang || c.prio < p.lowest || e.index.mayHold(taskSize(st))) && e.promising(p, c) {
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
	var names []string
	enough := func(least int) bool {
		return len(names) >= maxAsked || (room >= float64(need) && len(names) >= least)
	}
	full := e.walkSeats(p, c, st, pol, func(s *seat) bool {
		if _, ok := a.good[s.w.ID]; !ok && !a.bad[s.w.ID] {
			names = append(names, s.w.ID)
			room += float64(s.fit) * share
		}
		return !enough(least)
	})
	for _, s := range full {
		if enough(0) {
			break
		}
		if _, ok := a.good[s.w.ID]; !ok && !a.bad[s.w.ID] {
			names = append(names, s.w.ID)
			room += share
		}
	}
	return names
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
