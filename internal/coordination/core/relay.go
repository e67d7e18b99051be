package core

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/roles"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// RelayCalls holds the calls by which a leader sends orders to workers through
// other instances, its relays.
type RelayCalls struct {
	// SendOrders passes orders to the instance at addr, which calls the workers.
	// It returns without waiting for them. leader is this instance's incarnation.
	SendOrders func(ctx context.Context, addr, leader string, term int64, orders []NumberedOrder) error
	// FetchAnswers returns the answers to this leader's orders that follow the
	// number after, and the number of the last one. It waits up to wait for the
	// first, and gathers further ones for the given time.
	FetchAnswers func(ctx context.Context, addr, leader string, after uint64, wait, gather time.Duration) ([]NumberedAnswer, uint64, error)
}

// Limits of sending orders through relays.
const (
	// maxDirectWorkers is the number of workers up to which the leader calls
	// workers itself. Each call costs some 0.15 ms of processor time, and a
	// worker with short tasks needs ten calls a second.
	maxDirectWorkers = 100
	relayTimeout     = 300 * time.Millisecond // of passing orders to a relay
	fetchWait        = time.Second            // how long a fetch waits for answers
	fetchSlack       = 500 * time.Millisecond // time-out of a fetch beyond fetchWait
	// answerSlack is how much longer than the order's own time-out an answer
	// through a relay may take.
	answerSlack = 300 * time.Millisecond
	// relayExclusion is how long a relay that did not answer is excluded.
	relayExclusion = 3 * time.Second
	// minGatherTime and maxGatherTime bound the shortest time between two calls
	// that pass orders to a relay, and the time for which a relay gathers answers.
	// A call costs the leader as much as some ten orders, so a busy leader makes
	// fewer of them.
	minGatherTime = 8 * time.Millisecond
	maxGatherTime = 24 * time.Millisecond
	// maxRelayBytes bounds the orders of one call, so that the receiver can refuse
	// much larger bodies. orderBytes is the part of each beside its longest texts.
	maxRelayBytes = 1 << 20
	orderBytes    = 500
	// sweepInterval is the time between two checks for orders past their
	// deadline, and between two updates of the available relays.
	sweepInterval = 50 * time.Millisecond
)

// relayState is a leader's state of its relays and of the orders sent through
// them.
type relayState struct {
	ctx         context.Context // done when the term ends
	stop        context.CancelFunc
	nextID      uint64
	pending     map[uint64]pendingOrder
	nextSweepAt time.Time
	relays      map[string]*relayInstance // by instance name
	available   []roles.Instance          // the relays in use
	availableAt time.Time
	nextSendAt  time.Time               // when waiting orders may be sent, zero if none wait
	answeredAt  time.Time               // when any relay last answered a call
	avoid       map[string]avoidedRelay // by worker
}

// avoidedRelay is the relay that is not used for a worker, since a
// poll through it failed.
type avoidedRelay struct {
	failures int    // failed polls of the worker through relays
	last     string // the relay of the last of them
}

// pendingOrder is an order that awaits its answer.
type pendingOrder struct {
	order    sched.Order
	relay    string // name of the relay, "" for an order sent by the leader itself
	sentAt   time.Time
	deadline time.Time // set for orders through a relay
}

// relayInstance is an instance in its role as a relay.
type relayInstance struct {
	addr          string
	fetching      bool // its answers are being fetched
	excludedUntil time.Time
	waiting       []NumberedOrder // orders to send
	sending       bool            // a call that passes orders is under way
	sentAt        time.Time       // when the last one began
}

func (c *Core) newRelayState() relayState {
	ctx, stop := context.WithCancel(c.ctx)
	return relayState{ctx: ctx, stop: stop, pending: map[uint64]pendingOrder{}, relays: map[string]*relayInstance{}, avoid: map[string]avoidedRelay{}}
}

