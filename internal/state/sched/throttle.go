package sched

import "time"

// Bounds of the throttling of filling tasks. Speeds are in percent of the full
// speed of a task.
const (
	// throttleInterval is the shortest time between two changes of speed on a
	// worker: the load that its tasks report is a figure for the last half
	// second.
	throttleInterval = 700 * time.Millisecond
	// Loads are the tail of a task's response times as a share of its latency
	// target.
	// The filling tasks beside a task with a load above slowDownLoad are slowed
	// down. They are sped up again when all loads have been below speedUpLoad
	// for speedUpDelay.
	slowDownLoad = 0.85
	speedUpLoad  = 0.6
	speedUpDelay = 2 * time.Second
	// minSpeedPercent is the lowest speed at which filling tasks run; below it
	// they are paused. speedUpStepPercent is added at each step up.
	minSpeedPercent    = 10
	speedUpStepPercent = 20
	// minPlacementPercent is the speed below which a worker gets no further
	// filling tasks.
	minPlacementPercent = 50
	// fullSpeedPercent is the speed at which a task starts. unknownSpeedPercent
	// stands for the speed of a task that an earlier leader started, or of
	// which the last throttle order was not carried out.
	fullSpeedPercent    = 100
	unknownSpeedPercent = -1
)

// throttle is the speed at which the filling tasks of a worker may run. Its
// zero value is full speed.
type throttle struct {
	reductionPercent int       // full speed less the present speed
	nextChange       time.Time // earliest time of the next change
	nextSpeedUp      time.Time // earliest time of the next rise of the speed
}

func (t *throttle) speedPercent() int { return fullSpeedPercent - t.reductionPercent }

// adjust changes the speed if the worst load on the worker calls for it: at too
// high a load it halves the speed or pauses the tasks, after a time of low
// loads it raises the speed by a step.
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

// throttleFillingTasks slows the filling tasks of a worker down while a
// long-running task beside them is near its latency target or over it, and
// speeds them up again when all such tasks are far below. list is what the
// worker reports as running.
func (e *Engine) throttleFillingTasks(now time.Time, w *worker, list []Running) {
	var fillingRuns []*run
	var victim *run // with the worst load
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
		case st.LongRunning && st.LatencyTargetMs > 0:
			if load := entry.Load / float64(st.LatencyTargetMs); load > worstLoad {
				worstLoad, victim = load, r
			}
		}
	}
	if len(fillingRuns) == 0 && w.throttle.reductionPercent == 0 {
		return
	}
	before := w.throttle.speedPercent()
	w.throttle.adjust(now, worstLoad)
	if percent := w.throttle.speedPercent(); percent != before {
		e.updateThrottleCause(now, w, before, victim, fillingRuns)
		e.addEvent("pace", TaskID{}, 0, w.ID, throttleDetail(percent), 0)
	}
	for _, r := range fillingRuns {
		if speed := w.fillingSpeed(r); r.speedPercent != speed && r.ordersInFlight == 0 && r.stopReason == "" {
			r.ordersInFlight++
			e.output.Orders = append(e.output.Orders, Order{
				Kind: OrderThrottle, Worker: w.ID, Addr: w.Addr, Task: r.id, Run: r.number, SpeedPercent: speed,
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

// HandleThrottleAnswer handles the answer to throttle order o. An order that
// was not carried out is repeated after the next report.
func (e *Engine) HandleThrottleAnswer(o Order, a Answer) {
	r := e.findRun(o)
	if r == nil {
		return
	}
	r.ordersInFlight--
	e.checkNow(r.worker)
	switch a {
	case AnswerOK:
		r.speedPercent = o.SpeedPercent
	case AnswerFenced:
		e.output.Fenced = true
	default:
		r.speedPercent = unknownSpeedPercent
	}
}
