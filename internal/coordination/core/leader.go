package core

import (
	"context"
	"sort"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// Limits of the leader's work.
const (
	// decideInterval is the shortest time between two passes of decisions, so
	// that each append carries the decisions on all changes in between.
	decideInterval = 8 * time.Millisecond
	// maxPassShare is the largest share of the loop's time that passes may take,
	// as a divisor. The loop also has to send orders and read their answers.
	maxPassShare = 3
	// appendInterval is the shortest time between two appends. Each append has
	// a cost and takes some 7 ms.
	appendInterval = 10 * time.Millisecond
	// estimatesInterval is the time between two records of the leader's
	// estimates. At 48 workers one record has some 3 KB.
	estimatesInterval = 4 * time.Second
	listInterval      = 500 * time.Millisecond
	listTimeout       = 1500 * time.Millisecond
	// Time-outs of calls to workers. That of a poll is pollSlack beyond the
	// time for which the worker may wait.
	startTimeout = 400 * time.Millisecond
	stopTimeout  = 400 * time.Millisecond
	pollSlack    = 700 * time.Millisecond
)

// appendState is the state of the leader's appends, of which one at a time is
// under way.
type appendState struct {
	writer     *ledger.Writer
	busy       bool // an append, or its retry, is under way
	lastSentAt time.Time
	cancel     context.CancelFunc
	resigned   chan struct{} // set to resign; closed when the resignation is stored or the term has ended
	// estimatesAt is when the record of estimates was last appended.
	estimatesAt time.Time
	loads       loadRecords
}

// listState is the state of the leader's calls for the list of workers.
type listState struct {
	busy   bool
	nextAt time.Time
	failed bool // the last call failed
}

// step does the work that is due at now.
func (c *Core) step(now time.Time) {
	c.stepRole(now)
	c.stepLeaderProbe(now)
	c.stepElection(now)
	if c.engine == nil {
		return
	}
	c.stepWorkerList(now)
	c.stepTransfer(now)
	c.nextTickAt = c.engine.Tick(now)
	if c.decisionDue && !now.Before(c.nextDecideAt) || now.Sub(c.nextDecideAt) > loopInterval {
		took := c.schedule(now)
		c.decisionDue = false
		c.nextDecideAt = now.Add(max(decideInterval, maxPassShare*took))
	}
	c.stepAppend(now)
	c.expireOrders(now)
	c.dispatch(now)
	if c.engine != nil && now.Sub(c.lastStatsAt) >= statsInterval {
		c.logStats(now)
	}
}

// stepAppend stores the decisions, one append at a time, or a heartbeat if
// there are none for heartbeatInterval.
func (c *Core) stepAppend(now time.Time) {
	a := &c.appending
	if a.busy || now.Sub(a.lastSentAt) < appendInterval {
		return
	}
	b := c.engine.Batch()
	heartbeatDue := now.Sub(a.lastSentAt) >= heartbeatInterval
	if b.Empty() && !heartbeatDue && a.resigned == nil {
		return
	}
	if len(b.Changes) == 0 && !heartbeatDue && a.resigned == nil {
		c.engine.HandleCommit(now, b)
		return
	}
	records := c.batchRecords(b)
	if len(records) == 0 {
		records = append(records, ledger.Record{Key: keyHeartbeat, Value: []byte{1}})
	}
	if now.Sub(a.estimatesAt) >= estimatesInterval {
		a.estimatesAt = now
		r, err := encodeRecord(keyEstimates, c.engine.Estimates())
		if err != nil {
			c.settings.Logger.Error().Err(err).Msg("leader: estimates can't be encoded")
		} else {
			records = append(records, r)
		}
	}
	if r, ok := c.loadRecord(now); ok {
		records = append(records, r)
	}
	if a.resigned != nil {
		if r, err := encodeRecord(keyLeader, claim{Term: c.election.term, Instance: c.settings.Instance, Incarnation: c.settings.Incarnation, Resigned: true}); err == nil {
			records = append(records, r)
		}
	}
	a.busy, a.lastSentAt = true, now
	ctx, cancel := context.WithCancel(c.ctx)
	a.cancel = cancel
	w, sentAt, term, resigned := a.writer, c.settings.Uptime(), c.election.term, a.resigned
	c.parts.Go(func() {
		defer cancel()
		_, err := w.Append(ctx, records)
		c.post(func(now time.Time) { c.applyAppendResult(now, b, records, err, sentAt, term, resigned) })
	})
}

// batchRecords returns the records of a batch's changes. The removal of a job
// drops all its keys.
func (c *Core) batchRecords(b *sched.Batch) []ledger.Record {
	records := make([]ledger.Record, 0, len(b.Changes))
	for _, change := range b.Changes {
		if !change.Remove {
			records = append(records, ledger.Record{Key: keyProgress + change.Job, Value: change.Data})
			continue
		}
		for _, prefix := range []string{keyProgress, keyCancel, keySpec} {
			records = append(records, ledger.Record{Key: prefix + change.Job})
		}
	}
	return records
}

// applyAppendResult handles the outcome of an append of the given term. sentAt
// is the uptime at which it was sent.
func (c *Core) applyAppendResult(now time.Time, b *sched.Batch, records []ledger.Record, err error, sentAt time.Duration, term int64, resigned chan struct{}) {
	if c.engine == nil || c.election.term != term {
		if resigned != nil {
			close(resigned)
		}
		return
	}
	var refused *ledger.RefusedError
	switch {
	case err == nil:
		c.appending.busy = false
		c.election.confirmedAt = max(c.election.confirmedAt, sentAt)
		c.noteContact(now)
		b.EachStateChange(c.index.Put)
		c.engine.HandleCommit(now, b)
		c.decisionDue = true
		if resigned != nil {
			c.stepDown(now, "this instance leaves")
			close(resigned)
		}
	case errors.As(err, &refused):
		// Nothing was stored, so the same records are sent again after a pause.
		c.settings.Logger.Warn().Err(err).Msg("leader: append refused")
		c.retryAppend(b, withoutLoad(records), term, resigned)
	default:
		c.noteFence(err)
		c.stepDown(now, err.Error())
		if resigned != nil {
			close(resigned)
		}
	}
}

// appendRetryPause is the pause before records that the store refused are sent
// again, and before the answers of a relay that did not return them are fetched
// again.
const appendRetryPause = 60 * time.Millisecond

func (c *Core) retryAppend(b *sched.Batch, records []ledger.Record, term int64, resigned chan struct{}) {
	w := c.appending.writer
	ctx, cancel := context.WithCancel(c.ctx)
	c.appending.cancel = cancel
	c.parts.Go(func() {
		defer cancel()
		select {
		case <-time.After(appendRetryPause):
		case <-ctx.Done():
			return
		}
		sentAt := c.settings.Uptime()
		_, err := w.Append(ctx, records)
		c.post(func(now time.Time) { c.applyAppendResult(now, b, records, err, sentAt, term, resigned) })
	})
}

// stepWorkerList requests the list of workers every listInterval.
func (c *Core) stepWorkerList(now time.Time) {
	l := &c.listing
	if l.busy || now.Before(l.nextAt) {
		return
	}
	l.busy, l.nextAt = true, now.Add(listInterval)
	requestedAt := now
	c.parts.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, listTimeout)
		defer cancel()
		list, err := c.settings.Workers.List(ctx)
		c.post(func(now time.Time) { c.applyWorkerList(now, requestedAt, list, err) })
	})
}

