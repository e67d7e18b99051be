package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Limits on the steps that one scheduling pass evaluates, so that a pass costs no
// more with a long backlog than with a short one. If there are more, a pass
// evaluates the first ones and some of the others, in turn, because the first
// ones may be steps that no worker can run now.
const (
	maxStepsPerPass = 48
	maxStepsInTurn  = 12 // of them, steps evaluated in turn
	// reevaluationPause is how long a step whose queries are long, and that can't
	// be placed, is not evaluated again unless a query about it is answered. It is
	// short beside the queries, and a fraction of reservationTime. Without it the
	// steps of a backlog of gangs are evaluated in each pass, which then takes the
	// leader's processor from quick steps and from starts.
	reevaluationPause = 40 * time.Millisecond
)

// Schedule makes a scheduling pass: it places the tasks that can start now,
// reserves capacity, preempts runs, and queries the placement service for
// missing tickets. It does nothing while the list of workers is too old.
func (e *Engine) Schedule(now time.Time) {
	if e.config == nil || !e.listIsCurrent(now) {
		return
	}
	pending := e.pendingSteps(now)
	if len(pending) == 0 {
		return
	}
	p := e.newPass(now, pending)
	var rest []pendingStep
	if e.customersOn() {
		rest = e.placeByShare(p, pending, maxStepsPerPass-maxStepsInTurn)
	} else {
		rest = pending[e.placeSteps(p, pending, maxStepsPerPass-maxStepsInTurn):]
	}
	if len(rest) == 0 {
		return
	}
	from := e.nextInTurn % len(rest)
	e.nextInTurn = from + e.placeSteps(p, rest[from:], maxStepsPerPass)
	if e.nextInTurn >= len(rest) {
		// The turn has come to its end and begins anew.
		e.nextInTurn = e.placeSteps(p, rest[:from], maxStepsPerPass)
	}
}

func (e *Engine) newPass(now time.Time, pending []pendingStep) *schedulingPass {
	p := &schedulingPass{
		now: now, candidates: map[*worker]*candidate{},
		searchPause: max(minSearchPause, time.Duration(len(pending))*searchPausePerStep),
	}
	for _, ps := range pending {
		p.lowestPriority = max(p.lowestPriority, ps.priority)
	}
	p.needsLongQuery = e.customersOn() && e.findQueryDemand(now, pending)
	for _, a := range e.accounts {
		a.claimed, a.claimedNotFirm, a.held, a.heldFirm = work.Size{}, work.Size{}, work.Size{}, nil
	}
	p.services = e.findServices(now)
	p.roomDemand = e.findRoomDemand(now, pending)
	for i := range e.config.Queues {
		p.lowestPriority = max(p.lowestPriority, e.config.Queues[i].Policy.Priority)
	}
	return p
}

// placeSteps places steps in order until the pass has evaluated limit steps. It
// returns the number of steps that it has dealt with.
func (e *Engine) placeSteps(p *schedulingPass, steps []pendingStep, limit int) int {
	for i, ps := range steps {
		if p.stepsEvaluated >= limit {
			return i
		}
		e.evaluateStep(p, ps)
	}
	return len(steps)
}

// canProgress reports whether evaluating workers for the step can lead to a
// start, a reservation or a query. If the step needs tickets and has no valid
// one, it can't while a query is in flight, unless the step is a gang with
// reservations to renew, nor while no query can be sent.
func (e *Engine) canProgress(p *schedulingPass, ps pendingStep) bool {
	service := e.policy(ps.job).PlacementService
	if !service.Required() {
		return true
	}
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	if p.now.Before(sp.nextEvaluation) {
		return false
	}
	for _, t := range sp.tickets {
		if p.now.Before(t.expires) {
			return true
		}
	}
	if len(sp.queriedBy) > 0 {
		// A gang's reservations are renewed while the query is in flight.
		return ps.job.Steps[ps.step].Gang && len(sp.tickets) > 0
	}
	if len(sp.tickets) == 0 && p.now.Before(sp.nextSearch) {
		return false
	}
	return !p.now.Before(sp.nextQuery) && e.findsClient(p.now, ps.job.Queue, service)
}

