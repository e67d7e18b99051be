package leader

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Pace of the talk with a worker.
const (
	maxSyncWait    = 15 * time.Second
	fullEvery      = 2 * time.Minute // a whole inventory is asked for at least so often
	syncSlack      = 2 * time.Second
	syncRetry      = 200 * time.Millisecond
	serviceMissing = 3 * time.Second // silence after which a service's replicas are replaced
)

// link is the leader's talk with one worker.
type link struct {
	name     string
	addr     string
	live     bool
	leaving  bool
	known    bool // it has told this leader what it runs, and still answers
	lost     time.Time
	boot     string
	ack      uint64
	version  uint64
	full     time.Time // when the last whole inventory came
	renewed  time.Time // when leases were last prolonged or tasks started, by sending time
	declared work.Size // what stood on it at the last report
	starts   map[work.TaskRef]*start
	cancel   context.CancelFunc
}

// start is the state of one attempt's start.
type start struct {
	attempt  int
	inFlight bool
	answered bool
	at       time.Time
}

func (l *link) note(ref work.TaskRef, attempt int) *start {
	s := l.starts[ref]
	if s == nil || s.attempt != attempt {
		s = &start{attempt: attempt}
		l.starts[ref] = s
	}
	return s
}

func (d *Domain) newLink(n member.Node, now time.Time) *link {
	r := d.leadership
	ctx, cancel := context.WithCancel(r.ctx)
	l := &link{name: n.Name, addr: n.Addr, lost: now, renewed: r.since, starts: map[work.TaskRef]*start{}, cancel: cancel}
	for ref, p := range d.state.Placed[n.Name] {
		// A predecessor may have sent the start; only the worker can tell.
		l.note(ref, p.Attempt)
	}
	r.links[n.Name] = l
	r.wg.Go(func() { d.linkLoop(ctx, r, l) })
	return l
}

func (d *Domain) linkLoop(ctx context.Context, r *leadership, l *link) {
	for ctx.Err() == nil {
		q, addr, sent := d.query(r, l)
		if addr == "" {
			pause(ctx, syncRetry)
			continue
		}
		c, cancel := context.WithTimeout(ctx, q.Wait+syncSlack)
		reply, err := d.cfg.Workers.Sync(c, addr, q)
		cancel()
		d.mu.Lock()
		if d.leadership == r {
			d.synced(l, reply, err, sent)
		}
		d.mu.Unlock()
		if err != nil {
			pause(ctx, syncRetry)
		}
	}
}

