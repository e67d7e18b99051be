package sched

import (
	"slices"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// maxCrashScore is the crash score at which a task is given up: two certain
// crashes right after its start, or four that may have another cause.
const maxCrashScore = 4

// Bounds of the time that a run had been at work when its worker was last heard
// from before a crash.
const (
	// freshRunAge is the age up to which a run may have crashed its worker by its
	// start. It is short against pollWait, so that runs beside it are older.
	freshRunAge = 200 * time.Millisecond
	// startSpread is the time within which starts that are sent together are
	// confirmed. A run crashes its worker by its start only if no other run has
	// started later than that.
	startSpread = 30 * time.Millisecond
	// youngRunAge is the age up to which a run may have crashed its worker soon
	// after its start.
	youngRunAge = 2 * time.Second
)

// crashAge is how long a run had been at work when its worker crashed.
type crashAge uint8

const (
	crashUnconfirmed crashAge = iota // it is not known whether it had started
	crashFresh                       // it had started last
	crashYoung
	crashOld
)

var crashAgeNames = [...]string{"unconfirmed", "just started", "young", "old"}

// crashAgeOf returns how long the run had been at work when its worker, which
// has crashed since, was last heard from. lastStart is when the newest run there
// was confirmed.
func (r *run) crashAgeOf(lastStart time.Time) crashAge {
	switch seen := r.worker.lastContact.Sub(r.startedAt); {
	case !r.confirmed:
		return crashUnconfirmed
	case seen <= freshRunAge && lastStart.Sub(r.startedAt) <= startSpread:
		return crashFresh
	case seen <= youngRunAge:
		return crashYoung
	}
	return crashOld
}

// crashScore returns what a crash adds to the score of a task.
func crashScore(age crashAge, certain bool) int {
	score := 0
	if certain {
		score++
	}
	if age == crashFresh {
		score++
	}
	return score
}

// recordCrash records that the worker has crashed under the given runs, except those
// that were sent to the given incarnation, and gives up the tasks that seem to
// crash their workers. The crash is certain if another worker or incarnation
// answers in its place, and otherwise may be a cut of which the worker's leases
// have expired.
func (e *Engine) recordCrash(now time.Time, w *worker, runs []*run, incarnation int64, certain bool) {
	var crashed []*run
	var lastStart time.Time
	for _, r := range runs {
		if r.crashRecorded || !r.startSent || r.ordersInFlight > 0 && !r.confirmed || r.incarnation == incarnation {
			continue
		}
		if r.incarnation != 0 && r.incarnation == w.drained {
			continue // it was shut down
		}
		crashed = append(crashed, r)
		if r.confirmed && r.startedAt.After(lastStart) {
			lastStart = r.startedAt
		}
	}
	for _, r := range crashed {
		r.crashRecorded = true
		age, detail := r.crashAgeOf(lastStart), "maybe cut off"
		if certain {
			detail = "restarted"
			e.crashedRuns++
		}
		seen := time.Duration(0)
		if age != crashUnconfirmed {
			seen = max(w.lastContact.Sub(r.startedAt), 0)
		}
		e.addEvent("worker-crashed", r.id, r.number, w.ID, detail+", "+crashAgeNames[age], seen)
		e.addCrashScore(now, r, age, crashScore(age, certain))
	}
}

// handleReplacement handles that another worker or incarnation answers at the
// address of a worker. If that is where the worker itself has answered, in this
// term or when a run was placed, its runs have certainly ended, whatever their
// leases. An address at which it never answered may come from another writer's
// entry.
func (e *Engine) handleReplacement(now time.Time, w *worker, addr string) {
	if w.hasAnswered() && addr != w.answeredAddr {
		return
	}
	if !w.replaced {
		w.replaced = true
		e.addEvent("worker-replaced", TaskID{}, 0, w.ID, AnswerOtherIncarnation.String(), now.Sub(w.lastContact))
	}
	if !w.Draining {
		e.recordCrash(now, w, append(w.sortedRuns(), w.lapsedRuns...), 0, true)
	}
	// Runs with an order in flight are left for the next poll.
	for _, r := range w.sortedRuns() {
		answered := w.hasAnswered() || r.workerAddr == addr
		if answered && r.startSent && r.ordersInFlight == 0 {
			e.endWithoutResult(now, r, "the worker is gone, another one answers")
		}
	}
}

// keepCrashScore keeps what the crash of a run has added to the score of its task
// until the worker answers. It forgets the runs of ended jobs.
func (e *Engine) keepCrashScore(r *run, score int) {
	for id, runs := range e.scoredRuns {
		runs = slices.DeleteFunc(runs, func(r *run) bool { return r.job.State.Final() })
		if e.scoredRuns[id] = runs; len(runs) == 0 {
			delete(e.scoredRuns, id)
		}
	}
	r.crashScore = score
	e.scoredRuns[r.worker.ID] = append(e.scoredRuns[r.worker.ID], r)
}

// withdrawCrashScores withdraws the scores for crashes of a worker's incarnation
// that answers: it was cut off, or its entry in the list was wrong.
func (e *Engine) withdrawCrashScores(worker string, incarnation int64) {
	for _, r := range e.scoredRuns[worker] {
		if r.incarnation != incarnation || r.job.State.Final() {
			continue
		}
		t := r.task
		t.CrashScore = max(t.CrashScore-r.crashScore, 0)
		if t.LastCrashedRun == r.number {
			t.LastCrashedRun, t.LastCrashScore = 0, 0
		}
		r.crashRecorded = false
		e.unsavedJobs[r.job] = true
	}
	delete(e.scoredRuns, worker)
}

// addCrashScore adds to the crash score of a run's task, and fails its job if
// that reaches maxCrashScore.
func (e *Engine) addCrashScore(now time.Time, r *run, age crashAge, score int) {
	t := r.task
	if r.job.State.Final() || t.Phase == flow.Done {
		return
	}
	if age == crashOld && r.job.Steps[r.id.Step].LongRunning {
		// It has worked, and in time any worker crashes.
		score = -t.CrashScore
	}
	if score == 0 || age > crashFresh && r.stopReason != "" {
		return
	}
	t.CrashScore += score
	e.keepCrashScore(r, max(score, 0))
	if r.number >= t.LastCrashedRun {
		t.LastCrashedRun, t.LastCrashScore = r.number, r.crashScore
	}
	e.unsavedJobs[r.job] = true
	if t.CrashScore >= maxCrashScore {
		e.addEvent("given-up", r.id, r.number, r.worker.ID, "workers crash under it", now.Sub(r.placedAt))
		e.finishJob(now, r.job, flow.Failed)
	}
}

// splitSuspects returns the tasks among the given ones of a step that have no
// crash score, and those that have one. A gang starts as a whole, so all its
// tasks are suspect if one is.
func splitSuspects(tasks []flow.Task, indexes []int, gang bool) (plain, suspect []int) {
	for _, i := range indexes {
		if tasks[i].CrashScore > 0 {
			suspect = append(suspect, i)
		}
	}
	switch {
	case len(suspect) == 0:
		return indexes, nil
	case gang:
		return nil, indexes
	}
	for _, i := range indexes {
		if tasks[i].CrashScore == 0 {
			plain = append(plain, i)
		}
	}
	return plain, suspect
}

// hasSuspectOfOtherJob reports whether a run on the worker may crash it, which
// would count against a suspect task of job j beside it, too. Tasks that had
// started together on a worker that crashed would otherwise start together again.
func (w *worker) hasSuspectOfOtherJob(j *job) bool {
	for _, r := range w.runs {
		if r.job != j && r.task.CrashScore > 0 && (!r.confirmed || w.lastContact.Sub(r.startedAt) <= youngRunAge) {
			return true
		}
	}
	return false
}
