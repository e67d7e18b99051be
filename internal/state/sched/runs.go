package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of orders.
const (
	// maxStartAttempts bounds repeats of a start that got no answer; a worker that
	// answers late answers a repeat at once as often as not.
	maxStartAttempts = 4
	// slowStartThreshold is the time from the decision beyond which a start is logged by
	// itself: several appends and calls.
	slowStartThreshold = 150 * time.Millisecond
	// stopRetryPause is the pause between two tries of a stop that got no answer, and
	// stopRetryPauseUnreachable the same for a worker that does not answer holds either.
	stopRetryPause            = 400 * time.Millisecond
	stopRetryPauseUnreachable = 2 * time.Second
)

// run is one start of a task that is not known to have ended.
type run struct {
	id     TaskID
	job    *job
	task   *flow.Task
	number int
	worker *worker
	size   work.Size

	placedAt        time.Time
	adopted         bool // placed by an earlier leader
	startSent       bool // a start may have reached the worker
	ordersInFlight  int  // starts and stops under way
	startAttempts   int
	startUnanswered bool // a start got no answer

	confirmed     bool // the worker accepted or listed it
	startedAt     time.Time
	confirmedPoll uint64 // holds issued up to the confirmation

	stopReason    string // the reason for a stop, empty for none
	stopSentAt    time.Time
	stopAcked     bool
	stopAckedPoll uint64 // holds issued up to the stop's answer
	pollAtOnce    bool   // the next hold must answer at once
	speedPercent  int    // share of its speed at which it works
	ticket        string
	ticketExpires time.Time
}

func (e *Engine) newRun(now time.Time, j *job, id TaskID, t *flow.Task, w *worker) *run {
	st := &j.Steps[id.Step]
	size := taskSize(st)
	r := &run{id: id, job: j, task: t, number: t.Run, worker: w, size: size, placedAt: now, speedPercent: fullSpeedPercent}
	w.runs[id] = r
	w.used = w.used.Add(size)
	e.index.update(w)
	j.runs[id] = r
	e.checkNow(w)
	return r
}

// adoptRun takes over a run that an earlier leader recorded.
func (e *Engine) adoptRun(j *job, id TaskID, t *flow.Task) {
	w := e.ensureWorker(t.Worker)
	r := e.newRun(e.startedAt, j, id, t, w)
	r.adopted, r.startSent, r.speedPercent = true, true, unknownSpeedPercent
	if j.State.Final() {
		r.stopReason = j.State.String()
	}
}

// sendSavedStart sends the start of a run whose record is stored.
func (e *Engine) sendSavedStart(now time.Time, r *run) {
	switch {
	case r.stopReason != "":
		e.endWithoutResult(now, r, "not ordered: "+r.stopReason)
	case !r.worker.listed || r.worker.Draining || !r.worker.reachable():
		e.endWithoutResult(now, r, "not ordered: the worker is leaving or silent")
	case r.ticket != "" && now.After(r.ticketExpires):
		e.endWithoutResult(now, r, "not ordered: the ticket expired")
	default:
		e.sendStart(now, r)
	}
}

func (e *Engine) sendStart(now time.Time, r *run) {
	r.startSent = true
	r.ordersInFlight++
	r.startAttempts++
	e.out.Orders = append(e.out.Orders, Order{
		Kind: OrderStart, Worker: r.worker.ID, Addr: r.worker.Addr, Task: r.id, Run: r.number, Payload: r.job.Payload,
		Saved: r.task.Saved, Ticket: r.ticket, Until: e.grantLease(now, r.worker),
	})
}

// stopRun ends a run; its capacity stays taken until the end is certain.
func (e *Engine) stopRun(now time.Time, r *run, reason string) {
	if r.stopReason != "" {
		return
	}
	r.stopReason = reason
	e.checkNow(r.worker)
	if r.startSent {
		e.sendStop(now, r)
	}
}

func (e *Engine) sendStop(now time.Time, r *run) {
	r.ordersInFlight++
	r.stopSentAt = now
	e.addEvent("stop", r.id, r.number, r.worker.ID, r.stopReason, now.Sub(r.placedAt))
	e.out.Orders = append(e.out.Orders, Order{Kind: OrderStop, Worker: r.worker.ID, Addr: r.worker.Addr, Task: r.id, Run: r.number})
}

