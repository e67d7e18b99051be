package intake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Bounds of taking in.
const (
	// awayAfter is how long an append may be without an answer, while nothing else
	// is answered either, before the store counts as away: then calls are served
	// better elsewhere than by waiting.
	awayAfter = 600 * time.Millisecond
	// stuckAfter is the same if the store answers other calls; a slow one takes
	// about a second.
	stuckAfter = 1800 * time.Millisecond
	// lookEvery is the time between two looks of a waiting call at that.
	lookEvery = 100 * time.Millisecond
	// badTime is how long a refused append counts against the store: without calls
	// nothing would show that it is well again.
	badTime    = time.Second
	maxWaiting = 2000    // calls
	maxQueued  = 8 << 20 // bytes of calls that wait
	maxBytes   = 1 << 20 // of one append; the store takes 2 MiB
)

// ErrRefused says that the record was certainly not stored.
var ErrRefused = errors.New("not stored")

// ErrUnknown says that the record may be stored, or may yet be.
var ErrUnknown = errors.New("it is not known whether the record is stored")

// Settings are what an Intake needs.
type Settings struct {
	Log    ledger.Log
	Name   string // of the producer; unique to this process
	Now    func() time.Time
	Unsure func(err error, tries int) // is told of appends without an answer
	// Answered tells when the store last answered any call of this instance.
	Answered func() time.Time
}

// Intake appends records for many callers.
type Intake struct {
	set Settings

	mu       sync.Mutex
	waiting  []*call
	queued   int       // bytes of the waiting calls
	sentAt   time.Time // of the append under way, zero if there is none
	lastGood time.Time
	lastBad  time.Time
	wake     chan struct{}
}

type call struct {
	records []ledger.Record
	done    chan error
}

// size gives the bytes of the call's records.
func (c *call) size() int {
	n := 0
	for _, r := range c.records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// New gives an Intake; Run must be called for it to work.
func New(set Settings) *Intake {
	return &Intake{set: set, wake: make(chan struct{}, 1)}
}

// Store appends the records. Its error is ErrRefused or ErrUnknown; ErrUnknown
// comes when ctx ends first.
func (n *Intake) Store(ctx context.Context, records ...ledger.Record) error {
	c := &call{records: records, done: make(chan error, 1)}
	n.mu.Lock()
	if len(n.waiting) >= maxWaiting || n.queued > maxQueued || n.away() {
		n.mu.Unlock()
		return ErrRefused
	}
	n.waiting = append(n.waiting, c)
	n.queued += c.size()
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case err := <-c.done:
			return err
		case <-ctx.Done():
			return n.abandon(c)
		case <-look.C:
			if !n.Answers() {
				return n.abandon(c)
			}
		}
	}
}

// Healthy reports whether the store takes appends: not if it has lately refused
// one or does not answer.
func (n *Intake) Healthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.away() && (!n.lastBad.After(n.lastGood) || n.set.Now().Sub(n.lastBad) > badTime)
}

// Answers reports whether an answer may still be waited for.
func (n *Intake) Answers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.away()
}

// away reports whether an append has been without an answer for too long. The
// lock is held.
func (n *Intake) away() bool {
	if n.sentAt.IsZero() {
		return false
	}
	now := n.set.Now()
	under := now.Sub(n.sentAt)
	return under > stuckAfter || (under > awayAfter && now.Sub(n.set.Answered()) > awayAfter)
}

// abandon gives up a call: it was not stored if it has not been sent yet.
func (n *Intake) abandon(c *call) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, x := range n.waiting {
		if x == c {
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			n.queued -= c.size()
			return ErrRefused
		}
	}
	select {
	case err := <-c.done:
		return err
	default:
		return ErrUnknown
	}
}

// Run appends until ctx ends.
func (n *Intake) Run(ctx context.Context) {
	w := n.writer(0)
	for lives := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		for {
			calls, records := n.take()
			if len(calls) == 0 {
				break
			}
			_, err := w.Append(ctx, records)
			n.finish(calls, err)
			var refused *ledger.RefusedError
			if err != nil && !errors.As(err, &refused) {
				// The producer's numbers are out of step with the store's.
				w = n.writer(lives)
				lives++
			}
		}
	}
}

func (n *Intake) writer(life int) *ledger.Writer {
	w := ledger.NewWriter(n.set.Log, ledger.Producer{Name: fmt.Sprintf("%s-%d", n.set.Name, life), Epoch: 1}, 0, n.set.Now)
	w.Unsure = n.set.Unsure
	return w
}

func (n *Intake) take() ([]*call, []ledger.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var records []ledger.Record
	size, used := 0, 0
	for _, c := range n.waiting {
		if used > 0 && size+c.size() > maxBytes {
			break
		}
		size += c.size()
		records = append(records, c.records...)
		used++
	}
	calls := n.waiting[:used:used]
	n.waiting = append([]*call(nil), n.waiting[used:]...)
	n.queued -= size
	if used > 0 {
		n.sentAt = n.set.Now()
	}
	return calls, records
}

func (n *Intake) finish(calls []*call, err error) {
	n.mu.Lock()
	n.sentAt = time.Time{}
	if err == nil {
		n.lastGood = n.set.Now()
	} else {
		n.lastBad = n.set.Now()
	}
	n.mu.Unlock()
	var refused *ledger.RefusedError
	switch {
	case errors.As(err, &refused):
		err = ErrRefused
	case err != nil:
		err = ErrUnknown
	}
	for _, c := range calls {
		c.done <- err
	}
}
