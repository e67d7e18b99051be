package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Bounds of questions to the placement service.
const (
	maxAsked = 30 // workers named in one call; the objective of a job counts one such call a step
	minAsked = 4
	// cheapShare is the share of a call's fixed time that naming further workers
	// may add: a second call would cost all of it.
	cheapShare = 0.25
	// askSlack is what a call may take beyond its computed time.
	askSlack = 400 * time.Millisecond
	// slowAdvice is the time beyond which an answer is logged.
	slowAdvice = 200 * time.Millisecond
	// ticketMargin is left of a ticket's validity for the start to travel.
	ticketMargin = 120 * time.Millisecond
	// quickCall tells short calls, for which a third of the callers is kept free,
	// from long ones.
	quickCall = 30 * time.Millisecond
	// quickQueue and longQueue are the longest waits at a caller that short and
	// long calls join: a ticket that comes late is of no use.
	quickQueue = 300 * time.Millisecond
	longQueue  = 60 * time.Millisecond
	// askPause follows a call that failed, for its step.
	askPause = 100 * time.Millisecond
	// probePause is the pause between two probes of a caller that failed, doubled
	// with each further failure up to probePauseMax.
	probePause    = 200 * time.Millisecond
	probePauseMax = time.Second
)

// stepAdvice is what is known of the placement of one step.
type stepAdvice struct {
	good    map[string]ticket
	bad     map[string]bool
	asking  bool
	askedAt time.Time
	askedBy *caller
	pauseTo time.Time
	heldOn  []*worker // room is kept there for the step
	yieldAt time.Time // tasks of lower priority may be stopped again
}

type ticket struct {
	value string
	boot  int64
	to    time.Time
}

// caller is an instance that asks the placement service for the leader.
type caller struct {
	name   string
	busyTo time.Time            // when its calls under way should be answered
	calls  map[*stepAdvice]bool // under way
	// well says that its newest call or probe was answered. Steps wait only for
	// callers that are well; the others are probed.
	well     bool
	failures int // in a row
	probing  bool
	probeAt  time.Time
}

// SetCallers names the instances that can ask the placement service; own is the
// leader's.
func (e *Engine) SetCallers(own string, names []string) {
	present := map[string]bool{}
	for _, n := range names {
		present[n] = true
		if e.callers[n] == nil {
			e.callers[n] = &caller{name: n, calls: map[*stepAdvice]bool{}, well: n == own}
		}
	}
	e.callerOrder = e.callerOrder[:0]
	for n, c := range e.callers {
		if !present[n] {
			delete(e.callers, n)
			continue
		}
		e.callerOrder = append(e.callerOrder, c)
	}
	sort.Slice(e.callerOrder, func(i, k int) bool { return e.callerOrder[i].name < e.callerOrder[k].name })
}

func (j *job) stepAdvice(round, step int) *stepAdvice {
	if j.advice[round] == nil {
		j.advice[round] = map[int]*stepAdvice{}
	}
	a := j.advice[round][step]
	if a == nil {
		a = &stepAdvice{good: map[string]ticket{}, bad: map[string]bool{}}
		j.advice[round][step] = a
	}
	return a
}

// caller picks the instance whose answer to a call of that length comes first,
// or nil if none is worth waiting for. Some are kept free of long calls.
func (e *Engine) caller(now time.Time, length time.Duration) *caller {
	healthy := make([]*caller, 0, len(e.callerOrder))
	for _, c := range e.callerOrder {
		if c.well {
			healthy = append(healthy, c)
		}
	}
	wait := quickQueue
	if length > quickCall {
		healthy, wait = healthy[(len(healthy)+1)/3:], longQueue
	}
	var best *caller
	for _, c := range healthy {
		if best == nil || c.busyTo.Before(best.busyTo) {
			best = c
		}
	}
	if best == nil || best.busyTo.Sub(now) > wait {
		return nil
	}
	return best
}

// ask sends a question about a step and reports whether it could.
func (e *Engine) ask(now time.Time, j *job, round, step int, adv flow.Advice, workers []string) bool {
	a := j.stepAdvice(round, step)
	if a.asking || now.Before(a.pauseTo) || len(workers) == 0 {
		return false
	}
	length := callLength(adv, len(workers))
	c := e.caller(now, length)
	if c == nil {
		return false
	}
	if c.busyTo.Before(now) {
		c.busyTo = now
	}
	c.busyTo = c.busyTo.Add(length)
	c.calls[a] = true
	a.asking, a.askedAt, a.askedBy = true, now, c
	e.out.Asks = append(e.out.Asks, Ask{
		Caller: c.name, Job: j.ID, Round: round, Step: step, Workers: workers, Wait: c.busyTo.Sub(now) + askSlack,
		Quick: length <= quickCall,
	})
	return true
}

