package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/once"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// Bounds of attempts.
const (
	maxAttempts  = 5
	suspectFor   = time.Second
	settleWithin = 5 * time.Second
	retryHint    = 500 * time.Millisecond

	handOverEvery = 40 * time.Millisecond // a waiting request looks for a peer's free slot
	minForward    = 20 * time.Millisecond // time that must be left for handing a request over
)

// flight is one attempt on a minion.
type flight struct {
	id     string
	minion *route.Minion
	sent   time.Time
	cancel context.CancelCauseFunc
}

// errSilent says that a minion does not run a request that it was sent: the
// connection has gone silent, or the answer was lost.
var errSilent = errors.New("the minion does not run the request and no answer came")

// Do carries the request to a minion and gives the answer for its caller.
func (r *Router) Do(ctx context.Context, q *Request) Answer {
	start := r.cfg.Now()
	if !r.begin(q) {
		return refusal(CodeLeaving, "the instance is stopping; ask another")
	}
	defer r.end()
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	a := r.guard(ctx, q)
	if r.cfg.Observe != nil {
		r.cfg.Observe(q, a, r.cfg.Now().Sub(start))
	}
	return a
}

func (r *Router) begin(q *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return false
	}
	r.active++
	if !q.Forwarded {
		r.budget.Request()
	}
	return true
}

func (r *Router) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

func refusal(code, detail string) Answer {
	return Answer{Outcome: OutcomeNotRun, Code: code, Detail: detail, Retry: retryHint}
}

// guard claims the idempotency key of a non-idempotent request before anything
// is sent.
func (r *Router) guard(ctx context.Context, q *Request) Answer {
	if q.Idempotent || q.Key == "" || q.Forwarded {
		return r.carry(ctx, q)
	}
	key := q.Tenant + "/" + q.Key
	h, err := r.cfg.Claim(ctx, key, q.ID, r.cfg.Now())
	if err != nil {
		// The claim may still reach the log; the outcome frees the key again.
		r.settle(key, q.ID, once.StateNotRun)
		return refusal(CodeKeyUnproved, "the platform's log can't prove that the key is new: "+err.Error())
	}
	if h.By != q.ID {
		return heldAnswer(h)
	}
	a := r.carry(ctx, q)
	switch a.Outcome {
	case OutcomeAnswered:
		r.settle(key, q.ID, once.StateDone)
	case OutcomeNotRun:
		r.settle(key, q.ID, once.StateNotRun)
	}
	return a
}

func heldAnswer(h once.Holder) Answer {
	if h.State == once.StateDone {
		return Answer{Outcome: OutcomeUnknown, Code: CodeKeyDone, Detail: "request " + h.By + " with this key has run; it is not run again"}
	}
	return Answer{Outcome: OutcomeUnknown, Code: CodeKeyHeld, Detail: "request " + h.By + " with this key may have run; it is not run again"}
}

func (r *Router) settle(key, by, outcome string) {
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return
	}
	r.wg.Go(func() {
		c, cancel := context.WithTimeout(ctx, settleWithin)
		defer cancel()
		// A lost outcome leaves the key claimed, which is safe.
		_ = r.cfg.Settle(c, key, by, outcome, r.cfg.Now())
	})
}

// carry tries minions and peers until there is an answer or no further try is allowed.
func (r *Router) carry(ctx context.Context, q *Request) Answer {
	var last Answer
	arrived := r.cfg.Now()
	avoid := ""
	for n := 1; ; n++ {
		var again bool
		last, again = r.try(ctx, q, arrived, avoid, n)
		last.Attempts = n
		avoid = last.Minion
		if !again || n == maxAttempts || ctx.Err() != nil {
			return last
		}
		if last.Outcome == OutcomeUnknown && !r.mayRetry(q) {
			last.Detail += "; the retry budget is spent"
			return last
		}
	}
}

