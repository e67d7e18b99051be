package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// EndKind is how a run ended.
type EndKind uint8

// The ways in which a run ends.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLeaseExpired   // the worker's lease expired during the run
	EndGangBroken     // another member of its gang ended
	EndGangIncomplete // not all other members of its gang started in time
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String returns the name of the kind.
func (k EndKind) String() string { return endNames[k] }

// End is one entry of a worker's list of ended runs.
type End struct {
	Number     int64 // rises with each end of the worker's incarnation
	Task       TaskID
	Run        int
	Kind       EndKind
	Checkpoint string // newest checkpoint, empty for none
}

// Running is one entry of a worker's list of running tasks.
type Running struct {
	Task       TaskID
	Run        int
	Checkpoint string // newest checkpoint, empty for none
	// Load is a rough figure for the last half second. For a task with a latency
	// target it is the tail of its response times in milliseconds, for any other
	// task the number of processors in use.
	Load float64
}

// Report is a worker's answer to a poll.
type Report struct {
	Incarnation int64         // of the worker
	Clock       time.Duration // reading of the worker's clock
	Running     []Running
	Ended       []End // ends that are not acknowledged yet
}

// endsPageSize is the number of ends in a report from which on the worker may
// have more that did not fit.
const endsPageSize = 500

// complete reports whether the report lists all ends that are not acknowledged. If
// not, the others follow once those that it lists are.
func (r *Report) complete() bool { return len(r.Ended) < endsPageSize }

// HandlePollFailure handles poll o that got no report. a is the reason and took
// the duration of the call.
func (e *Engine) HandlePollFailure(now time.Time, o Order, a Answer, took time.Duration) {
	w := e.workers[o.Worker]
	if w == nil || w.pollSerial != o.Serial {
		return
	}
	w.polling = false
	e.checkNow(w)
	if a == AnswerFenced {
		e.output.Fenced = true
	}
	if w.failedPolls == 0 {
		e.addEvent("worker-silent", TaskID{}, 0, w.ID, a.String(), took)
	}
	w.failedPolls++
	if a == AnswerOtherIncarnation {
		e.handleReplacement(now, w, o.Addr)
	}
	pause := min(pollRetryPause<<min(w.failedPolls-1, 4), maxPollRetryPause)
	w.nextPoll = now.Add(pause)
}

// HandlePollReport handles the worker's report that answers poll o.
func (e *Engine) HandlePollReport(now time.Time, o Order, report Report) {
	w := e.workers[o.Worker]
	if w == nil || w.pollSerial != o.Serial {
		return
	}
	w.polling = false
	e.checkNow(w)
	if w.failedPolls > 0 || w.clockReadAt.IsZero() {
		e.addEvent("worker-answers", TaskID{}, 0, w.ID, "", now.Sub(w.lastContact))
	}
	if w.lastIncarnation != report.Incarnation {
		e.recordCrash(now, w, append(w.sortedRuns(), w.lapsedRuns...), report.Incarnation, true)
	}
	e.withdrawCrashScores(w.ID, report.Incarnation)
	first := w.clockReadAt.IsZero()
	w.failedPolls, w.lastContact, w.leasesExpired, w.replaced, w.lapsedRuns = 0, now, false, false, nil
	if w.lastIncarnation != report.Incarnation {
		if w.lastIncarnation != 0 {
			e.addEvent("worker-restarted", TaskID{}, 0, w.ID, "", 0)
		}
		w.lastIncarnation, w.ackedEnd, w.lastEnd = report.Incarnation, 0, 0
		w.throttle = throttle{}
		e.restoreWorkerEstimates(w)
	}
	w.clock, w.clockReadAt, w.answeredAddr = report.Clock, now, o.Addr
	if first {
		e.index.update(w)
	}
	listed := e.applyRunning(now, w, report.Running)
	e.observeReport(now, w, report.Running)
	e.throttleFillingTasks(now, w, report.Running)
	e.applyEnds(now, w, report.Ended)
	if report.complete() {
		for _, r := range w.sortedRuns() {
			if !listed[r.id] {
				e.handleUnlistedRun(now, r, o.Serial)
			}
		}
	}
	w.nextPoll = now
	if w.lastEnd > w.ackedEnd && !first {
		// The ends may be acknowledged once their record is stored. The next
		// poll is due then, and after ackDelay at the latest.
		w.nextPoll = now.Add(ackDelay)
	}
}

