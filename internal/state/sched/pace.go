package sched

import "time"

// Bounds of slowing filling tasks down.
const (
	// paceEvery is the time between two changes on a worker: what its tasks report
	// is a figure for the last half second.
	paceEvery = 700 * time.Millisecond
	// hurtShare and calmShare of a task's bound on its response times are where
	// filling tasks beside it are slowed down, and below which they may go faster.
	hurtShare = 0.85
	calmShare = 0.6
	// calmFor is how long all must be calm before that.
	calmFor = 2 * time.Second
	// paceFloor is the share, in percent, below which filling tasks stand still, and
	// paceStep the share by which they go faster again.
	paceFloor = 10
	paceStep  = 20
	// noFill is the share below which a worker gets no further filling tasks.
	noFill = 50
	// fullPace is the share at which a task starts, and paceUnknown that of one
	// which an earlier leader started.
	fullPace    = 100
	paceUnknown = -1
)

// pacing is at which share of their speed the filling tasks of a worker may work.
type pacing struct {
	braked   int       // percent by which they are slowed down
	changeAt time.Time // not changed again before
	calmAt   time.Time // not made faster before
}

func (p *pacing) percent() int { return fullPace - p.braked }

// adjust changes the share for the worst response times there, as a share of what
// is allowed.
func (p *pacing) adjust(now time.Time, worst float64) {
	if worst >= calmShare {
		p.calmAt = now.Add(calmFor)
	}
	if now.Before(p.changeAt) {
		return
	}
	switch {
	case worst > hurtShare && p.percent() > 0:
		half := p.percent() / 2
		if half < paceFloor {
			half = 0
		}
		p.braked = fullPace - half
	case p.braked > 0 && !now.Before(p.calmAt):
		p.braked = max(0, p.braked-paceStep)
	default:
		return
	}
	p.changeAt = now.Add(paceEvery)
}

// pace slows the filling tasks of a worker down while a task beside them is near
// the bound of its response times or over it, and lets them go faster once all
// are well below.
func (e *Engine) pace(now time.Time, w *worker, list []Running) {
	var fillers []*run
	worst := 0.0
	for _, x := range list {
		r := w.runs[x.Task]
		if r == nil || r.n != x.Run {
			continue
		}
		st := &r.job.Steps[r.id.Step]
		switch {
		case st.Filling:
			fillers = append(fillers, r)
		case st.Lasting && st.TailMs > 0:
			worst = max(worst, x.Load/float64(st.TailMs))
		}
	}
	if len(fillers) == 0 && w.pacing.braked == 0 {
		return
	}
	before := w.pacing.percent()
	w.pacing.adjust(now, worst)
	if p := w.pacing.percent(); p != before {
		e.event("pace", TaskID{}, 0, w.ID, paceDetail(p), 0)
	}
	for _, r := range fillers {
		if r.percent != w.pacing.percent() && r.calls == 0 && r.stopping == "" {
			r.calls++
			e.out.Orders = append(e.out.Orders, Order{
				Kind: OrderPace, Worker: w.ID, Addr: w.Addr, Task: r.id, Run: r.n, Percent: w.pacing.percent(),
			})
		}
	}
}

func paceDetail(percent int) string {
	if percent == 0 {
		return "filling tasks stand still"
	}
	if percent == fullPace {
		return "filling tasks at full speed"
	}
	return "filling tasks slowed down"
}

// Paced takes the answer to a change of pace; one that was not carried out is
// repeated after the next report.
func (e *Engine) Paced(o Order, a Answer) {
	r := e.find(o)
	if r == nil {
		return
	}
	r.calls--
	e.touch(r.w)
	switch a {
	case AnswerOK:
		r.percent = o.Percent
	case AnswerFenced:
		e.out.Fenced = true
	default:
		r.percent = paceUnknown
	}
}