// findsClient reports whether a client could answer a query of the queue now,
// and records if none could answer a long one.
func (e *Engine) findsClient(now time.Time, queue string, service flow.PlacementService) bool {
	duration := queryDuration(service, minQueryWorkers)
	if e.pickClient(now, queue, duration, nil) != nil {
		return true
	}
	if duration > maxQuickQuery {
		e.noteClientDenied(now, queue)
	}
	return false
}

// pendingStep is a step with tasks that may start. Of a step with some suspect
// tasks there are two.
type pendingStep struct {
	job       *job
	round     *flow.Round
	step      int
	idleTasks []int // indexes of the tasks that may start
	lateness  int   // 0 within its objective, 1 late, 2 too late to be useful
	beyond    bool  // its job exceeds the rate that its customer's weight guarantees
	service   string
	priority  int  // of its queue; 0 is the most urgent
	suspect   bool // the tasks have crash scores
	cut       bool // idleTasks lacks those that the customer's quota does not allow
	backfills bool // it may use only what waiting gangs can't
	// waitedLong means that it has waited for maxWaitBesideGangs, and that its tasks
	// are long-running or most of its service's processors are idle.
	waitedLong bool
}

// maxLateFactor is the age, as a multiple of the objective, beyond which a
// round is too late to be useful.
const maxLateFactor = 3