func pause(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// query builds the next message to a worker. Leases are renewed only under the
// right, and not on a worker that is silent, so that they lapse.
func (d *Domain) query(r *leadership, l *link) (SyncQuery, string, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	q := SyncQuery{Ack: l.ack, Seen: l.version}
	if !l.known {
		q.Seen = 0
		return q, l.addr, now // no wait: the whole inventory is needed at once
	}
	q.Wait = min(maxSyncWait, d.cfg.Terms.Task/4)
	if now.Sub(l.full) > fullEvery {
		q.Seen = 0
	}
	if !d.mayAct(r, now) {
		return q, l.addr, now
	}
	q.Renew = len(d.state.Placed[l.name]) > 0
	if q.Renew {
		l.renewed = now
	}
	return q, l.addr, now
}

// synced takes over what a worker said in reply to a query sent at the time.
func (d *Domain) synced(l *link, reply SyncReply, err error, sent time.Time) {
	now := d.cfg.Now()
	if err != nil {
		if l.known {
			d.cfg.Logger.Warn().Err(err).Str("worker", l.name).Msg("leader: worker does not answer")
			l.lost = now
		}
		l.known = false
		return
	}
	restarted := l.boot != "" && l.boot != reply.Boot
	if restarted {
		l.ack = 0
	}
	if reply.Same {
		l.known = true
		return
	}
	l.full = now
	l.boot = reply.Boot
	l.version = reply.Version
	l.known = true
	d.takeEnded(l, reply, now)
	d.compareInventory(l, reply, sent, restarted)
	d.rouse()
}

func (d *Domain) takeEnded(l *link, reply SyncReply, now time.Time) {
	acked := true
	for _, e := range reply.Ended {
		a := work.Assign{Task: e.Task, Attempt: e.Attempt.Attempt, Worker: l.name}
		if !d.state.Current(a) {
			if acked {
				l.ack = max(l.ack, e.Number)
			}
			continue
		}
		// The end is acknowledged once it is in the log: a later reply finds it
		// no longer current.
		acked = false
		d.noteEnd(l, e, now)
	}
}

func (d *Domain) noteEnd(l *link, e EndedTask, now time.Time) {
	r := d.leadership
	if _, noted := r.ends[e.Task]; noted || d.inPending(e.Attempt) {
		return
	}
	j := d.state.Jobs[e.Task.Job]
	outcome := e.Outcome
	switch outcome {
	case work.OutcomeDone:
		r.blame.Succeeded(l.name, e.Task.Job)
	case work.OutcomeFailed:
		r.blame.Failed(l.name, e.Task.Job, now)
		if r.blame.WorkerBlamed(l.name) {
			outcome = work.OutcomeLost // the worker's fault does not use up the job's retries
		}
	default:
		r.blame.Dropped(l.name)
	}
	if j.Spec.Kind == work.KindService && outcome == work.OutcomeDone {
		outcome = work.OutcomeFailed
	}
	r.ends[e.Task] = work.End{Task: e.Task, Attempt: e.Attempt.Attempt, Outcome: outcome}
}

// inPending reports whether the batch under way ends the attempt already.
func (d *Domain) inPending(a Attempt) bool {
	p := d.leadership.pending
	if p == nil {
		return false
	}
	for _, e := range p.batch.End {
		if e.Task == a.Task && e.Attempt == a.Attempt {
			return true
		}
	}
	return false
}

// compareInventory sets what a worker runs against what the records give it.
func (d *Domain) compareInventory(l *link, reply SyncReply, sent time.Time, restarted bool) {
	placed := d.state.Placed[l.name]
	running := map[work.TaskRef]bool{}
	var extra work.Size
	var unwanted []Attempt
	for _, t := range reply.Running {
		p, ok := placed[t.Task]
		if !ok || p.Attempt != t.Attempt.Attempt {
			extra = extra.Add(t.Size)
			unwanted = append(unwanted, t.Attempt)
			continue
		}
		running[t.Task] = true
		j := d.state.Jobs[t.Task.Job]
		s := l.note(t.Task, p.Attempt)
		s.answered = true
		if !j.Wanted(t.Task.Index) || l.leaving && !j.Exclusive() {
			unwanted = append(unwanted, t.Attempt)
		}
	}
	for _, t := range reply.Ended {
		running[t.Task] = true
	}
	missing, stop := d.missing(l, running, sent, restarted)
	unwanted = append(unwanted, stop...)
	w := d.leadership.engine.Worker(l.name)
	declared := w.Used.Add(extra)
	d.leadership.engine.Report(l.name, extra, reply.Usage, declared.Max(l.declared))
	l.declared = declared
	if len(missing) > 0 {
		d.start(l, missing, d.cfg.Now())
	}
	if len(unwanted) > 0 {
		d.stop(l, unwanted)
	}
}

// missing sorts the tasks that stand assigned to the worker but that it does
// not run: to be started, to be stopped for certain, or lost.
func (d *Domain) missing(l *link, running map[work.TaskRef]bool, sent time.Time, restarted bool) (start []work.TaskRef, stop []Attempt) {
	for ref, p := range d.state.Placed[l.name] {
		if running[ref] {
			continue
		}
		j := d.state.Jobs[ref.Job]
		s := l.note(ref, p.Attempt)
		switch {
		case s.inFlight:
		case restarted, s.answered && sent.After(s.at):
			d.lose(ref, p.Attempt)
		case !j.Wanted(ref.Index):
			stop = append(stop, Attempt{ref, p.Attempt})
		case !s.answered:
			start = append(start, ref)
		}
	}
	return start, stop
}

// lose notes that an attempt certainly no longer runs.
func (d *Domain) lose(ref work.TaskRef, attempt int) {
	r := d.leadership
	if _, noted := r.ends[ref]; noted || d.inPending(Attempt{ref, attempt}) {
		return
	}
	r.ends[ref] = work.End{Task: ref, Attempt: attempt, Outcome: work.OutcomeLost}
}

// reviewLinks gives up what silent workers were given, once it is certain that
// it has ended, or at once where a second copy does no harm.
func (d *Domain) reviewLinks(now time.Time) {
	for _, l := range d.leadership.links {
		if l.known {
			continue
		}
		lapsed := !now.Before(l.renewed.Add(d.cfg.Terms.Task + d.cfg.Terms.Margin))
		silent := now.Sub(l.lost) > serviceMissing
		if !lapsed && !silent {
			continue
		}
		for ref, p := range d.state.Placed[l.name] {
			exclusive := d.state.Jobs[ref.Job].Exclusive()
			if exclusive && lapsed || !exclusive && silent {
				d.lose(ref, p.Attempt)
			}
		}
	}
}
