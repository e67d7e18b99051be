package route

import (
	"cmp"
	"sort"
	"time"
)

// Classes of requests, most urgent first.
const (
	ClassUrgent  = "urgent"
	ClassQuick   = "quick"
	ClassPatient = "patient"
)

// classes lists the classes, most urgent first. The index is the priority.
var classes = []string{ClassUrgent, ClassQuick, ClassPatient}

// ValidClass reports whether the class exists.
func ValidClass(c string) bool { return priorityOf(c) >= 0 }

// priorityOf returns the priority of a class, 0 for the most urgent one, or -1
// for an unknown class.
func priorityOf(c string) int {
	for i, v := range classes {
		if v == c {
			return i
		}
	}
	return -1
}

// Bounds of the queue.
const (
	DefaultTenantLimit = 256  // waiting requests of one tenant, where nothing else is set
	patientPopInterval = 6    // one pop in patientPopInterval tries patient requests first, so that they make progress
	DefaultMaxWaiting  = 4096 // waiting requests of all tenants, where nothing else is set
)

// Reasons for which Push refuses a request. A refused request was not run.
const (
	RefusedTenantQueueFull      = "tenant-queue-full"
	RefusedQueueFull            = "queue-full"
	RefusedDeadlineNotReachable = "deadline-not-reachable"
)

// Waiter is a request that waits for a slot.
type Waiter struct {
	ID          string
	Tenant      string
	Class       string
	Arrived     time.Time
	Deadline    time.Time
	NoForward   bool             // must not be forwarded to a peer
	Destination chan Destination // receives where to send the request; closed when it expires or no minion takes it

	withdrawn bool
}

// Destination is where to send a request that has waited: a minion of which a slot
// was taken for it, or else a peer that offered a slot.
type Destination struct {
	Minion   *Minion
	Peer     string
	PeerAddr string
}

// Queue holds the waiting requests of one entry instance. Classes are served by
// priority; within a class, tenants are served in proportion to their shares. It
// is not safe for concurrent use.
type Queue struct {
	maxWaiting  int
	tenants     map[string]*tenantQueue
	tenantNames []string // sorted, so that ties are always broken the same way
	waiting     [3]int   // by priority
	pops        int
}

// tenantQueue holds the waiting requests of one tenant.
type tenantQueue struct {
	share    int64
	limit    int        // bound of waiting
	waiting  int        // over all priorities
	served   [3]float64 // requests served by priority, divided by the share
	requests [3][]*Waiter
}

// NewQueue returns an empty queue for so many requests, DefaultMaxWaiting if 0.
func NewQueue(maxWaiting int) *Queue {
	return &Queue{maxWaiting: cmp.Or(maxWaiting, DefaultMaxWaiting), tenants: map[string]*tenantQueue{}}
}

// tenantFor returns the queue of a tenant. An unknown tenant is added with share
// 1 and the default limit.
func (q *Queue) tenantFor(tenant string) *tenantQueue {
	t := q.tenants[tenant]
	if t == nil {
		t = &tenantQueue{share: 1, limit: DefaultTenantLimit}
		q.tenants[tenant] = t
		i := sort.SearchStrings(q.tenantNames, tenant)
		q.tenantNames = append(q.tenantNames, "")
		copy(q.tenantNames[i+1:], q.tenantNames[i:])
		q.tenantNames[i] = tenant
	}
	return t
}

// SetTenant sets a tenant's share, at least 1, and the number of its requests
// that may wait. A limit of 0 or less means the default.
func (q *Queue) SetTenant(tenant string, share int64, limit int) {
	t := q.tenantFor(tenant)
	t.share = max(share, 1)
	t.limit = limit
	if limit <= 0 {
		t.limit = DefaultTenantLimit
	}
}

// WaitingInClass returns the number of waiting requests of the class, which must
// be a valid one.
func (q *Queue) WaitingInClass(class string) int { return q.waiting[priorityOf(class)] }

// Len returns the number of waiting requests. Withdrawn requests count until they
// are popped.
func (q *Queue) Len() int { return q.waiting[0] + q.waiting[1] + q.waiting[2] }

// Push adds a request to the queue and returns "", or returns one of the Refused
// constants. rate is the number of requests that the instance completes per
// second; 0 when unknown. The class must be a valid one.
func (q *Queue) Push(w *Waiter, now time.Time, rate float64) string {
	t := q.tenantFor(w.Tenant)
	switch {
	case t.waiting >= t.limit:
		return RefusedTenantQueueFull
	case q.Len() >= q.maxWaiting:
		return RefusedQueueFull
	case q.cannotStartInTime(w, t, now, rate):
		return RefusedDeadlineNotReachable
	}
	p := priorityOf(w.Class)
	if len(t.requests[p]) == 0 {
		q.raiseServed(t, p)
	}
	t.requests[p] = append(t.requests[p], w)
	t.waiting++
	q.waiting[p]++
	return ""
}

