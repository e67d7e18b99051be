package sched

import "time"

// Bounds of slowing filling tasks down.
const (
	// throttleInterval is the time between two changes on a worker: what its tasks report
	// is a figure for the last half second.
	throttleInterval = 700 * time.Millisecond
	// slowDownLoad and speedUpLoad of a task's bound on its response times are where
	// filling tasks beside it are slowed down, and below which they may go faster.
	slowDownLoad = 0.85
	speedUpLoad  = 0.6
	// speedUpDelay is how long all must be calm before that.
	speedUpDelay = 2 * time.Second
	// minSpeedPercent is the share, in percent, below which filling tasks stand still, and
	// speedUpStepPercent the share by which they go faster again.
	minSpeedPercent    = 10
	speedUpStepPercent = 20
	// minPlacementPercent is the share below which a worker gets no further filling tasks.
	minPlacementPercent = 50
	// fullSpeedPercent is the share at which a task starts, and unknownSpeedPercent that of one
	// which an earlier leader started.
	fullSpeedPercent    = 100
	unknownSpeedPercent = -1
)

// throttle is at which share of their speed the filling tasks of a worker may work.
type throttle struct {
	reductionPercent int       // percent by which they are slowed down
	nextChange       time.Time // not changed again before
	nextSpeedUp      time.Time // not made faster before
}

func (t *throttle) speedPercent() int { return fullSpeedPercent - t.reductionPercent }

// adjust changes the share for the worst response times there, as a share of what
// is allowed.
func (t *throttle) adjust(now time.Time, worstLoad float64) {
	if worstLoad >= speedUpLoad {
		t.nextSpeedUp = now.Add(speedUpDelay)
	}
	if now.Before(t.nextChange) {
		return
	}
	switch {
	case worstLoad > slowDownLoad && t.speedPercent() > 0:
		percent := t.speedPercent() / 2
		if percent < minSpeedPercent {
			percent = 0
		}
		t.reductionPercent = fullSpeedPercent - percent
	case t.reductionPercent > 0 && !now.Before(t.nextSpeedUp):
		t.reductionPercent = max(0, t.reductionPercent-speedUpStepPercent)
	default:
		return
	}
	t.nextChange = now.Add(throttleInterval)
}

// throttleFillingTasks slows the filling tasks of a worker down while a task beside them is near
// the bound of its response times or over it, and lets them go faster once all
// are well below.
func (e *Engine) throttleFillingTasks(now time.Time, w *worker, list []Running) {
	var fillingRuns []*run
	worstLoad := 0.0
	for _, entry := range list {
		r := w.runs[entry.Task]
		if r == nil || r.number != entry.Run {
			continue
		}
		st := &r.job.Steps[r.id.Step]
		switch {
		case st.Filling:
			fillingRuns = append(fillingRuns, r)
		case st.Lasting && st.TailMs > 0:
			worstLoad = max(worstLoad, entry.Load/float64(st.TailMs))
		}
	}
	if len(fillingRuns) == 0 && w.throttle.reductionPercent == 0 {
		return
	}
	before := w.throttle.speedPercent()
	w.throttle.adjust(now, worstLoad)
	if percent := w.throttle.speedPercent(); percent != before {
		e.addEvent("pace", TaskID{}, 0, w.ID, throttleDetail(percent), 0)
	}
	for _, r := range fillingRuns {
		if r.speedPercent != w.throttle.speedPercent() && r.ordersInFlight == 0 && r.stopReason == "" {
			r.ordersInFlight++
			e.out.Orders = append(e.out.Orders, Order{
				Kind: OrderPace, Worker: w.ID, Addr: w.Addr, Task: r.id, Run: r.number, Percent: w.throttle.speedPercent(),
			})
		}
	}
}

func throttleDetail(percent int) string {
	if percent == 0 {
		return "filling tasks stand still"
	}
	if percent == fullSpeedPercent {
		return "filling tasks at full speed"
	}
	return "filling tasks slowed down"
}

// Paced takes the answer to a change of pace; one that was not carried out is
// repeated after the next report.
func (e *Engine) Paced(o Order, a Answer) {
	r := e.findRun(o)
	if r == nil {
		return
	}
	r.ordersInFlight--
	e.checkNow(r.worker)
	switch a {
	case AnswerOK:
		r.speedPercent = o.Percent
	case AnswerFenced:
		e.out.Fenced = true
	default:
		r.speedPercent = unknownSpeedPercent
	}
}
