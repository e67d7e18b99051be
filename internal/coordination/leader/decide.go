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

// Bounds and pace of a leader's decisions.
const (
	maxAssigns     = 1000 // tasks in one batch
	maxEnds        = 5000
	resendAfter    = 500 * time.Millisecond
	reconcileEvery = 500 * time.Millisecond
	deferredEvery  = 2 * time.Second
	ownersEvery    = 200 * time.Millisecond
)

// reconcile remembers when the slower parts of a leader's work were done last.
type reconcile struct {
	model  time.Time
	owners time.Time
}

// lead is one step of the leader: it reviews what it knows and, when no batch
// is under way, decides the next one.
func (d *Domain) lead(now time.Time) {
	r := d.leadership
	d.reviewLinks(now)
	if r.pending != nil {
		d.resend(now)
		return
	}
	if now.Sub(r.lastSent) < d.cfg.BatchEvery {
		return
	}
	b := d.decide(now)
	if empty(b) && now.Sub(r.lastSent) < d.cfg.RenewEvery {
		return
	}
	d.sendBatch(b, now)
}

func (d *Domain) sendBatch(b *work.Batch, now time.Time) {
	content, err := json.Marshal(work.Record{Batch: b})
	if err != nil {
		d.cfg.Logger.Error().Err(err).Msg("leader: a batch can't be encoded")
		return
	}
	d.leadership.pending = &sent{batch: b, content: content, first: now, last: now}
	d.leadership.lastSent = now
	d.sendContent(content)
}

// resend appends the same batch again when it is not read back; the fold counts
// it once.
func (d *Domain) resend(now time.Time) {
	p := d.leadership.pending
	if now.Sub(p.last) < resendAfter {
		return
	}
	p.last = now
	d.sendContent(p.content)
}

func empty(b *work.Batch) bool {
	return len(b.Create)+len(b.Resize)+len(b.Cancel)+len(b.Assign)+len(b.End)+len(b.Refuse)+
		len(b.Explain)+len(b.Grant)+len(b.Revoke)+len(b.Ack)+len(b.Remove) == 0
}

func (d *Domain) decide(now time.Time) *work.Batch {
	r := d.leadership
	b := &work.Batch{
		Term: r.term, Seq: d.state.LastSeq + 1, Member: d.cfg.Member, At: now.UnixMilli(), Config: d.state.Config,
	}
	d.takeEnds(b)
	d.judgeUnplaceable(now)
	d.takeNotes(b, now)
	if now.Sub(r.slow.model) >= reconcileEvery {
		r.slow.model = now
		d.syncNodes(now)
		d.reconcileModel(b)
	}
	if now.Sub(r.slow.owners) >= ownersEvery {
		r.slow.owners = now
		d.decideMembers(b)
		d.decideOwners(b, now)
	}
	d.place(b, now)
	return b
}

func (d *Domain) takeEnds(b *work.Batch) {
	r := d.leadership
	for ref, e := range r.ends {
		if len(b.End) >= maxEnds {
			return
		}
		b.End = append(b.End, e)
		delete(r.ends, ref)
	}
}

func (d *Domain) takeNotes(b *work.Batch, now time.Time) {
	r := d.leadership
	b.Refuse = r.refuse
	r.refuse = nil
	for id, reason := range r.reasons {
		if j := d.state.Jobs[id]; j != nil && j.Reason != reason {
			b.Explain = append(b.Explain, work.Refuse{Job: id, Reason: reason})
		}
	}
	clear(r.reasons)
	if now.Sub(r.deferredAt) < deferredEvery {
		return
	}
	r.deferredAt = now
	again := r.deferred
	r.deferred = nil
	for _, it := range again {
		if d.wanted(it) {
			d.admit(it, now)
		}
	}
}

// place lets the engine decide and puts its decisions into the batch.
func (d *Domain) place(b *work.Batch, now time.Time) {
	r := d.leadership
	if !r.right.Holds(now, d.cfg.Terms) {
		return
	}
	d.openWorkers(now)
	// Probes come first: other workers would leave nothing for them.
	for _, l := range r.links {
		if l.known && l.live && r.blame.MayProbe(l.name, now) {
			d.probe(b, l, now)
		}
	}
	for _, p := range r.engine.Place(now, maxAssigns) {
		d.assign(b, p)
	}
}

