package core

import (
	"context"
	"sync"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// NumberedOrder is an order that an instance carries for the leader.
type NumberedOrder struct {
	ID uint64
	sched.Order
}

// NumberedAnswer is the answer to it. Report is set for a hold that was answered.
type NumberedAnswer struct {
	ID     uint64
	Answer sched.Answer
	Report sched.Report
}

// Bounds of carrying orders for a leader.
const (
	// gatherTime lets answers gather after the first.
	gatherTime = 4 * time.Millisecond
	// maxAnswers bounds one reply.
	maxAnswers = 500
	// sessionLife is how long a leader's answers are kept without a call for them.
	sessionLife = 10 * time.Second
)

// carrier carries orders for leaders and keeps the answers until they are fetched.
type carrier struct {
	mu       sync.Mutex
	sessions map[string]*session // by the leader's life
}

type session struct {
	usedAt  time.Time
	last    uint64 // number of the newest answer
	answers []NumberedAnswer
	more    chan struct{} // closed when an answer comes
}

func (k *carrier) session(leader string, now time.Time) *session {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sessions == nil {
		k.sessions = map[string]*session{}
	}
	for l, s := range k.sessions {
		if now.Sub(s.usedAt) > sessionLife {
			delete(k.sessions, l)
		}
	}
	s := k.sessions[leader]
	if s == nil {
		s = &session{more: make(chan struct{})}
		k.sessions[leader] = s
	}
	s.usedAt = now
	return s
}

func (k *carrier) add(s *session, a NumberedAnswer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s.last++
	s.answers = append(s.answers, a)
	close(s.more)
	s.more = make(chan struct{})
}

// take gives the answers after the given number and the number of the last.
func (k *carrier) take(s *session, after uint64) ([]NumberedAnswer, uint64, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := s.last - uint64(len(s.answers)) // number before the first kept
	if after > first {
		s.answers = s.answers[min(after-first, uint64(len(s.answers))):]
		first = s.last - uint64(len(s.answers))
	}
	n := min(len(s.answers), maxAnswers)
	return append([]NumberedAnswer(nil), s.answers[:n]...), first + uint64(n), s.more
}

// Give carries orders for the leader and returns at once.
func (c *Core) Give(leader string, term int64, orders []NumberedOrder) {
	s := c.carrier.session(leader, c.set.Now())
	for _, o := range orders {
		c.calls.Go(func() {
			a := c.callOrder(o.Order, term)
			a.ID = o.ID
			c.carrier.add(s, a)
		})
	}
}

// Answers waits for answers to the leader's orders after the given number.
func (c *Core) Answers(ctx context.Context, leader string, after uint64, wait time.Duration) ([]NumberedAnswer, uint64) {
	s := c.carrier.session(leader, c.set.Now())
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		list, last, more := c.carrier.take(s, after)
		if len(list) > 0 {
			return list, last
		}
		select {
		case <-more:
			time.Sleep(gatherTime)
		case <-t.C:
			return nil, last
		case <-ctx.Done():
			return nil, last
		}
	}
}

// callOrder calls the worker that an order is for.
func (c *Core) callOrder(o sched.Order, term int64) (a NumberedAnswer) {
	wait := startTimeout
	switch o.Kind {
	case sched.OrderStop, sched.OrderPace:
		wait = stopTimeout
	case sched.OrderHold:
		wait = o.Wait + holdTimeout
	}
	ctx, cancel := context.WithTimeout(c.ctx, wait)
	defer cancel()
	switch o.Kind {
	case sched.OrderStart:
		a.Answer = c.set.Workers.Start(ctx, o, term)
	case sched.OrderStop:
		a.Answer = c.set.Workers.Stop(ctx, o, term)
	case sched.OrderPace:
		a.Answer = c.set.Workers.Pace(ctx, o, term)
	case sched.OrderHold:
		a.Report, a.Answer = c.set.Workers.Hold(ctx, o, term)
	}
	return a
}