// mayRetry takes a retry from the budget. A request that a peer handed over is
// tried again by that peer only, so that it counts in one budget.
func (r *Router) mayRetry(q *Request) bool {
	if q.Forwarded {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Retry()
}

// try makes one attempt and reports whether another one is allowed.
func (r *Router) try(ctx context.Context, q *Request, arrived time.Time, avoid string, n int) (Answer, bool) {
	m, a, again := r.slot(ctx, q, arrived, avoid)
	if m == nil {
		return a, again
	}
	waited := r.cfg.Now().Sub(arrived)
	// A further try goes over a connection of its own, lest it meet another one
	// that has gone silent.
	a, again = r.dispatch(ctx, q, m, !q.Idempotent || n > 1)
	a.Waited = waited
	return a, again
}

// slot gives a minion whose slot was taken, or the answer of a peer, or a refusal.
func (r *Router) slot(ctx context.Context, q *Request, arrived time.Time, avoid string) (*route.Minion, Answer, bool) {
	now := r.cfg.Now()
	r.mu.Lock()
	own := time.Duration(0)
	if r.queue.Len() == 0 {
		own = r.pool.Pace(q.Class, now)
	}
	r.mu.Unlock()
	if p, ok := r.findHelper(q, own); ok {
		a, again := r.forward(ctx, q, p.Instance, p.Addr)
		return nil, a, again
	}
	r.mu.Lock()
	if r.queue.Len() == 0 {
		if m := r.pool.Take(q.Class, avoid, now); m != nil {
			r.mu.Unlock()
			return m, Answer{}, false
		}
	}
	r.mu.Unlock()
	return r.wait(ctx, q, arrived)
}

func (r *Router) wait(ctx context.Context, q *Request, arrived time.Time) (*route.Minion, Answer, bool) {
	w := &route.Waiter{
		ID: q.ID, Tenant: q.Tenant, Class: q.Class, Arrived: arrived, Deadline: q.Deadline, Stays: q.Forwarded || !q.Idempotent,
		Ready: make(chan route.Turn, 1),
	}
	now := r.cfg.Now()
	r.mu.Lock()
	reason := r.queue.Push(w, now, r.pool.Rate(now))
	r.serve(now)
	r.mu.Unlock()
	if reason != "" {
		return nil, refusal(refusalCode(reason), "refused at the door, nothing was run"), false
	}
	return r.await(ctx, q, w)
}

// await waits for a slot here or for a peer's, and looks at times whether a peer
// has reported one.
func (r *Router) await(ctx context.Context, q *Request, w *route.Waiter) (*route.Minion, Answer, bool) {
	t := time.NewTicker(handOverEvery)
	defer t.Stop()
	r.ask()
	for {
		select {
		case turn, ok := <-w.Ready:
			if !ok {
				return nil, r.waitedInVain(q), false
			}
			return r.take(ctx, q, turn)
		case <-ctx.Done():
			return r.withdraw(w).Minion, r.waitedInVain(q), false
		case <-t.C:
			r.ask()
			p, ok := r.findHelper(q, 0)
			if !ok {
				continue
			}
			if turn := r.withdraw(w); turn != (route.Turn{}) {
				return r.take(ctx, q, turn)
			}
			a, again := r.forward(ctx, q, p.Instance, p.Addr)
			return nil, a, again
		}
	}
}

// take uses the turn that a waiting request was given.
func (r *Router) take(ctx context.Context, q *Request, turn route.Turn) (*route.Minion, Answer, bool) {
	if turn.Minion != nil {
		return turn.Minion, Answer{}, false
	}
	a, again := r.forward(ctx, q, turn.Peer, turn.PeerAddr)
	return nil, a, again
}

func (r *Router) waitedInVain(q *Request) Answer {
	if q.Deadline.After(r.cfg.Now()) {
		return refusal(CodeCallerLeft, "the caller left while the request waited")
	}
	return refusal(CodeDeadline, "the deadline passed while the request waited")
}

// withdraw takes a request out of the queue, or gives the turn that it was given
// meanwhile.
func (r *Router) withdraw(w *route.Waiter) route.Turn {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case turn := <-w.Ready:
		return turn
	default:
	}
	r.queue.Withdraw(w)
	return route.Turn{}
}

