package core

import (
	"context"
	"math"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// Bounds of the leader's work.
const (
	// decideEvery is the shortest time between two passes of decisions, so that
	// one append carries what came in between.
	decideEvery = 8 * time.Millisecond
	// appendEvery is the shortest time between two appends, each of which has a
	// price and takes some 7 ms.
	appendEvery = 10 * time.Millisecond
	// learnedEvery is the time between two records of what the leader has learned;
	// at 48 workers one has some 3 KB.
	learnedEvery = 4 * time.Second
	listEvery    = 500 * time.Millisecond
	listTimeout  = 1500 * time.Millisecond
	// Time-outs of calls to workers beyond their own waiting.
	startTimeout = 400 * time.Millisecond
	stopTimeout  = 400 * time.Millisecond
	holdTimeout  = 700 * time.Millisecond
)

// appending is the leader's append under way.
type appending struct {
	writer *ledger.Writer
	busy   bool
	lastAt time.Time
	cancel context.CancelFunc
	resign chan struct{} // closed when the leader has given up the lead
	// learnedAt is when the record of what was learned was written last.
	learnedAt time.Time
}

// listing is the leader's reading of the list of workers.
type listing struct {
	busy   bool
	nextAt time.Time
	failed bool
}

// step does what is due.
func (c *Core) step(now time.Time) {
	c.stepLead(now)
	if c.engine == nil {
		return
	}
	c.stepList(now)
	c.stepHandBack(now)
	c.tickAt = c.engine.Tick(now)
	if c.changed && !now.Before(c.decideAt) || now.Sub(c.decideAt) > loopEvery {
		c.engine.Decide(now)
		c.changed = false
		c.decideAt = now.Add(decideEvery)
	}
	c.stepAppend(now)
	c.sweep(now)
	c.dispatch(now)
	if c.engine != nil && now.Sub(c.statsAt) >= statsEvery {
		c.statsAt = now
		c.logStats(now)
	}
}

// statsEvery is the time between two lines on the leader's state.
const statsEvery = time.Second

func (c *Core) logStats(now time.Time) {
	s := c.engine.Stats(now)
	c.set.Meter.Gauge("live_jobs", float64(s.Live))
	c.set.Meter.Gauge("runs", float64(s.Runs))
	c.set.Meter.Gauge("cpu_used", s.CPUUsed)
	c.set.Logger.Info().Int("jobs", s.Jobs).Int("live", s.Live).Int("waiting", s.Waiting).Int("waiting-late", s.WaitingLate).Interface("waiting-in", s.WaitingIn).
		Int("runs", s.Runs).Int("stopping", s.Stopping).Int("unsure", s.Unsure).Int("workers", s.Workers).Int("usable", s.Usable).
		Float64("cpu-used", math.Round(s.CPUUsed*100)/100).Int("asking", s.Asking).Int64("term", c.lead.term).Msg("leader: state")
}

// stepAppend stores what was decided, one append at a time.
func (c *Core) stepAppend(now time.Time) {
	a := &c.append
	if a.busy || now.Sub(a.lastAt) < appendEvery {
		return
	}
	b := c.engine.Batch()
	beat := now.Sub(a.lastAt) >= beatEvery
	if b.Empty() && !beat && a.resign == nil {
		return
	}
	if len(b.Changes) == 0 && !beat && a.resign == nil {
		c.engine.Committed(now, b)
		return
	}
	records := c.batchRecords(b)
	if len(records) == 0 {
		records = append(records, ledger.Record{Key: keyBeat, Value: []byte{1}})
	}
	if now.Sub(a.learnedAt) >= learnedEvery {
		a.learnedAt = now
		r, err := encodeRecord(keyLearned, c.engine.Learned())
		if err != nil {
			c.set.Logger.Error().Err(err).Msg("leader: what was learned can't be encoded")
		} else {
			records = append(records, r)
		}
	}
	if a.resign != nil {
		if r, err := encodeRecord(keyLeader, claim{Term: c.lead.term, Instance: c.set.Instance, Life: c.set.Life, Resigned: true}); err == nil {
			records = append(records, r)
		}
	}
	a.busy, a.lastAt = true, now
	ctx, cancel := context.WithCancel(c.ctx)
	a.cancel = cancel
	w, sent, term, resign := a.writer, c.set.Uptime(), c.lead.term, a.resign
	c.calls.Go(func() {
		defer cancel()
		_, err := w.Append(ctx, records)
		c.post(func(now time.Time) { c.appended(now, b, records, err, sent, term, resign) })
	})
}

func (c *Core) batchRecords(b *sched.Batch) []ledger.Record {
	records := make([]ledger.Record, 0, len(b.Changes))
	for _, ch := range b.Changes {
		if !ch.Drop {
			records = append(records, ledger.Record{Key: keyProgress + ch.Job, Value: ch.Data})
			continue
		}
		for _, prefix := range []string{keyProgress, keyCancel, keySpec} {
			records = append(records, ledger.Record{Key: prefix + ch.Job})
		}
	}
	return records
}

// appended takes the store's answer to the leader's append.
func (c *Core) appended(now time.Time, b *sched.Batch, records []ledger.Record, err error, sent time.Duration, term int64, resign chan struct{}) {
	if c.engine == nil || c.lead.term != term {
		if resign != nil {
			close(resign)
		}
		return
	}
	var refused *ledger.RefusedError
	switch {
	case err == nil:
		c.append.busy = false
		c.lead.confirmed = max(c.lead.confirmed, sent)
		c.heard(now)
		b.Shown(c.index.Put)
		c.engine.Committed(now, b)
		c.changed = true
		if resign != nil {
			c.stepDown(now, "this instance leaves")
			close(resign)
		}
	case errors.As(err, &refused):
		// Nothing was stored; the same records go out again shortly.
		c.set.Logger.Warn().Err(err).Msg("leader: append refused")
		c.retryAppend(b, records, term, resign)
	default:
		c.noteFence(err)
		c.stepDown(now, err.Error())
		if resign != nil {
			close(resign)
		}
	}
}

// retryPause is the pause before records that the store refused are sent again.
const retryPause = 60 * time.Millisecond

func (c *Core) retryAppend(b *sched.Batch, records []ledger.Record, term int64, resign chan struct{}) {
	w := c.append.writer
	ctx, cancel := context.WithCancel(c.ctx)
	c.append.cancel = cancel
	c.calls.Go(func() {
		defer cancel()
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return
		}
		sent := c.set.Uptime()
		_, err := w.Append(ctx, records)
		c.post(func(now time.Time) { c.appended(now, b, records, err, sent, term, resign) })
	})
}