// maxQuickWait is the longest expected wait of a quick request that is queued.
// Under overload, a longer queue would delay every answer without increasing the
// number of answers.
const maxQuickWait = 500 * time.Millisecond

// maxWait returns the longest expected wait of a request of the class that is
// queued.
func maxWait(class string) time.Duration {
	if class == ClassQuick {
		return maxQuickWait
	}
	return time.Hour
}

// cannotStartInTime reports whether the requests expected to be served before w
// delay it beyond its deadline or its class's longest wait. These are all
// requests of higher priority and, of the same priority, its own tenant's
// requests and as many of each other tenant as fair sharing serves before it.
func (q *Queue) cannotStartInTime(w *Waiter, t *tenantQueue, now time.Time, rate float64) bool {
	if rate <= 0 {
		return false // the rate is unknown; the deadline bounds the wait
	}
	p := priorityOf(w.Class)
	ahead := 0
	for _, name := range q.tenantNames {
		other := q.tenants[name]
		for i := 0; i <= p; i++ {
			n := len(other.requests[i])
			if i == p && other != t {
				n = min(n, len(t.requests[i])+1)
			}
			ahead += n
		}
	}
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	return wait > maxWait(w.Class) || now.Add(wait).After(w.Deadline)
}

// raiseServed raises the served count of a tenant that had no waiting requests to
// that of the least served waiting tenant, so that it gets no extra service for
// the time when it was idle.
func (q *Queue) raiseServed(t *tenantQueue, p int) {
	first := true
	least := 0.0
	for _, other := range q.tenants {
		if len(other.requests[p]) == 0 {
			continue
		}
		if first || other.served[p] < least {
			least = other.served[p]
			first = false
		}
	}
	t.served[p] = max(t.served[p], least)
}

// Pop removes and returns the request to serve next, or nil. It also removes the
// requests that it meets whose deadline has passed and returns them in expired;
// they were not run.
func (q *Queue) Pop(now time.Time) (next *Waiter, expired []*Waiter) {
	q.pops++
	if q.pops%patientPopInterval == 0 {
		if w := q.popPriority(len(classes)-1, now, &expired); w != nil {
			return w, expired
		}
	}
	for p := range classes {
		if w := q.popPriority(p, now, &expired); w != nil {
			return w, expired
		}
	}
	return nil, expired
}

// popPriority is Pop for the requests of one priority.
func (q *Queue) popPriority(p int, now time.Time, expired *[]*Waiter) *Waiter {
	for {
		t := q.leastServed(p)
		if t == nil {
			return nil
		}
		w := t.requests[p][0]
		t.requests[p] = t.requests[p][1:]
		t.waiting--
		q.waiting[p]--
		if w.withdrawn {
			continue
		}
		if !now.Before(w.Deadline) {
			*expired = append(*expired, w)
			continue
		}
		t.served[p] += 1 / float64(t.share)
		return w
	}
}

// PopForForwarding removes and returns the next request to forward to a peer, or
// nil. It considers a tenant's requests of one priority only up to the first that
// must stay here. Expired requests are treated as by Pop.
func (q *Queue) PopForForwarding(now time.Time) (next *Waiter, expired []*Waiter) {
	for p := range classes {
		for _, name := range q.tenantNames {
			t := q.tenants[name]
			for len(t.requests[p]) > 0 && !t.requests[p][0].NoForward {
				w := t.requests[p][0]
				t.requests[p] = t.requests[p][1:]
				t.waiting--
				q.waiting[p]--
				switch {
				case w.withdrawn:
				case !now.Before(w.Deadline):
					expired = append(expired, w)
				default:
					t.served[p] += 1 / float64(t.share)
					return w, expired
				}
			}
		}
	}
	return nil, expired
}

// leastServed returns the tenant with waiting requests of the priority that has
// been served least for its share, or nil.
func (q *Queue) leastServed(p int) *tenantQueue {
	var best *tenantQueue
	for _, name := range q.tenantNames {
		t := q.tenants[name]
		if len(t.requests[p]) == 0 {
			continue
		}
		if best == nil || t.served[p] < best.served[p] {
			best = t
		}
	}
	return best
}

// Withdraw marks a request as withdrawn, because its caller has left or it is
// sent elsewhere. Pop and PopForForwarding drop it when they reach it.
func (q *Queue) Withdraw(w *Waiter) { w.withdrawn = true }
