package place_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/place"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

const aloneFor = 5 * time.Second

// newEngine returns an engine with schedulable workers of 8 cores each.
func newEngine(workers int) *place.Engine {
	e := place.NewEngine(place.Config{Fit: place.FitSpareAccelerators, Order: place.OrderFair, AgingThreshold: time.Minute, ReserveAfter: 10 * time.Second, AloneFor: aloneFor})
	for n := range workers {
		name := fmt.Sprintf("w%d", n)
		e.SetCapacity(name, "r", work.Size{CPU: 8000, Memory: 8000})
		e.SetSchedulable(name, true)
	}
	return e
}

func newItem(id, class string, count int, cpu int64, queued time.Duration) place.Item {
	return place.Item{
		Ref: work.TaskRef{Job: id}, TaskCount: count, Size: work.Size{CPU: cpu, Memory: 100}, Tenant: "t", Class: class,
		Queued: epoch.Add(queued), RunTime: 5 * time.Second,
	}
}

// runChurn runs an engine for a duration of virtual time. It always keeps at
// least 40 single-core tasks of the class pending, each of which runs 3 to 7 s,
// so that the workers stay full. At 2 s it queues the added items. It returns
// when each of those started, by job.
func runChurn(e *place.Engine, class string, added []place.Item, duration time.Duration) map[string]time.Duration {
	watched := map[string]bool{}
	for _, it := range added {
		watched[it.Ref.Job] = true
	}
	started := map[string]time.Duration{}
	type end struct {
		at time.Duration
		do func()
	}
	var ends []end
	n := 0
	for now := time.Duration(0); now < duration; now += 100 * time.Millisecond {
		ends = slices.DeleteFunc(ends, func(e end) bool {
			if e.at > now {
				return false
			}
			e.do()
			return true
		})
		if now == 2*time.Second {
			for _, it := range added {
				e.Enqueue(it)
			}
		}
		for e.Pending() < 40 {
			n++
			e.Enqueue(newItem(fmt.Sprintf("small%d", n), class, 1, 1000, now))
		}
		for _, p := range e.Place(epoch.Add(now), 1000) {
			if watched[p.Item.Ref.Job] {
				started[p.Item.Ref.Job] = now
			}
			for i, w := range p.Workers {
				ref := work.TaskRef{Job: p.Item.Ref.Job, Index: i}
				run := 3*time.Second + time.Duration(len(ends)*7%9)*500*time.Millisecond
				ends = append(ends, end{now + run, func() { e.ReleaseAllocation(w, p.Item.Tenant, ref, p.Item.Size) }})
			}
		}
	}
	return started
}

// TestGangStartsDespiteSmallTasks guards against starvation of a gang whose
// tasks need whole workers: without a reservation, small tasks take every core
// as soon as it is free, so that no worker is ever idle.
func TestGangStartsDespiteSmallTasks(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(4)
	gang := newItem("gang", work.ClassNormal, 3, 8000, 2*time.Second)
	started := runChurn(e, work.ClassNormal, []place.Item{gang}, time.Minute)
	_, ok := started["gang"]
	is.True(ok)
}

// TestTwoLargeGangsBothStart guards against two gangs that block each other. Each
// needs more than half of the workers, so neither could start if both reserved
// capacity at the same time.
func TestTwoLargeGangsBothStart(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(4)
	one := newItem("one", work.ClassNormal, 3, 8000, 2*time.Second)
	two := newItem("two", work.ClassNormal, 3, 8000, 2*time.Second)
	started := runChurn(e, work.ClassNormal, []place.Item{one, two}, 2*time.Minute)
	is.Equal(len(started), 2)
}

// TestPatientTaskStartsDespiteUrgentTasks guards against starvation of the lowest
// class while urgent tasks keep the workers full: a patient task starts once it
// counts as aged.
func TestPatientTaskStartsDespiteUrgentTasks(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(2)
	patient := newItem("patient", work.ClassPatient, 1, 1000, 2*time.Second)
	started := runChurn(e, work.ClassUrgent, []place.Item{patient}, 3*time.Minute)
	_, ok := started["patient"]
	is.True(ok)
}

// TestGangIsPlacedWholeOrNotAtAll checks that a gang for which one worker is
// missing occupies nothing, and that all its tasks start once a third worker is
// there.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(2)
	e.Enqueue(newItem("gang", work.ClassNormal, 3, 8000, 0))
	is.Equal(len(e.Place(epoch, 100)), 0)
	is.Equal(e.Worker("w0").Allocated, work.Size{})
	e.SetCapacity("w2", "r", work.Size{CPU: 8000, Memory: 8000})
	e.SetSchedulable("w2", true)
	p := e.Place(epoch, 100)
	is.Equal(len(p), 1)
	is.Equal(len(p[0].Workers), 3)
}

