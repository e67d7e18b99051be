package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/share"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// account is the state of one customer. The jobs without a customer have one
// account, which has no quota.
type account struct {
	flow.Customer           // as in the newest configuration that has the customer
	listed        bool      // the newest configuration has it
	used          work.Size // declared sizes of its runs that are not known to have ended
	lasting       work.Size // of those that run until their job is cancelled
	runs          int       // number of these runs
	bucket        share.Bucket
	activity      customerActivity

	// The following are those of one scheduling pass.

	// claimed is what steps could not place yet and have reserved or queried for.
	// claimedNotFirm is the part by reservations that are not firm.
	claimed, claimedNotFirm work.Size
	// held is kept within the quota for a waiting gang. Steps that come after it
	// would otherwise use what each run leaves, which is never enough for a gang.
	held work.Size
	// heldFirm is whether held keeps the quota also from steps that have waited
	// long; nil if that is not known yet.
	heldFirm *bool
}

// customerActivity counts decisions on the jobs of a customer in this term.
type customerActivity struct {
	jobsBeyond, preempted, dropped int
}

// account returns the account of a customer. It adds one if there is none.
func (e *Engine) account(name string) *account {
	a := e.accounts[name]
	if a == nil {
		a = &account{Customer: flow.Customer{Name: name}}
		e.accounts[name] = a
	}
	return a
}

// customersOn reports whether jobs are ordered by their customers' shares.
func (e *Engine) customersOn() bool { return e.config != nil && e.config.CustomersOn }

// setCustomers takes the customers from the configuration in force. Jobs without
// a customer share as one customer of mean weight.
func (e *Engine) setCustomers() {
	if e.config == nil {
		return
	}
	changed := false
	listed := map[string]bool{}
	e.totalWeight = 0
	for i := range e.config.Customers {
		c := &e.config.Customers[i]
		if listed[c.Name] || c.Name == "" {
			continue
		}
		listed[c.Name] = true
		a := e.account(c.Name)
		changed = changed || !a.listed || a.Weight != c.Weight
		a.Customer, a.listed = *c, true
		e.totalWeight += max(c.Weight, 0)
	}
	for name, a := range e.accounts {
		if !listed[name] {
			changed = changed || a.listed
			a.Customer, a.listed = flow.Customer{Name: name}, false
		}
	}
	if len(listed) > 0 {
		e.account("").Weight = e.totalWeight / float64(len(listed))
	}
	if changed {
		e.recomputeBeyond()
	}
}

// recomputeBeyond decides anew which jobs are beyond their customers' weights.
// The decision depends only on the jobs and the weights in force, so that a later
// leader makes the same one.
func (e *Engine) recomputeBeyond() {
	jobs := make([]*job, 0, len(e.jobs))
	for _, j := range e.jobs {
		jobs = append(jobs, j)
	}
	sort.Slice(jobs, func(i, k int) bool { return jobs[i].seq < jobs[k].seq })
	for _, a := range e.accounts {
		a.bucket = share.Bucket{}
	}
	for _, j := range jobs {
		j.beyond = e.isBeyond(j)
	}
}

// isBeyond reports whether a job exceeds the rate that its customer's weight
// guarantees, and counts the job. It must be called for jobs in the order in which
// they arrived. A customer without a weight has no such rate.
func (e *Engine) isBeyond(j *job) bool {
	a := j.account
	if e.params.ShareWindow <= 0 || a.Name == "" || !a.listed || a.Weight <= 0 {
		return false
	}
	return !a.bucket.Take(j.AcceptedMs, a.Weight, e.params.ShareWindow.Seconds())
}

// SetConfigTime sets as of when the configuration is known: when the newest read
// was sent that reached the end of its log.
func (e *Engine) SetConfigTime(at time.Time) { e.configAt = at }

// configIsCurrent reports whether the configuration is recent enough for starts of
// customers with a quota.
func (e *Engine) configIsCurrent(now time.Time) bool {
	return e.params.MaxConfigAge == 0 || now.Sub(e.configAt) <= e.params.MaxConfigAge
}

// quota returns the bound on what the customer of a job may have running: that in
// the configuration, or the one under which the job was accepted if the
// configuration no longer has the customer.
func (e *Engine) quota(j *job) work.Size {
	if j.account.listed {
		return j.account.MaxRunning
	}
	return j.MaxRunning
}

