package leader

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// taskCallTimeout bounds one call that starts or stops tasks on a worker.
const taskCallTimeout = 2 * time.Second

// handleBatch acts on a batch that has taken effect, if it is the pending batch
// of this leadership. It renews the leader lease, releases the allocations of
// ended attempts, starts the assigned tasks and stops those no longer wanted.
func (d *Domain) handleBatch(b *work.Batch, now time.Time) {
	l := d.leadership
	if l == nil || b.Member != d.cfg.Member || b.Term != l.term || l.pendingBatch == nil || b.Seq != l.pendingBatch.batch.Seq {
		return
	}
	l.leaderLease.Renew(l.pendingBatch.firstSent)
	l.pendingBatch = nil
	d.applyEnds(b)
	d.applyAssigns(b, now)
	d.applyOwnership(b, now)
	for _, id := range b.Cancel {
		d.stopUnwantedTasks(id)
	}
	for _, s := range b.Resize {
		d.stopUnwantedTasks(s.Job)
	}
	d.wakeLoop()
}

func (d *Domain) applyEnds(b *work.Batch) {
	l := d.leadership
	for _, e := range b.End {
		d.releaseAllocation(e.Task)
		j := d.state.Jobs[e.Task.Job]
		if j != nil && j.Spec.Kind == work.KindGang && j.FinalState == "" {
			d.stopUnwantedTasks(e.Task.Job)
		}
		if j == nil || j.FinalState != "" {
			l.attribution.ForgetJob(e.Task.Job)
		}
	}
}

// releaseAllocation releases the capacity of a task's attempt.
func (d *Domain) releaseAllocation(ref work.TaskRef) {
	l := d.leadership
	allocation, ok := l.allocations[ref]
	if !ok {
		return
	}
	delete(l.allocations, ref)
	l.engine.ReleaseAllocation(allocation.worker, allocation.tenant, ref, allocation.size)
	if ws := l.sessions[allocation.worker]; ws != nil {
		delete(ws.starts, ref)
	}
}

// applyAssigns starts the tasks whose assignment has taken effect. It releases
// the capacity of the others, whose job was cancelled by a record that precedes
// the batch in the log.
func (d *Domain) applyAssigns(b *work.Batch, now time.Time) {
	l := d.leadership
	byWorker := map[string][]work.TaskRef{}
	for _, a := range b.Assign {
		j := d.state.Jobs[a.Task.Job]
		if j == nil {
			d.releaseAllocation(a.Task)
			continue
		}
		if !d.state.IsCurrent(a) {
			d.releaseAllocation(a.Task)
			continue
		}
		byWorker[a.Worker] = append(byWorker[a.Worker], a.Task)
		if d.cfg.OnTaskStart != nil {
			d.cfg.OnTaskStart(j.Spec, now.Sub(time.UnixMilli(j.QueuedMs)))
		}
	}
	for worker, refs := range byWorker {
		if ws := l.sessions[worker]; ws != nil {
			d.startTasks(ws, refs, now)
		}
	}
}

// startTasks sends starts of tasks that are assigned to the worker. A start
// whose answer is lost is sent again to the same worker under the same attempt
// number, so that the worker can deduplicate it.
func (d *Domain) startTasks(ws *workerSession, refs []work.TaskRef, now time.Time) {
	l := d.leadership
	tasks := make([]StartTask, 0, len(refs))
	for _, ref := range refs {
		j := d.state.Jobs[ref.Job]
		t := j.Tasks[ref.Index]
		s := ws.trackStart(ref, t.Attempt)
		s.inFlight = true
		d.startedAt[ref] = now
		tasks = append(tasks, StartTask{
			Attempt: Attempt{ref, t.Attempt}, Size: j.Spec.Size, Lease: d.taskLease(j), Command: j.Spec.Command,
			RunTime: time.Duration(j.Spec.RunMs) * time.Millisecond,
		})
	}
	d.wg.Go(func() { d.sendStarts(l, ws, tasks) })
}

func (d *Domain) sendStarts(l *leadership, ws *workerSession, tasks []StartTask) {
	d.mu.Lock()
	now := d.cfg.Now()
	allowed := d.mayAct(l, now)
	if allowed {
		ws.leasesRenewedAt = now
	}
	addr := ws.addr
	d.mu.Unlock()
	answered := false
	if allowed {
		ctx, cancel := context.WithTimeout(l.ctx, taskCallTimeout)
		answered = d.cfg.Workers.Start(ctx, addr, tasks) == nil
		cancel()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.cfg.Now()
	if !answered {
		ws.inventoryVersion = 0 // ask for the full inventory next, to see which tasks started
	}
	for _, t := range tasks {
		if s := ws.starts[t.Task]; s != nil && s.attempt == t.Attempt.Attempt {
			s.inFlight = false
			s.answered = answered
			s.returnedAt = now
		}
	}
}

func (d *Domain) taskLease(j *work.Job) time.Duration {
	if j.Exclusive() {
		return d.cfg.LeaseDurations.TaskLease
	}
	return serviceLease
}

// stopUnwantedTasks asks the workers to stop those tasks of a job that should
// no longer run.
func (d *Domain) stopUnwantedTasks(id string) {
	l := d.leadership
	j := d.state.Jobs[id]
	if l == nil || j == nil || j.Assigned == 0 {
		return
	}
	bySession := map[*workerSession][]Attempt{}
	for i, t := range j.Tasks {
		ws := l.sessions[t.Worker]
		if t.State == work.TaskAssigned && ws != nil && !j.ShouldRun(i) {
			bySession[ws] = append(bySession[ws], Attempt{work.TaskRef{Job: id, Index: i}, t.Attempt})
		}
	}
	for ws, attempts := range bySession {
		d.stopAttempts(ws, attempts)
	}
}

// stopAttempts asks the worker to stop the attempts. It does not need a valid
// leader lease, because stopping a task can't make it run twice.
func (d *Domain) stopAttempts(ws *workerSession, attempts []Attempt) {
	l := d.leadership
	addr := ws.addr
	d.wg.Go(func() {
		ctx, cancel := context.WithTimeout(l.ctx, taskCallTimeout)
		defer cancel()
		if d.cfg.Workers.Stop(ctx, addr, attempts) == nil {
			return
		}
		// Ask for the full inventory next: it lists the tasks that still run, and
		// they are stopped again.
		d.mu.Lock()
		defer d.mu.Unlock()
		ws.inventoryVersion = 0
	})
}