func (c *Core) applyWorkerList(now, requestedAt time.Time, list []sched.WorkerInfo, err error) {
	c.listing.busy = false
	if err != nil {
		if !c.listing.failed {
			c.settings.Logger.Warn().Err(err).Msg("leader: list of workers can't be read")
		}
		c.listing.failed = true
		return
	}
	c.listing.failed = false
	if c.engine != nil {
		c.engine.SetWorkers(now, list)
		c.engine.SetListTime(requestedAt)
		c.decisionDue = true
	}
}

// mayRenewLeases reports whether this leader may still renew leases: the store
// must have confirmed one of its records within Params.LeaderLease. A later
// leader relies on this limit.
func (c *Core) mayRenewLeases() bool {
	return c.settings.Uptime()-c.election.confirmedAt < c.settings.Params.LeaderLease
}

// dispatch sends the orders, placement queries and probes that the engine has
// queued. While this leader may not renew leases, it sends orders without a
// lease. Starts are then reported to the engine as refused instead of being
// sent, and also while the leader's state is older than maxStateAge: a job to
// start may have been cancelled since.
func (c *Core) dispatch(now time.Time) {
	out := c.engine.TakeOutput()
	c.logEvents(out.Events)
	if out.Fenced {
		c.stepDown(now, "a worker has seen a later leader")
		return
	}
	term, mayRenew := c.election.term, c.mayRenewLeases()
	issuedAt := c.settings.Uptime()
	mayStart := mayRenew && c.current(issuedAt)
	for _, o := range out.Orders {
		if o.Kind == sched.OrderStart && !mayStart {
			c.engine.HandleStartAnswer(now, o, sched.AnswerRefused, 0)
			continue
		}
		if !mayRenew {
			o.LeaseExpiry = 0
		}
		if name := c.relayFor(now, o.Worker); name != "" {
			c.queueOrder(now, name, o)
			continue
		}
		c.parts.Go(func() { c.sendOrder(o, term, issuedAt) })
	}
	c.sendToRelays(now)
	for _, q := range out.Queries {
		c.parts.Go(func() { c.sendPlacementQuery(q, term) })
	}
	for _, name := range out.Probes {
		c.parts.Go(func() { c.probePlacementClient(name, term) })
	}
}

