package limit

import "sync"

// ReservedBytes is the part of each body for which a part of the budget is
// reserved. An ordinary job needs no more.
const ReservedBytes = 16 << 10

// Budget counts the bytes of all request bodies that a process holds. Half of it
// is reserved for the first ReservedBytes of each body. That is enough for all
// connections that Derive allows, since a connection has one body at a time, so
// large bodies can't keep small ones out. It is safe for concurrent use.
type Budget struct {
	total int64

	mu    sync.Mutex // guards the fields below
	used  int64
	large int64 // the part of used beyond the first ReservedBytes of each body
}

// NewBudget returns a budget of so many bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total} }

// Take charges n further bytes of a body of which held bytes are charged, and
// reports whether there was room.
func (b *Budget) Take(held, n int64) bool {
	large := beyondReserved(held+n) - beyondReserved(held)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.total || large > 0 && b.large+large > b.total/2 {
		return false
	}
	b.used += n
	b.large += large
	return true
}

// TakeLarge charges n bytes for which nothing is reserved, and reports whether there was
// room.
func (b *Budget) TakeLarge(n int64) bool { return b.Take(ReservedBytes, n) }

// ReleaseLarge gives back n bytes that TakeLarge has charged.
func (b *Budget) ReleaseLarge(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.large -= n
}

// Release gives back all bytes of a body of which held bytes are charged.
func (b *Budget) Release(held int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= held
	b.large -= beyondReserved(held)
}

// Used returns the number of charged bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

func beyondReserved(n int64) int64 { return max(0, n-ReservedBytes) }
