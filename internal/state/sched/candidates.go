package sched

import (
	"math"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// remoteDataPenalty is added to the rank of a worker outside the rack of a
// task's data, as a natural log of a ratio of run times: the usual factor is 2.
const remoteDataPenalty = 0.7

// candidate is a worker under consideration in one scheduling pass. Its fields
// that depend on a step are those of the step that was evaluated last.
type candidate struct {
	worker       *worker
	free         work.Size // capacity that no run uses
	rank         float64   // for any step; the lower the better
	available    work.Size // free, less what is reserved for other steps
	stepRank     float64   // rank for the step: rank plus the penalty for remote data, plus interference
	interference float64   // expected slowdown of and by a task of the step
	fit          int       // number of the step's tasks that fit without preemption
	preemptFit   int       // number of further tasks that fit with preemption
}

// schedulingPass is the state of one pass over the pending steps.
type schedulingPass struct {
	now            time.Time
	candidates     map[*worker]*candidate // by worker, of those visited so far; nil for an unusable worker
	lowestPriority int                    // the lowest priority (highest number) of any queue or pending step
	stepsEvaluated int                    // steps for which workers were evaluated
	services       map[string]*serviceUse
	roomDemand     map[string]roomDemand // of gangs, by service
	needsLongQuery bool                  // a step within its customer's weight waits for a long query
	compared       int                   // workers evaluated beyond those that fit a step's tasks, see comparison
	comparedLimit  int                   // bound on compared while a step's search is beyond these, else 0
	searchPause    time.Duration         // pause of a step after a search for workers to query that found none
}

// candidate returns the pass's candidate for a worker, nil if no task may start
// on the worker.
func (p *schedulingPass) candidate(w *worker) *candidate {
	c, ok := p.candidates[w]
	if !ok {
		if w.usable(p.now) {
			c = &candidate{worker: w, free: w.Capacity.Sub(w.used), rank: w.rank}
		}
		p.candidates[w] = c
	}
	return c
}

// usable reports whether tasks may start on the worker. After a restart its
// capacity is unknown until the list of workers contains the new incarnation.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.Draining && w.reachable() && w.unknownRuns == 0 && !now.Before(w.excludedUntil) && w.entryIsCurrent()
}

// taskSize returns the capacity that a task of the step uses on a worker. CPU
// is not reserved for filling tasks.
func taskSize(st *flow.Step) work.Size {
	size := st.Size
	if st.Filling {
		size.CPU = 0
	}
	return size
}

// evaluate sets the fit and the rank of a candidate for the step. It reports
// whether the worker may run idle tasks of the step at all, whatever is free
// there now.
func (e *Engine) evaluate(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, c *candidate) bool {
	size := taskSize(st)
	if c.worker.Service != policy.Service || !size.FitsIn(c.worker.Capacity) || (st.Label != "" && !c.worker.hasLabel(st.Label)) {
		return false
	}
	if st.Gang && p.now.Before(c.worker.suspectUntil) {
		return false // one failed member fails the whole gang
	}
	if ps.suspect && c.worker.hasSuspectOfOtherJob(ps.job) {
		return false
	}
	if st.Filling && c.worker.throttle.speedPercent() < minPlacementPercent {
		return false
	}
	if t := &ps.round.Steps[ps.step][ps.idleTasks[0]]; t.FailedRuns > 0 && t.Worker == c.worker.ID && ps.avoidsFailedWorker(p.now) {
		return false
	}
	maxFit := len(ps.idleTasks)
	if st.MaxPerWorker > 0 {
		maxFit = min(maxFit, st.MaxPerWorker-countPlaced(ps, c.worker))
	}
	c.available = c.free.Sub(e.reservedForOthers(p.now, c.worker, ps))
	if ps.backfills && c.available.CPU > 0 {
		c.available.CPU %= p.roomDemand[ps.service].taskCPU
	}
	c.fit, c.preemptFit, c.stepRank = fitCount(c.available, size, maxFit), 0, c.rank
	if st.DataRack != "" && c.worker.Rack != st.DataRack {
		c.stepRank += remoteDataPenalty
	}
	c.interference = e.interference(p.now, st, c.worker)
	c.stepRank += c.interference
	return maxFit > 0
}

// failedWorkerTime is how long a task that failed is kept from the worker on
// which it failed, in case the worker is at fault. It is limited because that
// may be the only worker that can run the task, or one without which its gang
// does not fit.
const failedWorkerTime = 2 * time.Second

// avoidsFailedWorker reports whether the step's tasks that failed are kept from
// the workers on which they failed.
func (ps pendingStep) avoidsFailedWorker(now time.Time) bool {
	return now.Before(ps.job.stepPlacement(ps.round.Number, ps.step).lastFailure.Add(failedWorkerTime))
}

// countPlaced returns the number of the step's tasks that are placed on a
// worker.
func countPlaced(ps pendingStep, w *worker) int {
	n := 0
	for i := range ps.round.Steps[ps.step] {
		if t := &ps.round.Steps[ps.step][i]; t.Phase == flow.Placed && t.Worker == w.ID {
			n++
		}
	}
	return n
}