// cheapNames gives how many workers a call names at least.
func cheapNames(adv flow.Advice) int {
	if adv.WorkerMs <= 0 {
		return maxAsked
	}
	return max(minAsked, min(maxAsked, int(cheapShare*adv.CallMs/adv.WorkerMs)))
}

// callLength gives how long a call about n workers takes.
func callLength(adv flow.Advice, n int) time.Duration {
	return time.Duration((adv.CallMs + adv.WorkerMs*float64(n)) * float64(time.Millisecond))
}

// Advised takes the answer of the placement service: a ticket for each worker
// that may run the step. ok is false if there was no answer.
func (e *Engine) Advised(now time.Time, q Ask, tickets map[string]string, valid time.Duration, ok bool) {
	j := e.jobs[q.Job]
	if j == nil || j.advice == nil || j.advice[q.Round] == nil || j.advice[q.Round][q.Step] == nil {
		e.callerAnswered(now, q.Caller, nil, ok)
		return
	}
	a := j.stepAdvice(q.Round, q.Step)
	e.callerAnswered(now, q.Caller, a, ok)
	id := TaskID{Job: q.Job, Round: q.Round, Step: q.Step}
	if !ok {
		a.pauseTo = now.Add(askPause)
		e.event("advice-failed", id, 0, q.Caller, "", now.Sub(a.askedAt))
		return
	}
	known := e.queue(j.Queue)
	for _, w := range q.Workers {
		e.noteAdvice(a, known, w, tickets, now.Add(valid-ticketMargin))
	}
	if age := now.Sub(a.askedAt); age > slowAdvice {
		e.event("advised", id, 0, q.Caller, "", age)
	}
}

// callerAnswered notes whether a caller answered the call about a step. All steps
// that wait for a caller that does not are asked about elsewhere.
func (e *Engine) callerAnswered(now time.Time, name string, a *stepAdvice, ok bool) {
	c := e.callers[name]
	if a != nil && (a.askedBy == nil || a.askedBy == c || a.askedBy.name == name) {
		a.asking, a.askedBy = false, nil
	}
	if c == nil {
		return
	}
	delete(c.calls, a)
	if ok {
		c.well, c.failures = true, 0
		if len(c.calls) == 0 {
			c.busyTo = now
		}
		return
	}
	e.callerFailed(now, c)
}

func (e *Engine) callerFailed(now time.Time, c *caller) {
	c.well = false
	c.probeAt = now.Add(min(probePause<<min(c.failures, 4), probePauseMax))
	c.failures++
	for a := range c.calls {
		if a.askedBy == c {
			a.asking, a.askedBy = false, nil
		}
	}
	clear(c.calls)
	c.busyTo = now
}

// probeCallers asks how those callers are that are not known to be well.
func (e *Engine) probeCallers(now time.Time) {
	for _, c := range e.callerOrder {
		if !c.well && !c.probing && !now.Before(c.probeAt) {
			c.probing = true
			e.out.Probes = append(e.out.Probes, c.name)
		}
	}
}

// Probed takes the answer to a probe.
func (e *Engine) Probed(now time.Time, name string, ok bool) {
	c := e.callers[name]
	if c == nil {
		return
	}
	c.probing = false
	if !ok {
		e.callerFailed(now, c)
		return
	}
	if !c.well {
		e.event("caller-well", TaskID{}, 0, name, "", 0)
	}
	c.well, c.failures = true, 0
}

// noteAdvice takes the answer about one worker; only the first one about it says
// something of the queue.
func (e *Engine) noteAdvice(a *stepAdvice, known *QueueStats, id string, tickets map[string]string, to time.Time) {
	_, wasGood := a.good[id]
	first := !wasGood && !a.bad[id]
	value, good := tickets[id]
	w := e.workers[id]
	switch {
	case good && w != nil:
		a.good[id] = ticket{value: value, boot: w.boot, to: to}
	case !good:
		a.bad[id] = true
	}
	if !first {
		return
	}
	share := 0.0
	if good {
		share = 1
	}
	known.Allowed += queueWeight * (share - known.Allowed)
}

func (e *Engine) dropTicket(r *run) {
	if m := r.job.advice[r.id.Round]; m != nil && m[r.id.Step] != nil {
		if t, ok := m[r.id.Step].good[r.w.ID]; ok {
			t.to = time.Time{}
			m[r.id.Step].good[r.w.ID] = t
		}
	}
}
