package sched

import (
	"math"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/pairs"
)

// Bounds of the effect of interference on placement.
const (
	// maxInterference bounds what is added to a candidate's rank, so that it
	// never outweighs slowWorkerThreshold.
	maxInterference = 1.5
	// minInterference is the slowdown below which tasks count as undisturbed: a
	// search for a better worker is not worth its cost.
	minInterference = 0.02
	// maxVictimWeight bounds the weight of the tasks that a new task slows down.
	// They count by their CPU over that of the new task, which is the ratio of the
	// work lost.
	maxVictimWeight = 4
	// latencyWeight is the weight of tasks with a latency target beside that:
	// they lose more than work.
	latencyWeight = 2
	// maxCompared is the number of workers that a step evaluates beyond those that
	// fit its tasks, in search of workers without interference, and
	// maxComparedPerPass that of all steps of a pass.
	maxCompared        = 128
	maxComparedPerPass = 1024
	// topPairs is the number of pairs in Stats.
	topPairs = 5
)

// latencyNoise is the variance of the log of one reported response time, which
// is a rough figure for the last half second.
const latencyNoise = 0.04

// observeReport updates the CPU in use by images on the worker, and observes the
// response times of the tasks with a latency target and an image.
func (e *Engine) observeReport(now time.Time, w *worker, list []Running) {
	if w.images == nil || w.Capacity.CPU <= 0 {
		return
	}
	for _, entry := range list {
		if r := w.listedRun(entry); r != nil {
			w.images.setUse(r, min(r.usedCPU(entry.Load), float64(w.Capacity.CPU)))
		}
	}
	for _, entry := range list {
		r := w.listedRun(entry)
		if r == nil || entry.Load <= 0 {
			continue
		}
		st := &r.job.Steps[r.id.Step]
		if victimOf(st).Batch {
			continue
		}
		e.pairs.Observe(now, pairs.Sample{
			Victim: victimOf(st), LogRatio: math.Log(entry.Load/float64(st.LatencyTargetMs)) - w.LogSlowdown,
			// Jobs with the same image may have different targets and clients.
			Group: w.ID + "/" + r.job.ID, GroupVariance: w.slowdownVariance(),
			Noise: latencyNoise, Others: w.imagesBeside(st.Image),
		})
	}
}

// listedRun returns the run of an entry if its step has an image, else nil.
func (w *worker) listedRun(entry Running) *run {
	r := w.runs[entry.Task]
	if r == nil || r.number != entry.Run || r.job.Steps[r.id.Step].Image == "" {
		return nil
	}
	return r
}

// usedCPU returns the CPU that a run uses, in thousandths of a core. load is
// that of its entry in a report; if it doesn't tell, the request counts.
func (r *run) usedCPU(load float64) float64 {
	st := &r.job.Steps[r.id.Step]
	switch {
	case victimOf(st).Batch && load > 0:
		return load * 1000
	case st.Filling && r.speedPercent != unknownSpeedPercent:
		return float64(st.Size.CPU) * float64(r.speedPercent) / 100
	}
	return float64(st.Size.CPU)
}

// noteImagesBeside records which images run beside a batch task that has
// started. Those that start later do not count: a task that takes long for any
// other reason sees more of them, and was then taken to be slowed down by them.
func (r *run) noteImagesBeside() {
	st, w := &r.job.Steps[r.id.Step], r.worker
	if st.Image == "" || st.LongRunning || st.Gang || r.adopted || w.Capacity.CPU <= 0 {
		return
	}
	r.beside = append([]pairs.Use{}, w.imagesBeside(st.Image)...)
}

// observeRunTime observes the run time of a batch task that has ended, as the
// log of its ratio to what is expected in its queue. Neither the speed of the
// worker nor what the estimate of the step is off by counts: the known speed is
// subtracted, the larger unknown of the two is the group effect, and the other
// one counts as noise.
func (e *Engine) observeRunTime(now time.Time, r *run, st *flow.Step, logRatio float64) {
	if r.beside == nil {
		return
	}
	w := r.worker
	s := pairs.Sample{Victim: victimOf(st), LogRatio: logRatio - w.LogSlowdown, Others: r.beside}
	ofWorker, ofStep := w.slowdownVariance(), e.ensureQueueEstimates(r.job.Queue).stepVariance()
	if st.Count == 1 || ofWorker > ofStep {
		s.Group, s.GroupVariance, s.Noise = w.ID, ofWorker, taskVariance+ofStep
	} else {
		s.Group, s.GroupVariance, s.Noise = r.id.StepName(), ofStep, taskVariance+ofWorker
	}
	e.pairs.Observe(now, s)
}

// stepVariance returns the variance that is common to the tasks of a step: the
// whole of what run times deviate by in the queue, but for the differences
// between tasks. estimateVariance, which also takes off what workers may differ
// by, is too low where they differ less: wrong estimates were then learned as
// interference.
func (q *QueueEstimates) stepVariance() float64 {
	return max(minEstimateVariance, math.Pi/2*q.Deviation*q.Deviation-taskVariance)
}

