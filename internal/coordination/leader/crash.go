package leader

import (
	"fmt"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/place"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of starts of a task whose workers are lost right after they started it.
// The loss leaves no result, so it does not count as one of the job's retries.
const (
	earlyPeriod     = 5 * time.Second             // a worker that answers this long after a start has survived it
	earlySyncWait   = time.Second                 // of a sync while it is not known whether the worker survives a start
	aloneFor        = earlyPeriod + 2*time.Second // covers the time from a placement to its start
	maxEarlyLosses  = 5
	maxEarlyCrashes = 2 // early losses of which at least one was a crash of the task

	firstServicePause = 10 * time.Second // after the second early loss in a row; doubles with each further one
	maxServicePause   = 5 * time.Minute
)

// isEarly reports whether the worker has not answered yet since earlyPeriod
// after the start of the task's present attempt. A start that this instance has
// not seen is not early.
func (d *Domain) isEarly(ws *workerSession, ref work.TaskRef) bool {
	at, ok := d.startedAt[ref]
	return ok && ws.answeredAt.Before(at.Add(earlyPeriod))
}

func (d *Domain) hasEarlyAttempts(ws *workerSession) bool {
	for ref := range d.state.TasksByWorker[ws.name] {
		if d.isEarly(ws, ref) {
			return true
		}
	}
	return false
}

// assignedToFormer reports whether the task was assigned to a former incarnation
// of its worker.
func (d *Domain) assignedToFormer(ref work.TaskRef, incarnation string) bool {
	assignedTo := d.state.Jobs[ref.Job].Tasks[ref.Index].Incarnation
	return assignedTo != "" && assignedTo != incarnation
}

// soleEarlyJob returns the only job of which the worker had just started tasks
// when it restarted, or "" if there is no such job or more than one.
func (d *Domain) soleEarlyJob(ws *workerSession, restarted func(work.TaskRef) bool) string {
	jobs := map[string]bool{}
	for id := range ws.expiredEarly {
		jobs[id] = true
	}
	for ref := range d.state.TasksByWorker[ws.name] {
		if restarted(ref) && d.isEarly(ws, ref) {
			jobs[ref.Job] = true
		}
	}
	if len(jobs) != 1 {
		return ""
	}
	for id := range jobs {
		return id
	}
	return ""
}

func (d *Domain) logEarlyLoss(ws *workerSession, e work.End) {
	t := d.state.Jobs[e.Task.Job].Tasks[e.Task.Index]
	crashes := t.Crashes
	if e.Crashed {
		crashes++
	}
	d.cfg.Logger.Warn().Str("worker", ws.name).Str("job", e.Task.Job).Int("index", e.Task.Index).Int("attempt", e.Attempt).
		Bool("crashed", e.Crashed).Int("early-losses", t.EarlyLosses+1).Int("crashes", crashes).Msg("leader: worker lost right after a start")
}

// recordStarts notes by this instance's clock when the attempts of an effective
// batch were started and forgets those that have ended.
func (d *Domain) recordStarts(b *work.Batch, now time.Time) {
	for _, e := range b.End {
		delete(d.startedAt, e.Task)
	}
	for _, a := range b.Assign {
		if d.state.IsCurrent(a) {
			d.startedAt[a.Task] = now
		}
	}
}

// exceedsEarlyLosses returns the first task of the item that is not started
// again because its workers were lost right after its starts.
func exceedsEarlyLosses(j *work.Job, it place.Item) (work.TaskRef, bool) {
	if j.Spec.Kind == work.KindService {
		return work.TaskRef{}, false
	}
	for i := it.Ref.Index; i < it.Ref.Index+it.TaskCount; i++ {
		t := j.Tasks[i]
		if t.EarlyLosses >= maxEarlyLosses || t.Crashes > 0 && t.EarlyLosses >= maxEarlyCrashes {
			return work.TaskRef{Job: it.Ref.Job, Index: i}, true
		}
	}
	return work.TaskRef{}, false
}

// holdBack gives an item up or defers it because of the workers that were lost
// right after its starts. It returns false if the item may be started.
func (d *Domain) holdBack(it place.Item, now time.Time) bool {
	l := d.leadership
	j := d.state.Jobs[it.Ref.Job]
	ref, exceeds := exceedsEarlyLosses(j, it)
	if !exceeds {
		return d.pauseReplica(it, now)
	}
	t := j.Tasks[ref.Index]
	reason := fmt.Sprintf("task %d is not started again: %d workers were lost right after they started it, %d of them certainly crashed under this job", ref.Index, t.EarlyLosses, t.Crashes)
	if !d.allApplyFormat(work.Format) {
		l.deferred = append(l.deferred, it)
		l.pendingReasons[it.Ref.Job] = reason + "; it fails once all instances of the domain run a newer version"
		return true
	}
	d.cfg.Logger.Error().Str("job", ref.Job).Int("index", ref.Index).Int("early-losses", t.EarlyLosses).Int("crashes", t.Crashes).Msg("leader: task given up")
	l.giveUps = append(l.giveUps, work.GiveUp{Task: ref, Reason: reason})
	return true
}

// startsAlone reports whether a task is started where no other task starts, so
// that a further loss of its worker can be attributed to it. A replica is first
// started again at once.
func startsAlone(j *work.Job, index int) bool {
	switch j.Spec.Kind {
	case work.KindBatch:
		return j.Tasks[index].EarlyLosses > 0
	case work.KindService:
		return j.Tasks[index].EarlyLosses > 1
	}
	return false
}

// pauseReplica defers the replica of a service for a while that grows with its
// early losses. The time counts from when this leader first saw it pending.
func (d *Domain) pauseReplica(it place.Item, now time.Time) bool {
	l := d.leadership
	j := d.state.Jobs[it.Ref.Job]
	losses := j.Tasks[it.Ref.Index].EarlyLosses
	if j.Spec.Kind != work.KindService || losses < 2 {
		return false
	}
	from, ok := l.pausedFrom[it.Ref]
	if !ok {
		from = now
		l.pausedFrom[it.Ref] = now
	}
	pause := min(firstServicePause<<min(losses-2, 10), maxServicePause)
	if !now.Before(from.Add(pause)) {
		delete(l.pausedFrom, it.Ref)
		return false
	}
	l.deferred = append(l.deferred, it)
	l.pendingReasons[it.Ref.Job] = fmt.Sprintf("%d workers in a row were lost right after they started replica %d; it is started again after a pause of %v", losses, it.Ref.Index, pause)
	return true
}

// allApplyFormat reports whether all living members apply records of the format.
func (d *Domain) allApplyFormat(format int) bool {
	for _, m := range d.state.Members {
		if !m.Dead && m.Format < format {
			return false
		}
	}
	return true
}
