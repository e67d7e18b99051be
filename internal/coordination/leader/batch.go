package leader

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/place"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Limits and timing of batches.
const (
	maxAssignsPerBatch    = 1000
	maxEndsPerBatch       = 5000
	batchResendDelay      = 500 * time.Millisecond
	configInterval        = 500 * time.Millisecond // between refreshes of workers and configuration
	deferredRetryInterval = 2 * time.Second
	ownershipInterval     = 200 * time.Millisecond // between decisions about members and minions
)

// periodicTimes holds when the leader's less frequent work was done last.
type periodicTimes struct {
	config    time.Time
	ownership time.Time
}

// leaderTick does one step of the leader's work: it ends attempts on
// unresponsive workers and, when no batch is pending, builds and sends the
// next. An empty batch is sent only when a renewal of the leader lease is due.
func (d *Domain) leaderTick(now time.Time) {
	l := d.leadership
	d.expireAttempts(now)
	if l.pendingBatch != nil {
		d.resendBatch(now)
		return
	}
	if now.Sub(l.lastBatchAt) < d.cfg.BatchInterval {
		return
	}
	b := d.buildBatch(now)
	if isEmpty(b) && now.Sub(l.lastBatchAt) < d.cfg.RenewInterval {
		return
	}
	d.sendBatch(b, now)
}

func (d *Domain) sendBatch(b *work.Batch, now time.Time) {
	content, err := json.Marshal(work.Record{Batch: b})
	if err != nil {
		d.cfg.Logger.Error().Err(err).Msg("leader: cannot encode batch")
		return
	}
	d.leadership.pendingBatch = &sentBatch{batch: b, content: content, firstSent: now, lastSent: now}
	d.leadership.lastBatchAt = now
	d.appendAsync(content)
}

// resendBatch appends the pending batch again when it has not been read back in
// time. The state machine ignores the repetition.
func (d *Domain) resendBatch(now time.Time) {
	p := d.leadership.pendingBatch
	if now.Sub(p.lastSent) < batchResendDelay {
		return
	}
	p.lastSent = now
	d.appendAsync(p.content)
}

func isEmpty(b *work.Batch) bool {
	return len(b.Create)+len(b.Resize)+len(b.Cancel)+len(b.Assign)+len(b.End)+len(b.Reject)+
		len(b.SetReason)+len(b.GiveUp)+len(b.Grant)+len(b.Revoke)+len(b.Ack)+len(b.Remove) == 0
}

// buildBatch returns the leader's decisions since the last batch.
func (d *Domain) buildBatch(now time.Time) *work.Batch {
	l := d.leadership
	b := &work.Batch{
		Term: l.term, Seq: d.state.LastSeq + 1, Member: d.cfg.Member, AtMs: now.UnixMilli(), ConfigVersion: d.state.ConfigVersion,
	}
	d.addEnds(b)
	d.resolveUnplaceable(now)
	d.addRefusals(b, now)
	if now.Sub(l.lastDone.config) >= configInterval {
		l.lastDone.config = now
		d.refreshWorkers(now)
		d.reconcileConfig(b)
	}
	if now.Sub(l.lastDone.ownership) >= ownershipInterval {
		l.lastDone.ownership = now
		d.addMemberChanges(b)
		d.addOwnershipChanges(b, now)
	}
	d.placeTasks(b, now)
	return b
}

func (d *Domain) addEnds(b *work.Batch) {
	l := d.leadership
	for ref, e := range l.unrecordedEnds {
		if len(b.End) >= maxEndsPerBatch {
			return
		}
		b.End = append(b.End, e)
		delete(l.unrecordedEnds, ref)
	}
}

// addRefusals moves the refused jobs, and the reasons why other jobs don't run,
// into the batch. Every deferredRetryInterval it also admits the deferred items
// again.
func (d *Domain) addRefusals(b *work.Batch, now time.Time) {
	l := d.leadership
	b.Reject = l.refusals
	l.refusals = nil
	b.GiveUp = l.giveUps
	l.giveUps = nil
	for id, reason := range l.pendingReasons {
		if j := d.state.Jobs[id]; j != nil && j.Reason != reason {
			b.SetReason = append(b.SetReason, work.JobReason{Job: id, Reason: reason})
		}
	}
	clear(l.pendingReasons)
	if now.Sub(l.deferredRetriedAt) < deferredRetryInterval {
		return
	}
	l.deferredRetriedAt = now
	deferred := l.deferred
	l.deferred = nil
	for _, it := range deferred {
		if d.stillPending(it) {
			d.admit(it, now)
		}
	}
}

// placeTasks adds the engine's placements to the batch. Without a valid leader
// lease it adds none.
func (d *Domain) placeTasks(b *work.Batch, now time.Time) {
	l := d.leadership
	if !l.leaderLease.Valid(now, d.cfg.LeaseDurations) {
		return
	}
	d.updateSchedulable(now)
	// Probes go first, because placing on the other workers may empty the queue.
	for _, ws := range l.sessions {
		if ws.synced && ws.live && l.attribution.ProbeDue(ws.name, now) {
			d.addProbe(b, ws, now)
		}
	}
	for _, p := range l.engine.Place(now, maxAssignsPerBatch) {
		d.addAssigns(b, p)
	}
}