// pendingSteps returns the steps with tasks that may start, in the order in
// which they are scheduled. A job without such a step leaves pendingJobs until
// one of its runs ends or one of its rounds opens. Jobs in the pause after a
// refused start are left out.
func (e *Engine) pendingSteps(now time.Time) []pendingStep {
	var steps []pendingStep
	for j := range e.pendingJobs {
		found, beyond, policy := len(steps), j.beyond && e.customersOn(), e.policy(j)
		for _, r := range j.Progress.Rounds {
			for step := range r.Steps {
				idle := e.startableTasks(j, r, step)
				plain, suspect := splitSuspects(r.Steps[step], idle, j.Steps[step].Gang)
				if len(plain) > 0 {
					steps = append(steps, pendingStep{job: j, round: r, step: step, idleTasks: plain, beyond: beyond, lateness: latenessOf(now, j, r), service: policy.Service, priority: policy.Priority})
				}
				if len(suspect) > 0 {
					steps = append(steps, pendingStep{job: j, round: r, step: step, idleTasks: suspect, suspect: true, beyond: beyond, lateness: latenessOf(now, j, r), service: policy.Service, priority: policy.Priority})
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

// before reports whether ps is scheduled before other: by lateness, then those
// within their customer's weight, then priority, then the order in which the jobs
// arrived, then round and step, then the tasks without crash scores. With
// customers, their shares come before the order of arrival; see shareOrder.
func (ps *pendingStep) before(other *pendingStep) bool {
	switch {
	case ps.lateness != other.lateness:
		return ps.lateness < other.lateness
	case ps.beyond != other.beyond:
		return other.beyond
	case ps.priority != other.priority:
		return ps.priority < other.priority
	case ps.job != other.job:
		return ps.job.seq < other.job.seq
	case ps.round != other.round:
		return ps.round.Number < other.round.Number
	}
	if ps.step != other.step {
		return ps.step < other.step
	}
	return !ps.suspect && other.suspect
}

// latenessOf returns the lateness of a round: 0 within the job's objective or
// if there is none, 1 late, 2 too late to be useful. The age of a round counts
// from when it was due or the job was accepted, whichever came later.
func latenessOf(now time.Time, j *job, r *flow.Round) int {
	since := max(j.AcceptedMs, j.EarliestStartMs(r.Number))
	age := now.UnixMilli() - since
	switch {
	case j.objectiveMs <= 0 || age <= j.objectiveMs:
		return 0
	case age <= maxLateFactor*j.objectiveMs:
		return 1
	}
	return 2
}

// startableTasks returns the indexes of the idle tasks of a step, or nil if the
// steps that it depends on are not done, or if the step is a gang of which some
// tasks are not idle: a gang starts as a whole.
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

// placeStep places idle tasks of a step on workers that have free capacity and,
// if the queue needs them, valid tickets. For the remaining tasks it reserves
// capacity, preempts runs, and queries the placement service for tickets.
func (e *Engine) placeStep(p *schedulingPass, ps pendingStep) {
	st := &ps.job.Steps[ps.step]
	policy := e.policy(ps.job)
	p.stepsEvaluated++
	need := len(ps.idleTasks)
	if !policy.PlacementService.Required() {
		candidates := e.findCandidates(p, ps, st, policy, need)
		if need = e.claimable(p, ps, need-e.placeTasks(p, ps, st, candidates, nil)); need > 0 {
			e.reserveAndPreempt(p, ps, st, candidates, need)
		}
		return
	}
	sp := ps.job.stepPlacement(ps.round.Number, ps.step)
	ready, permitted := e.permittedCandidates(p, ps, st, policy, sp)
	if need = e.claimable(p, ps, need-e.placeTasks(p, ps, st, ready, sp)); need == 0 {
		return
	}
	if queryDuration(policy.PlacementService, minQueryWorkers) > maxQuickQuery {
		sp.nextEvaluation = p.now.Add(reevaluationPause)
	}
	chosen := e.reserveAndPreempt(p, ps, st, permitted, need)
	if len(sp.queriedBy) > 0 {
		return
	}
	workers := workersToRenew(p, sp, policy.PlacementService, chosen, st.Gang, e.maxNamedWorkers(p.now, st.Gang))
	if len(chosen) == 0 {
		if p.now.Before(sp.nextSearch) || !e.findsClient(p.now, ps.job.Queue, policy.PlacementService) {
			return
		}
		if workers = e.workersToQuery(p, ps, st, policy, sp, permitted, need); len(workers) == 0 {
			sp.nextSearch = p.now.Add(p.searchPause)
		}
	}
	if named := e.query(p.now, ps.job, ps.round.Number, ps.step, policy.PlacementService, workers); len(named) > 0 {
		e.softReserve(p, ps, named, need, p.now.Add(queryDuration(policy.PlacementService, maxQueryWorkers)+queryTimeoutSlack))
	}
}

// workersToRenew returns the IDs of the chosen workers whose tickets are no
// longer valid, as many as may be named at once. A gang starts as a whole, so
// its tickets must be valid at the same time: if it lacks one, the tickets that
// would expire before the answer are renewed too. The others are not, so that a
// gang on more workers than may be named at once gets all its tickets by
// consecutive queries.
func workersToRenew(p *schedulingPass, sp *stepPlacement, service flow.PlacementService, chosen []*candidate, gang bool, maxNames int) []string {
	answeredBy := p.now.Add(maxLongQueryWait + queryDuration(service, min(len(chosen), maxQueryWorkers)))
	var expired, expiring []string
	for _, c := range chosen {
		switch t := sp.tickets[c.worker.ID]; {
		case t.incarnation != c.worker.lastIncarnation || !p.now.Before(t.expires):
			expired = append(expired, c.worker.ID)
		case gang && t.expires.Before(answeredBy):
			expiring = append(expiring, c.worker.ID)
		}
	}
	if len(expired) == 0 {
		return nil
	}
	names := append(expired, expiring...)
	return names[:min(len(names), maxNames)]
}

// workersToQuery returns the IDs of workers to query for the first time for a
// step. They are enough workers for the tasks, given their free capacity and
// the share of workers that are allowed in this queue, and more for a gang and
// while naming them costs little beside the fixed time of the call. Workers come first whose
// free capacity no other step is about to use. Others follow as far as
// mayQueryWithoutRoom allows.
func (e *Engine) workersToQuery(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, sp *stepPlacement, permitted []*candidate, need int) []string {
	expectedFit := 0.0 // tasks that should fit on the named workers, and on the known ones of a gang
	if st.Gang {
		// These workers are queried again once the whole gang fits. Until then,
		// further workers are needed only for the tasks that do not fit on these.
		for _, c := range permitted {
			expectedFit += float64(c.fit + c.preemptFit)
		}
	}
	share := e.allowedShare(ps.job.Queue)
	minNames, maxNames := affordableQueryWorkers(policy.PlacementService), e.maxNamedWorkers(p.now, st.Gang)
	var names []string
	fits := func() bool { return expectedFit >= float64(need) }
	enough := fits
	if st.Gang {
		enough = func() bool { return expectedFit >= gangFitMargin*float64(need) }
	}
	var softReserved []*candidate // with room only in soft reservations of others
	full := e.visitCandidates(p, ps, st, policy, func(c *candidate) bool {
		if !sp.answered(c.worker) {
			if fit := fitBesideSoftReservations(p, ps, c); fit > 0 {
				names = append(names, c.worker.ID)
				expectedFit += float64(fit) * share * c.queryWeight(st)
			} else {
				softReserved = append(softReserved, c)
			}
		}
		// The room for a gang is counted over all workers, to know whether it fits.
		return !(enough() && len(names) >= minNames) && (st.Gang || len(names) < maxNames)
	})
	if !fits() && !e.mayQueryWithoutRoom(p, ps, st, policy, permitted) {
		if st.Gang {
			return nil // it could not start when the queries are answered
		}
		return names
	}
	for _, c := range append(softReserved, full...) {
		if fits() || len(names) >= maxNames {
			break
		}
		if !sp.answered(c.worker) {
			names = append(names, c.worker.ID)
			expectedFit += share
		}
	}
	return names[:min(len(names), maxNames)]
}

// knownRoomFactor is how many times the tasks of a step must fit on the workers
// that may run it, if these were idle, for the step to wait for free capacity
// there instead of querying about workers without any.
const knownRoomFactor = 2

// mayQueryWithoutRoom reports whether a step that does not fit into the free
// capacity may query about workers without any, to wait for capacity there. It
// may if the queries are quick, and otherwise until it knows enough workers. A
// gang must further be the one that may reserve capacity partially, which is
// recorded, unless its queries may name all workers at once, which bounds what
// they cost.
func (e *Engine) mayQueryWithoutRoom(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, permitted []*candidate) bool {
	if queryDuration(policy.PlacementService, maxQueryWorkers) <= maxQuickQuery {
		return true
	}
	perWorker, known := len(ps.idleTasks), 0
	if st.MaxPerWorker > 0 {
		perWorker = min(perWorker, st.MaxPerWorker)
	}
	for _, c := range permitted {
		known += fitCount(c.worker.attainable(), taskSize(st), perWorker)
	}
	if known >= knownRoomFactor*len(ps.idleTasks) {
		return false
	}
	if !st.Gang || p.service(ps.service).workers <= e.maxNamedWorkers(p.now, true) {
		return true
	}
	return e.fitsOnceTasksEnd(p.now, ps, st, len(ps.idleTasks)) && e.admitPartialReservation(p.now, ps)
}

// maxNamedWorkers returns how many workers the queries about a step that are in
// flight at the same time may name.
func (e *Engine) maxNamedWorkers(now time.Time, gang bool) int {
	if !gang {
		return maxQueryWorkers
	}
	return max(minGangQueries, e.longQueryClients(now)/clientsPerGangQuery) * maxQueryWorkers
}

// answered reports whether a query about the step has been answered for the
// worker.
func (sp *stepPlacement) answered(w *worker) bool {
	_, allowed := sp.tickets[w.ID]
	return allowed || sp.rejected[w.ID]
}

// placeTasks places idle tasks of the step on the candidates and returns how
// many. A gang is placed as a whole or not at all, all its tasks under one run
// number. The starts are ordered when the batch is stored. sp holds the
// tickets, nil if the queue needs none.
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
	e.countMoved(candidates, len(ps.idleTasks))
	placed := 0
	for _, c := range candidates {
		for ; c.fit > 0 && placed < len(ps.idleTasks); placed++ {
			i := ps.idleTasks[placed]
			t := &ps.round.Steps[ps.step][i]
			if !st.Gang {
				runNumber = t.Run
			}
			t.Phase, t.Run, t.Worker = flow.Placed, runNumber+1, c.worker.ID
			t.Incarnation, t.WorkerAddr = c.worker.lastIncarnation, c.worker.answeredAddr
			r := e.newRun(p.now, ps.job, TaskID{ps.job.ID, ps.round.Number, ps.step, i}, t, c.worker)
			if sp != nil {
				e.recordTicketUse(ps.job.Queue, sp, c.worker)
				r.ticket, r.ticketExpires = sp.tickets[c.worker.ID].value, sp.tickets[c.worker.ID].expires
			}
			e.unsavedStarts = append(e.unsavedStarts, r)
			c.fit--
			c.free = c.free.Sub(size)
			e.addEvent("placed", r.id, r.number, c.worker.ID, "", p.now.Sub(ps.job.addedAt))
		}
	}
	if placed > 0 {
		e.recordPlacement(p.now, ps, placed)
		e.releaseReservations(ps)
		e.unsavedJobs[ps.job] = true
	}
	return placed
}