// relayFor returns the name of the relay for orders to a worker, or "" if the
// leader sends them itself. A worker keeps its relay while the set of available
// relays stays the same and it answers through that relay.
func (c *Core) relayFor(now time.Time, worker string) string {
	r := &c.relay
	if c.engine.Workers() <= maxDirectWorkers {
		return ""
	}
	if now.Sub(r.availableAt) > sweepInterval {
		r.availableAt = now
		r.available = c.chooseRelays(now)
	}
	avoided := r.avoid[worker]
	return roles.RelayFor(worker, strconv.Itoa(avoided.failures), avoided.last, r.available)
}

// chooseRelays returns the relays to use from now on.
func (c *Core) chooseRelays(now time.Time) []roles.Instance {
	var candidates []roles.Instance
	for name, m := range c.members {
		relay := c.relay.relays[name]
		if relay == nil {
			relay = &relayInstance{}
			c.relay.relays[name] = relay
		}
		relay.addr = m.Addr
		if name != c.settings.Instance && !now.Before(relay.excludedUntil) {
			candidates = append(candidates, roles.Instance{Name: name, Domain: m.Domain, Cores: m.Cores, LinkMbps: m.LinkMbps})
		}
	}
	return roles.Relays(candidates, c.engine.Workers())
}

// gatherTime returns how long orders to a relay, and its answers, are gathered
// for one call: twice the average duration of a scheduling pass, within bounds, since
// long passes are the sign of a busy leader.
func (c *Core) gatherTime() time.Duration {
	return min(maxGatherTime, max(minGatherTime, 2*time.Duration(c.averagePass.Load())))
}

// sendToRelays sends the waiting orders of each relay, unless a call to it is
// under way or began less than gatherTime ago.
func (c *Core) sendToRelays(now time.Time) {
	c.relay.nextSendAt = time.Time{}
	for name, relay := range c.relay.relays {
		if len(relay.waiting) == 0 || relay.sending {
			continue
		}
		if at := relay.sentAt.Add(c.gatherTime()); now.Before(at) {
			if next := &c.relay.nextSendAt; next.IsZero() || at.Before(*next) {
				*next = at
			}
			continue
		}
		c.sendToRelay(now, name, relay)
	}
}

// sendToRelay sends a relay its waiting orders, except those that count as
// unanswered meanwhile, and up to maxRelayBytes. The others wait for the next call.
func (c *Core) sendToRelay(now time.Time, name string, relay *relayInstance) {
	waiting := slices.DeleteFunc(relay.waiting, func(o NumberedOrder) bool {
		_, ok := c.relay.pending[o.ID]
		return !ok
	})
	n := fittingOrders(waiting)
	batch := waiting[:n:n]
	relay.waiting = slices.Clone(waiting[n:])
	if len(batch) == 0 {
		return
	}
	term, leader, addr := c.election.term, c.settings.Incarnation, relay.addr
	if !relay.fetching {
		relay.fetching = true
		c.parts.Go(func() { c.fetchRelayAnswers(name, addr, leader, term) })
	}
	relay.sending, relay.sentAt = true, now
	ctx := c.relay.ctx
	c.parts.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		err := c.settings.Relay.SendOrders(ctx, addr, leader, term, batch)
		c.post(func(now time.Time) {
			relay.sending = false
			c.ifLeading(term, func() {
				if err != nil {
					c.excludeRelay(now, name, err)
					return
				}
				c.relay.answeredAt = now
			})
		})
	})
}

// fittingOrders returns how many of the orders, from the first on, one call may
// pass: as many as have maxRelayBytes together, but at least one.
func fittingOrders(orders []NumberedOrder) int {
	size := 0
	for i, o := range orders {
		size += orderBytes + len(o.Payload) + len(o.Checkpoint) + len(o.Ticket)
		if i > 0 && size > maxRelayBytes {
			return i
		}
	}
	return len(orders)
}

