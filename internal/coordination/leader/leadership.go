package leader

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/place"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Policy of placement.
const (
	patientAge   = 60 * time.Second
	reserveAfter = 10 * time.Second
	serviceLease = 24 * time.Hour // a second copy does little harm, so outages don't end services
)

// leadership is what only a leader knows, for one term. It is discarded with it.
type leadership struct {
	term        uint64
	since       time.Time
	right       lease.Right
	promises    map[string]time.Time // by member: no claim before
	keptUntil   map[string]time.Time // by member: its minions are not moved before
	engine      *place.Engine
	blame       *place.Blame
	links       map[string]*link
	allocations map[work.TaskRef]allocation // what the engine counts as standing on workers
	pending     *sent                       // the batch that is not confirmed yet
	lastSent    time.Time
	ends        map[work.TaskRef]work.End // to be recorded
	refuse      []work.Refuse
	reasons     map[string]string // reasons to be recorded, by job
	unplaceable []place.Item      // fitted on no worker known when they came
	deferred    []place.Item      // can't run now; looked at again at times
	deferredAt  time.Time
	vacant      map[string]time.Time // by minion without owner: may be granted from then on
	slow        reconcile
	cancel      context.CancelFunc
	ctx         context.Context
	wg          *conc.WaitGroup
}

// allocation is where a task stands.
type allocation struct {
	worker string
	tenant string
	size   work.Size
}

// sent is a batch under way.
type sent struct {
	batch   *work.Batch
	content []byte
	first   time.Time // when it was sent first; a confirmed batch renews the right from then
	last    time.Time
}

// beginTerm takes office. The claim was sent at the time claimSent.
func (d *Domain) beginTerm(claimSent, now time.Time) {
	ctx, cancel := context.WithCancel(d.ctx)
	r := &leadership{
		term: d.state.Term, since: now, promises: map[string]time.Time{}, keptUntil: map[string]time.Time{},
		engine: place.NewEngine(place.Config{
			Fit: place.FitKeep, Order: place.OrderFair, PatientAge: patientAge, ReserveAfter: reserveAfter,
		}),
		blame: place.NewBlame(), links: map[string]*link{}, allocations: map[work.TaskRef]allocation{}, ends: map[work.TaskRef]work.End{},
		reasons: map[string]string{}, vacant: map[string]time.Time{}, cancel: cancel, ctx: ctx, wg: conc.NewWaitGroup(),
	}
	r.right.Confirm(claimSent)
	r.engine.Wanted = d.wanted
	d.leadership = r
	for worker, tasks := range d.state.Placed {
		for ref, p := range tasks {
			j := d.state.Jobs[ref.Job]
			r.engine.Occupy(worker, j.Spec.Tenant, ref, p.Size, time.Time{})
			r.allocations[ref] = allocation{worker, j.Spec.Tenant, p.Size}
		}
	}
	d.state.TakeFresh()
	d.syncNodes(now)
	for _, ref := range d.state.Pending() {
		d.enqueue(ref, now)
	}
	for minion, o := range d.state.Grants {
		if o.Member == "" && !o.Clean {
			r.vacant[minion] = now.Add(d.cfg.Terms.Grant + d.cfg.Terms.Margin)
		}
	}
	d.rouse()
}

// endTerm leaves office. Nothing is sent to workers after it.
func (d *Domain) endTerm(why string) {
	if d.leadership == nil {
		return
	}
	d.cfg.Logger.Info().Uint64("term", d.leadership.term).Str("why", why).Msg("leader: term ends here")
	r := d.leadership
	d.leadership = nil
	r.cancel()
	d.wg.Go(r.wg.Wait)
}

// mayAct reports whether the leadership is still in office and its right holds. It
// is asked immediately before each message that depends on the right.
func (d *Domain) mayAct(r *leadership, now time.Time) bool {
	return d.leadership == r && r.right.Holds(now, d.cfg.Terms)
}

// wanted reports whether a queued item still stands.
func (d *Domain) wanted(it place.Item) bool {
	j := d.state.Jobs[it.Ref.Job]
	if j == nil || j.Cancelled || j.Final != "" || it.Ref.Index >= len(j.Tasks) {
		return false
	}
	if it.Count > 1 && j.Assigned > 0 {
		return false
	}
	return j.Tasks[it.Ref.Index].State == work.TaskPending
}

// enqueue queues a pending task, or notes why it can't run.
func (d *Domain) enqueue(ref work.TaskRef, now time.Time) {
	j := d.state.Jobs[ref.Job]
	if j == nil {
		return
	}
	it := place.Item{
		Ref: ref, Count: 1, Size: j.Spec.Size, Tenant: j.Spec.Tenant, Class: j.Spec.Class,
		Queued: time.UnixMilli(j.Queued), Run: time.Duration(j.Spec.Run) * time.Millisecond,
	}
	if it.Queued.After(now) {
		it.Queued = now
	}
	if j.Spec.Kind == work.KindGang {
		it.Count = len(j.Tasks)
	}
	d.admit(it, now)
}

// admit queues an item, or sets it aside to be judged.
func (d *Domain) admit(it place.Item, now time.Time) {
	r := d.leadership
	if until, blamed := r.blame.JobBlamed(it.Ref.Job); blamed && now.Before(until) {
		r.deferred = append(r.deferred, it)
		r.reasons[it.Ref.Job] = "fails on every worker it was tried on; tried again later"
		return
	}
	if r.engine.Never(it) != "" {
		r.unplaceable = append(r.unplaceable, it)
		return
	}
	r.engine.Push(it)
}

// judgeUnplaceable decides about items that fit on no worker known when they came.
// The list is taken over again first, since refusing a job is final.
func (d *Domain) judgeUnplaceable(now time.Time) {
	r := d.leadership
	if len(r.unplaceable) == 0 || len(d.cfg.Nodes(member.KindWorker)) == 0 {
		return
	}
	d.syncNodes(now)
	unplaceable := r.unplaceable
	r.unplaceable = nil
	for _, it := range unplaceable {
		j := d.state.Jobs[it.Ref.Job]
		reason := r.engine.Never(it)
		switch {
		case !d.wanted(it):
		case reason == "":
			r.engine.Push(it)
		case j.Spec.Kind == work.KindService || j.Ran:
			r.reasons[it.Ref.Job] = reason
			r.deferred = append(r.deferred, it)
		default:
			r.refuse = append(r.refuse, work.Refuse{Job: it.Ref.Job, Reason: reason})
		}
	}
}

// describe gives a worker's state in one word.
func (r *leadership) describe(n member.Node) string {
	l := r.links[n.Name]
	switch {
	case l == nil || !l.known:
		return "unreachable"
	case n.State != member.StateLive:
		return n.State
	case r.blame.WorkerBlamed(n.Name):
		return "set-aside"
	}
	return "ready"
}
