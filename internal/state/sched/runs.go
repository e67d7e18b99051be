package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of orders.
const (
	// maxStartTries bounds repeats of a start that got no answer; a worker that
	// answers late answers a repeat at once as often as not.
	maxStartTries = 4
	// slowStart is the time from the decision beyond which a start is logged by
	// itself: several appends and calls.
	slowStart = 150 * time.Millisecond
	// stopRetry is the pause between two tries of a stop that got no answer, and
	// stopRetrySilent the same for a worker that does not answer holds either.
	stopRetry       = 400 * time.Millisecond
	stopRetrySilent = 2 * time.Second
)

// run is one start of a task that is not known to have ended.
type run struct {
	id   TaskID
	job  *job
	task *flow.Task
	n    int
	w    *worker
	size work.Size

	placedAt  time.Time
	inherited bool // placed by an earlier leader
	ordered   bool // a start may have reached the worker
	calls     int  // starts and stops under way
	tries     int
	unsure    bool // a start got no answer

	confirmed       bool // the worker accepted or listed it
	startedAt       time.Time
	confirmedSerial uint64 // holds issued up to the confirmation

	stopping      string // the reason for a stop, empty for none
	stopAt        time.Time
	stopAcked     bool
	stoppedSerial uint64 // holds issued up to the stop's answer
	checkNext     bool   // the next hold must answer at once
	percent       int    // share of its speed at which it works
	ticket        string
	ticketTo      time.Time
}

func (e *Engine) newRun(now time.Time, j *job, id TaskID, t *flow.Task, w *worker) *run {
	st := &j.Steps[id.Step]
	size := taskSize(st)
	r := &run{id: id, job: j, task: t, n: t.Run, w: w, size: size, placedAt: now, percent: fullPace}
	w.runs[id] = r
	w.used = w.used.Add(size)
	e.index.update(w)
	j.runs[id] = r
	e.touch(w)
	return r
}

// inherit takes over a run that an earlier leader recorded.
func (e *Engine) inherit(j *job, id TaskID, t *flow.Task) {
	w := e.worker(t.Worker)
	r := e.newRun(e.began, j, id, t, w)
	r.inherited, r.ordered, r.percent = true, true, paceUnknown
	if j.State.Final() {
		r.stopping = j.State.String()
	}
}

// sendRecorded sends the start of a run whose record is stored.
func (e *Engine) sendRecorded(now time.Time, r *run) {
	switch {
	case r.stopping != "":
		e.void(now, r, "not ordered: "+r.stopping)
	case !r.w.listed || r.w.Draining || !r.w.reachable():
		e.void(now, r, "not ordered: the worker is leaving or silent")
	case r.ticket != "" && now.After(r.ticketTo):
		e.void(now, r, "not ordered: the ticket expired")
	default:
		e.sendStart(now, r)
	}
}

func (e *Engine) sendStart(now time.Time, r *run) {
	r.ordered = true
	r.calls++
	r.tries++
	e.out.Orders = append(e.out.Orders, Order{
		Kind: OrderStart, Worker: r.w.ID, Addr: r.w.Addr, Task: r.id, Run: r.n, Payload: r.job.Payload,
		Saved: r.task.Saved, Ticket: r.ticket, Until: e.until(now, r.w),
	})
}

// stop ends a run; its capacity stays taken until the end is certain.
func (e *Engine) stop(now time.Time, r *run, reason string) {
	if r.stopping != "" {
		return
	}
	r.stopping = reason
	e.touch(r.w)
	if r.ordered {
		e.sendStop(now, r)
	}
}

func (e *Engine) sendStop(now time.Time, r *run) {
	r.calls++
	r.stopAt = now
	e.event("stop", r.id, r.n, r.w.ID, r.stopping, now.Sub(r.placedAt))
	e.out.Orders = append(e.out.Orders, Order{Kind: OrderStop, Worker: r.w.ID, Addr: r.w.Addr, Task: r.id, Run: r.n})
}

func (e *Engine) tickRun(now time.Time, r *run) {
	if r.calls > 0 || !r.ordered {
		return
	}
	switch {
	case r.stopping != "" && !r.stopAcked:
		pause := stopRetry
		if !r.w.reachable() {
			pause = stopRetrySilent
		}
		if now.Sub(r.stopAt) >= pause {
			e.sendStop(now, r)
		}
	case r.unsure && r.stopping == "":
		if r.tries < maxStartTries && (r.ticket == "" || now.Before(r.ticketTo)) {
			e.sendStart(now, r)
		} else {
			e.stop(now, r, "the start was not answered")
		}
	}
}

// Answer is how a worker answered an order.
type Answer uint8

// The answers of workers.
const (
	AnswerNone    Answer = iota // none arrived: it may be carried out, also later
	AnswerOK                    //
	AnswerFenced                // a later leader has been there
	AnswerOld                   // that run or a later one ended there
	AnswerRefused               // certainly nothing was done
	AnswerRoom                  // certainly nothing was done: it does not fit
	AnswerTicket                // certainly nothing was done: the ticket does not hold
	AnswerSick                  // certainly nothing was done: the worker is unwell
	AnswerOther                 // another incarnation answers at the address
)

var answerNames = [...]string{"none", "ok", "fenced", "old run", "refused", "no room", "bad ticket", "unwell", "other incarnation"}

