package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// shrinkGrace is the time after which a smaller capacity of a worker counts: the
// time in which a machine is in touch, and one heartbeat.
const shrinkGrace = 4500 * time.Millisecond

// resize changes the worker's capacity. A larger one may be used at once.
func (w *simWorker) resize(capacity work.Size) {
	w.room = w.limit().Max(capacity)
	w.info.Capacity = capacity
	w.sim.after(shrinkGrace, func() {
		if w.info.Capacity == capacity {
			w.room = capacity
		}
	})
}

// limit returns what the runs on the worker may use together.
func (w *simWorker) limit() work.Size {
	if w.room == (work.Size{}) {
		return w.info.Capacity
	}
	return w.room
}

// resizeDay is what happens beside the changes of capacity.
type resizeDay struct {
	name       string
	outage     time.Duration // of the store, after each outagePace jobs
	outagePace int           // 0: none
	lose       bool          // the leader is lost now and then
}

// TestStartsFitWorkersOfChangingCapacity guards against starts that exceed the
// capacity of a worker that has shrunk, and against capacity that is not used
// again after it has grown.
func TestStartsFitWorkersOfChangingCapacity(t *testing.T) {
	for _, day := range []resizeDay{{name: "undisturbed"}, {name: "leader lost", lose: true}, {name: "short outages", outage: time.Second, outagePace: 20}} {
		day.play(t)
	}
}

// TestStartsFitShrunkWorkersAfterOutage guards against starts that are sent when
// the store returns, with the list of workers from before the outage.
func TestStartsFitShrunkWorkersAfterOutage(t *testing.T) {
	resizeDay{name: "long outages", outage: 8 * time.Second, outagePace: 80}.play(t)
}

// play plays the day with four seeds.
func (day resizeDay) play(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("%s/seed=%d", day.name, seed), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, seed, 8)
			s.gangsDisturbed = day.lose || day.outage > 0
			s.run(time.Second)
			for i := range 200 {
				switch i % 4 {
				case 0:
					st := taskStep(8, 6000, 1200)
					st.Checkpointing = i%8 == 0
					s.submit(newJobSpec(fmt.Sprintf("t%d", i), "q2", st))
				case 1:
					s.submit(newJobSpec(fmt.Sprintf("g%d", i), "q0", gangStep(4, 9000, 800)))
				case 2:
					s.submit(newJobSpec(fmt.Sprintf("u%d", i), "q1", taskStep(6, 3000, 500)))
				}
				if i%10 == 9 {
					s.cancel(fmt.Sprintf("t%d", i-i%4))
				}
				if i%3 == 0 {
					w := s.workers[s.workerNames[s.rng.IntN(8)]]
					w.resize(work.Size{CPU: int64(2000 + 30000*s.rng.Float64()), Memory: int64(2000 + 126000*s.rng.Float64())})
				}
				if day.outagePace > 0 && i%day.outagePace == 10 {
					s.storeDown = true
					s.after(day.outage, func() { s.storeDown = false })
				}
				if day.lose && i%50 == 25 {
					s.engine = nil
					s.after(time.Second, s.startLeader)
				}
				s.run(150 * time.Millisecond)
			}
			for _, name := range s.workerNames {
				s.workers[name].resize(work.Size{CPU: 32000, Memory: 128 << 10})
			}
			s.run(40 * time.Second)
			if len(s.violations) > 0 {
				t.Errorf("invariant violated: %s", s.violations[0])
			}
			is.True(s.allJobsEnded())
		})
	}
}

// resizeRig is an engine with one worker of changing capacity.
type resizeRig struct {
	now time.Time
	e   *Engine
}

func newResizeRig() *resizeRig {
	rig := &resizeRig{now: time.Unix(1_800_000_000, 0)}
	rig.e = New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, rig.now)
	rig.e.SetConfig(&flow.Config{Queues: []flow.Queue{{Name: "q", Policy: flow.Policy{Service: "s", MaxAttempts: 3}}}})
	rig.list(4000)
	return rig
}

// list makes the engine read a list in which the worker has the given CPU.
func (rig *resizeRig) list(cpu int64) {
	rig.e.SetWorkers(rig.now, []WorkerInfo{{ID: "w", Addr: "w", Service: "s", Capacity: work.Size{CPU: cpu, Memory: 100000}, Incarnation: 1}})
}