// findCandidates returns candidates for a step that needs no tickets, best
// first. If racks do not matter to the step, it stops at as many as fit all
// tasks, or at some more if tasks on them would be slowed down. Otherwise, or if
// the tasks do not all fit, candidates on which none fits now follow.
func (e *Engine) findCandidates(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, need int) []*candidate {
	var out []*candidate
	found := comparison{}
	full := e.visitCandidates(p, ps, st, policy, func(c *candidate) bool {
		out = append(out, c)
		// Workers are visited in order of rank, which is the order for the step too
		// unless interference or racks matter to it; if racks do, all candidates have
		// to be compared.
		return st.DataRack != "" || st.PreferOneRack || found.add(p, c, need)
	})
	p.comparedLimit = 0
	if found.undisturbed == found.fit && found.fit >= need && st.DataRack == "" && !st.PreferOneRack {
		return out
	}
	return sortCandidates(append(out, full...), ps, st)
}

// visitCandidates calls visit with each candidate on which a task of the step
// fits, best rank first, until visit returns false. If it never does,
// visitCandidates returns the candidates on which none fits now, else nil.
func (e *Engine) visitCandidates(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, visit func(c *candidate) bool) (full []*candidate) {
	stopped := false
	visitWorker := func(w *worker) bool {
		if !p.mayCompare() {
			stopped = true
			return false
		}
		c := p.candidate(w)
		switch {
		case c == nil || !e.evaluate(p, ps, st, policy, c):
		case c.fit == 0:
			full = append(full, c)
		default:
			stopped = !visit(c)
		}
		return !stopped
	}
	from := cpuLevelOf(taskSize(st).CPU)
	e.index.visit(from, cpuLevels, visitWorker)
	if stopped {
		return nil
	}
	e.index.visit(0, from, visitWorker)
	return full
}

// permittedCandidates returns the candidates that the placement service has
// allowed for the step (permitted), and those of them that have a valid ticket
// and free capacity (ready), both best first.
func (e *Engine) permittedCandidates(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, sp *stepPlacement) (ready, permitted []*candidate) {
	for id := range sp.tickets {
		w := e.workers[id]
		if w == nil {
			continue
		}
		if c := p.candidate(w); c != nil && e.evaluate(p, ps, st, policy, c) {
			permitted = append(permitted, c)
		}
	}
	sort.Slice(permitted, func(i, k int) bool { return permitted[i].worker.ID < permitted[k].worker.ID })
	permitted = sortCandidates(permitted, ps, st)
	for _, c := range permitted {
		if t := sp.tickets[c.worker.ID]; t.incarnation == c.worker.lastIncarnation && p.now.Before(t.expires) && c.fit > 0 {
			ready = append(ready, c)
		}
	}
	return ready, permitted
}

// sortCandidates sorts candidates in place and returns them: those on which a
// task fits come first, then the lower rank. For a step that prefers one rack,
// the best rack that fits all its tasks comes before the others.
func sortCandidates(candidates []*candidate, ps pendingStep, st *flow.Step) []*candidate {
	sort.SliceStable(candidates, func(i, k int) bool {
		if (candidates[i].fit > 0) != (candidates[k].fit > 0) {
			return candidates[i].fit > 0
		}
		return candidates[i].stepRank < candidates[k].stepRank
	})
	if st.PreferOneRack {
		return preferOneRack(candidates, len(ps.idleTasks))
	}
	return candidates
}

func (w *worker) hasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return w.Kind == label || w.Rack == label
}

// fitCount returns how many tasks of a size fit in free, at most maxFit.
func fitCount(free, size work.Size, maxFit int) int {
	n := int64(maxFit)
	if free.CPU < 0 || free.Memory < 0 || free.Accelerators < 0 {
		return 0
	}
	if size.CPU > 0 {
		n = min(n, free.CPU/size.CPU)
	}
	if size.Memory > 0 {
		n = min(n, free.Memory/size.Memory)
	}
	if size.Accelerators > 0 {
		n = min(n, free.Accelerators/size.Accelerators)
	}
	return int(n)
}

// preferOneRack moves the candidates of one rack to the front: of the racks
// that fit all tasks, the one with the best mean rank over the tasks. It
// changes nothing if no rack fits them all.
func preferOneRack(candidates []*candidate, need int) []*candidate {
	fit, rankSum := map[string]int{}, map[string]float64{}
	for _, c := range candidates {
		n := min(c.fit, need-fit[c.worker.Rack])
		fit[c.worker.Rack] += n
		rankSum[c.worker.Rack] += float64(n) * c.stepRank
	}
	best, bestRank := "", math.Inf(1)
	for rack, n := range fit {
		if r := rankSum[rack] / float64(max(n, 1)); n >= need && (r < bestRank || (r == bestRank && rack < best)) {
			best, bestRank = rack, r
		}
	}
	if best == "" {
		return candidates
	}
	sort.SliceStable(candidates, func(i, k int) bool { return candidates[i].worker.Rack == best && candidates[k].worker.Rack != best })
	return candidates
}

// totalFit returns the number of tasks that fit on the candidates together.
func totalFit(candidates []*candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.fit
	}
	return n
}
