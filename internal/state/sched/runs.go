package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/pairs"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of start and stop orders.
const (
	// maxStartAttempts bounds how often a start that gets no answer is sent. A
	// worker that answers one call late answers a repeat at once about as often
	// as not.
	maxStartAttempts = 4
	// slowStartThreshold is the time from placement to start beyond which a
	// start is reported as an event. It allows for several appends and calls.
	slowStartThreshold = 150 * time.Millisecond
	// stopRetryPause is the pause between two attempts of a stop that got no
	// answer, and stopRetryPauseUnreachable the same for a worker that does not
	// answer polls either.
	stopRetryPause            = 400 * time.Millisecond
	stopRetryPauseUnreachable = 2 * time.Second
)

// run is one start of a task on a worker that is not known to have ended.
type run struct {
	id     TaskID
	job    *job
	task   *flow.Task
	number int
	worker *worker
	size   work.Size

	placedAt        time.Time
	adopted         bool // placed by an earlier leader and not listed by the worker yet
	startSent       bool // a start may have reached the worker
	ordersInFlight  int  // starts, stops and throttle orders that are not answered yet
	startAttempts   int
	startUnanswered bool // a start got no answer and may still be carried out

	confirmed     bool      // the worker accepted it, listed it or reported its end
	startedAt     time.Time // when it was first confirmed
	confirmedPoll uint64    // serial of the newest poll sent before the last confirmation

	stopReason    string // why it is being stopped, empty if it is not
	stopSentAt    time.Time
	stopAcked     bool
	stopAckedPoll uint64 // serial of the newest poll sent before the stop was acknowledged
	pollAtOnce    bool   // the worker must answer the next poll at once
	speedPercent  int    // speed of a filling task; may be unknownSpeedPercent
	ticket        string
	ticketExpires time.Time

	workerAddr  string      // where the worker had answered when the run was placed, empty if it is not known
	incarnation int64       // of the worker when the start was first sent
	crashScore  int         // what its crash has added to that of the task
	cpuInUse    float64     // in thousandths of a core, of a run whose step has an image
	beside      []pairs.Use // images beside the run when it started, nil if its run time is not observed

	crashRecorded bool // a crash of the worker under the run has been recorded
}

func (e *Engine) newRun(now time.Time, j *job, id TaskID, t *flow.Task, w *worker) *run {
	st := &j.Steps[id.Step]
	size := taskSize(st)
	r := &run{id: id, job: j, task: t, number: t.Run, worker: w, size: size, workerAddr: t.WorkerAddr, placedAt: now, speedPercent: fullSpeedPercent}
	w.runs[id] = r
	w.used = w.used.Add(size)
	w.addImage(r)
	if st.LongRunning {
		w.lasting = w.lasting.Add(size)
	}
	j.account.countRun(st, 1)
	e.index.update(w)
	j.runs[id] = r
	e.load.add(r, size.CPU)
	e.checkNow(w)
	return r
}

// adoptRun adds a run that an earlier leader recorded. Its start may have been
// sent. A worker without an entry in the list is polled where it answered then.
func (e *Engine) adoptRun(j *job, id TaskID, t *flow.Task) {
	w := e.ensureWorker(t.Worker)
	if w.Addr == "" {
		w.Addr = t.WorkerAddr
	}
	r := e.newRun(e.startedAt, j, id, t, w)
	r.adopted, r.startSent, r.incarnation, r.speedPercent = true, true, t.Incarnation, unknownSpeedPercent
	if t.LastCrashedRun == t.Run { // counted by an earlier leader
		r.crashRecorded = true
		e.keepCrashScore(r, t.LastCrashScore)
	}
	if j.State.Final() {
		r.stopReason = j.State.String()
	}
}

// sendSavedStart sends the start of a run whose record is stored. If the start
// is no longer wanted or possible, it ends the run instead.
func (e *Engine) sendSavedStart(now time.Time, r *run) {
	switch {
	case r.stopReason != "":
		e.endWithoutResult(now, r, "not ordered: "+r.stopReason)
	case !r.worker.listed || r.worker.Draining || !r.worker.reachable():
		e.endWithoutResult(now, r, "not ordered: the worker is leaving or silent")
	case !r.worker.entryIsCurrent():
		e.endWithoutResult(now, r, "not ordered: the worker has restarted")
	case r.ticket != "" && now.After(r.ticketExpires):
		e.endWithoutResult(now, r, "not ordered: the ticket expired")
	case !e.listIsCurrent(now):
		e.endWithoutResult(now, r, "not ordered: the list of workers is too old")
	case !r.worker.used.FitsIn(r.worker.Capacity):
		e.endWithoutResult(now, r, "not ordered: the worker's capacity has shrunk")
	case !e.quotaAllows(now, r):
		r.job.account.activity.dropped++
		e.endWithoutResult(now, r, "not ordered: the customer's quota was lowered, or is not known")
	default:
		e.sendStart(now, r)
	}
}

