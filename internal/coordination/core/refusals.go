package core

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/admit"
)

// refusals records for how long this instance has refused submissions. It is safe
// for concurrent use.
type refusals struct {
	mu     sync.Mutex // guards outage
	outage admit.Outage
}

// note records the result of a submission.
func (r *refusals) note(now time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage.Note(now, errors.Is(err, ErrNotExecuted))
}

// lasting returns for how long submissions had been refused at the newest refusal,
// 0 if the last one was not refused.
func (r *refusals) lasting() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage.Last.Sub(r.outage.Since)
}

// RefusingFor returns for how long this instance has refused submissions.
func (c *Core) RefusingFor() time.Duration { return c.refusals.lasting() }
