package sched

import (
	"math"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// remoteDataPenalty is the cost of running away from a task's data, as the log of a ratio
// of run time: the usual factor is 2.
const remoteDataPenalty = 0.7

// candidate is the room of a worker during one pass of decisions.
type candidate struct {
	worker     *worker
	free       work.Size
	rank       float64 // the lower the better, for any step
	stepRank   float64 // rank with what the step under decision adds
	fit        int     // tasks of that step that it can take
	preemptFit int     // further ones if tasks of lower priority give way
}

// schedulingPass is one round of decisions.
type schedulingPass struct {
	now            time.Time
	candidates     map[*worker]*candidate // of the workers looked at so far; nil for one that is not open
	lowestPriority int                    // the lowest priority (highest number) of any queue
	stepsEvaluated int                    // steps for which workers were looked at
}

// candidate gives the room of a worker that is open for starts, nil if it is not.
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

// usable reports whether tasks may start on the worker. After a restart its size
// is known only when the list tells of the new incarnation.
func (w *worker) usable(now time.Time) bool {
	return w.listed && !w.Draining && w.reachable() && w.unknownRuns == 0 && !now.Before(w.excludedUntil) &&
		(w.Boot == 0 || w.Boot == w.lastIncarnation)
}

func taskSize(st *flow.Step) work.Size {
	size := st.Size
	if st.Filling {
		size.CPU = 0
	}
	return size
}

// evaluate works out what a worker can take of the step; false if it never may.
func (e *Engine) evaluate(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, c *candidate) bool {
	size := taskSize(st)
	if c.worker.Service != policy.Service || !size.Within(c.worker.Capacity) || (st.Label != "" && !c.worker.hasLabel(st.Label)) {
		return false
	}
	if st.Filling && c.worker.throttle.speedPercent() < minPlacementPercent {
		return false
	}
	// A task that failed goes elsewhere if it can, in case its worker is at fault.
	if t := &ps.round.Steps[ps.step][ps.idleTasks[0]]; t.Fails > 0 && t.Worker == c.worker.ID && len(e.workersByID) > 1 {
		return false
	}
	maxFit := len(ps.idleTasks)
	if st.MaxPerWorker > 0 {
		maxFit = min(maxFit, st.MaxPerWorker-countPlaced(ps, c.worker))
	}
	c.fit, c.preemptFit, c.stepRank = fitCount(c.free.Sub(e.reservedForOthers(p.now, c.worker, ps)), size, maxFit), 0, c.rank
	if st.DataRack != "" && c.worker.Rack != st.DataRack {
		c.stepRank += remoteDataPenalty
	}
	return maxFit > 0
}

// countPlaced counts the tasks of the step on a worker.
func countPlaced(ps pendingStep, w *worker) int {
	n := 0
	for i := range ps.round.Steps[ps.step] {
		if t := &ps.round.Steps[ps.step][i]; t.Phase == flow.Placed && t.Worker == w.ID {
			n++
		}
	}
	return n
}

// findCandidates gives workers for a step that needs no tickets: those with room first,
// as many as suffice.
func (e *Engine) findCandidates(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, need int) []*candidate {
	var out []*candidate
	fit := 0
	full := e.visitCandidates(p, ps, st, policy, func(c *candidate) bool {
		out = append(out, c)
		// The order holds for any step, unless where it runs matters.
		fit += c.fit
		return fit < need || st.DataRack != "" || st.OneRack
	})
	if fit >= need && st.DataRack == "" && !st.OneRack {
		return out
	}
	return sortCandidates(append(out, full...), ps, st)
}

// visitCandidates calls visit with the candidates that have room for a task of the step, best
// first, until it gives false. If it never does, the candidates without room are given.
func (e *Engine) visitCandidates(p *schedulingPass, ps pendingStep, st *flow.Step, policy flow.Policy, visit func(c *candidate) bool) (full []*candidate) {
	stopped := false
	visitWorker := func(w *worker) bool {
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

// permittedCandidates gives the workers that are known to be allowed, and those of them
// whose tickets hold.
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

// sortCandidates sorts candidates: those with room first, the best first.
func sortCandidates(candidates []*candidate, ps pendingStep, st *flow.Step) []*candidate {
	sort.SliceStable(candidates, func(i, k int) bool {
		if (candidates[i].fit > 0) != (candidates[k].fit > 0) {
			return candidates[i].fit > 0
		}
		return candidates[i].stepRank < candidates[k].stepRank
	})
	if st.OneRack {
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

// preferOneRack puts the workers of the rack first that holds all tasks with the
// best mean rank, if there is one.
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

func totalFit(candidates []*candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.fit
	}
	return n
}
