package core

import (
	"context"
	"sync"
)

// adviseSlots is the number of calls that this instance has under way at the
// placement service, which handles one at a time: the second waits there while
// the first is answered.
const adviseSlots = 2

// adviseQueue lets calls to the placement service wait here, where a caller that
// has left costs nothing and short calls go before long ones.
type adviseQueue struct {
	mu     sync.Mutex
	active int
	quick  []chan struct{}
	long   []chan struct{}
}

// enter waits for a slot. The caller must leave when it gives true.
func (q *adviseQueue) enter(ctx context.Context, quick bool) bool {
	q.mu.Lock()
	if q.active < adviseSlots {
		q.active++
		q.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	if quick {
		q.quick = append(q.quick, turn)
	} else {
		q.long = append(q.long, turn)
	}
	q.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if remove(&q.quick, turn) || remove(&q.long, turn) {
		return false
	}
	// The slot came at the same moment; it goes to the next in line.
	q.next()
	return false
}

func (q *adviseQueue) leave() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next()
}

// next hands the slot on. The lock is held.
func (q *adviseQueue) next() {
	for _, line := range []*[]chan struct{}{&q.quick, &q.long} {
		if len(*line) > 0 {
			close((*line)[0])
			*line = (*line)[1:]
			return
		}
	}
	q.active--
}

func remove(line *[]chan struct{}, turn chan struct{}) bool {
	for i, c := range *line {
		if c == turn {
			*line = append((*line)[:i], (*line)[i+1:]...)
			return true
		}
	}
	return false
}

// Advise asks the placement service for this instance or for a peer.
func (c *Core) Advise(ctx context.Context, step string, workers []string, quick bool) (Advice, error) {
	if !c.advise.enter(ctx, quick) {
		return Advice{}, ctx.Err()
	}
	defer c.advise.leave()
	return c.set.Advisers.Own(ctx, step, workers)
}
