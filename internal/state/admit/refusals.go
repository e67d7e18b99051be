package admit

import "time"

// Limits of what is kept of refused jobs.
const (
	// refusalsKept is for how long a refusal is kept at least, unless there are more
	// than maxRefusals. Clients come back within maxRetryAfter.
	refusalsKept = maxRetryAfter + 5*time.Second
	maxRefusals  = 4096 // jobs in each of the two maps
)

// Refusals counts the refusals of each job at one instance. It forgets them after a
// while. The zero value has none.
type Refusals struct {
	recent, older map[string]int // by job ID
	began         time.Time      // of recent
}

// Count returns how often the job has been refused lately.
func (r *Refusals) Count(id string) int { return max(r.recent[id], r.older[id]) }

// Note records a refusal of the job.
func (r *Refusals) Note(now time.Time, id string) {
	n := r.Count(id) + 1
	if r.recent == nil || len(r.recent) >= maxRefusals || now.Sub(r.began) >= refusalsKept {
		r.older, r.recent, r.began = r.recent, map[string]int{}, now
	}
	r.recent[id] = n
}