func (e *Engine) checkRun(now time.Time, r *run) {
	if r.ordersInFlight > 0 || !r.startSent {
		return
	}
	switch {
	case r.stopReason != "" && !r.stopAcked:
		pause := stopRetryPause
		if !r.worker.reachable() {
			pause = stopRetryPauseUnreachable
		}
		if now.Sub(r.stopSentAt) >= pause {
			e.sendStop(now, r)
		}
	case r.startUnanswered && r.stopReason == "":
		if r.startAttempts < maxStartAttempts && (r.ticket == "" || now.Before(r.ticketExpires)) {
			e.sendStart(now, r)
		} else {
			e.stopRun(now, r, "the start was not answered")
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
	r := e.findRun(o)
	if r == nil {
		return
	}
	r.ordersInFlight--
	e.checkNow(r.worker)
	switch a {
	case AnswerOK:
		if age := now.Sub(r.placedAt); !r.confirmed && age > slowStartThreshold {
			e.addEvent("started", r.id, r.number, r.worker.ID, "", age)
		}
		r.startUnanswered = false
		e.confirmRun(now, r)
	case AnswerOld:
		e.addEvent("start-answer", r.id, r.number, r.worker.ID, a.String(), took)
		e.confirmRun(now, r)
		r.pollAtOnce = true
	case AnswerFenced:
		e.out.Fenced = true
		e.addEvent("start-answer", r.id, r.number, r.worker.ID, a.String(), took)
	case AnswerNone:
		e.addEvent("start-answer", r.id, r.number, r.worker.ID, a.String(), took)
		r.startUnanswered = true
		e.checkRun(now, r)
	default:
		e.addEvent("start-answer", r.id, r.number, r.worker.ID, a.String(), took)
		e.handleStartRefusal(now, r, a)
	}
}

func (e *Engine) confirmRun(now time.Time, r *run) {
	if !r.confirmed {
		r.confirmed, r.startedAt = true, now
		r.worker.checkStallsBy(now.Add(overdueSlack))
	}
	if r.job.State == flow.Queued {
		r.job.State = flow.Active
		e.unsavedJobs[r.job] = true
		e.addEvent(EventBegun, r.id, r.number, r.worker.ID, "", now.Sub(r.job.addedAt))
	}
	r.confirmedPoll = e.pollsSent
}

func (e *Engine) handleStartRefusal(now time.Time, r *run, a Answer) {
	switch a {
	case AnswerTicket:
		e.invalidateTicket(r)
	case AnswerSick:
		r.worker.excludedUntil = now.Add(unhealthyPause)
	case AnswerRoom:
		r.worker.excludedUntil = now.Add(noCapacityPause)
	}
	if r.startUnanswered || r.confirmed {
		// An earlier try got no answer and may still be carried out.
		e.stopRun(now, r, "the start was refused after an unanswered one")
		return
	}
	r.job.blockedUntil = now.Add(refusalPause)
	e.endWithoutResult(now, r, "start refused: "+a.String())
}

// Pauses after refused starts.
const (
	unhealthyPause  = 2 * time.Second        // of a worker that says it is unwell
	noCapacityPause = 300 * time.Millisecond // of a worker that has less room than thought
	refusalPause    = 20 * time.Millisecond  // of a job, so that a refusal is not repeated in a loop
)

// Stopped takes the answer to a stop.
func (e *Engine) Stopped(now time.Time, o Order, a Answer, took time.Duration) {
	r := e.findRun(o)
	if r == nil {
		return
	}
	r.ordersInFlight--
	e.checkNow(r.worker)
	switch a {
	case AnswerOK, AnswerOld:
		r.stopAcked, r.stopAckedPoll = true, e.pollsSent
		r.pollAtOnce = true
		r.worker.nextPoll = now
	case AnswerFenced:
		e.out.Fenced = true
	case AnswerNone:
		e.addEvent("stop-answer", r.id, r.number, r.worker.ID, a.String(), took)
	}
}

func (e *Engine) findRun(o Order) *run {
	w := e.workers[o.Worker]
	if w == nil {
		return nil
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return r
	}
	return nil
}

// removeRun removes a run whose end is certain.
func (e *Engine) removeRun(r *run) {
	delete(r.worker.runs, r.id)
	r.worker.used = r.worker.used.Sub(r.size)
	e.index.update(r.worker)
	delete(r.job.runs, r.id)
	e.checkNow(r.worker)
	e.unsavedJobs[r.job] = true
	if !r.job.State.Final() {
		e.pendingJobs[r.job] = true
	}
}

// endWithoutResult ends a run that left no result.
func (e *Engine) endWithoutResult(now time.Time, r *run, reason string) {
	e.addEvent("run-void", r.id, r.number, r.worker.ID, reason, now.Sub(r.placedAt))
	e.removeRun(r)
	if r.task.Phase == flow.Placed {
		r.task.Phase = flow.Idle
	}
	e.cleanUpAfterRun(now, r, reason)
}

// cleanUpAfterRun goes on with the job after one of its runs has ended.
func (e *Engine) cleanUpAfterRun(now time.Time, r *run, reason string) {
	j := r.job
	if j.State.Final() {
		if len(j.runs) == 0 {
			e.discardProgress(j)
		}
		return
	}
	if j.Steps[r.id.Step].Gang && r.task.Phase == flow.Idle {
		e.stopGang(now, j, r.id, reason)
	}
}

// stopGang stops the other members of a gang that has lost one.
func (e *Engine) stopGang(now time.Time, j *job, id TaskID, reason string) {
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
			e.stopRun(now, w.runs[other], "a member of the gang is gone: "+reason)
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
