package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/once"
	"github.com/tamaracklink/tamaracklink/internal/state/route"
)

// Limits and times of attempts.
const (
	maxAttempts          = 5           // for one request
	suspicionDuration    = time.Second // a minion that could not be reached gets no new requests for this time
	recordOutcomeTimeout = 5 * time.Second
	retryAfterRefusal    = 500 * time.Millisecond // hint to the caller of a request that was not run

	forwardCheckInterval = 40 * time.Millisecond // between two checks whether a peer has a free slot for a waiting request
	minForwardTime       = 20 * time.Millisecond // a request with less time left to its deadline is not forwarded
)

// attempt is a request in flight to a minion.
type attempt struct {
	id     string
	minion *route.Minion
	sentAt time.Time
	cancel context.CancelCauseFunc

	minionUnproved bool // the minion had not answered a load query since it was lost or taken over
}

// errNotRunning is the cause with which an attempt is cancelled if its minion
// does not run it: the connection is dead, or the answer was lost.
var errNotRunning = errors.New("minion does not run the request and no answer arrived")

// Do carries the request to a minion and returns the answer for its caller. It
// gives up at the request's deadline. It does not change the request.
func (r *Router) Do(ctx context.Context, req *Request) Answer {
	start := r.cfg.Now()
	if !r.startRequest(req) {
		return notRunAnswer(CodeLeaving, "the instance is stopping; ask another")
	}
	defer r.endRequest()
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	a := r.doWithKey(ctx, req)
	if r.cfg.Observe != nil {
		r.cfg.Observe(req, a, r.cfg.Now().Sub(start))
	}
	return a
}

// startRequest counts a request as active. It returns false if the router no
// longer accepts requests. A forwarded request adds nothing to the retry
// budget, since it counts in the budget of the peer that forwarded it.
func (r *Router) startRequest(req *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return false
	}
	r.activeRequests++
	if !req.Forwarded {
		r.budget.RecordRequest()
	}
	return true
}

func (r *Router) endRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeRequests--
}

// notRunAnswer returns the answer to a request that certainly was not run.
func notRunAnswer(code, detail string) Answer {
	return Answer{Outcome: OutcomeNotRun, Code: code, Detail: detail, RetryAfter: retryAfterRefusal}
}

// doWithKey claims the idempotency key of a non-idempotent request before it is
// sent, and records the outcome afterwards. After an unknown outcome the key
// stays claimed. The key of a forwarded request was claimed by the peer that
// forwarded it.
func (r *Router) doWithKey(ctx context.Context, req *Request) Answer {
	if req.Idempotent || req.IdempotencyKey == "" || req.Forwarded {
		return r.doWithRetries(ctx, req)
	}
	key := req.Tenant + "/" + req.IdempotencyKey
	h, err := r.cfg.Claim(ctx, key, req.ID, r.cfg.Now())
	if err != nil {
		// The claim may still reach the log. Recording this outcome releases the key.
		r.recordOutcome(key, req.ID, once.StateNotRun)
		return notRunAnswer(CodeKeyUnproved, "the platform's log can't prove that the key is new: "+err.Error())
	}
	if h.RequestID != req.ID {
		return claimedKeyAnswer(h)
	}
	a := r.doWithRetries(ctx, req)
	switch a.Outcome {
	case OutcomeAnswered:
		r.recordOutcome(key, req.ID, once.StateDone)
	case OutcomeNotRun:
		r.recordOutcome(key, req.ID, once.StateNotRun)
	}
	return a
}

// claimedKeyAnswer returns the answer to a request whose key another request
// has claimed.
func claimedKeyAnswer(h once.Holder) Answer {
	if h.State == once.StateDone {
		return Answer{Outcome: OutcomeUnknown, Code: CodeKeyDone, Detail: "request " + h.RequestID + " with this key has run; it is not run again"}
	}
	return Answer{Outcome: OutcomeUnknown, Code: CodeKeyHeld, Detail: "request " + h.RequestID + " with this key may have run; it is not run again"}
}

// recordOutcome records the outcome of a claim in the background.
func (r *Router) recordOutcome(key, requestID, outcome string) {
	r.mu.Lock()
	ctx := r.ctx
	r.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return
	}
	r.wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, recordOutcomeTimeout)
		defer cancel()
		// If this fails the key stays claimed, which is safe.
		_ = r.cfg.RecordOutcome(callCtx, key, requestID, outcome, r.cfg.Now())
	})
}