// probePlacementClient probes whether an instance can call the placement
// service. An instance that reaches the store is assumed to reach the rest of
// the platform.
func (c *Core) probePlacementClient(name string, term int64) {
	ok := false
	if peers := c.peers.Load(); name == c.settings.Instance {
		ok = c.Ready()
	} else if peers != nil {
		ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
		defer cancel()
		ready, err := c.settings.Peers.Ready(ctx, (*peers)[name].Addr)
		ok = ready && err == nil
	}
	c.post(func(now time.Time) { c.ifLeading(term, func() { c.engine.HandleProbeResult(now, name, ok) }) })
}

// ifLeading runs f, and makes a pass of decisions due, if this instance still
// leads in the given term.
func (c *Core) ifLeading(term int64, f func()) {
	if c.engine != nil && c.election.term == term {
		f()
		c.decisionDue = true
	}
}

// sendOrder sends an order from this instance, without a relay.
func (c *Core) sendOrder(o sched.Order, term int64, issuedAt time.Duration) {
	began := c.settings.Now()
	a := c.callOrder(o, term, issuedAt)
	c.post(func(now time.Time) {
		c.ifLeading(term, func() { c.applyAnswer(now, pendingOrder{order: o, sentAt: began}, a) })
	})
}

// sendPlacementQuery sends a query to the placement service and passes the
// tickets to the engine.
func (c *Core) sendPlacementQuery(q sched.PlacementQuery, term int64) {
	began := c.settings.Now()
	ctx, cancel := context.WithTimeout(c.ctx, q.ReplyTimeout)
	defer cancel()
	reply, err := c.callPlacement(ctx, q)
	c.post(func(now time.Time) {
		if err != nil {
			c.settings.Logger.Warn().Err(err).Str("caller", q.Client).Str("job", q.Job).Dur("took", now.Sub(began)).Msg("leader: placement query failed")
		}
		c.ifLeading(term, func() { c.engine.HandleQueryResult(now, q, reply.Tickets, reply.ValidFor, err == nil) })
	})
}

// callPlacement calls the placement service from the instance that the query
// names.
func (c *Core) callPlacement(ctx context.Context, q sched.PlacementQuery) (PlacementReply, error) {
	step := sched.TaskID{Job: q.Job, Round: q.Round, Step: q.Step}.StepName()
	if q.Client == c.settings.Instance {
		return c.RequestTickets(ctx, step, q.Workers, q.Quick)
	}
	peers := c.peers.Load()
	if peers == nil || (*peers)[q.Client].Addr == "" {
		return PlacementReply{}, errors.Errorf("no address known for instance %q", q.Client)
	}
	return c.settings.Placement.ViaPeer(ctx, (*peers)[q.Client].Addr, step, q.Workers, q.Quick)
}

// setPlacementClients passes the engine the instances that can call the
// placement service, this one first.
func (c *Core) setPlacementClients() {
	names := []string{c.settings.Instance}
	for n := range c.members {
		if n != c.settings.Instance {
			names = append(names, n)
		}
	}
	c.engine.SetPlacementClients(c.settings.Instance, names)
}

// jobIDs returns the IDs of the known jobs in the order of their acceptance,
// then by ID.
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
	version := int64(0)
	if conf := c.config.Load(); conf != nil {
		version = conf.Version
	}
	for i := range events {
		ev := &events[i]
		c.settings.Meter.Count("decisions", "what", ev.Kind, 1)
		if j := c.jobs[ev.Task.Job]; ev.Kind == sched.EventJobStarted && j != nil {
			c.settings.Meter.Observe("first_start_ms", "", j.Queue, ev.Age)
		}
		l := c.settings.Logger.Info().Str("what", ev.Kind)
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
		l.Int64("config", version).Int64("age-ms", ev.Age.Milliseconds()).Int64("term", c.election.term).Msg("leader: decision")
	}
}
