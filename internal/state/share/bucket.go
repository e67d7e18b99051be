package share

// Bucket is a token bucket over the jobs of one customer. The zero value is full.
type Bucket struct {
	tokens float64
	lastMs int64 // of the newest job counted
	used   bool
}

// Take reports whether a job accepted at atMs is within rate jobs per second and
// a burst of rate x windowSeconds jobs, at least one, and counts it if so. Jobs
// must be passed in the same order on every instance. The times come from the
// clocks of different instances: an earlier time than the newest refills nothing,
// and one that is earlier by more than the window replaces it, since a single
// fast clock would otherwise stop the refill until the others reach its time.
func (b *Bucket) Take(atMs int64, rate, windowSeconds float64) bool {
	depth := max(rate*windowSeconds, 1)
	switch {
	case !b.used:
		b.tokens, b.lastMs, b.used = depth, atMs, true
	case atMs > b.lastMs:
		b.tokens += rate * float64(atMs-b.lastMs) / 1000
		b.lastMs = atMs
	case float64(b.lastMs-atMs) > windowSeconds*1000:
		b.lastMs = atMs
	}
	b.tokens = min(b.tokens, depth)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