func (d *Domain) assign(b *work.Batch, p place.Placement) {
	j := d.state.Jobs[p.Item.Ref.Job]
	for i, worker := range p.Workers {
		ref := work.TaskRef{Job: p.Item.Ref.Job, Index: p.Item.Ref.Index + i}
		d.leadership.allocations[ref] = allocation{worker, p.Item.Tenant, p.Item.Size}
		b.Assign = append(b.Assign, work.Assign{Task: ref, Attempt: j.Tasks[ref.Index].Attempt + 1, Worker: worker})
	}
}

// probe gives a worker that is set aside one task. A task of a job that fails
// everywhere would tell nothing.
func (d *Domain) probe(b *work.Batch, l *link, now time.Time) {
	good := func(it place.Item) bool {
		_, blamed := d.leadership.blame.JobBlamed(it.Ref.Job)
		return !blamed
	}
	for _, p := range d.leadership.engine.Probe(l.name, now, good) {
		d.leadership.blame.Probing(l.name, p.Item.Ref)
		d.assign(b, p)
	}
}

// openWorkers says which workers may be given new work now.
func (d *Domain) openWorkers(now time.Time) {
	for _, l := range d.leadership.links {
		d.leadership.engine.SetOpen(l.name, l.known && l.live && !d.leadership.blame.WorkerBlamed(l.name))
	}
}

// syncNodes takes over the platform's list of workers.
func (d *Domain) syncNodes(now time.Time) {
	r := d.leadership
	listed := map[string]bool{}
	for _, n := range d.cfg.Nodes(member.KindWorker) {
		listed[n.Name] = true
		r.engine.SetCap(n.Name, n.Rack, n.Cap)
		l := r.links[n.Name]
		if l == nil {
			l = d.newLink(n, now)
		}
		l.addr = n.Addr
		l.live = n.State == member.StateLive
		l.leaving = n.State == member.StateLeaving
	}
	for worker := range d.state.Placed {
		if r.links[worker] == nil {
			d.newLink(member.Node{Name: worker}, now)
		}
	}
	for name, l := range r.links {
		if listed[name] {
			continue
		}
		l.live = false
		if len(d.state.Placed[name]) == 0 {
			l.cancel()
			delete(r.links, name)
			r.engine.Remove(name)
		}
	}
}

// reconcileModel compares what the configuration describes with the jobs known.
func (d *Domain) reconcileModel(b *work.Batch) {
	m, version := d.cfg.Model()
	if !d.cfg.ConfigReady() || version < d.state.Config {
		return // a newer version was acted on; this view lags
	}
	b.Config = version
	described := map[string]work.JobSpec{}
	for name, s := range m.Services {
		if s.Domain == d.cfg.Domain {
			spec := s.Spec(name)
			described[spec.ID] = spec
		}
	}
	for name, j := range m.Jobs {
		if j.Domain == d.cfg.Domain {
			spec := j.Spec(name)
			described[spec.ID] = spec
		}
	}
	for name, t := range m.Tenants {
		d.leadership.engine.SetTenant(name, place.Tenant{Share: t.Share, Quota: t.Quota})
	}
	d.compare(b, described)
}

func (d *Domain) compare(b *work.Batch, described map[string]work.JobSpec) {
	ids := make([]string, 0, len(described))
	for id := range described {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		spec := described[id]
		j := d.state.Jobs[id]
		switch {
		case !d.state.Known(id), j != nil && j.Final != "" && spec.Kind == work.KindService:
			b.Create = append(b.Create, spec)
		case j != nil && spec.Kind == work.KindService && j.Spec.Tasks != spec.Tasks:
			b.Resize = append(b.Resize, work.Resize{Job: id, Tasks: spec.Tasks})
		}
	}
	for id, j := range d.state.Jobs {
		fromConfig := strings.HasPrefix(id, "service/") || strings.HasPrefix(id, "job/")
		if _, ok := described[id]; fromConfig && !ok && j.Final == "" && !j.Cancelled {
			b.Cancel = append(b.Cancel, id)
		}
	}
}
