package flow

import (
	"hash/maphash"
	"sync"
)

// indexShards is the number of shards of an Index, each with its own lock.
const indexShards = 16

// Status is the part of a job's state that callers can query.
type Status struct {
	Queue         string
	State         State
	ConfigVersion int64  // version of the configuration under which the job was accepted; 0 if not known
	Customer      string // that submitted the job, empty if there is none
}

// Index holds the status of jobs by job ID. It is safe for concurrent use. The
// zero value is not usable; see NewIndex.
type Index struct {
	seed   maphash.Seed
	shards [indexShards]indexShard

	mu      sync.Mutex     // guards pending
	pending map[string]int // number of jobs in state Queued, by queue
}

type indexShard struct {
	mu   sync.RWMutex // guards jobs
	jobs map[string]Status
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	x := &Index{seed: maphash.MakeSeed(), pending: map[string]int{}}
	for i := range x.shards {
		x.shards[i].jobs = map[string]Status{}
	}
	return x
}

func (x *Index) shard(id string) *indexShard {
	return &x.shards[maphash.String(x.seed, id)%indexShards]
}

// Get returns a job's status and whether the job is known.
func (x *Index) Get(id string) (Status, bool) {
	s := x.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	st, ok := s.jobs[id]
	return st, ok
}

// Put sets a job's status. It does nothing if the job's state is final and st is
// not, because then st comes from an older record. If st names no configuration
// version or no customer, that of the job stays.
func (x *Index) Put(id string, st Status) {
	s := x.shard(id)
	s.mu.Lock()
	old, had := s.jobs[id]
	if had && old.State.Final() && !st.State.Final() {
		s.mu.Unlock()
		return
	}
	if st.ConfigVersion == 0 {
		st.ConfigVersion = old.ConfigVersion
	}
	if st.Customer == "" {
		st.Customer = old.Customer
	}
	s.jobs[id] = st
	s.mu.Unlock()
	x.updatePending(old, had, -1)
	x.updatePending(st, true, 1)
}

// Add sets a job's status unless the job is known already.
func (x *Index) Add(id string, st Status) {
	s := x.shard(id)
	s.mu.Lock()
	_, had := s.jobs[id]
	if !had {
		s.jobs[id] = st
	}
	s.mu.Unlock()
	if !had {
		x.updatePending(st, true, 1)
	}
}

// Remove removes a job.
func (x *Index) Remove(id string) {
	s := x.shard(id)
	s.mu.Lock()
	old, had := s.jobs[id]
	delete(s.jobs, id)
	s.mu.Unlock()
	x.updatePending(old, had, -1)
}

// Pending returns the number of accepted jobs of the queue that are waiting for
// their first start.
func (x *Index) Pending(queue string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.pending[queue]
}

// updatePending adds n to the number of pending jobs of st's queue if ok is set
// and st is in state Queued. The caller must not hold x.mu.
func (x *Index) updatePending(st Status, ok bool, n int) {
	if !ok || st.State != Queued {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.pending[st.Queue] += n; x.pending[st.Queue] == 0 {
		delete(x.pending, st.Queue)
	}
}