// doWithRetries makes attempts with minions and peers until one returns an
// answer or no further one is allowed. Only retries after an unknown outcome
// count against the retry budget.
func (r *Router) doWithRetries(ctx context.Context, req *Request) Answer {
	tried := *req
	arrived := r.cfg.Now()
	avoid := ""
	sent := Answer{} // of the last attempt that may have run
	for n := 1; ; n++ {
		last, retry := r.doAttempt(ctx, &tried, arrived, avoid, n)
		last.Attempts = n
		avoid = last.Minion
		if last.Outcome == OutcomeUnknown {
			sent = last
		}
		if last.Code == CodeMinionLost {
			tried.MinionsLost++
		}
		if tried.MinionsLost >= maxMinionsLost {
			return r.giveUpAfterLosses(&tried, last)
		}
		if retry && n < maxAttempts && ctx.Err() == nil {
			if last.Outcome != OutcomeUnknown || r.takeRetry(req) {
				continue
			}
			last.Detail += "; the retry budget is spent"
		}
		if sent.Outcome == OutcomeUnknown && last.Outcome == OutcomeNotRun {
			sent.Detail += "; the last attempt was not run: " + last.Detail
			sent.Attempts, sent.Waited = last.Attempts, last.Waited
			return callerAnswer(req, sent)
		}
		return callerAnswer(req, last)
	}
}

