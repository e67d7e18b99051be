package leader

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

const startTimeout = 2 * time.Second

// committed acts on a batch that counts in the log.
func (d *Domain) committed(b *work.Batch, now time.Time) {
	r := d.leadership
	if r == nil || b.Member != d.cfg.Member || b.Term != r.term || r.pending == nil || b.Seq != r.pending.batch.Seq {
		return
	}
	r.right.Confirm(r.pending.first)
	r.pending = nil
	d.commitEnds(b)
	d.commitAssigns(b, now)
	d.commitOwners(b, now)
	for _, id := range b.Cancel {
		d.stopJob(id)
	}
	for _, s := range b.Resize {
		d.stopJob(s.Job)
	}
	d.rouse()
}

func (d *Domain) commitEnds(b *work.Batch) {
	r := d.leadership
	for _, e := range b.End {
		d.vacate(e.Task)
		j := d.state.Jobs[e.Task.Job]
		if j != nil && j.Spec.Kind == work.KindGang && j.Final == "" {
			d.stopJob(e.Task.Job)
		}
		if j == nil || j.Final != "" {
			r.blame.Forget(e.Task.Job)
		}
	}
}

// vacate gives back the room of a task that has ended.
func (d *Domain) vacate(ref work.TaskRef) {
	r := d.leadership
	allocation, ok := r.allocations[ref]
	if !ok {
		return
	}
	delete(r.allocations, ref)
	r.engine.Release(allocation.worker, allocation.tenant, ref, allocation.size)
	if l := r.links[allocation.worker]; l != nil {
		delete(l.starts, ref)
	}
}

// commitAssigns starts the tasks whose assignment counts, and gives back the
// room of those that a cancellation overtook.
func (d *Domain) commitAssigns(b *work.Batch, now time.Time) {
	r := d.leadership
	byWorker := map[string][]work.TaskRef{}
	for _, a := range b.Assign {
		j := d.state.Jobs[a.Task.Job]
		if j == nil {
			d.vacate(a.Task)
			continue
		}
		if !d.state.Current(a) {
			d.vacate(a.Task)
			continue
		}
		byWorker[a.Worker] = append(byWorker[a.Worker], a.Task)
		if d.cfg.Started != nil {
			d.cfg.Started(j.Spec, now.Sub(time.UnixMilli(j.Queued)))
		}
	}
	for worker, refs := range byWorker {
		if l := r.links[worker]; l != nil {
			d.start(l, refs, now)
		}
	}
}

// start sends starts of tasks that stand assigned to the worker. A start whose
// answer is lost is sent again to the same worker, with the same attempt.
func (d *Domain) start(l *link, refs []work.TaskRef, now time.Time) {
	r := d.leadership
	tasks := make([]StartTask, 0, len(refs))
	for _, ref := range refs {
		j := d.state.Jobs[ref.Job]
		t := j.Tasks[ref.Index]
		s := l.note(ref, t.Attempt)
		s.inFlight = true
		tasks = append(tasks, StartTask{
			Attempt: Attempt{ref, t.Attempt}, Size: j.Spec.Size, Lease: d.leaseOf(j), Command: j.Spec.Command,
			Run: time.Duration(j.Spec.Run) * time.Millisecond,
		})
	}
	r.wg.Go(func() { d.sendStarts(r, l, tasks) })
}

func (d *Domain) sendStarts(r *leadership, l *link, tasks []StartTask) {
	d.mu.Lock()
	now := d.cfg.Now()
	may := d.mayAct(r, now)
	if may {
		l.renewed = now
	}
	addr := l.addr
	d.mu.Unlock()
	answered := false
	if may {
		ctx, cancel := context.WithTimeout(r.ctx, startTimeout)
		answered = d.cfg.Workers.Start(ctx, addr, tasks) == nil
		cancel()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.cfg.Now()
	if !answered {
		l.version = 0 // the next inventory has to be whole
	}
	for _, t := range tasks {
		if s := l.starts[t.Task]; s != nil && s.attempt == t.Attempt.Attempt {
			s.inFlight = false
			s.answered = answered
			s.at = now
		}
	}
}

func (d *Domain) leaseOf(j *work.Job) time.Duration {
	if j.Exclusive() {
		return d.cfg.Terms.Task
	}
	return serviceLease
}

// stopJob asks the workers to stop the tasks of a job that should not run.
func (d *Domain) stopJob(id string) {
	r := d.leadership
	j := d.state.Jobs[id]
	if r == nil || j == nil || j.Assigned == 0 {
		return
	}
	byLink := map[*link][]Attempt{}
	for i, t := range j.Tasks {
		l := r.links[t.Worker]
		if t.State == work.TaskAssigned && l != nil && !j.Wanted(i) {
			byLink[l] = append(byLink[l], Attempt{work.TaskRef{Job: id, Index: i}, t.Attempt})
		}
	}
	for l, attempts := range byLink {
		d.stop(l, attempts)
	}
}

// stop needs no right: ending work that is not wanted can't double it.
func (d *Domain) stop(l *link, attempts []Attempt) {
	r := d.leadership
	addr := l.addr
	r.wg.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, startTimeout)
		defer cancel()
		if d.cfg.Workers.Stop(ctx, addr, attempts) == nil {
			return
		}
		// The next whole inventory shows the tasks, and they are stopped again.
		d.mu.Lock()
		defer d.mu.Unlock()
		l.version = 0
	})
}