// applyRunning updates the runs that the worker lists as running and returns
// their tasks. It orders unknown runs to stop.
func (e *Engine) applyRunning(now time.Time, w *worker, list []Running) map[TaskID]bool {
	listed := make(map[TaskID]bool, len(list))
	w.unknownRuns = 0
	for _, entry := range list {
		r := w.runs[entry.Task]
		if r == nil || r.number != entry.Run {
			w.unknownRuns++
			e.addEvent("stray", entry.Task, entry.Run, w.ID, "", 0)
			e.output.Orders = append(e.output.Orders, Order{Kind: OrderStop, Worker: w.ID, Addr: w.Addr, Task: entry.Task, Run: entry.Run})
			continue
		}
		listed[entry.Task] = true
		if !r.confirmed {
			e.addEvent("started", r.id, r.number, w.ID, "listed", now.Sub(r.placedAt))
		}
		if r.ordersInFlight == 0 {
			r.startUnanswered = false
		}
		e.confirmRun(now, r)
		r.adopted, r.pollAtOnce = false, false
		if entry.Checkpoint != "" {
			e.saveCheckpoint(r, entry.Checkpoint)
		}
		if r.stopReason != "" && r.ordersInFlight == 0 && (!r.stopAcked || now.Sub(r.stopSentAt) > stopRetryPause) {
			e.sendStop(now, r)
		}
	}
	return listed
}

// saveCheckpoint records the newest checkpoint of a task. The checkpoint of a
// gang's member applies to the whole gang.
func (e *Engine) saveCheckpoint(r *run, value string) {
	r.task.Saved = value
	if !r.job.Steps[r.id.Step].Gang {
		return
	}
	if round := r.job.round(r.id.Round); round != nil {
		for i := range round.Steps[r.id.Step] {
			round.Steps[r.id.Step][i].Saved = value
		}
	}
}

// applyEnds processes the ends that are new. They are acknowledged once the
// next batch is stored.
func (e *Engine) applyEnds(now time.Time, w *worker, ends []End) {
	for _, end := range ends {
		if end.Number <= w.lastEnd {
			continue
		}
		w.lastEnd = end.Number
		if r := w.runs[end.Task]; r != nil && r.number == end.Run {
			e.handleEnd(now, r, end)
		}
	}
	if w.lastEnd > w.ackedEnd {
		e.unsavedAcks[w] = ack{incarnation: w.lastIncarnation, lastEnd: w.lastEnd}
	}
}

// handleUnlistedRun handles a run that a complete report lists neither as running
// nor as ended. serial is that of the poll: only a poll sent after the run was
// confirmed or its stop acknowledged shows that the run has ended.
func (e *Engine) handleUnlistedRun(now time.Time, r *run, serial uint64) {
	switch {
	case r.worker.runs[r.id] != r || !r.startSent || r.ordersInFlight > 0:
	case r.adopted:
		// The worker has refused orders of earlier leaders since this leader's
		// first poll.
		e.endWithoutResult(now, r, "never started")
	case r.stopAcked && serial > r.stopAckedPoll:
		e.endWithoutResult(now, r, "stopped before it started")
	case r.startUnanswered && r.stopReason == "" && !e.quotaAllows(now, r):
		e.stopRun(now, r, "the start was not answered before the customer's quota was lowered")
	case r.startUnanswered:
		e.checkRun(now, r)
	case r.confirmed && serial > r.confirmedPoll:
		e.endWithoutResult(now, r, "the worker lost it")
	}
}

// handleEnd processes the reported end of a run.
func (e *Engine) handleEnd(now time.Time, r *run, end End) {
	e.addEvent("ended", r.id, r.number, r.worker.ID, end.Kind.String(), now.Sub(r.placedAt))
	j := r.job
	e.noteEnd(now, j.Queue)
	st := &j.Steps[r.id.Step]
	if end.Checkpoint != "" && r.task.Phase == flow.Placed {
		e.saveCheckpoint(r, end.Checkpoint)
	}
	if !r.confirmed {
		e.confirmRun(now, r)
	}
	e.removeRun(r)
	placed := r.task.Phase == flow.Placed
	if placed {
		r.task.Phase = flow.Idle
	}
	if j.State.Final() || !placed {
		e.cleanUpAfterRun(now, r, end.Kind.String())
		return
	}
	switch {
	case end.Kind == EndDone && !st.LongRunning:
		e.updateEstimates(now, r, st)
		e.completeTask(now, r, st)
	case end.Kind == EndFailed && !st.LongRunning:
		e.handleFailure(now, r, st)
	default:
		e.cleanUpAfterRun(now, r, end.Kind.String())
	}
}

