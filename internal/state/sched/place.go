package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// maxStepsPerPass bounds the steps for which one pass looks at workers, so that a long
// queue costs no more than a short one; the pass after it goes on.
const maxStepsPerPass = 48

// Decide places what can start now and asks for the advice that is missing.
func (e *Engine) Decide(now time.Time) {
	if e.config == nil {
		return
	}
	pending := e.pendingSteps(now)
	if len(pending) == 0 {
		return
	}
	p := &schedulingPass{now: now, candidates: map[*worker]*candidate{}}
	for _, ps := range pending {
		p.lowestPriority = max(p.lowestPriority, ps.priority)
	}
	for i := range e.config.Queues {
		p.lowestPriority = max(p.lowestPriority, e.config.Queues[i].Policy.Priority)
	}
	for _, ps := range pending {
		if p.stepsEvaluated >= maxStepsPerPass {
			return
		}
		// Room is kept for a gang before any of its tasks fits.
		st := &ps.job.Steps[ps.step]
		if (st.Gang || ps.priority < p.lowestPriority || e.index.mayFit(taskSize(st))) && e.canProgress(p, ps) {
			e.placeStep(p, ps)
		}
	}
}

// canProgress reports whether a look at the workers can lead to a start or to a
// question: not while an answer is under way and no ticket is at hand.
func (e *Engine) canProgress(p *schedulingPass, ps pendingStep) bool {
	advice := e.policy(ps.job).Advice
	if !advice.Needed() {
		return true
	}
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	for _, t := range sp.tickets {
		if p.now.Before(t.expires) {
			return true
		}
	}
	if sp.querying {
		// A gang's room is kept while the answer is under way.
		return ps.job.Steps[ps.step].Gang && len(sp.tickets) > 0
	}
	return !p.now.Before(sp.nextQuery) && e.pickClient(p.now, callDuration(advice, minQueryWorkers)) != nil
}

// pendingStep is a step with tasks that may start.
type pendingStep struct {
	job       *job
	round     *flow.Round
	step      int
	idleTasks []int
	lateness  int // 0 in time, 1 late, 2 too late to be of use
	priority  int
}

// maxLateFactor is how many objectives after its acceptance a job is of no use.
const maxLateFactor = 3

// pendingSteps gives the steps with tasks that may start, in the order in which they
// are looked at. A job of which none waits is not open any more, until one of its
// tasks or steps changes.
func (e *Engine) pendingSteps(now time.Time) []pendingStep {
	var steps []pendingStep
	for j := range e.pendingJobs {
		found := len(steps)
		for _, r := range j.Progress.Rounds {
			for step := range r.Steps {
				if idle := e.startableTasks(j, r, step); len(idle) > 0 {
					steps = append(steps, pendingStep{job: j, round: r, step: step, idleTasks: idle, lateness: latenessOf(now, j, r), priority: e.policy(j).Priority})
				}
			}
		}
		if len(steps) == found {
			delete(e.pendingJobs, j)
		}
		if now.Before(j.blockedUntil) {
			steps = steps[:found]
		}
	}
	sort.Slice(steps, func(i, k int) bool { return steps[i].before(&steps[k]) })
	return steps
}

// before tells which of two steps is looked at first: by lateness, urgency, and
// the order in which the jobs came.
func (ps *pendingStep) before(other *pendingStep) bool {
	switch {
	case ps.lateness != other.lateness:
		return ps.lateness < other.lateness
	case ps.priority != other.priority:
		return ps.priority < other.priority
	case ps.job != other.job:
		return ps.job.seq < other.job.seq
	case ps.round != other.round:
		return ps.round.Number < other.round.Number
	}
	return ps.step < other.step
}

func latenessOf(now time.Time, j *job, r *flow.Round) int {
	since := max(j.AcceptedMs, j.DueMs(r.Number))
	age := now.UnixMilli() - since
	switch {
	case j.objectiveMs <= 0 || age <= j.objectiveMs:
		return 0
	case age <= maxLateFactor*j.objectiveMs:
		return 1
	}
	return 2
}

// startableTasks gives the tasks of a step that may start. A gang starts as a whole.
func (e *Engine) startableTasks(j *job, r *flow.Round, step int) []int {
	var idle []int
	for i := range r.Steps[step] {
		if r.Steps[step][i].Phase == flow.Idle {
			idle = append(idle, i)
		}
	}
	if len(idle) == 0 || !r.Ready(j.Spec, step) {
		return nil
	}
	if j.Steps[step].Gang && len(idle) != len(r.Steps[step]) {
		return nil
	}
	return idle
}