// queueOrder numbers an order for a relay and records it as pending. It is sent
// by sendToRelays.
func (c *Core) queueOrder(now time.Time, name string, o sched.Order) {
	r := &c.relay
	r.nextID++
	wait := startTimeout
	if o.Kind == sched.OrderPoll {
		wait = o.Wait + pollSlack
	}
	r.pending[r.nextID] = pendingOrder{order: o, relay: name, sentAt: now, deadline: now.Add(wait + answerSlack)}
	relay := r.relays[name]
	relay.waiting = append(relay.waiting, NumberedOrder{ID: r.nextID, Order: o})
}

// excludeRelay excludes a relay that did not answer for relayExclusion, unless
// the fault is taken for this instance's. The relay's pending orders count as
// unanswered.
func (c *Core) excludeRelay(now time.Time, name string, err error) {
	relay := c.relay.relays[name]
	if relay == nil || now.Before(relay.excludedUntil) {
		return
	}
	exclude := roles.MayExclude(now.Sub(c.relay.answeredAt))
	c.settings.Logger.Warn().Err(err).Str("helper", name).Bool("excluded", exclude).Msg("leader: relay does not answer")
	if exclude {
		relay.excludedUntil = now.Add(relayExclusion)
		c.relay.availableAt = time.Time{}
	}
	for id, p := range c.relay.pending {
		if p.relay == name {
			delete(c.relay.pending, id)
			c.applyAnswer(now, p, NumberedAnswer{ID: id})
		}
	}
}

// expireOrders treats orders past their deadline as unanswered.
func (c *Core) expireOrders(now time.Time) {
	r := &c.relay
	if now.Before(r.nextSweepAt) {
		return
	}
	r.nextSweepAt = now.Add(sweepInterval)
	for id, p := range r.pending {
		if now.After(p.deadline) {
			delete(r.pending, id)
			c.applyAnswer(now, p, NumberedAnswer{ID: id})
		}
	}
}

// applyAnswer passes the answer to an order to the engine. The zero answer
// means that none came.
func (c *Core) applyAnswer(now time.Time, p pendingOrder, a NumberedAnswer) {
	took := now.Sub(p.sentAt)
	switch p.order.Kind {
	case sched.OrderStart:
		c.engine.HandleStartAnswer(now, p.order, a.Answer, took)
	case sched.OrderStop:
		c.engine.HandleStopAnswer(now, p.order, a.Answer, took)
	case sched.OrderThrottle:
		c.engine.HandleThrottleAnswer(p.order, a.Answer)
	case sched.OrderPoll:
		if a.Answer == sched.AnswerOK {
			c.engine.HandlePollReport(now, p.order, a.Report)
			return
		}
		if p.relay != "" {
			c.relay.avoid[p.order.Worker] = avoidedRelay{failures: c.relay.avoid[p.order.Worker].failures + 1, last: p.relay}
		}
		c.engine.HandlePollFailure(now, p.order, a.Answer, took)
	}
}

// fetchRelayAnswers fetches a relay's answers until the term ends.
func (c *Core) fetchRelayAnswers(name, addr, leader string, term int64) {
	after := uint64(0)
	ctx := c.relay.ctx
	for ctx.Err() == nil {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchWait+fetchSlack)
		list, last, err := c.settings.Relay.FetchAnswers(fetchCtx, addr, leader, after, fetchWait, c.gatherTime())
		cancel()
		if err != nil {
			c.post(func(now time.Time) { c.ifLeading(term, func() { c.excludeRelay(now, name, err) }) })
			select {
			case <-time.After(appendRetryPause):
			case <-ctx.Done():
			}
			continue
		}
		after = last
		if len(list) == 0 {
			continue
		}
		c.post(func(now time.Time) {
			c.ifLeading(term, func() {
				c.relay.answeredAt = now
				for _, a := range list {
					if p, ok := c.relay.pending[a.ID]; ok {
						delete(c.relay.pending, a.ID)
						c.applyAnswer(now, p, a)
					}
				}
			})
		})
	}
}