func (d *Domain) addAssigns(b *work.Batch, p place.Placement) {
	j := d.state.Jobs[p.Item.Ref.Job]
	for i, worker := range p.Workers {
		ref := work.TaskRef{Job: p.Item.Ref.Job, Index: p.Item.Ref.Index + i}
		d.leadership.allocations[ref] = allocation{worker, p.Item.Tenant, p.Item.Size}
		a := work.Assign{Task: ref, Attempt: j.Tasks[ref.Index].Attempt + 1, Worker: worker}
		if ws := d.leadership.sessions[worker]; ws != nil {
			a.Incarnation = ws.incarnation
		}
		b.Assign = append(b.Assign, a)
	}
}

// addProbe assigns one task to a quarantined worker, as a probe. It skips jobs
// that fail on every worker, because their failure is no evidence against this
// one.
func (d *Domain) addProbe(b *work.Batch, ws *workerSession, now time.Time) {
	eligible := func(it place.Item) bool {
		_, atFault := d.leadership.attribution.JobExcluded(it.Ref.Job)
		return !atFault && !it.Alone
	}
	for _, p := range d.leadership.engine.Probe(ws.name, now, eligible) {
		d.leadership.attribution.ProbeStarted(ws.name, p.Item.Ref)
		d.addAssigns(b, p)
	}
}

// updateSchedulable sets in the engine which workers may get new work.
func (d *Domain) updateSchedulable(now time.Time) {
	for _, ws := range d.leadership.sessions {
		d.leadership.engine.SetSchedulable(ws.name, ws.synced && ws.live && !d.leadership.attribution.WorkerQuarantined(ws.name))
	}
}

// refreshWorkers updates the engine and the sessions from the platform's list
// of workers. An unlisted worker is removed once no task is assigned to it.
func (d *Domain) refreshWorkers(now time.Time) {
	l := d.leadership
	listedWorkers := map[string]bool{}
	for _, inst := range d.cfg.Instances(member.KindWorker) {
		listedWorkers[inst.Name] = true
		l.engine.SetCapacity(inst.Name, inst.Rack, inst.Capacity)
		ws := l.sessions[inst.Name]
		if ws == nil {
			ws = d.newSession(inst, now)
		}
		ws.addr = inst.Addr
		ws.live = inst.State == member.StateLive
		ws.leaving = inst.State == member.StateLeaving
	}
	for worker := range d.state.TasksByWorker {
		if l.sessions[worker] == nil {
			d.newSession(member.Instance{Name: worker}, now)
		}
	}
	for name, ws := range l.sessions {
		if listedWorkers[name] {
			continue
		}
		ws.live = false
		if len(d.state.TasksByWorker[name]) == 0 {
			ws.cancel()
			delete(l.sessions, name)
			l.engine.Remove(name)
		}
	}
}

// reconcileConfig sets the tenants of the engine from the configuration and
// adds to the batch what makes the jobs match it.
func (d *Domain) reconcileConfig(b *work.Batch) {
	m, version := d.cfg.Model()
	if !d.cfg.ConfigReady() || version < d.state.ConfigVersion {
		return // this instance's view is older than the version that a leader has acted on
	}
	b.ConfigVersion = version
	desired := map[string]work.JobSpec{}
	for name, s := range m.Services {
		if s.Domain == d.cfg.Domain {
			spec := s.Spec(name)
			desired[spec.ID] = spec
		}
	}
	for name, j := range m.Jobs {
		if j.Domain == d.cfg.Domain {
			spec := j.Spec(name)
			desired[spec.ID] = spec
		}
	}
	for name, t := range m.Tenants {
		d.leadership.engine.SetTenant(name, place.Tenant{Share: t.Share, Quota: t.Quota})
	}
	d.diffJobs(b, desired)
}

// diffJobs adds to the batch the jobs to create, resize and cancel so that the
// domain's jobs match the desired ones. A service that has ended is created
// again. Only jobs that came from the configuration are cancelled.
func (d *Domain) diffJobs(b *work.Batch, desired map[string]work.JobSpec) {
	ids := make([]string, 0, len(desired))
	for id := range desired {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		spec := desired[id]
		j := d.state.Jobs[id]
		switch {
		case !d.state.Known(id), j != nil && j.FinalState != "" && spec.Kind == work.KindService:
			b.Create = append(b.Create, spec)
		case j != nil && spec.Kind == work.KindService && j.Spec.Tasks != spec.Tasks:
			b.Resize = append(b.Resize, work.Resize{Job: id, Tasks: spec.Tasks})
		}
	}
	for id, j := range d.state.Jobs {
		fromConfig := strings.HasPrefix(id, "service/") || strings.HasPrefix(id, "job/")
		if _, ok := desired[id]; fromConfig && !ok && j.FinalState == "" && !j.Cancelled {
			b.Cancel = append(b.Cancel, id)
		}
	}
}
