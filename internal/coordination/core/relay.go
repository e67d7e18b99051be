package core

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// Relay are the calls by which a leader has other instances carry its orders.
type Relay struct {
	Give    func(ctx context.Context, addr, leader string, term int64, orders []NumberedOrder) error
	Answers func(ctx context.Context, addr, leader string, after uint64, wait time.Duration) ([]NumberedAnswer, uint64, error)
}

// Bounds of giving orders through others.
const (
	// directWorkers is the number of workers up to which the leader gives its
	// orders itself. Each call costs some 0.15 ms of a core, and a worker with
	// short tasks takes ten a second.
	directWorkers = 100
	giveTimeout   = 300 * time.Millisecond
	answersWait   = time.Second
	answersSlack  = 500 * time.Millisecond
	// relaySlack is what an answer may take beyond the order's own time-out.
	relaySlack = 300 * time.Millisecond
	// helperBench is the pause of an instance that did not answer.
	helperBench = 3 * time.Second
	// sweepEvery is the time between two looks for orders without an answer.
	sweepEvery = 50 * time.Millisecond
)

// relaying is a leader's state of orders that others carry.
type relaying struct {
	ctx     context.Context
	stop    context.CancelFunc
	nextID  uint64
	pending map[uint64]pendingOrder
	sweepAt time.Time
	helpers map[string]*helper // by name
	names   []string           // of those that can help now
	namesAt time.Time
	avoid   map[string]avoided // by worker
}

// avoided are helpers through which a worker did not answer.
type avoided struct {
	tries int
	last  string
}

type pendingOrder struct {
	order  sched.Order
	helper string
	sentAt time.Time
	until  time.Time
}

type helper struct {
	addr      string
	polled    bool
	benchedTo time.Time
}

func (c *Core) newRelaying() relaying {
	ctx, stop := context.WithCancel(c.ctx)
	return relaying{ctx: ctx, stop: stop, pending: map[uint64]pendingOrder{}, helpers: map[string]*helper{}, avoid: map[string]avoided{}}
}

// helperFor gives the instance that carries orders to a worker, "" for this one.
// The same worker keeps its helper as long as the helpers stay the same and it
// answers through that one.
func (c *Core) helperFor(now time.Time, worker string) string {
	r := &c.relay
	if c.engine.Workers() <= directWorkers {
		return ""
	}
	if now.Sub(r.namesAt) > sweepEvery {
		r.namesAt = now
		r.names = r.names[:0]
		for name, m := range c.members {
			h := r.helpers[name]
			if h == nil {
				h = &helper{}
				r.helpers[name] = h
			}
			h.addr = m.Addr
			if name != c.set.Instance && !now.Before(h.benchedTo) {
				r.names = append(r.names, name)
			}
		}
		sort.Strings(r.names)
	}
	bad := r.avoid[worker]
	best, most, try := "", uint32(0), strconv.Itoa(bad.tries)
	for _, name := range r.names {
		if name == bad.last && len(r.names) > 1 {
			continue
		}
		if h := hash32(name, worker, try); best == "" || h > most {
			best, most = name, h
		}
	}
	return best
}

// relayOrders sends orders through their helpers.
func (c *Core) relayOrders(now time.Time, batches map[string][]NumberedOrder) {
	term, leader := c.lead.term, c.set.Life
	for name, batch := range batches {
		h := c.relay.helpers[name]
		if !h.polled {
			h.polled = true
			c.calls.Go(func() { c.pollAnswers(name, h.addr, leader, term) })
		}
		ctx := c.relay.ctx
		c.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, giveTimeout)
			defer cancel()
			if err := c.set.Relay.Give(ctx, h.addr, leader, term, batch); err != nil {
				c.post(func(now time.Time) { c.report(term, func() { c.helperFailed(now, name, err) }) })
			}
		})
	}
}

// number notes an order that a helper will carry.
func (c *Core) number(now time.Time, name string, o sched.Order) NumberedOrder {
	r := &c.relay
	r.nextID++
	wait := startTimeout
	if o.Kind == sched.OrderHold {
		wait = o.Wait + holdTimeout
	}
	r.pending[r.nextID] = pendingOrder{order: o, helper: name, sentAt: now, until: now.Add(wait + relaySlack)}
	return NumberedOrder{ID: r.nextID, Order: o}
}

// helperFailed sets a helper aside; its orders count as without an answer.
func (c *Core) helperFailed(now time.Time, name string, err error) {
	h := c.relay.helpers[name]
	if h == nil || now.Before(h.benchedTo) {
		return
	}
	c.set.Logger.Warn().Err(err).Str("helper", name).Msg("leader: a helper does not answer")
	h.benchedTo = now.Add(helperBench)
	c.relay.namesAt = time.Time{}
	for id, p := range c.relay.pending {
		if p.helper == name {
			delete(c.relay.pending, id)
			c.answered(now, p, NumberedAnswer{ID: id})
		}
	}
}

// sweep gives up orders whose answers stay away.
func (c *Core) sweep(now time.Time) {
	r := &c.relay
	if now.Before(r.sweepAt) {
		return
	}
	r.sweepAt = now.Add(sweepEvery)
	for id, p := range r.pending {
		if now.After(p.until) {
			delete(r.pending, id)
			c.answered(now, p, NumberedAnswer{ID: id})
		}
	}
}

func (c *Core) answered(now time.Time, p pendingOrder, a NumberedAnswer) {
	took := now.Sub(p.sentAt)
	switch p.order.Kind {
	case sched.OrderStart:
		c.engine.Started(now, p.order, a.Answer, took)
	case sched.OrderStop:
		c.engine.Stopped(now, p.order, a.Answer, took)
	case sched.OrderPace:
		c.engine.Paced(p.order, a.Answer)
	case sched.OrderHold:
		if a.Answer == sched.AnswerOK {
			c.engine.Held(now, p.order, a.Report)
			return
		}
		if p.helper != "" {
			c.relay.avoid[p.order.Worker] = avoided{tries: c.relay.avoid[p.order.Worker].tries + 1, last: p.helper}
		}
		c.engine.HoldFailed(now, p.order, a.Answer, took)
	}
}

// pollAnswers fetches a helper's answers while this instance leads.
func (c *Core) pollAnswers(name, addr, leader string, term int64) {
	after := uint64(0)
	ctx := c.relay.ctx
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, answersWait+answersSlack)
		list, last, err := c.set.Relay.Answers(call, addr, leader, after, answersWait)
		cancel()
		if err != nil {
			c.post(func(now time.Time) { c.report(term, func() { c.helperFailed(now, name, err) }) })
			select {
			case <-time.After(retryPause):
			case <-ctx.Done():
			}
			continue
		}
		after = last
		if len(list) == 0 {
			continue
		}
		c.post(func(now time.Time) {
			c.report(term, func() {
				for _, a := range list {
					if p, ok := c.relay.pending[a.ID]; ok {
						delete(c.relay.pending, a.ID)
						c.answered(now, p, a)
					}
				}
			})
		})
	}
}