func refusalCode(reason string) string {
	switch reason {
	case route.RefusedTenantFull:
		return CodeTenantFull
	case route.RefusedLate:
		return CodeLate
	}
	return CodeOverloaded
}

// dispatch sends the request to the minion whose slot it holds.
func (r *Router) dispatch(ctx context.Context, q *Request, m *route.Minion, fresh bool) (Answer, bool) {
	c, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := r.cfg.Now()
	attempt := *q
	attempt.Attempt = r.attemptID(q.ID)
	f := &flight{id: attempt.Attempt, minion: m, sent: now, cancel: cancel}
	r.mu.Lock()
	may := now.Before(m.Owned) && ctx.Err() == nil
	if may {
		r.flights[f.id] = f
	} else {
		r.pool.Done(m, q.Class, 0)
	}
	r.mu.Unlock()
	if !may {
		return r.notDispatched(ctx, m)
	}
	reply, err := r.cfg.Send(c, m.Addr, &attempt, fresh)
	if err == nil {
		r.finish(f, q.Class, r.cfg.Now().Sub(now), false)
		return Answer{Outcome: OutcomeAnswered, Minion: m.Name, Status: reply.Status, Header: reply.Header, Body: reply.Body}, false
	}
	if cause := context.Cause(c); errors.Is(cause, errSilent) {
		err = &SendError{Sent: true, Peer: m.Addr, Err: cause}
	}
	return r.failed(ctx, q, f, err)
}

func (r *Router) attemptID(id string) string {
	n := r.attempts.Add(1)
	return fmt.Sprintf("%s.%s.%d", id, r.cfg.Instance, n)
}

func (r *Router) notDispatched(ctx context.Context, m *route.Minion) (Answer, bool) {
	if ctx.Err() != nil {
		a := refusal(CodeDeadline, "the deadline passed before the request was sent")
		return a, false
	}
	a := refusal(CodeNoMinion, "the right to dispatch to the minion ended")
	a.Minion = m.Name
	return a, true
}

// failed judges an attempt without a whole answer.
func (r *Router) failed(ctx context.Context, q *Request, f *flight, err error) (Answer, bool) {
	var s *SendError
	if !errors.As(err, &s) {
		s = &SendError{Sent: true, Peer: f.minion.Addr, Err: err}
	}
	silent := errors.Is(err, errSilent)
	r.finish(f, q.Class, 0, s.Sent && !s.Refused && !silent)
	r.blame(f.minion, s, !silent && ctx.Err() == nil)
	if silent {
		r.cfg.Drop(f.minion.Addr)
	}
	if !s.Sent || s.Refused {
		a := refusal(CodeNoMinion, err.Error())
		if s.Refused {
			a.Code = CodeRefused
		}
		a.Minion = f.minion.Name
		return a, true
	}
	a := Answer{Outcome: OutcomeUnknown, Code: CodeLostAnswer, Detail: err.Error(), Minion: f.minion.Name}
	if !f.minion.Owned.IsZero() && ctx.Err() != nil {
		a.Code = CodeDeadline
	}
	return a, q.Idempotent
}

// blame notes what a failure says about the minion. A silent connection or a
// deadline says nothing; a refused connection or broken answers do.
func (r *Router) blame(m *route.Minion, s *SendError, broken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Sent && !s.Refused && broken {
		r.pool.Broke(m, r.cfg.Now())
	}
	if s.Leaving {
		m.Leaving = true
	}
	if !s.Sent {
		r.pool.Suspect(m.Name, r.cfg.Now().Add(suspectFor))
	}
}

// finish gives the slot back. A request that may still run there keeps the slot
// as an orphan until the minion says that it does not.
func (r *Router) finish(f *flight, class string, service time.Duration, orphan bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.flights, f.id)
	r.pool.Done(f.minion, class, service)
	if orphan {
		f.minion.Orphans++
	}
	r.serve(r.cfg.Now())
}
