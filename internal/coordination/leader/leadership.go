package leader

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/place"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Parameters of placement.
const (
	agingThreshold   = 60 * time.Second // items pending longer get a share of the picks, whatever their class
	reservationDelay = 10 * time.Second // capacity is reserved for items that have fitted on no worker for this long
	serviceLease     = 24 * time.Hour   // long, because a second copy of a service does little harm and an outage must not stop services
)

// leadership is the state that only a leader has. It lives for one term, in
// memory only. Domain.mu guards it.
type leadership struct {
	term              uint64
	startedAt         time.Time
	leaderLease       lease.LeaderLease
	promises          map[string]time.Time // by member: it has promised not to claim before this time
	ownershipUntil    map[string]time.Time // by member: its minions are not assigned to others before this time
	engine            *place.Engine
	attribution       *place.FailureAttribution
	sessions          map[string]*workerSession
	allocations       map[work.TaskRef]allocation // what the engine counts as used on workers
	pendingBatch      *sentBatch                  // the batch that has not taken effect yet; nil for none
	lastBatchAt       time.Time                   // when the last batch was sent first
	unrecordedEnds    map[work.TaskRef]work.End   // to go into a batch
	refusals          []work.JobReason
	pendingReasons    map[string]string // by job: why it does not run, to go into a batch
	unplaceable       []place.Item      // exceeded the capacity of the workers known when they were queued
	deferred          []place.Item      // can't run now; retried every deferredRetryInterval
	deferredRetriedAt time.Time
	giveUps           []work.GiveUp              // to go into a batch
	pausedFrom        map[work.TaskRef]time.Time // by replica: start of its pause
	grantableFrom     map[string]time.Time       // by minion without an owner: earliest time of its next grant
	lastDone          periodicTimes
	cancel            context.CancelFunc
	ctx               context.Context
}

// allocation is the capacity that one attempt of a task takes up on a worker.
type allocation struct {
	worker string
	tenant string
	size   work.Size
}

// sentBatch is a batch that was appended and has not taken effect yet.
type sentBatch struct {
	batch     *work.Batch
	content   []byte
	firstSent time.Time // once the batch takes effect, the leader lease counts from this time
	lastSent  time.Time
}

// beginTerm makes this instance the leader for the current term. The leader
// lease runs from claimSent, the time at which the claim was sent.
func (d *Domain) beginTerm(claimSent, now time.Time) {
	ctx, cancel := context.WithCancel(d.ctx)
	l := &leadership{
		term: d.state.Term, startedAt: now, promises: map[string]time.Time{}, ownershipUntil: map[string]time.Time{},
		engine: place.NewEngine(place.Config{
			Fit: place.FitSpareAccelerators, Order: place.OrderFair, AgingThreshold: agingThreshold, ReserveAfter: reservationDelay, AloneFor: aloneFor,
		}),
		attribution: place.NewFailureAttribution(), sessions: map[string]*workerSession{}, allocations: map[work.TaskRef]allocation{}, unrecordedEnds: map[work.TaskRef]work.End{},
		pendingReasons: map[string]string{}, grantableFrom: map[string]time.Time{}, pausedFrom: map[work.TaskRef]time.Time{}, cancel: cancel, ctx: ctx,
	}
	l.leaderLease.Renew(claimSent)
	l.engine.Wanted = d.stillPending
	d.leadership = l
	for worker, tasks := range d.state.TasksByWorker {
		for ref, p := range tasks {
			j := d.state.Jobs[ref.Job]
			l.engine.RecordAllocation(worker, j.Spec.Tenant, ref, p.Size, time.Time{})
			l.allocations[ref] = allocation{worker, j.Spec.Tenant, p.Size}
			if w := l.engine.Worker(worker); d.startedAt[ref].After(w.LastStart) {
				w.LastStart = d.startedAt[ref]
			}
		}
	}
	d.state.TakeNewlyPending()
	d.refreshWorkers(now)
	for _, ref := range d.state.Pending() {
		d.enqueue(ref, now)
	}
	for minion, owner := range d.state.MinionOwners {
		if owner.Member == "" && !owner.Released {
			l.grantableFrom[minion] = now.Add(d.cfg.LeaseDurations.OwnerLease + d.cfg.LeaseDurations.Margin)
		}
	}
	d.wakeLoop()
}