// placeStep places the tasks of a step where its tickets allow, and does what
// brings the rest nearer to their start: it asks for tickets, makes room, or
// keeps room free.
func (e *Engine) placeStep(p *schedulingPass, ps pendingStep) {
	st := &ps.job.Steps[ps.step]
	policy := e.policy(ps.job)
	p.stepsEvaluated++
	need := len(ps.idleTasks)
	if !policy.Advice.Needed() {
		candidates := e.findCandidates(p, ps, st, policy, need)
		if n := e.placeTasks(p, ps, st, candidates, nil); n < need {
			e.reserveAndPreempt(p, ps, st, candidates, need-n)
		}
		return
	}
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	ready, permitted := e.permittedCandidates(p, ps, st, policy, sp)
	if need -= e.placeTasks(p, ps, st, ready, sp); need == 0 {
		return
	}
	chosen := e.reserveAndPreempt(p, ps, st, permitted, need)
	if sp.querying {
		return
	}
	workers := workersToRenew(p, sp, chosen, st.Gang)
	if len(chosen) == 0 {
		workers = e.workersToQuery(p, ps, st, policy, sp, permitted, need)
	}
	if len(workers) > 0 {
		e.query(p.now, ps.job, ps.round.Number, ps.step, policy.Advice, workers)
	}
}

// workersToRenew names those of the chosen workers whose tickets must be fetched. The
// tickets of a gang are fetched together, so that none expires before the last.
func workersToRenew(p *schedulingPass, sp *stepPlacement, chosen []*candidate, gang bool) []string {
	var names []string
	expired := 0
	for _, c := range chosen {
		valid := sp.tickets[c.worker.ID].incarnation == c.worker.lastIncarnation && p.now.Before(sp.tickets[c.worker.ID].expires)
		if !valid {
			expired++
		}
		if (!valid || gang) && len(names) < maxQueryWorkers {
			names = append(names, c.worker.ID)
		}
	}
	if expired == 0 {
		return nil
	}
	return names
}

// workersToQuery names workers to ask about for the first time: as many as should hold
// the tasks that the known ones can't, by the queue's share of allowed workers,
// and more while naming them costs little beside the call itself.
func (e *Engine) workersToQuery(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, sp *stepPlacement, permitted []*candidate, need int) []string {
	expectedFit := 0.0
	if st.Gang {
		// Asked about again once room comes free; what is missing is more workers.
		for _, c := range permitted {
			expectedFit += float64(c.fit + c.preemptFit)
		}
	}
	share := max(e.queueStats(ps.job.Queue).Allowed, 0.05)
	minNames := affordableQueryWorkers(policy.Advice)
	var names []string
	enough := func(minNames int) bool {
		return len(names) >= maxQueryWorkers || (expectedFit >= float64(need) && len(names) >= minNames)
	}
	full := e.visitCandidates(p, ps, st, policy, func(c *candidate) bool {
		if _, ok := sp.tickets[c.worker.ID]; !ok && !sp.rejected[c.worker.ID] {
			names = append(names, c.worker.ID)
			expectedFit += float64(c.fit) * share
		}
		return !enough(minNames)
	})
	for _, c := range full {
		if enough(0) {
			break
		}
		if _, ok := sp.tickets[c.worker.ID]; !ok && !sp.rejected[c.worker.ID] {
			names = append(names, c.worker.ID)
			expectedFit += share
		}
	}
	return names
}

// placeTasks places idle tasks of the step on the candidates and gives how many.
func (e *Engine) placeTasks(p *schedulingPass, ps pendingStep, st *flow.Step, candidates []*candidate, sp *stepPlacement) int {
	if st.Gang && totalFit(candidates) < len(ps.idleTasks) {
		return 0
	}
	runNumber := 0
	if st.Gang {
		for _, i := range ps.idleTasks {
			runNumber = max(runNumber, ps.round.Steps[ps.step][i].Run)
		}
	}
	size := taskSize(st)
	placed := 0
	for _, c := range candidates {
		for ; c.fit > 0 && placed < len(ps.idleTasks); placed++ {
			i := ps.idleTasks[placed]
			t := &ps.round.Steps[ps.step][i]
			if !st.Gang {
				runNumber = t.Run
			}
			t.Phase, t.Run, t.Worker, t.Boot = flow.Placed, runNumber+1, c.worker.ID, c.worker.lastIncarnation
			r := e.newRun(p.now, ps.job, TaskID{ps.job.ID, ps.round.Number, ps.step, i}, t, c.worker)
			if sp != nil {
				r.ticket, r.ticketExpires = sp.tickets[c.worker.ID].value, sp.tickets[c.worker.ID].expires
			}
			e.unsavedStarts = append(e.unsavedStarts, r)
			c.fit--
			c.free = c.free.Sub(size)
			e.addEvent("placed", r.id, r.number, c.worker.ID, "", p.now.Sub(ps.job.addedAt))
		}
	}
	if placed > 0 {
		e.releaseReservations(ps)
		e.unsavedJobs[ps.job] = true
	}
	return placed
}