// takeRetry takes a retry from the budget and reports whether one was left. A
// forwarded request is retried only by the peer that forwarded it, so that it
// counts in one budget.
func (r *Router) takeRetry(req *Request) bool {
	if req.Forwarded {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.TakeRetry()
}

// doAttempt makes attempt n, counted from 1, and reports whether another one is
// allowed. avoid is the minion of the previous attempt; another one is
// preferred.
func (r *Router) doAttempt(ctx context.Context, req *Request, arrived time.Time, avoid string, n int) (Answer, bool) {
	m, a, retry := r.acquireSlot(ctx, req, arrived, avoid)
	if m == nil {
		return a, retry
	}
	waited := r.cfg.Now().Sub(arrived)
	// A retry uses a new connection, since another idle connection may be dead
	// too. So does a non-idempotent request, which the HTTP transport then never
	// resends.
	a, retry = r.dispatch(ctx, req, m, !req.Idempotent || n > 1)
	if req.MinionsLost > 0 {
		r.addAfterLoss(m, -1)
	}
	a.Waited = waited
	return a, retry
}

// acquireSlot returns a minion of which it has acquired a slot for the request.
// If the minion is nil, it returns the answer instead, which is that of a peer
// or a refusal, and reports whether another attempt is allowed.
func (r *Router) acquireSlot(ctx context.Context, req *Request, arrived time.Time, avoid string) (*route.Minion, Answer, bool) {
	if req.MinionsLost > 0 {
		if m := r.awaitSlotApart(ctx, req, avoid); m != nil {
			return m, Answer{}, false
		}
	}
	now := r.cfg.Now()
	if p, ok := r.findPeer(req, r.localServiceTime(req.Class, now)); ok {
		a, retry := r.forward(ctx, req, p.Instance, p.Addr)
		return nil, a, retry
	}
	m := r.acquireFreeSlot(req.Class, avoid, now)
	a, retry := Answer{}, false
	if m == nil {
		m, a, retry = r.enqueueAndWait(ctx, req, arrived)
	}
	if m != nil && req.MinionsLost > 0 {
		r.addAfterLoss(m, 1)
	}
	return m, a, retry
}

// localServiceTime returns the expected service time here, or 0 if no slot is
// free.
func (r *Router) localServiceTime(class string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Len() > 0 {
		return 0
	}
	return r.pool.LeastServiceTime(class, now)
}

// acquireFreeSlot acquires a slot if no request waits, and returns its minion,
// or nil if there is none.
func (r *Router) acquireFreeSlot(class, avoid string, now time.Time) *route.Minion {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.queue.Len() > 0 {
		return nil
	}
	return r.pool.AcquireSlot(class, avoid, now)
}

// enqueueAndWait queues the request and waits for a slot. It returns the same as
// acquireSlot.
func (r *Router) enqueueAndWait(ctx context.Context, req *Request, arrived time.Time) (*route.Minion, Answer, bool) {
	waiter := &route.Waiter{
		ID: req.ID, Tenant: req.Tenant, Class: req.Class, Arrived: arrived, Deadline: req.Deadline, NoForward: req.Forwarded || !req.Idempotent,
		Destination: make(chan route.Destination, 1),
	}
	if reason := r.enqueue(waiter, r.cfg.Now()); reason != "" {
		return nil, notRunAnswer(refusalCode(reason), "refused at the door, nothing was run"), false
	}
	return r.awaitAssignment(ctx, req, waiter)
}

// enqueue adds a request to the queue, or returns the reason why the queue
// refuses it.
func (r *Router) enqueue(waiter *route.Waiter, now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	reason := r.queue.Push(waiter, now, r.pool.Rate(now))
	r.assignSlots(now)
	return reason
}

// awaitAssignment waits until the request is assigned a slot here or at a peer.
// Every forwardCheckInterval it also checks whether a peer has reported a free
// slot. It returns the same as acquireSlot. A minion that was assigned just
// before ctx ended is returned, so that its slot is released.
func (r *Router) awaitAssignment(ctx context.Context, req *Request, waiter *route.Waiter) (*route.Minion, Answer, bool) {
	t := time.NewTicker(forwardCheckInterval)
	defer t.Stop()
	r.querySlots()
	for {
		select {
		case assignment, ok := <-waiter.Destination:
			if !ok {
				return nil, r.waitEndedAnswer(req), false
			}
			return r.useAssignment(ctx, req, assignment)
		case <-ctx.Done():
			return r.withdraw(waiter).Minion, r.waitEndedAnswer(req), false
		case <-t.C:
			r.querySlots()
			p, ok := r.findPeer(req, 0)
			if !ok {
				continue
			}
			if assignment := r.withdraw(waiter); assignment != (route.Destination{}) {
				return r.useAssignment(ctx, req, assignment)
			}
			a, retry := r.forward(ctx, req, p.Instance, p.Addr)
			return nil, a, retry
		}
	}
}

// useAssignment returns the assigned minion, or forwards the request to the
// assigned peer. It returns the same as acquireSlot.
func (r *Router) useAssignment(ctx context.Context, req *Request, assignment route.Destination) (*route.Minion, Answer, bool) {
	if assignment.Minion != nil {
		return assignment.Minion, Answer{}, false
	}
	a, retry := r.forward(ctx, req, assignment.Peer, assignment.PeerAddr)
	return nil, a, retry
}

// waitEndedAnswer returns the answer to a request that got no slot before its
// deadline or before its caller disconnected.
func (r *Router) waitEndedAnswer(req *Request) Answer {
	if req.Deadline.After(r.cfg.Now()) {
		return notRunAnswer(CodeCallerLeft, "the caller left while the request waited")
	}
	return notRunAnswer(CodeDeadlinePassed, "the deadline passed while the request waited")
}

// withdraw removes a request from the queue. If the request was assigned a slot
// before, it returns the assignment, and otherwise the zero value.
func (r *Router) withdraw(waiter *route.Waiter) route.Destination {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case assignment := <-waiter.Destination:
		return assignment
	default:
	}
	r.queue.Withdraw(waiter)
	return route.Destination{}
}

// refusalCode returns the code for a reason for which the queue refused a
// request.
func refusalCode(reason string) string {
	switch reason {
	case route.RefusedTenantQueueFull:
		return CodeTenantQueueFull
	case route.RefusedDeadlineNotReachable:
		return CodeDeadlineNotReachable
	}
	return CodeOverloaded
}

// dispatch sends the request to a minion of which it has a slot, and releases
// the slot. It reports whether another attempt is allowed. Nothing is sent if
// ctx has ended or the ownership of the minion has expired.
func (r *Router) dispatch(ctx context.Context, req *Request, m *route.Minion, newConn bool) (Answer, bool) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	now := r.cfg.Now()
	attemptReq := *req
	attemptReq.AttemptID = r.newAttemptID(req.ID)
	att := &attempt{id: attemptReq.AttemptID, minion: m, sentAt: now, cancel: cancel}
	if !r.beginAttempt(ctx, att, req.Class) {
		return r.notDispatchedAnswer(ctx, m)
	}
	reply, err := r.cfg.Send(attemptCtx, m.Addr, &attemptReq, newConn)
	if err == nil {
		r.finishAttempt(att, req.Class, r.cfg.Now().Sub(now), false)
		return Answer{Outcome: OutcomeAnswered, Minion: m.Name, Status: reply.Status, Header: reply.Header, Body: reply.Body}, false
	}
	if cause := context.Cause(attemptCtx); errors.Is(cause, errNotRunning) {
		err = &SendError{Sent: true, Addr: m.Addr, Err: cause}
	}
	return r.handleFailure(ctx, req, att, err)
}