func (e *Engine) sendStart(now time.Time, r *run) {
	if !r.startSent {
		r.startSent, r.incarnation = true, r.worker.lastIncarnation
	}
	r.ordersInFlight++
	r.startAttempts++
	e.output.Orders = append(e.output.Orders, Order{
		Kind: OrderStart, Worker: r.worker.ID, Addr: r.worker.Addr, Task: r.id, Run: r.number, Payload: r.job.Payload,
		Checkpoint: r.task.Saved, Ticket: r.ticket, LeaseExpiry: e.grantLease(now, r.worker),
	})
}

// stopRun marks a run as being stopped and sends the stop if its start was
// sent. Its capacity stays allocated until its end is certain.
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
	e.output.Orders = append(e.output.Orders, Order{Kind: OrderStop, Worker: r.worker.ID, Addr: r.worker.Addr, Task: r.id, Run: r.number})
}

// unanswered reports whether a start or stop of the run was sent that is not known
// to have been carried out.
func (r *run) unanswered() bool {
	return r.startSent && (r.startUnanswered || (r.stopReason != "" && !r.stopAcked))
}

// checkRun repeats a start or stop that got no answer when that is due. It
// stops the run when its start may not be repeated any more.
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
	case r.startUnanswered && r.stopReason == "" && (!r.worker.reachable() || !e.listIsCurrent(now)):
		// It may have crashed, or shrunk. A start is not repeated to another
		// incarnation.
	case r.startUnanswered && r.stopReason == "" && !e.quotaAllows(now, r):
		// It may run, and a lowered quota ends no run. The next report shows it.
	case r.startUnanswered && r.stopReason == "":
		switch {
		case r.worker.lastIncarnation != r.incarnation:
			e.stopRun(now, r, "the start was not answered before the worker restarted")
		case !r.worker.entryIsCurrent():
			// The next poll shows what the new incarnation runs.
		case !r.worker.used.FitsIn(r.worker.Capacity):
			e.stopRun(now, r, "the start was not answered before the worker's capacity shrank")
		case r.startAttempts >= maxStartAttempts || r.ticket != "" && !now.Before(r.ticketExpires):
			e.stopRun(now, r, "the start was not answered")
		default:
			e.sendStart(now, r)
		}
	}
}

// Answer is a worker's answer to an order.
type Answer uint8

// The answers of workers.
const (
	AnswerNone             Answer = iota // no answer: the order may be carried out now or later
	AnswerOK                             // carried out
	AnswerFenced                         // refused: a later leader has called the worker
	AnswerStaleRun                       // that run or a later one of the task ended there
	AnswerRefused                        // certainly not carried out
	AnswerNoCapacity                     // certainly not carried out: not enough free capacity
	AnswerBadTicket                      // certainly not carried out: the ticket is not valid
	AnswerUnhealthy                      // certainly not carried out: the worker is unhealthy
	AnswerOtherIncarnation               // another incarnation answers at the address
)

var answerNames = [...]string{"none", "ok", "fenced", "old run", "refused", "no room", "bad ticket", "unwell", "other incarnation"}

// String returns the answer's name.
func (a Answer) String() string { return answerNames[a] }

