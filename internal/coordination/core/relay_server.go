package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// NumberedOrder is an order that an instance relays for the leader. The leader
// chooses the ID.
type NumberedOrder struct {
	ID uint64
	sched.Order
}

// NumberedAnswer is the answer to the NumberedOrder of the same ID. Report is
// set for a poll that was answered.
type NumberedAnswer struct {
	ID     uint64
	Answer sched.Answer
	Report sched.Report
}

// Limits of relaying orders for a leader.
const (
	// defaultGatherTime is how long AwaitAnswers waits after the first answer if
	// the leader names no time, so that one reply carries several.
	defaultGatherTime  = 8 * time.Millisecond
	maxAnswersPerReply = 500
	// sessionTTL is how long a leader's session is kept without a call from it.
	sessionTTL = 10 * time.Second
	// maxPolls is the number of calls of AwaitAnswers that wait at the same time. A
	// leader makes one, and there is rarely a second leader.
	maxPolls = 8
)

// relayServer keeps the answers to relayed orders until the leader acknowledges
// them.
type relayServer struct {
	mu       sync.Mutex          // guards the fields below and those of sessions
	sessions map[string]*session // by the leader's incarnation
	polls    []chan struct{}     // of the calls of AwaitAnswers that wait, the oldest first; closing one ends the call
}

// session holds the answers for one leader.
type session struct {
	lastUsedAt time.Time
	lastNumber uint64           // number of the newest answer, from 1
	answers    []NumberedAnswer // not yet acknowledged, in order
	arrived    chan struct{}    // closed and replaced when an answer arrives
}

// session returns the session of a leader, new if there is none. It drops
// sessions that have expired.
func (rs *relayServer) session(leader string, now time.Time) *session {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.sessions == nil {
		rs.sessions = map[string]*session{}
	}
	for l, s := range rs.sessions {
		if now.Sub(s.lastUsedAt) > sessionTTL {
			delete(rs.sessions, l)
		}
	}
	s := rs.sessions[leader]
	if s == nil {
		s = &session{arrived: make(chan struct{})}
		rs.sessions[leader] = s
	}
	s.lastUsedAt = now
	return s
}

// beginPoll adds a call of AwaitAnswers and returns a channel that is closed when it must
// end. If there are too many now, the oldest ends.
func (rs *relayServer) beginPoll() chan struct{} {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ended := make(chan struct{})
	rs.polls = append(rs.polls, ended)
	if len(rs.polls) > maxPolls {
		close(rs.polls[0])
		rs.polls = rs.polls[1:]
	}
	return ended
}

// endPoll removes a call that beginPoll has added, unless that has removed it.
func (rs *relayServer) endPoll(ended chan struct{}) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if i := slices.Index(rs.polls, ended); i >= 0 {
		rs.polls = slices.Delete(rs.polls, i, i+1)
	}
}

func (rs *relayServer) add(s *session, a NumberedAnswer) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	s.lastNumber++
	s.answers = append(s.answers, a)
	close(s.arrived)
	s.arrived = make(chan struct{})
}

// answersAfter drops the answers up to the given number and returns the next
// ones, up to maxAnswersPerReply, the number of the last of them, and a channel
// that is closed when another answer arrives.
func (rs *relayServer) answersAfter(s *session, after uint64) ([]NumberedAnswer, uint64, chan struct{}) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	first := s.lastNumber - uint64(len(s.answers)) // number of the answer before the first that is kept
	if after > first {
		s.answers = s.answers[min(after-first, uint64(len(s.answers))):]
		first = s.lastNumber - uint64(len(s.answers))
	}
	n := min(len(s.answers), maxAnswersPerReply)
	return append([]NumberedAnswer(nil), s.answers[:n]...), first + uint64(n), s.arrived
}

// RelayOrders sends the leader's orders to their workers and returns without
// waiting for them. leader is the incarnation of the leader, by which
// AwaitAnswers returns the results.
func (c *Core) RelayOrders(leader string, term int64, orders []NumberedOrder) {
	s, issuedAt := c.relayServer.session(leader, c.settings.Now()), c.settings.Uptime()
	for _, o := range orders {
		c.parts.Go(func() {
			a := c.callOrder(o.Order, term, issuedAt)
			a.ID = o.ID
			c.relayServer.add(s, a)
		})
	}
}

// AwaitAnswers returns the answers to the leader's orders that follow the given
// number, and the number of the last one. It acknowledges those up to the given
// number, which are dropped. Without answers it waits for one until wait, at most
// fetchWait, has passed, ctx is done or newer calls take its place, and then gathers
// further ones for the given time, or for defaultGatherTime if that is 0.
func (c *Core) AwaitAnswers(ctx context.Context, leader string, after uint64, wait, gather time.Duration) ([]NumberedAnswer, uint64) {
	s := c.relayServer.session(leader, c.settings.Now())
	if gather <= 0 {
		gather = defaultGatherTime
	}
	t := time.NewTimer(min(wait, fetchWait))
	defer t.Stop()
	ended := c.relayServer.beginPoll()
	defer c.relayServer.endPoll(ended)
	for {
		list, last, arrived := c.relayServer.answersAfter(s, after)
		if len(list) > 0 {
			return list, last
		}
		select {
		case <-arrived:
			time.Sleep(min(gather, maxGatherTime))
		case <-t.C:
			return nil, last
		case <-ended:
			return nil, last
		case <-ctx.Done():
			return nil, last
		}
	}
}

// callOrder sends an order to its worker and waits for the answer. issuedAt is
// the uptime at which this instance got or made the order. After its time-out,
// if the process or its machine has been paused meanwhile, the order is not
// sent: it counts as unanswered by now, and the decision behind it may have
// been revoked.
func (c *Core) callOrder(o sched.Order, term int64, issuedAt time.Duration) (a NumberedAnswer) {
	wait := startTimeout
	switch o.Kind {
	case sched.OrderStop, sched.OrderThrottle:
		wait = stopTimeout
	case sched.OrderPoll:
		wait = o.Wait + pollSlack
	}
	if c.settings.Uptime()-issuedAt > wait {
		return a
	}
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	switch o.Kind {
	case sched.OrderStart:
		a.Answer = c.settings.Workers.Start(ctx, o, term)
	case sched.OrderStop:
		a.Answer = c.settings.Workers.Stop(ctx, o, term)
	case sched.OrderThrottle:
		a.Answer = c.settings.Workers.Throttle(ctx, o, term)
	case sched.OrderPoll:
		a.Report, a.Answer = c.settings.Workers.Poll(ctx, o, term)
	}
	return a
}