// endTerm ends the leadership, if there is one. No call to a worker starts
// after it and calls in progress are cancelled.
func (d *Domain) endTerm(reason string) {
	if d.leadership == nil {
		return
	}
	d.cfg.Logger.Info().Uint64("term", d.leadership.term).Str("why", reason).Msg("leader: term ended")
	d.leadership.cancel()
	d.leadership = nil
}

// mayAct reports whether l is still the current leadership and its leader lease
// is valid at now. It must be checked immediately before each message that is
// allowed only under the leader lease.
func (d *Domain) mayAct(l *leadership, now time.Time) bool {
	return d.leadership == l && l.leaderLease.Valid(now, d.cfg.LeaseDurations)
}

// stillPending reports whether a queued item still has to be placed.
func (d *Domain) stillPending(it place.Item) bool {
	j := d.state.Jobs[it.Ref.Job]
	if j == nil || j.Cancelled || j.FinalState != "" || it.Ref.Index >= len(j.Tasks) {
		return false
	}
	if it.TaskCount > 1 && j.Assigned > 0 {
		return false
	}
	return j.Tasks[it.Ref.Index].State == work.TaskPending
}

// enqueue submits a pending task to placement. A gang is queued as one item.
func (d *Domain) enqueue(ref work.TaskRef, now time.Time) {
	j := d.state.Jobs[ref.Job]
	if j == nil {
		return
	}
	it := place.Item{
		Ref: ref, TaskCount: 1, Size: j.Spec.Size, Tenant: j.Spec.Tenant, Class: j.Spec.Class,
		Queued: time.UnixMilli(j.QueuedMs), RunTime: time.Duration(j.Spec.RunMs) * time.Millisecond,
		Alone: startsAlone(j, ref.Index),
	}
	if it.Queued.After(now) {
		it.Queued = now
	}
	if j.Spec.Kind == work.KindGang {
		it.TaskCount = len(j.Tasks)
	}
	d.admit(it, now)
}

// admit adds an item to the engine's queue. An item whose workers were lost right
// after its starts may be held back. An item of a job that is at fault
// itself is deferred until its next probe, with the reason noted. An item that
// exceeds the capacity of the known workers goes to the unplaceable items.
func (d *Domain) admit(it place.Item, now time.Time) {
	l := d.leadership
	if until, atFault := l.attribution.JobExcluded(it.Ref.Job); atFault && now.Before(until) {
		l.deferred = append(l.deferred, it)
		l.pendingReasons[it.Ref.Job] = "fails on every worker it was tried on; tried again later"
		return
	}
	if d.holdBack(it, now) {
		return
	}
	if l.engine.UnplaceableReason(it) != "" {
		l.unplaceable = append(l.unplaceable, it)
		return
	}
	l.engine.Enqueue(it)
}

// resolveUnplaceable decides about the unplaceable items: it queues those that
// the workers have the capacity for now, defers those of services and of jobs
// that have run before, and refuses the other jobs. It refreshes the workers
// first, because refusing a job is final. Without any listed worker it does
// nothing.
func (d *Domain) resolveUnplaceable(now time.Time) {
	l := d.leadership
	if len(l.unplaceable) == 0 || len(d.cfg.Instances(member.KindWorker)) == 0 {
		return
	}
	d.refreshWorkers(now)
	unplaceable := l.unplaceable
	l.unplaceable = nil
	for _, it := range unplaceable {
		j := d.state.Jobs[it.Ref.Job]
		reason := l.engine.UnplaceableReason(it)
		switch {
		case !d.stillPending(it):
		case reason == "":
			l.engine.Enqueue(it)
		case j.Spec.Kind == work.KindService || j.EverAssigned:
			l.pendingReasons[it.Ref.Job] = reason
			l.deferred = append(l.deferred, it)
		default:
			l.refusals = append(l.refusals, work.JobReason{Job: it.Ref.Job, Reason: reason})
		}
	}
}

// workerState returns a worker's state for the status report.
func (l *leadership) workerState(inst member.Instance) string {
	ws := l.sessions[inst.Name]
	switch {
	case ws == nil || !ws.synced:
		return "unreachable"
	case inst.State != member.StateLive:
		return inst.State
	case l.attribution.WorkerQuarantined(inst.Name):
		return "set-aside"
	}
	return "ready"
}