// String gives the answer's name.
func (a Answer) String() string { return answerNames[a] }

// Started takes the answer to a start.
func (e *Engine) Started(now time.Time, o Order, a Answer, took time.Duration) {
	r := e.find(o)
	if r == nil {
		return
	}
	r.calls--
	e.touch(r.w)
	switch a {
	case AnswerOK:
		if age := now.Sub(r.placedAt); !r.confirmed && age > slowStart {
			e.event("started", r.id, r.n, r.w.ID, "", age)
		}
		r.unsure = false
		e.confirm(now, r)
	case AnswerOld:
		e.event("start-answer", r.id, r.n, r.w.ID, a.String(), took)
		e.confirm(now, r)
		r.checkNext = true
	case AnswerFenced:
		e.out.Fenced = true
		e.event("start-answer", r.id, r.n, r.w.ID, a.String(), took)
	case AnswerNone:
		e.event("start-answer", r.id, r.n, r.w.ID, a.String(), took)
		r.unsure = true
		e.tickRun(now, r)
	default:
		e.event("start-answer", r.id, r.n, r.w.ID, a.String(), took)
		e.refused(now, r, a)
	}
}

func (e *Engine) confirm(now time.Time, r *run) {
	if !r.confirmed {
		r.confirmed, r.startedAt = true, now
		r.w.lookBy(now.Add(overdueSlack))
	}
	if r.job.State == flow.Queued {
		r.job.State = flow.Active
		e.dirty[r.job] = true
		e.event(EventBegun, r.id, r.n, r.w.ID, "", now.Sub(r.job.seenAt))
	}
	r.confirmedSerial = e.holds
}

func (e *Engine) refused(now time.Time, r *run, a Answer) {
	switch a {
	case AnswerTicket:
		e.dropTicket(r)
	case AnswerSick:
		r.w.benchedTo = now.Add(sickPause)
	case AnswerRoom:
		r.w.benchedTo = now.Add(roomPause)
	}
	if r.unsure || r.confirmed {
		// An earlier try got no answer and may still be carried out.
		e.stop(now, r, "the start was refused after an unanswered one")
		return
	}
	r.job.blockTil = now.Add(refusedPause)
	e.void(now, r, "start refused: "+a.String())
}

// Pauses after refused starts.
const (
	sickPause    = 2 * time.Second        // of a worker that says it is unwell
	roomPause    = 300 * time.Millisecond // of a worker that has less room than thought
	refusedPause = 20 * time.Millisecond  // of a job, so that a refusal is not repeated in a loop
)

// Stopped takes the answer to a stop.
func (e *Engine) Stopped(now time.Time, o Order, a Answer, took time.Duration) {
	r := e.find(o)
	if r == nil {
		return
	}
	r.calls--
	e.touch(r.w)
	switch a {
	case AnswerOK, AnswerOld:
		r.stopAcked, r.stoppedSerial = true, e.holds
		r.checkNext = true
		r.w.nextHold = now
	case AnswerFenced:
		e.out.Fenced = true
	case AnswerNone:
		e.event("stop-answer", r.id, r.n, r.w.ID, a.String(), took)
	}
}

func (e *Engine) find(o Order) *run {
	w := e.workers[o.Worker]
	if w == nil {
		return nil
	}
	if r := w.runs[o.Task]; r != nil && r.n == o.Run {
		return r
	}
	return nil
}

// drop removes a run whose end is certain.
func (e *Engine) drop(r *run) {
	delete(r.w.runs, r.id)
	r.w.used = r.w.used.Sub(r.size)
	e.index.update(r.w)
	delete(r.job.runs, r.id)
	e.touch(r.w)
	e.dirty[r.job] = true
	if !r.job.State.Final() {
		e.open[r.job] = true
	}
}

// void ends a run that left no result.
func (e *Engine) void(now time.Time, r *run, why string) {
	e.event("run-void", r.id, r.n, r.w.ID, why, now.Sub(r.placedAt))
	e.drop(r)
	if r.task.Phase == flow.Placed {
		r.task.Phase = flow.Idle
	}
	e.settle(now, r, why)
}

// settle goes on with the job after one of its runs has ended.
func (e *Engine) settle(now time.Time, r *run, why string) {
	j := r.job
	if j.State.Final() {
		if len(j.runs) == 0 {
			e.retire(j)
		}
		return
	}
	if j.Steps[r.id.Step].Gang && r.task.Phase == flow.Idle {
		e.stopGang(now, j, r.id, why)
	}
}

// stopGang stops the other members of a gang that has lost one.
func (e *Engine) stopGang(now time.Time, j *job, id TaskID, why string) {
	round := j.round(id.Round)
	if round == nil {
		return
	}
	for i := range round.Steps[id.Step] {
		t := &round.Steps[id.Step][i]
		if t.Phase != flow.Placed {
			continue
		}
		other := TaskID{id.Job, id.Round, id.Step, i}
		if w := e.workers[t.Worker]; w != nil && w.runs[other] != nil {
			e.stop(now, w.runs[other], "a member of the gang is gone: "+why)
		}
	}
}

func (j *job) round(n int) *flow.Round {
	for _, r := range j.Progress.Rounds {
		if r.Number == n {
			return r
		}
	}
	return nil
}
