package share

// Bucket is a token bucket over the jobs of one customer. The zero value is full.
type Bucket struct {
	tokens float64
	used   bool
	lastMs int64 // newest time of a job counted
	// behindMs is the newest time of a job that was earlier than lastMs by more than
	// the window, if behind is set.
	behindMs int64
	behind   bool
}

// Take reports whether a job accepted at atMs is within rate jobs per second and
// a burst of rate x windowSeconds jobs, at least one, and counts it if so. Jobs
// must be passed in the same order on every instance. The times come from the
// clocks of different instances: an earlier time than the newest refills nothing.
// Times that are earlier by more than the window refill by what they advance among
// themselves, since a single fast clock would otherwise stop the refill until the
// others reach its time. They don't replace the newest time: two clocks that take
// turns would otherwise refill the bucket each time.
func (b *Bucket) Take(atMs int64, rate, windowSeconds float64) bool {
	depth := max(rate*windowSeconds, 1)
	elapsedMs := int64(0)
	switch {
	case !b.used:
		b.tokens, b.lastMs, b.used = depth, atMs, true
	case float64(b.lastMs-atMs) <= windowSeconds*1000:
		elapsedMs = max(atMs-b.lastMs, 0)
		b.lastMs += elapsedMs
	case !b.behind || float64(b.behindMs-atMs) > windowSeconds*1000:
		b.behindMs, b.behind = atMs, true
	default:
		elapsedMs = max(atMs-b.behindMs, 0)
		b.behindMs += elapsedMs
	}
	b.tokens = min(b.tokens+rate*float64(elapsedMs)/1000, depth)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
