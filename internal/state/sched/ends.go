package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// EndKind is how a run ended.
type EndKind uint8

// The ends of runs.
const (
	EndDone EndKind = iota
	EndFailed
	EndStopped
	EndLapsed // its lease ended
	EndBroken // another member of its gang ended
	EndAlone  // the others of its gang did not come
)

var endNames = [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone"}

// String gives the end's name.
func (k EndKind) String() string { return endNames[k] }

// End is one entry of a worker's list of ends.
type End struct {
	Number int64
	Task   TaskID
	Run    int
	Kind   EndKind
	Saved  string
}

// Running is one entry of a worker's list of what runs.
type Running struct {
	Task  TaskID
	Run   int
	Saved string
	// Load is a rough figure for the last half second: the tail of the response
	// times in milliseconds of a task with a bound on them, the processors in use
	// of any other.
	Load float64
}

// Report is a worker's answer to a hold.
type Report struct {
	Boot    int64
	Clock   time.Duration
	Running []Running
	Ended   []End
}

// fullPage is the number of ends at which a worker may hold back more.
const fullPage = 500

// HoldFailed says that a hold got no report.
func (e *Engine) HoldFailed(now time.Time, o Order, a Answer, took time.Duration) {
	w := e.workers[o.Worker]
	if w == nil || w.serial != o.Serial {
		return
	}
	w.holding = false
	e.touch(w)
	if a == AnswerFenced {
		e.out.Fenced = true
	}
	if w.failures == 0 {
		e.event("worker-silent", TaskID{}, 0, w.ID, a.String(), took)
	}
	w.failures++
	pause := min(holdRetry<<min(w.failures-1, 4), holdRetryMax)
	w.nextHold = now.Add(pause)
}

// Held takes a worker's report.
func (e *Engine) Held(now time.Time, o Order, rep Report) {
	w := e.workers[o.Worker]
	if w == nil || w.serial != o.Serial {
		return
	}
	w.holding = false
	e.touch(w)
	if w.failures > 0 || w.clockAt.IsZero() {
		e.event("worker-answers", TaskID{}, 0, w.ID, "", now.Sub(w.answered))
	}
	first := w.clockAt.IsZero()
	w.failures, w.answered, w.lapsed = 0, now, false
	if w.boot != rep.Boot {
		if w.boot != 0 {
			e.event("worker-restarted", TaskID{}, 0, w.ID, "", 0)
		}
		w.boot, w.acked, w.seen = rep.Boot, 0, 0
		w.pacing = pacing{}
		e.recall(w)
	}
	w.clock, w.clockAt = rep.Clock, now
	listed := e.takeRunning(now, w, rep.Running)
	e.pace(now, w, rep.Running)
	e.takeEnds(now, w, rep.Ended)
	for _, r := range w.list() {
		if !listed[r.id] {
			e.missing(now, r, o.Serial)
		}
	}
	w.nextHold = now
	if w.seen > w.acked && !first {
		// The ends are acknowledged when their record is stored.
		w.nextHold = now.Add(ackPause)
	}
	if len(rep.Ended) >= fullPage {
		w.nextHold = now
	}
}

func (e *Engine) takeRunning(now time.Time, w *worker, list []Running) map[TaskID]bool {
	listed := make(map[TaskID]bool, len(list))
	w.strays = 0
	for _, x := range list {
		r := w.runs[x.Task]
		if r == nil || r.n != x.Run {
			w.strays++
			e.event("stray", x.Task, x.Run, w.ID, "", 0)
			e.out.Orders = append(e.out.Orders, Order{Kind: OrderStop, Worker: w.ID, Addr: w.Addr, Task: x.Task, Run: x.Run})
			continue
		}
		listed[x.Task] = true
		if !r.confirmed {
			e.event("started", r.id, r.n, w.ID, "listed", now.Sub(r.placedAt))
		}
		if r.calls == 0 {
			r.unsure = false
		}
		e.confirm(now, r)
		r.inherited, r.checkNext = false, false
		if x.Saved != "" {
			e.save(r, x.Saved)
		}
		if r.stopping != "" && r.calls == 0 && (!r.stopAcked || now.Sub(r.stopAt) > stopRetry) {
			e.sendStop(now, r)
		}
	}
	return listed
}

// save notes a checkpoint; one of a gang's member serves the whole gang.
func (e *Engine) save(r *run, value string) {
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

func (e *Engine) takeEnds(now time.Time, w *worker, ends []End) {
	for _, x := range ends {
		if x.Number <= w.seen {
			continue
		}
		w.seen = x.Number
		if r := w.runs[x.Task]; r != nil && r.n == x.Run {
			e.end(now, r, x)
		}
	}
	if w.seen > w.acked {
		e.acks[w] = ack{boot: w.boot, to: w.seen}
	}
}

// missing acts on a run that the worker lists neither as running nor as ended.
func (e *Engine) missing(now time.Time, r *run, serial uint64) {
	switch {
	case r.w.runs[r.id] != r || !r.ordered || r.calls > 0:
	case r.inherited:
		// Orders of earlier leaders are refused since this leader's hold.
		e.void(now, r, "never started")
	case r.stopAcked && serial > r.stoppedSerial:
		e.void(now, r, "stopped before it started")
	case r.unsure:
		e.tickRun(now, r)
	case r.confirmed && serial > r.confirmedSerial:
		e.void(now, r, "the worker lost it")
	}
}

func (e *Engine) end(now time.Time, r *run, x End) {
	e.event("ended", r.id, r.n, r.w.ID, x.Kind.String(), now.Sub(r.placedAt))
	j := r.job
	st := &j.Steps[r.id.Step]
	if x.Saved != "" && r.task.Phase == flow.Placed {
		e.save(r, x.Saved)
	}
	if !r.confirmed {
		e.confirm(now, r)
	}
	e.drop(r)
	placed := r.task.Phase == flow.Placed
	if placed {
		r.task.Phase = flow.Idle
	}
	if j.State.Final() || !placed {
		e.settle(now, r, x.Kind.String())
		return
	}
	switch {
	case x.Kind == EndDone && !st.Lasting:
		e.learn(now, r, st)
		e.done(now, r, st)
	case x.Kind == EndFailed && !st.Lasting:
		e.failed(now, r, st)
	default:
		e.settle(now, r, x.Kind.String())
	}
}

func (e *Engine) done(now time.Time, r *run, st *flow.Step) {
	j, round := r.job, r.job.round(r.id.Round)
	if round == nil {
		return
	}
	mark := func(t *flow.Task) {
		if t.Phase != flow.Done {
			t.Phase, t.Saved, t.Worker = flow.Done, "", ""
			round.Open--
		}
	}
	mark(r.task)
	if st.Gang {
		for i := range round.Steps[r.id.Step] {
			mark(&round.Steps[r.id.Step][i])
		}
	}
	delete(j.advice[round.Number], stepIfDone(round, r.id.Step))
	if round.Open > 0 {
		return
	}
	delete(j.advice, round.Number)
	for i, x := range j.Progress.Rounds {
		if x == round {
			j.Progress.Rounds = append(j.Progress.Rounds[:i], j.Progress.Rounds[i+1:]...)
			break
		}
	}
	if j.NextRound == j.Spec.Rounds() && len(j.Progress.Rounds) == 0 {
		e.finish(now, j, flow.Complete)
	}
}

// stepIfDone gives step if all its tasks are done and -1 otherwise.
func stepIfDone(r *flow.Round, step int) int {
	for i := range r.Steps[step] {
		if r.Steps[step][i].Phase != flow.Done {
			return -1
		}
	}
	return step
}

func (e *Engine) failed(now time.Time, r *run, st *flow.Step) {
	e.blame(now, r)
	tasks := []*flow.Task{r.task}
	if st.Gang {
		tasks = tasks[:0]
		round := r.job.round(r.id.Round)
		for i := range round.Steps[r.id.Step] {
			tasks = append(tasks, &round.Steps[r.id.Step][i])
		}
	}
	fails := 0
	for _, t := range tasks {
		if t.FailedRun < r.n {
			t.Fails++
			t.FailedRun = r.n
		}
		fails = max(fails, t.Fails)
	}
	if fails >= max(e.policy(r.job).MaxAttempts, 1) {
		e.finish(now, r.job, flow.Failed)
		return
	}
	e.settle(now, r, "failed")
}

// Bounds of judging workers.
const (
	// benchFails is the number of distinct jobs that must fail on a worker in a
	// row before it is set aside: at 5 % of failing tasks, one in 8,000 by chance.
	benchFails = 3
	benchTime  = 4 * time.Second
)

// blame sets a worker aside on which jobs fail one after another.
func (e *Engine) blame(now time.Time, r *run) {
	w := r.w
	if r.task.Fails == 0 {
		w.failJobs[r.job.ID] = true
	}
	if len(w.failJobs) >= benchFails {
		e.event("worker-benched", TaskID{}, 0, w.ID, "jobs fail there one after another", 0)
		w.benchedTo = now.Add(benchTime)
		clear(w.failJobs)
	}
}