// interference returns the expected slowdown, as the log of a factor, of a new
// task of the step on the worker by the tasks there, and of these by the new
// task.
func (e *Engine) interference(now time.Time, st *flow.Step, w *worker) float64 {
	if st.Image == "" || w.images == nil || w.Capacity.CPU <= 0 || !e.pairs.Involves(st.Image) {
		return 0
	}
	victim, capacity, request := victimOf(st), float64(w.Capacity.CPU), float64(st.Size.CPU)
	sum := 0.0
	for _, u := range w.images.uses {
		if u.victim.Image == st.Image || !e.pairs.Involves(u.victim.Image) {
			continue
		}
		cpu := u.cpu
		if w.throttle.reductionPercent > 0 {
			cpu = u.request // what throttled tasks use now is less than they would
		}
		sum += e.pairs.Coefficient(now, victim, u.victim.Image) * cpu / capacity
		if request <= 0 {
			continue
		}
		weight := min(u.request/request, maxVictimWeight)
		if !u.victim.Batch {
			weight = latencyWeight * max(weight, 1)
		}
		sum += e.pairs.Coefficient(now, u.victim, st.Image) * request / capacity * weight
	}
	if sum < minInterference {
		return 0
	}
	return min(sum, maxInterference)
}

// comparison counts the tasks that fit on the visited candidates of a step.
type comparison struct {
	fit         int // on all
	undisturbed int // on those without interference
}

// add counts a candidate and reports whether the search for candidates for need
// tasks goes on. It stops as soon as all tasks fit on candidates without
// interference, or on any, if as many more workers have been evaluated as may be.
func (m *comparison) add(p *schedulingPass, c *candidate, need int) bool {
	m.fit += c.fit
	if c.interference == 0 {
		m.undisturbed += c.fit
	}
	if m.fit < need || m.undisturbed >= need {
		return m.fit < need
	}
	if p.comparedLimit == 0 {
		p.comparedLimit = min(p.compared+maxCompared, maxComparedPerPass)
	}
	return p.compared < p.comparedLimit
}

// mayCompare counts a worker that is evaluated, and reports whether the bound on
// such workers, if one is in force, permits it.
func (p *schedulingPass) mayCompare() bool {
	if p.comparedLimit == 0 {
		return true
	}
	p.compared++
	return p.compared <= p.comparedLimit
}

// queryWeight returns the share of the tasks that fit on a candidate to count
// when workers to query are chosen. With interference it is less than 1, so
// that workers without are queried too. A gang needs all that fit.
func (c *candidate) queryWeight(st *flow.Step) float64 {
	if c.interference == 0 || st.Gang {
		return 1
	}
	return 0.5
}

// countMoved counts the tasks of a step that are about to be placed elsewhere
// than they would be without regard to interference.
func (e *Engine) countMoved(candidates []*candidate, tasks int) {
	disturbed := false
	for _, c := range candidates {
		disturbed = disturbed || c.interference > 0
	}
	if !disturbed {
		return
	}
	plain := append([]*candidate(nil), candidates...)
	sort.SliceStable(plain, func(i, k int) bool {
		return plain[i].stepRank-plain[i].interference < plain[k].stepRank-plain[k].interference
	})
	wouldGo, left := map[*candidate]int{}, tasks
	for _, c := range plain {
		wouldGo[c] = min(c.fit, left)
		left -= wouldGo[c]
	}
	for _, c := range candidates {
		n := min(c.fit, tasks)
		tasks -= n
		e.activity.TasksMoved += max(0, n-wouldGo[c])
	}
}

// Bounds of slowing down the filling tasks of one image only.
const (
	// causeFactor is how many times the effect of all other filling tasks that
	// of one image must be for that image to be the cause.
	causeFactor = 2
	// causeMinPercent is the lowest speed of the cause before the others are
	// slowed down too. It leaves two changes of speed in which the load may fall.
	causeMinPercent = 25
)

// throttleCause returns the image of the filling runs that clearly cause the
// load of the given run, empty if none does, or if too little is known of any
// of them.
func (e *Engine) throttleCause(now time.Time, w *worker, victim *run, filling []*run) string {
	if victim == nil || w.Capacity.CPU <= 0 {
		return ""
	}
	v := victimOf(&victim.job.Steps[victim.id.Step])
	if !e.pairs.Involves(v.Image) {
		return ""
	}
	effects := map[string]float64{}
	total, most, cause := 0.0, 0.0, ""
	for _, r := range filling {
		image := r.job.Steps[r.id.Step].Image
		if !e.pairs.Observed(v, image) {
			return ""
		}
		effect := e.pairs.Coefficient(now, v, image) * r.cpuInUse
		total += effect
		if effects[image] += effect; effects[image] > most {
			most, cause = effects[image], image
		}
	}
	if most < causeFactor*(total-most) {
		return ""
	}
	return cause
}

// updateThrottleCause sets which image's tasks are slowed down, after the speed
// has changed from before: that of the cause first, and those of all images if
// that did not help.
func (e *Engine) updateThrottleCause(now time.Time, w *worker, before int, victim *run, filling []*run) {
	if w.images == nil {
		return
	}
	switch percent := w.throttle.speedPercent(); {
	case percent == fullSpeedPercent || percent < min(before, causeMinPercent):
		w.images.cause = ""
	case before == fullSpeedPercent:
		w.images.cause = e.throttleCause(now, w, victim, filling)
	}
}

// fillingSpeed returns the speed at which a filling run on the worker may run.
func (w *worker) fillingSpeed(r *run) int {
	if w.images != nil && w.images.cause != "" && r.job.Steps[r.id.Step].Image != w.images.cause {
		return fullSpeedPercent
	}
	return w.throttle.speedPercent()
}
