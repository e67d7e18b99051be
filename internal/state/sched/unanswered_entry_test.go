package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// largestCapacity is the largest capacity that a decoded entry may have.
var largestCapacity = work.Size{CPU: 1 << 40, Memory: 1 << 40, Accelerators: 1 << 40}

// addUnanswered adds n entries to the list of workers that no worker answers for.
func (s *sim) addUnanswered(n int, capacity work.Size) {
	for i := range n {
		w := s.addWorker(fmt.Sprintf("odd%02d", i), "r1-0")
		w.partitioned = true
		w.info.Capacity = capacity
	}
}

// TestUnansweredEntryCountsAsRoomForGangs guards against capacity that stays
// reserved for a gang that fits nowhere but on a worker that only its entry in the
// list claims to exist.
func TestUnansweredEntryCountsAsRoomForGangs(t *testing.T) {
	for _, queue := range []string{"q2", "q1"} {
		t.Run(queue, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 12, 4)
			s.addUnanswered(1, largestCapacity)
			s.run(time.Second)
			s.submit(newJobSpec("g0", queue, gangStep(40, 20000, 400)))
			s.run(500 * time.Millisecond)
			s.submit(newJobSpec("a", "q2", gangStep(4*32, 1000, 400))) // needs all workers
			s.run(3 * time.Second)
			is.Equal(s.violations, nil)
			is.Equal(s.progress("a").State, flow.Complete)
		})
	}
}

// TestUnansweredEntryCountsAsRoomForSteps guards against steps that are evaluated
// in each pass, in the place of others, since room seems free on a worker that
// has never answered.
func TestUnansweredEntryCountsAsRoomForSteps(t *testing.T) {
	is := is.New(t)
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, testTime(0))
	size := work.Size{CPU: 64000, Memory: 1}
	e.SetWorkers(testTime(0), []WorkerInfo{{ID: "odd", Addr: "x", Service: simService, Capacity: largestCapacity, Incarnation: 0}})
	is.True(!e.index.mayFit(size))
	e.Tick(testTime(0))
	o := e.TakeOutput().Orders[0]
	e.HandlePollFailure(testTime(1), o, AnswerNone, time.Millisecond)
	is.True(!e.index.mayFit(size))
	e.Tick(testTime(1000))
	o = e.TakeOutput().Orders[0]
	e.HandlePollReport(testTime(1001), o, Report{Clock: time.Second}) // incarnation 0
	is.True(e.index.mayFit(size))
}

// TestUnansweredEntriesDisturbNobody checks that jobs of all kinds are placed on
// time beside entries of workers that never answer, and that these get no runs,
// no reservations and no place in queries.
func TestUnansweredEntriesDisturbNobody(t *testing.T) {
	for _, capacity := range []work.Size{{}, {CPU: 32000, Memory: 64000}, largestCapacity} {
		t.Run(capacity.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 7, 8)
			s.addUnanswered(20, capacity)
			s.run(time.Second)
			for i := range 40 {
				s.submit(newJobSpec(fmt.Sprintf("j%d", i), fmt.Sprintf("q%d", i%3), taskStep(1+i%4, 2000, 300), gangStep(4, 3000, 300)))
				s.run(100 * time.Millisecond)
				s.engine.Stats(s.now)
				for _, w := range s.engine.workersByID {
					if w.ID[0] == 'o' && (len(w.runs) > 0 || len(w.reservations) > 0 || len(w.softReservations) > 0 || w.usable(s.now)) {
						t.Fatalf("worker %q, which has never answered, is used", w.ID)
					}
				}
			}
			s.run(5 * time.Second)
			is.Equal(s.violations, nil)
			for i := range 40 {
				is.Equal(s.progress(fmt.Sprintf("j%d", i)).State, flow.Complete)
			}
			stats := s.engine.Stats(s.now)
			is.Equal(stats.Usable, 8)
			is.Equal(stats.CPU.Used, 0.0)
		})
	}
}

// TestPollsOfUnansweredEntriesAreRare checks that an entry that no worker answers
// for costs no more than about a poll a second.
func TestPollsOfUnansweredEntriesAreRare(t *testing.T) {
	e := New(Params{MaxLease: 6 * time.Second, LeaderLease: 4 * time.Second, Retention: time.Minute}, testTime(0))
	list := []WorkerInfo{{ID: "odd", Addr: "x", Service: simService, Capacity: largestCapacity, Incarnation: 5}}
	polls := 0
	for ms := 0; ms < 60_000; ms += 5 {
		if ms%500 == 0 {
			e.SetWorkers(testTime(ms), list)
		}
		e.Tick(testTime(ms))
		for _, o := range e.TakeOutput().Orders {
			polls++
			e.HandlePollFailure(testTime(ms), o, AnswerNone, 0)
		}
	}
	if most := int(time.Minute/maxPollRetryPause) + 10; polls > most {
		t.Errorf("got %d polls in a minute, want at most %d", polls, most)
	}
}
