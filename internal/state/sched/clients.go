package sched

import (
	"math"
	"time"
)

// Limits of the use of placement clients.
const (
	// maxQuickOnlyShare is the largest share of the healthy clients that gets no
	// long queries.
	maxQuickOnlyShare = 1.0 / 3
	// quickLoadFactor is how many clients are kept for quick queries for each
	// client that these have kept busy.
	quickLoadFactor = 2
	// quickLoadWindow is the time constant of the load by quick queries.
	quickLoadWindow = 4 * time.Second
	// clientDemandTTL is how long a queue counts as in need of a client after one
	// of its steps found none.
	clientDemandTTL = 200 * time.Millisecond
)

// clientDemand records what the queues need placement clients for.
type clientDemand struct {
	quickSeconds float64              // duration of the quick queries, decayed over quickLoadWindow
	quickAt      time.Time            // when quickSeconds was last updated
	deniedAt     map[string]time.Time // by queue, when a step last found no client for a long query
}

// addQuickQuery records the duration of a quick query that was sent.
func (d *clientDemand) addQuickQuery(now time.Time, duration time.Duration) {
	d.quickSeconds = d.quickSecondsAt(now) + duration.Seconds()
	d.quickAt = now
}

func (d *clientDemand) quickSecondsAt(now time.Time) float64 {
	return d.quickSeconds * math.Exp(-float64(now.Sub(d.quickAt))/float64(quickLoadWindow))
}

// dropExpired forgets the queues whose need of a client is too long ago.
func (d *clientDemand) dropExpired(now time.Time) {
	for queue, at := range d.deniedAt {
		if now.Sub(at) > clientDemandTTL {
			delete(d.deniedAt, queue)
		}
	}
}

// quickOnlyClients returns how many of the healthy clients get no long queries.
// A new leader keeps the largest share until it has measured the load.
func (e *Engine) quickOnlyClients(now time.Time, healthy int) int {
	most := int(math.Round(maxQuickOnlyShare * float64(healthy)))
	if now.Sub(e.startedAt) < quickLoadWindow {
		return most
	}
	load := e.demand.quickSecondsAt(now) / quickLoadWindow.Seconds()
	return min(most, 1+int(math.Ceil(quickLoadFactor*load)))
}

// longQueryClients returns how many of the healthy clients get long queries.
func (e *Engine) longQueryClients(now time.Time) int {
	healthy := 0
	for _, c := range e.clientsByName {
		if c.healthy {
			healthy++
		}
	}
	return healthy - e.quickOnlyClients(now, healthy)
}

// exceedsClientShare reports whether the queue has its share of the clients for
// long queries, while steps of a queue with less than that find none. The shares
// of the queues that need clients are equal, so that the steps of one queue
// can't keep the others from theirs.
func (e *Engine) exceedsClientShare(now time.Time, queue string, clients int) bool {
	e.demand.dropExpired(now)
	if _, self := e.demand.deniedAt[queue]; len(e.demand.deniedAt) == 0 || (self && len(e.demand.deniedAt) == 1) {
		return false // no other queue needs a client
	}
	// Long queries in flight, by queue that uses or needs clients.
	used := map[string]int{queue: 0}
	for other := range e.demand.deniedAt {
		used[other] = 0
	}
	for _, c := range e.clientsByName {
		for _, q := range c.inFlight {
			if !q.quick {
				used[q.queue]++
			}
		}
	}
	share := (clients + len(used) - 1) / len(used)
	if used[queue] < share {
		return false
	}
	for other := range e.demand.deniedAt {
		if used[other] < share {
			return true
		}
	}
	return false
}

// noteClientDenied records that a step of the queue found no client for a long
// query.
func (e *Engine) noteClientDenied(now time.Time, queue string) {
	e.demand.deniedAt[queue] = now
}
