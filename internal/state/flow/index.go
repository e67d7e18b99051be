package flow

import (
	"hash/maphash"
	"sync"
)

// indexShards is the number of locks that the index spreads its jobs over.
const indexShards = 16

// Status is what callers may ask of a job.
type Status struct {
	Queue string
	State State
}

// Index gives the status of jobs to many readers at once. The zero value is not
// usable; see NewIndex.
type Index struct {
	seed   maphash.Seed
	shards [indexShards]indexShard

	mu     sync.Mutex
	queued map[string]int // by queue: jobs of which nothing has started
}

type indexShard struct {
	mu   sync.RWMutex
	jobs map[string]Status
}

// NewIndex gives an empty index.
func NewIndex() *Index {
	x := &Index{seed: maphash.MakeSeed(), queued: map[string]int{}}
	for i := range x.shards {
		x.shards[i].jobs = map[string]Status{}
	}
	return x
}

func (x *Index) shard(id string) *indexShard {
	return &x.shards[maphash.String(x.seed, id)%indexShards]
}

// Get gives a job's status.
func (x *Index) Get(id string) (Status, bool) {
	s := x.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	st, ok := s.jobs[id]
	return st, ok
}

// Put sets a job's status. A final state is not replaced by one that is not.
func (x *Index) Put(id string, st Status) {
	s := x.shard(id)
	s.mu.Lock()
	old, had := s.jobs[id]
	if had && old.State.Final() && !st.State.Final() {
		s.mu.Unlock()
		return
	}
	s.jobs[id] = st
	s.mu.Unlock()
	x.count(old, had, -1)
	x.count(st, true, 1)
}

// Add sets a job's status unless it has one.
func (x *Index) Add(id string, st Status) {
	s := x.shard(id)
	s.mu.Lock()
	_, had := s.jobs[id]
	if !had {
		s.jobs[id] = st
	}
	s.mu.Unlock()
	if !had {
		x.count(st, true, 1)
	}
}

// Drop forgets a job.
func (x *Index) Drop(id string) {
	s := x.shard(id)
	s.mu.Lock()
	old, had := s.jobs[id]
	delete(s.jobs, id)
	s.mu.Unlock()
	x.count(old, had, -1)
}

// Pending gives how many accepted jobs of the queue wait for their first start.
func (x *Index) Pending(queue string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.queued[queue]
}

func (x *Index) count(st Status, ok bool, n int) {
	if !ok || st.State != Queued {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.queued[st.Queue] += n; x.queued[st.Queue] == 0 {
		delete(x.queued, st.Queue)
	}
}