// stepList reads the list of workers from time to time.
func (c *Core) stepList(now time.Time) {
	l := &c.listing
	if l.busy || now.Before(l.nextAt) {
		return
	}
	l.busy, l.nextAt = true, now.Add(listEvery)
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, listTimeout)
		defer cancel()
		list, err := c.set.Workers.List(ctx)
		c.post(func(now time.Time) { c.listed(now, list, err) })
	})
}

func (c *Core) listed(now time.Time, list []sched.WorkerInfo, err error) {
	c.listing.busy = false
	if err != nil {
		if !c.listing.failed {
			c.set.Logger.Warn().Err(err).Msg("leader: the list of workers can't be read")
		}
		c.listing.failed = true
		return
	}
	c.listing.failed = false
	if c.engine != nil {
		c.engine.SetWorkers(now, list)
		c.changed = true
	}
}

// rightful reports whether a leader may still renew leases: a later leader
// counts on it that the store has confirmed one of its records not long ago.
func (c *Core) rightful() bool {
	return c.set.Uptime()-c.lead.confirmed < c.set.Params.LeaderMax
}

// dispatch sends the orders and questions that the engine has left.
func (c *Core) dispatch(now time.Time) {
	out := c.engine.Take()
	c.logEvents(out.Events)
	if out.Fenced {
		c.stepDown(now, "a worker has seen a later leader")
		return
	}
	term, rightful := c.lead.term, c.rightful()
	batches := map[string][]NumberedOrder{}
	for _, o := range out.Orders {
		if !rightful {
			o.Until = 0
			if o.Kind == sched.OrderStart {
				c.engine.Started(now, o, sched.AnswerRefused, 0)
				continue
			}
		}
		if name := c.helperFor(now, o.Worker); name != "" {
			batches[name] = append(batches[name], c.number(now, name, o))
			continue
		}
		c.calls.Go(func() { c.sendOrder(o, term) })
	}
	c.relayOrders(now, batches)
	for _, q := range out.Asks {
		c.calls.Go(func() { c.sendAsk(q, term) })
	}
	for _, name := range out.Probes {
		c.calls.Go(func() { c.probeCaller(name, term) })
	}
}