// completeTask marks the run's task as done, or all tasks of its gang, and
// completes the round and the job if nothing else is open.
func (e *Engine) completeTask(now time.Time, r *run, st *flow.Step) {
	j, round := r.job, r.job.round(r.id.Round)
	if round == nil {
		return
	}
	markDone := func(t *flow.Task) {
		if t.Phase != flow.Done {
			t.Phase, t.Saved, t.Worker = flow.Done, "", ""
			round.Unfinished--
		}
	}
	markDone(r.task)
	if st.Gang {
		for i := range round.Steps[r.id.Step] {
			markDone(&round.Steps[r.id.Step][i])
		}
	}
	if stepDone(round, r.id.Step) {
		if sp := j.placements[round.Number][r.id.Step]; sp != nil {
			updateSlowdowns(e.ensureQueueEstimates(j.Queue), sp.runTimes, e.index)
		}
		delete(j.placements[round.Number], r.id.Step)
	}
	e.noteTaskDone(now, j, round, r.id.Step)
	if round.Unfinished > 0 {
		return
	}
	delete(j.placements, round.Number)
	for i, other := range j.Progress.Rounds {
		if other == round {
			j.Progress.Rounds = append(j.Progress.Rounds[:i], j.Progress.Rounds[i+1:]...)
			break
		}
	}
	if j.NextRound == j.Spec.RoundCount() && len(j.Progress.Rounds) == 0 {
		e.finishJob(now, j, flow.Complete)
	}
}

// stepDone reports whether all tasks of the step are done.
func stepDone(r *flow.Round, step int) bool {
	for i := range r.Steps[step] {
		if r.Steps[step][i].Phase != flow.Done {
			return false
		}
	}
	return true
}

// handleFailure counts a failed run of a task or of its gang, and fails the job
// when its attempts are used up.
func (e *Engine) handleFailure(now time.Time, r *run, st *flow.Step) {
	e.attributeFailure(now, r)
	r.job.stepPlacement(r.id.Round, r.id.Step).lastFailure = now
	tasks := []*flow.Task{r.task}
	if st.Gang {
		tasks = tasks[:0]
		round := r.job.round(r.id.Round)
		for i := range round.Steps[r.id.Step] {
			tasks = append(tasks, &round.Steps[r.id.Step][i])
		}
	}
	failures := 0
	for _, t := range tasks {
		if t.LastFailedRun < r.number {
			t.FailedRuns++
			t.LastFailedRun = r.number
		}
		failures = max(failures, t.FailedRuns)
	}
	if failures >= max(e.policy(r.job).MaxAttempts, 1) {
		e.finishJob(now, r.job, flow.Failed)
		return
	}
	e.cleanUpAfterRun(now, r, "failed")
}

// Bounds of the attribution of failures to workers.
const (
	// quarantineFailedJobs is the number of distinct jobs that must fail on a
	// worker in a row before it is quarantined. If 5 % of all tasks fail, that
	// happens by chance once in 8,000 cases.
	quarantineFailedJobs = 3
	quarantineTime       = 4 * time.Second
)

// attributeFailure counts the first failure of a task against its worker, and
// quarantines a worker on which several jobs fail in a row.
func (e *Engine) attributeFailure(now time.Time, r *run) {
	w := r.worker
	if r.task.FailedRuns == 0 {
		w.failedJobs[r.job.ID] = true
		w.suspectUntil = now.Add(failedWorkerTime)
	}
	if len(w.failedJobs) >= quarantineFailedJobs {
		e.addEvent("worker-benched", TaskID{}, 0, w.ID, "jobs fail there one after another", 0)
		w.excludedUntil = now.Add(quarantineTime)
		w.suspectUntil = w.excludedUntil.Add(failedWorkerTime)
		clear(w.failedJobs)
	}
}