// quotaFit returns how many idle tasks of a step, at most n, its customer's quota
// allows beside its runs and the given size. For a gang that is all of them or 0.
func (e *Engine) quotaFit(now time.Time, ps pendingStep, n int, beside work.Size) int {
	quota, st := e.quota(ps.job), &ps.job.Steps[ps.step]
	if quota == (work.Size{}) {
		return n
	}
	if !e.configIsCurrent(now) {
		return 0
	}
	fit := share.Fit(ps.job.account.used.Add(beside), st.Size, quota, n)
	if st.Gang && fit < n {
		return 0
	}
	return fit
}

// quotaAllows reports whether the customer of a placed run may still start it:
// its runs, this one included, are within the quota, which is known.
func (e *Engine) quotaAllows(now time.Time, r *run) bool {
	quota := e.quota(r.job)
	return quota == (work.Size{}) || (e.configIsCurrent(now) && share.Fit(r.job.account.used, work.Size{}, quota, 1) == 1)
}

// countRun adds a run to the usage of its customer, or removes it. The declared
// CPU of filling tasks counts although workers don't reserve it.
func (a *account) countRun(st *flow.Step, sign int64) {
	size := st.Size.Times(sign)
	a.used = a.used.Add(size)
	a.runs += int(sign)
	if st.LongRunning {
		a.lasting = a.lasting.Add(size)
	}
}

// evaluateStep evaluates workers for a step, as far as its customer's quota allows
// starts. It does nothing if that can't lead to a start, a reservation or a query.
func (e *Engine) evaluateStep(p *schedulingPass, ps pendingStep) {
	a, st := ps.job.account, &ps.job.Steps[ps.step]
	ps.waitedLong = (st.LongRunning || p.service(ps.service).mostlyIdle()) && ps.waited(p.now) >= maxWaitBesideGangs
	n := e.quotaFit(p.now, ps, len(ps.idleTasks), e.heldQuota(p.now, ps))
	if n == 0 {
		e.releaseAll(ps)
		e.holdQuota(p, ps, len(ps.idleTasks))
		return
	}
	sp := ps.job.placements[ps.round.Number][ps.step]
	if (sp == nil || len(sp.tickets) == 0) && e.claimable(p, ps, n) == 0 && e.policy(ps.job).PlacementService.Required() {
		return // it could only query for tickets
	}
	if n < len(ps.idleTasks) {
		ps.idleTasks, ps.cut = ps.idleTasks[:n], true
	}
	if ps.beyond && (sp == nil || len(sp.tickets) == 0) && p.needsLongQuery && e.needsLongQueries(ps) {
		return
	}
	ps.backfills = !ps.waitedLong && e.mayOnlyBackfill(p.now, ps, p.roomDemand)
	runsBefore := a.runs
	// Capacity is reserved for a gang before any of its tasks fits, and runs may
	// be preempted for a step that is not of the lowest priority.
	evaluated := (st.Gang || ps.priority < p.lowestPriority || e.index.mayFit(taskSize(st))) && e.canProgress(p, ps)
	if evaluated {
		if ps.cut {
			e.releaseReservations(ps) // of tasks that the quota no longer allows
		}
		e.placeStep(p, ps)
	}
	if n -= a.runs - runsBefore; n == 0 {
		return
	}
	expectsRoom := e.expectsRoom(ps)
	if (evaluated || expectsRoom || e.pausesEvaluation(p.now, ps)) && e.holdQuota(p, ps, n) {
		return
	}
	if expectsRoom {
		claim := st.Size.Times(int64(e.claimable(p, ps, n)))
		a.claimed = a.claimed.Add(claim)
		if sp := ps.job.placements[ps.round.Number][ps.step]; p.now.Before(sp.reservedUntil) && !p.now.Before(sp.firmUntil) {
			a.claimedNotFirm = a.claimedNotFirm.Add(claim)
		}
	}
}

// claimable returns how many of n tasks of a step that could not be placed may
// have capacity reserved, runs preempted and tickets queried for: those that the
// quota allows beside what earlier steps of the pass wait for. A step that has
// waited long leaves nothing to claims by reservations that are not firm.
func (e *Engine) claimable(p *schedulingPass, ps pendingStep, n int) int {
	claimed := ps.job.account.claimed
	if ps.waitedLong {
		claimed = claimed.Sub(ps.job.account.claimedNotFirm)
	}
	return e.quotaFit(p.now, ps, n, claimed.Add(e.heldQuota(p.now, ps)))
}