// probeCaller asks an instance whether it can ask the placement service: one that
// reaches the store is taken to reach the rest of the platform.
func (c *Core) probeCaller(name string, term int64) {
	ok := false
	if peers := c.peers.Load(); name == c.set.Instance {
		ok = c.Ready()
	} else if peers != nil {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		ok = c.set.Peers.Ready(ctx, (*peers)[name].Addr)
	}
	c.post(func(now time.Time) { c.report(term, func() { c.engine.Probed(now, name, ok) }) })
}

// report runs f if this instance still leads in that term.
func (c *Core) report(term int64, f func()) {
	if c.engine != nil && c.lead.term == term {
		f()
		c.changed = true
	}
}

// sendOrder gives an order from this instance.
func (c *Core) sendOrder(o sched.Order, term int64) {
	began := c.set.Now()
	a := c.callOrder(o, term)
	c.post(func(now time.Time) {
		c.report(term, func() { c.answered(now, pendingOrder{order: o, sentAt: began}, a) })
	})
}

func (c *Core) sendAsk(q sched.Ask, term int64) {
	began := c.set.Now()
	ctx, cancel := context.WithTimeout(c.ctx, q.Wait)
	defer cancel()
	adv, err := c.ask(ctx, q)
	c.post(func(now time.Time) {
		if err != nil {
			c.set.Logger.Warn().Err(err).Str("caller", q.Caller).Str("job", q.Job).Dur("took", now.Sub(began)).Msg("leader: no advice")
		}
		c.report(term, func() { c.engine.Advised(now, q, adv.Tickets, adv.Valid, err == nil) })
	})
}

func (c *Core) ask(ctx context.Context, q sched.Ask) (Advice, error) {
	step := sched.TaskID{Job: q.Job, Round: q.Round, Step: q.Step}.StepName()
	if q.Caller == c.set.Instance {
		return c.Advise(ctx, step, q.Workers, q.Quick)
	}
	peers := c.peers.Load()
	if peers == nil || (*peers)[q.Caller].Addr == "" {
		return Advice{}, errors.Errorf("instance %q is not known", q.Caller)
	}
	return c.set.Advisers.Peer(ctx, (*peers)[q.Caller].Addr, step, q.Workers, q.Quick)
}

func (c *Core) setCallers() {
	names := []string{c.set.Instance}
	for n := range c.members {
		if n != c.set.Instance {
			names = append(names, n)
		}
	}
	c.engine.SetCallers(c.set.Instance, names)
}

// jobIDs gives the known jobs in the order of their acceptance.
func (c *Core) jobIDs() []string {
	ids := make([]string, 0, len(c.jobs))
	for id := range c.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, k int) bool {
		a, b := c.jobs[ids[i]], c.jobs[ids[k]]
		if a.AcceptedMs != b.AcceptedMs {
			return a.AcceptedMs < b.AcceptedMs
		}
		return a.ID < b.ID
	})
	return ids
}

func (c *Core) logEvents(events []sched.Event) {
	for i := range events {
		ev := &events[i]
		c.set.Meter.Count("decisions", "what", ev.What, 1)
		if j := c.jobs[ev.Task.Job]; ev.What == sched.EventBegun && j != nil {
			c.set.Meter.Observe("first_start_ms", "", j.Queue, ev.Age)
		}
		l := c.set.Logger.Info().Str("what", ev.What)
		if ev.Task.Job != "" {
			l = l.Str("job", ev.Task.Job).Int("round", ev.Task.Round).Int("step", ev.Task.Step).Int("index", ev.Task.Index)
		}
		if ev.Run > 0 {
			l = l.Int("run", ev.Run)
		}
		if ev.Worker != "" {
			l = l.Str("worker", ev.Worker)
		}
		if ev.Detail != "" {
			l = l.Str("detail", ev.Detail)
		}
		l.Int64("age-ms", ev.Age.Milliseconds()).Int64("term", c.lead.term).Msg("leader: decision")
	}
}