// HandleStartAnswer handles the answer to start order o. took is the duration
// of the call.
func (e *Engine) HandleStartAnswer(now time.Time, o Order, a Answer, took time.Duration) {
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
	case AnswerStaleRun:
		e.addEvent("start-answer", r.id, r.number, r.worker.ID, a.String(), took)
		e.confirmRun(now, r)
		r.pollAtOnce = true
	case AnswerFenced:
		e.output.Fenced = true
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

// confirmRun records that the worker has accepted or reported the run. The
// first confirmed run of a job makes the job active.
func (e *Engine) confirmRun(now time.Time, r *run) {
	if !r.confirmed {
		r.confirmed, r.startedAt = true, now
		r.noteImagesBeside()
		if !r.adopted {
			e.recordLatency(r.job.Queue, LatencyConfirmation, now.Sub(r.placedAt))
		}
		r.worker.checkStallsBy(now.Add(overdueSlack))
	}
	if r.job.State == flow.Queued {
		r.job.State = flow.Active
		e.unsavedJobs[r.job] = true
		e.addEvent(EventJobStarted, r.id, r.number, r.worker.ID, "", now.Sub(r.job.addedAt))
	}
	r.confirmedPoll = e.pollsSent
}

// handleStartRefusal ends a run whose start was refused, or stops it if an
// earlier attempt was confirmed or may still be carried out. Depending on the
// answer it invalidates the ticket or excludes the worker.
func (e *Engine) handleStartRefusal(now time.Time, r *run, a Answer) {
	switch a {
	case AnswerBadTicket:
		e.invalidateTicket(r)
	case AnswerUnhealthy:
		r.worker.excludedUntil = now.Add(unhealthyPause)
	case AnswerNoCapacity:
		r.worker.excludedUntil = now.Add(noCapacityPause)
	}
	if r.startUnanswered || r.confirmed {
		// An earlier attempt was confirmed, or got no answer and may still be
		// carried out.
		e.stopRun(now, r, "the start was refused after an unanswered one")
		return
	}
	r.job.blockedUntil = now.Add(refusalPause)
	e.endWithoutResult(now, r, "start refused: "+a.String())
}

// Pauses after refused starts.
const (
	unhealthyPause  = 2 * time.Second        // exclusion of a worker that reports itself unhealthy
	noCapacityPause = 300 * time.Millisecond // exclusion of a worker with less free capacity than computed
	refusalPause    = 20 * time.Millisecond  // of a job, so that a refused start does not repeat in a tight loop
)

// HandleStopAnswer handles the answer to stop order o. took is the duration of
// the call.
func (e *Engine) HandleStopAnswer(now time.Time, o Order, a Answer, took time.Duration) {
	r := e.findRun(o)
	if r == nil {
		return
	}
	r.ordersInFlight--
	e.checkNow(r.worker)
	switch a {
	case AnswerOK, AnswerStaleRun:
		r.stopAcked, r.stopAckedPoll = true, e.pollsSent
		r.pollAtOnce = true
		r.worker.nextPoll = now
	case AnswerFenced:
		e.output.Fenced = true
	case AnswerNone:
		e.addEvent("stop-answer", r.id, r.number, r.worker.ID, a.String(), took)
	}
}

// findRun returns the run that an order was for, nil if it has ended.
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

// removeRun removes a run whose end is certain and frees its capacity.
func (e *Engine) removeRun(r *run) {
	delete(r.worker.runs, r.id)
	r.worker.used = r.worker.used.Sub(r.size)
	r.worker.images.remove(r)
	if r.job.Steps[r.id.Step].LongRunning {
		r.worker.lasting = r.worker.lasting.Sub(r.size)
	}
	r.job.account.countRun(&r.job.Steps[r.id.Step], -1)
	e.index.update(r.worker)
	delete(r.job.runs, r.id)
	e.load.add(r, -r.size.CPU)
	e.checkNow(r.worker)
	e.unsavedJobs[r.job] = true
	if !r.job.State.Final() {
		e.pendingJobs[r.job] = true
	}
}

// endWithoutResult ends a run that left no result. Its task may start again.
func (e *Engine) endWithoutResult(now time.Time, r *run, reason string) {
	e.addEvent("run-void", r.id, r.number, r.worker.ID, reason, now.Sub(r.placedAt))
	e.removeRun(r)
	if r.task.Phase == flow.Placed {
		r.task.Phase = flow.Idle
	}
	e.cleanUpAfterRun(now, r, reason)
}

// cleanUpAfterRun updates the job after one of its runs has ended: it discards
// the progress of a final job without further runs, or notes since when the task
// is idle and stops the rest of a gang that has lost the run.
func (e *Engine) cleanUpAfterRun(now time.Time, r *run, reason string) {
	j := r.job
	if j.State.Final() {
		if len(j.runs) == 0 {
			e.discardProgress(j)
		}
		return
	}
	if r.task.Phase != flow.Idle {
		return
	}
	r.noteTaskIdle(now)
	if j.Steps[r.id.Step].Gang {
		e.stopGang(now, j, r.id, reason)
	}
}

// stopGang stops the other members of a gang of which one run has ended.
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