// beginAttempt counts an attempt as in flight. If nothing may be sent any more,
// it releases the slot and returns false.
func (r *Router) beginAttempt(ctx context.Context, att *attempt, class string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !att.sentAt.Before(att.minion.OwnedUntil) || ctx.Err() != nil {
		r.pool.ReleaseSlot(att.minion, class, 0)
		return false
	}
	att.minionUnproved = att.minion.LoadUnknown
	r.inFlight[att.id] = att
	return true
}

// newAttemptID returns the ID of a new attempt. It contains the instance's name,
// since several instances may make attempts of one request.
func (r *Router) newAttemptID(requestID string) string {
	n := r.attemptCount.Add(1)
	return fmt.Sprintf("%s.%s.%d", requestID, r.cfg.Instance, n)
}

// notDispatchedAnswer returns the answer to an attempt that was not sent, and
// reports whether another attempt is allowed.
func (r *Router) notDispatchedAnswer(ctx context.Context, m *route.Minion) (Answer, bool) {
	if ctx.Err() != nil {
		a := notRunAnswer(CodeDeadlinePassed, "the deadline passed before the request was sent")
		return a, false
	}
	a := notRunAnswer(CodeNoMinion, "the right to dispatch to the minion ended")
	a.Minion = m.Name
	return a, true
}

// handleFailure returns the answer to an attempt without a complete answer, and
// reports whether another attempt is allowed. Idle connections to a minion are
// closed if the attempt's connection was dead.
func (r *Router) handleFailure(ctx context.Context, req *Request, att *attempt, err error) (Answer, bool) {
	var sendErr *SendError
	if !errors.As(err, &sendErr) {
		sendErr = &SendError{Sent: true, Addr: att.minion.Addr, Err: err}
	}
	notRunning := errors.Is(err, errNotRunning)
	r.finishAttempt(att, req.Class, 0, sendErr.Sent && !sendErr.Refused && !notRunning)
	lost := sendErr.Broken && r.minionLost(ctx, req, att)
	r.recordFailure(att.minion, sendErr, !notRunning && !lost && ctx.Err() == nil)
	if notRunning {
		r.cfg.CloseIdle(att.minion.Addr)
	}
	if !sendErr.Sent || sendErr.Refused {
		a := notRunAnswer(CodeNoMinion, err.Error())
		if sendErr.Refused {
			a.Code = CodeRefused
		}
		a.Minion = att.minion.Name
		return a, true
	}
	a := Answer{Outcome: OutcomeUnknown, Code: CodeAnswerLost, Detail: err.Error(), Minion: att.minion.Name}
	if lost {
		a.Code = CodeMinionLost
	}
	if !att.minion.OwnedUntil.IsZero() && ctx.Err() != nil {
		a.Code = CodeDeadlinePassed
	}
	return a, req.Idempotent
}

// recordFailure records a failure that is attributed to the minion. A failed
// connection attempt is, and so is an incomplete answer if attributable is set.
// A dead connection and an expired deadline are not, since they are no evidence
// of a fault of the minion, nor is its loss, which may be the request's fault.
func (r *Router) recordFailure(m *route.Minion, sendErr *SendError, attributable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sendErr.Sent && !sendErr.Refused && attributable {
		r.pool.RecordIncompleteAnswer(m, r.cfg.Now())
	}
	if sendErr.Leaving {
		m.Leaving = true
	}
	if !sendErr.Sent {
		r.pool.Suspect(m.Name, r.cfg.Now().Add(suspicionDuration))
	}
}

// finishAttempt removes an attempt and releases its slot. A request that may
// still run occupies the slot as an orphan until the minion reports that it
// does not run it. A serviceTime of 0 is not recorded.
func (r *Router) finishAttempt(att *attempt, class string, serviceTime time.Duration, mayStillRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, att.id)
	r.pool.ReleaseSlot(att.minion, class, serviceTime)
	if mayStillRun {
		att.minion.Orphans++
	}
	r.assignSlots(r.cfg.Now())
}
