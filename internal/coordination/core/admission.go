package core

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/admit"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
)

// RejectedError means that a job was refused because it can't complete in time. The
// call had no effect and will have none, at whichever instance it is repeated now.
type RejectedError struct {
	RetryAfter time.Duration // after which the caller should come back, in whole seconds
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("the job can't complete in time; retry after %v", e.RetryAfter)
}

// certain returns the result err of a call of which an earlier attempt may have been
// carried out, if unknown is set: a job that was refused since may have been stored
// by that attempt.
func certain(err error, unknown bool) error {
	var rejected *RejectedError
	if unknown && errors.As(err, &rejected) {
		return ErrOutcomeUnknown
	}
	return err
}

// loadInterval is the shortest time between two records of the load. An entry of a
// record has some 70 bytes, one for each customer with waiting work in each group.
const loadInterval = 500 * time.Millisecond

// loadRecords is the state of the records of the load in this leader's term.
type loadRecords struct {
	at      time.Time // of the last one, or when the load was last computed
	number  int64     // of the last one
	backlog bool      // the last one has a backlog
}

// loadRecord returns a record of the load for an append that is made anyway, if one
// is due: at most each loadInterval while there is a backlog, and one after it. There
// is none without customers in the configuration.
func (c *Core) loadRecord(now time.Time) (ledger.Record, bool) {
	l, conf := &c.appending.loads, c.config.Load()
	if conf == nil || now.Sub(l.at) < loadInterval || !conf.CustomersOn && !l.backlog {
		return ledger.Record{}, false
	}
	l.at = now
	load := admit.Load{Term: c.election.term, Number: l.number + 1}
	if conf.CustomersOn {
		load.Groups = c.engine.Load(now)
	}
	if len(load.Groups) == 0 && !l.backlog {
		return ledger.Record{}, false
	}
	l.number, l.backlog = load.Number, len(load.Groups) > 0
	r, err := encodeRecord(keyLoad, load)
	if err != nil {
		c.settings.Logger.Error().Err(err).Msg("leader: load can't be encoded")
		return ledger.Record{}, false
	}
	return r, true
}

// withoutLoad returns the records without that of the load, which is out of date in
// an append that is repeated later.
func withoutLoad(records []ledger.Record) []ledger.Record {
	return slices.DeleteFunc(records, func(r ledger.Record) bool { return r.Key == keyLoad })
}

// admission is what an instance knows of the load, and the jobs that it has refused.
type admission struct {
	load atomic.Pointer[loadReading] // nil until a record of the load has been read
	term atomic.Int64                // election.term, for use outside the loop

	mu       sync.Mutex // guards refusals
	refusals admit.Refusals
}

// loadReading is the newest record of the load that was read.
type loadReading struct {
	admit.Load
	// since is an uptime from before the record was stored.
	since time.Duration
}

// applyLoad applies a record of the load. It was stored after the sending of the
// last read that reached the end of the ledger without it. This bounds its age also
// after a gap in the reads, or a load of the newest records.
func (c *Core) applyLoad(value []byte) error {
	reading := &loadReading{since: time.Duration(c.currentAt.Load())}
	if len(value) == 0 || reading.since == 0 {
		return nil
	}
	if err := json.Unmarshal(value, &reading.Load); err != nil {
		return err
	}
	if reading.Term == c.election.term {
		c.admission.load.Store(reading)
	}
	return nil
}

// checkAdmission returns a *RejectedError for a job that can't complete in time by
// the newest record of the load, and nil for any other. A job that is known already
// is not refused: before a refusal the ledger is read to its end, since the job may
// have been accepted by another instance whose answer was lost.
func (c *Core) checkAdmission(ctx context.Context, s *flow.Spec) error {
	reading, conf := c.admission.load.Load(), c.config.Load()
	if reading == nil || conf == nil || !conf.CustomersOn {
		return nil
	}
	a := &c.admission
	a.mu.Lock()
	refusals := a.refusals.Count(s.ID)
	a.mu.Unlock()
	now, age := c.settings.Now(), c.settings.Uptime()-reading.since
	v := admit.Decide(now, s, admit.Reading{Load: &reading.Load, Age: age, Term: a.term.Load()}, refusals)
	if v.Reason == admit.ReasonNone {
		return nil
	}
	if _, err := c.Status(ctx, s.ID, keys.Caller{}); !errors.Is(err, ErrJobNotFound) {
		return nil
	}
	a.mu.Lock()
	a.refusals.Note(now, s.ID)
	a.mu.Unlock()
	c.settings.Meter.CountBy("rejected", "queue", s.Queue, "reason", string(v.Reason))
	c.settings.Logger.Info().Str("job", s.ID).Str("queue", s.Queue).Str("customer", s.Customer).Str("reason", string(v.Reason)).
		Int64("expected-ms", v.End.Milliseconds()).Int64("objective-ms", v.Objective.Milliseconds()).Int64("retry-after-s", int64(v.RetryAfter/time.Second)).Int("earlier-refusals", refusals).
		Int64("term", reading.Term).Int64("summary", reading.Number).Int64("age-ms", age.Milliseconds()).Msg("admission: job refused")
	return &RejectedError{RetryAfter: v.RetryAfter}
}