// TestPlacementsFollowQuotasAndShares has three tenants compete for 32 cores. One
// gets no more than its quota, the others get the rest in proportion to their
// shares.
func TestPlacementsFollowQuotasAndShares(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(4)
	e.SetTenant("bounded", place.Tenant{Share: 1, Quota: work.Size{CPU: 3000}})
	e.SetTenant("heavy", place.Tenant{Share: 3})
	e.SetTenant("light", place.Tenant{Share: 1})
	for n := range 40 {
		for _, name := range []string{"bounded", "heavy", "light"} {
			it := newItem(fmt.Sprint(name, n), work.ClassNormal, 1, 1000, 0)
			it.Tenant = name
			e.Enqueue(it)
		}
	}
	got := map[string]int{}
	for _, p := range e.Place(epoch, 1000) {
		got[p.Item.Tenant]++
	}
	is.Equal(got["bounded"], 3)
	is.Equal(got["heavy"]+got["light"], 29)
	is.True(got["heavy"] >= 21 && got["heavy"] <= 22) // three quarters of 29
}

// TestOverusedWorkerGetsNoTask checks that a worker whose tasks use more than
// they declare gets no new task. The second report lags: the tasks that caused
// the usage have ended since, so the usage is no overuse and must not keep a
// task out.
func TestOverusedWorkerGetsNoTask(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(1)
	full := work.Size{CPU: 8000, Memory: 4000}
	e.ReportUsage("w0", work.Size{}, full, work.Size{CPU: 2000, Memory: 4000})
	e.Enqueue(newItem("a", work.ClassNormal, 1, 4000, 0))
	is.Equal(len(e.Place(epoch, 10)), 0)
	e.ReportUsage("w0", work.Size{}, full, full) // tasks that have ended since ran when the usage was measured
	is.Equal(len(e.Place(epoch, 10)), 1)
}

// TestCancelledItemsAreDropped cancels 10,000 queued items at once. The next
// round drops all of them, places none, and places the item queued behind them.
func TestCancelledItemsAreDropped(t *testing.T) {
	is := is.NewRelaxed(t)
	e := newEngine(4)
	cancelled := false
	e.Wanted = func(it place.Item) bool { return !cancelled || it.Ref.Job == "good" }
	for n := range 10000 {
		e.Enqueue(newItem(fmt.Sprint("wave", n), work.ClassNormal, 1, 8000, 0))
	}
	cancelled = true
	e.Enqueue(newItem("good", work.ClassNormal, 1, 8000, 0))
	p := e.Place(epoch, 1000)
	is.Equal(len(p), 1)
	is.Equal(p[0].Item.Ref.Job, "good")
	is.Equal(e.Pending(), 0)
}

// TestFailuresAreAttributedToWorkerOrJob checks that a job that fails on three
// workers is excluded and no worker quarantined for it, that a worker on which
// three jobs fail is quarantined and no job excluded for it, and that a success
// after a probe ends the quarantine.
func TestFailuresAreAttributedToWorkerOrJob(t *testing.T) {
	is := is.NewRelaxed(t)
	a := place.NewFailureAttribution()
	for _, w := range []string{"w1", "w2", "w3"} {
		a.TaskFailed(w, "broken", epoch)
	}
	_, excluded := a.JobExcluded("broken")
	is.True(excluded)
	is.True(!a.WorkerQuarantined("w1"))
	for _, j := range []string{"broken", "x", "y"} {
		a.TaskFailed("w9", j, epoch)
	}
	is.True(!a.WorkerQuarantined("w9")) // failures of an excluded job do not count against the worker
	for _, j := range []string{"a", "b", "c"} {
		a.TaskFailed("bad", j, epoch)
	}
	is.True(a.WorkerQuarantined("bad"))
	_, excluded = a.JobExcluded("a")
	is.True(!excluded)
	is.True(!a.ProbeDue("bad", epoch))
	is.True(a.ProbeDue("bad", epoch.Add(10*time.Second)))
	a.ProbeStarted("bad", work.TaskRef{Job: "a"})
	is.True(!a.ProbeDue("bad", epoch.Add(10*time.Second)))
	a.TaskSucceeded("bad", "a")
	is.True(!a.WorkerQuarantined("bad"))
}