// heldQuota returns what the step has to leave of its customer's quota to a gang.
// A step that has waited long leaves nothing if the gang waits for long runs, or if
// its own tasks are long-running.
func (e *Engine) heldQuota(now time.Time, ps pendingStep) work.Size {
	a := ps.job.account
	if !ps.waitedLong || a.held == (work.Size{}) {
		return a.held
	}
	if a.heldFirm == nil {
		firm := share.Fit(e.usedByLongRuns(now, a), a.held, e.quota(ps.job), 1) == 1
		a.heldFirm = &firm
	}
	if *a.heldFirm && !ps.job.Steps[ps.step].LongRunning {
		return a.held
	}
	return work.Size{}
}

// holdQuota keeps a part of the customer's quota for a waiting gang, one at a time,
// if the gang fits into it and on the workers once tasks end by themselves. It
// reports whether it does. A gang without an objective is never late, so it could
// hold the quota for ever.
func (e *Engine) holdQuota(p *schedulingPass, ps pendingStep, n int) bool {
	a, st, quota := ps.job.account, &ps.job.Steps[ps.step], e.quota(ps.job)
	if !st.Gang || ps.beyond || ps.lateness > 1 || ps.job.objectiveMs <= 0 || quota == (work.Size{}) || a.held != (work.Size{}) {
		return false
	}
	if share.Fit(a.lasting, st.Size, quota, n) < n || !e.fitsOnceTasksEnd(p.now, ps, st, n) {
		return false
	}
	a.held = st.Size.Times(int64(n))
	return true
}

// expectsRoom reports whether a query about the step is in flight or capacity is
// reserved for it. Other steps may wait for ever, so they claim nothing.
func (e *Engine) expectsRoom(ps pendingStep) bool {
	sp := ps.job.placements[ps.round.Number][ps.step]
	return sp != nil && len(sp.queriedBy)+len(sp.reservedOn) > 0
}

// pausesEvaluation reports whether the step was evaluated shortly before and is
// not evaluated again until the pause ends.
func (e *Engine) pausesEvaluation(now time.Time, ps pendingStep) bool {
	sp := ps.job.placements[ps.round.Number][ps.step]
	return sp != nil && now.Before(sp.nextEvaluation)
}

// queried reports whether a query about the step is in flight.
func (e *Engine) queried(ps pendingStep) bool {
	sp := ps.job.placements[ps.round.Number][ps.step]
	return sp != nil && len(sp.queriedBy) > 0
}

// releaseAll removes the reservations and soft reservations of a step.
func (e *Engine) releaseAll(ps pendingStep) {
	sp := ps.job.placements[ps.round.Number][ps.step]
	if sp == nil {
		return
	}
	if len(sp.reservedOn) > 0 || len(e.partialReservations) > 0 {
		e.releaseReservations(ps)
	}
	sp.releaseSoftReservations(ps.stepID())
}

// shareAllowance is the multiple of its fair share up to which a customer goes by
// arrival like the others. Weights are guaranteed rates of some 1.9 times the usual
// one, so on a site that is usually four fifths busy a customer may use 1.5 times
// its fair share without sending more than is guaranteed. Ordered by shares below
// that, some come too late of a burst that serves everybody in time by arrival.
const shareAllowance = 2

// excessShare returns the share by which the steps of the customer are ordered:
// how far what it has running, and what its steps in this pass wait for, exceeds
// its allowance. The fair share counts as at least that of an equal division, since
// one job may exceed that of a small customer.
func (e *Engine) excessShare(a *account) float64 {
	fair := max(e.fairShare(a), 1/float64(max(1, len(e.config.Customers))))
	return share.Excess(a.used.Add(a.claimed).Add(a.held), e.capacity, shareAllowance*fair, a.Weight)
}

// fairShare returns the share of all workers that the customer's weight entitles
// it to.
func (e *Engine) fairShare(a *account) float64 {
	if e.totalWeight <= 0 {
		return 0
	}
	return a.Weight / e.totalWeight
}

// mayPreemptRun reports whether the customer of a step may have a run of another
// one preempted: never by work beyond its weight, nor by a customer that has more
// than its share from one that has less.
func (e *Engine) mayPreemptRun(ps pendingStep, r *run) bool {
	if !e.customersOn() || ps.job.account == r.job.account {
		return !ps.beyond
	}
	by, of := ps.job.account, r.job.account
	above := share.Dominant(by.used, e.capacity) > e.fairShare(by)
	below := share.Dominant(of.used, e.capacity) < e.fairShare(of)
	return !ps.beyond && !(above && below)
}