// step makes the engine poll the worker and place tasks. It returns the orders
// other than polls; without commit what it has placed is not stored yet.
func (rig *resizeRig) step(commit bool, running ...Running) []Order {
	rig.now = rig.now.Add(100 * time.Millisecond)
	rig.e.Tick(rig.now)
	rig.e.Schedule(rig.now)
	if commit {
		rig.e.HandleCommit(rig.now, rig.e.Batch())
	}
	var out []Order
	for _, o := range rig.e.TakeOutput().Orders {
		if o.Kind == OrderPoll {
			rig.e.HandlePollReport(rig.now, o, Report{Incarnation: 1, Running: running})
			continue
		}
		out = append(out, o)
	}
	return out
}

func (rig *resizeRig) submit(id string, st flow.Step) {
	rig.e.AddJob(rig.now, &flow.Job{Spec: &flow.Spec{ID: id, Queue: "q", Steps: []flow.Step{st}, Policy: flow.Policy{Service: "s", MaxAttempts: 3}}})
}

// TestStoredStartIsNotSentToShrunkWorker guards against a start that was decided
// before its worker shrank and is sent afterwards, when its record is stored.
func TestStoredStartIsNotSentToShrunkWorker(t *testing.T) {
	is := is.New(t)
	rig := newResizeRig()
	rig.step(true)
	rig.submit("a", taskStep(3, 1000, 500))
	rig.step(false)
	b := rig.e.Batch()
	rig.list(2000)
	rig.e.HandleCommit(rig.now, b)
	starts := rig.e.TakeOutput().Orders
	is.Equal(len(starts), 2) // as many as fit
	for _, o := range starts {
		is.Equal(o.Kind, OrderStart)
		rig.e.HandleStartAnswer(rig.now, o, AnswerOK, 0)
	}
	running := []Running{{Task: starts[0].Task, Run: 1}, {Task: starts[1].Task, Run: 1}}
	for range 5 {
		is.Equal(len(rig.step(true, running...)), 0)
	}
	rig.list(4000)
	is.Equal(len(rig.step(true, running...)), 1) // the third starts when there is room again
}

// TestUnansweredStartIsNotRepeatedOnShrunkWorker guards against the repetition of
// a start on a worker that has shrunk since the first try.
func TestUnansweredStartIsNotRepeatedOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	rig := newResizeRig()
	rig.step(true)
	rig.submit("a", taskStep(3, 1000, 500))
	starts := rig.step(true)
	is.Equal(len(starts), 3)
	rig.e.HandleStartAnswer(rig.now, starts[0], AnswerOK, 0)
	rig.e.HandleStartAnswer(rig.now, starts[1], AnswerOK, 0)
	rig.list(2000)
	rig.e.HandleStartAnswer(rig.now, starts[2], AnswerNone, 0)
	orders := rig.e.TakeOutput().Orders
	running := []Running{{Task: starts[0].Task, Run: 1}, {Task: starts[1].Task, Run: 1}}
	for range 5 {
		orders = append(orders, rig.step(true, running...)...)
	}
	is.True(len(orders) > 0)
	for _, o := range orders {
		is.Equal(o.Kind, OrderStop)
		is.Equal(o.Task, starts[2].Task)
	}
}

// TestNothingStartsBesideStoppingRunsOnShrunkWorker guards against starts that
// use the capacity of runs that are being stopped, or that reservations keep,
// once the worker has shrunk.
func TestNothingStartsBesideStoppingRunsOnShrunkWorker(t *testing.T) {
	is := is.New(t)
	rig := newResizeRig()
	rig.step(true)
	rig.submit("a", taskStep(2, 1500, 500))
	starts := rig.step(true)
	is.Equal(len(starts), 2)
	running := []Running{{Task: starts[0].Task, Run: 1}, {Task: starts[1].Task, Run: 1}}
	for _, o := range starts {
		rig.e.HandleStartAnswer(rig.now, o, AnswerOK, 0)
	}
	rig.submit("g", gangStep(3, 1000, 500)) // reserves what is free
	is.Equal(len(rig.step(true, running...)), 0)
	rig.list(2000)
	rig.e.Cancel(rig.now, "a")
	rig.submit("b", taskStep(1, 500, 500))
	for range 3 {
		for _, o := range rig.step(true, running...) {
			is.Equal(o.Kind, OrderStop)
			rig.e.HandleStopAnswer(rig.now, o, AnswerOK, 0)
		}
	}
	var orders []Order
	for now := rig.now; rig.now.Sub(now) < reservationTime; {
		orders = append(orders, rig.step(true)...) // the runs have ended
	}
	is.Equal(len(orders), 1)
	is.Equal(orders[0].Task.Job, "b")
	rig.list(4000)
	rig.e.HandleStartAnswer(rig.now, orders[0], AnswerOK, 0)
	is.Equal(len(rig.step(true, Running{Task: orders[0].Task, Run: 1})), 3) // the gang fits again
}
