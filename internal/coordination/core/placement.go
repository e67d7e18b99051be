package core

import (
	"context"
	"sync"
)

// maxPlacementCalls is the number of concurrent calls of this instance to the
// placement service. The service handles one call at a time; the second call
// already waits there when the first is answered.
const maxPlacementCalls = 2

// placementQueue limits the concurrent calls to the placement service. Calls
// wait here rather than at the service, because here a caller that has given up
// costs nothing and quick calls can go before long ones.
type placementQueue struct {
	mu     sync.Mutex // guards the fields below
	active int        // slots in use
	quick  []chan struct{}
	long   []chan struct{}
}

// acquire waits for a slot until ctx is done and reports whether it has one. If
// it returns true, the caller must call release.
func (q *placementQueue) acquire(ctx context.Context, quick bool) bool {
	q.mu.Lock()
	if q.active < maxPlacementCalls {
		q.active++
		q.mu.Unlock()
		return true
	}
	granted := make(chan struct{})
	if quick {
		q.quick = append(q.quick, granted)
	} else {
		q.long = append(q.long, granted)
	}
	q.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if remove(&q.quick, granted) || remove(&q.long, granted) {
		return false
	}
	// The slot was granted at the moment when ctx ended; pass it on.
	q.passOn()
	return false
}

func (q *placementQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.passOn()
}

// passOn grants the slot to the next waiter, quick ones first, or frees it. The
// caller must hold the lock.
func (q *placementQueue) passOn() {
	for _, waiters := range []*[]chan struct{}{&q.quick, &q.long} {
		if len(*waiters) > 0 {
			close((*waiters)[0])
			*waiters = (*waiters)[1:]
			return
		}
	}
	q.active--
}

func remove(waiters *[]chan struct{}, w chan struct{}) bool {
	for i, c := range *waiters {
		if c == w {
			*waiters = append((*waiters)[:i], (*waiters)[i+1:]...)
			return true
		}
	}
	return false
}

// RequestTickets asks the placement service for tickets of a step on the given
// workers, for this instance or for a peer. Quick calls go before others. It
// returns the error of ctx if that is done before the call begins.
func (c *Core) RequestTickets(ctx context.Context, step string, workers []string, quick bool) (PlacementReply, error) {
	if !c.placement.acquire(ctx, quick) {
		return PlacementReply{}, ctx.Err()
	}
	defer c.placement.release()
	return c.settings.Placement.Local(ctx, step, workers)
}
