package intake

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Limits of the intake.
const (
	// unresponsiveAfter is how long an append may be unanswered, while the
	// store answers no other calls either, before the store counts as
	// unresponsive. Calls are then better served by another instance than by
	// waiting.
	unresponsiveAfter = 600 * time.Millisecond
	// stalledAfter is the same limit while the store answers other calls. An
	// append to a slow store takes about a second.
	stalledAfter = 1800 * time.Millisecond
	// checkInterval is the time between two checks of a waiting call whether
	// the store has become unresponsive.
	checkInterval = 100 * time.Millisecond
	// unhealthyPeriod is how long a failed append makes the store count as
	// unhealthy. It ends by time, because without further calls no append could
	// show that the store has recovered.
	unhealthyPeriod = time.Second
	maxWaitingCalls = 2000    // calls waiting for an append
	maxWaitingBytes = 8 << 20 // bytes of the records of waiting calls
	maxAppendBytes  = 1 << 20 // bytes of one append; the store accepts 2 MiB
)

// ErrNotStored means that the records are not stored and will not be.
var ErrNotStored = errors.New("record not stored")

// ErrOutcomeUnknown means that the records may have been stored or may still be
// stored.
var ErrOutcomeUnknown = errors.New("it is not known whether the record is stored")

// Settings configures an Intake. All fields must be set.
type Settings struct {
	Log          ledger.Log
	Name         string // producer name; unique to this process
	Now          func() time.Time
	OnUnanswered func(err error, tries int) // called for each append attempt without an answer
	// LastAnswer returns when the store last answered any call of this instance.
	LastAnswer func() time.Time
}

// Intake appends records for concurrent callers. Records of calls that wait at
// the same time share an append.
type Intake struct {
	settings Settings

	mu           sync.Mutex // guards the fields below but wake
	waiting      []*call
	waitingBytes int       // size of the waiting calls
	sentAt       time.Time // when the append under way was sent, zero if there is none
	lastSuccess  time.Time
	lastFailure  time.Time
	writer       *ledger.Writer // of the append under way
	wake         chan struct{}  // signals Run that calls wait
}

type call struct {
	records []ledger.Record
	done    chan error
}

// size returns the size of the call's records in bytes.
func (c *call) size() int {
	n := 0
	for _, r := range c.records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// New returns an Intake, which appends nothing until Run is called.
func New(settings Settings) *Intake {
	n := &Intake{settings: settings, wake: make(chan struct{}, 1)}
	n.writer = n.newWriter(0)
	return n
}

// RetryNow makes an append under way try again at once, as the store has shown
// that it answers.
func (n *Intake) RetryNow() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writer.RetryNow()
}

// Store appends the records and returns nil once they are stored. The error is
// ErrNotStored or ErrOutcomeUnknown. If ctx is done or the store becomes
// unresponsive first, it is ErrNotStored for records that have not been sent
// yet and ErrOutcomeUnknown for records in an append under way.
func (n *Intake) Store(ctx context.Context, records ...ledger.Record) error {
	c := &call{records: records, done: make(chan error, 1)}
	n.mu.Lock()
	if len(n.waiting) >= maxWaitingCalls || n.waitingBytes > maxWaitingBytes || n.unresponsive() {
		n.mu.Unlock()
		return ErrNotStored
	}
	n.waiting = append(n.waiting, c)
	n.waitingBytes += c.size()
	n.mu.Unlock()
	select {
	case n.wake <- struct{}{}:
	default:
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-c.done:
			return err
		case <-ctx.Done():
			return n.abandon(c)
		case <-ticker.C:
			if !n.Responsive() {
				return n.abandon(c)
			}
		}
	}
}

// Healthy reports whether the store accepts appends. It returns false while the
// store is unresponsive, and for unhealthyPeriod after a failed append if none
// has succeeded since.
func (n *Intake) Healthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.unresponsive() && (!n.lastFailure.After(n.lastSuccess) || n.settings.Now().Sub(n.lastFailure) > unhealthyPeriod)
}

// Responsive reports whether the store is responsive, so that waiting for an
// answer is worthwhile.
func (n *Intake) Responsive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.unresponsive()
}

// unresponsive reports whether an append has been unanswered for too long. The
// caller must hold the lock.
func (n *Intake) unresponsive() bool {
	if n.sentAt.IsZero() {
		return false
	}
	now := n.settings.Now()
	elapsed := now.Sub(n.sentAt)
	return elapsed > stalledAfter || (elapsed > unresponsiveAfter && now.Sub(n.settings.LastAnswer()) > unresponsiveAfter)
}

// abandon withdraws a call and returns its outcome. A call that still waits was
// not sent, so it is not stored.
func (n *Intake) abandon(c *call) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i, w := range n.waiting {
		if w == c {
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			n.waitingBytes -= c.size()
			return ErrNotStored
		}
	}
	select {
	case err := <-c.done:
		return err
	default:
		return ErrOutcomeUnknown
	}
}

// Run appends the records of waiting calls until ctx is done.
func (n *Intake) Run(ctx context.Context) {
	w := n.writer // no other goroutine replaces it
	for generation := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-n.wake:
		}
		for {
			calls, records := n.takeAppend()
			if len(calls) == 0 {
				break
			}
			_, err := w.Append(ctx, records)
			n.finish(calls, err)
			var refused *ledger.RefusedError
			if err != nil && !errors.As(err, &refused) {
				// The store may have counted the append's sequence number, so later
				// appends use a new producer name.
				w = n.newWriter(generation)
				generation++
				n.mu.Lock()
				n.writer = w
				n.mu.Unlock()
			}
		}
	}
}

func (n *Intake) newWriter(generation int) *ledger.Writer {
	w := ledger.NewWriter(n.settings.Log, ledger.Producer{Name: fmt.Sprintf("%s-%d", n.settings.Name, generation), Epoch: 1}, 0, n.settings.Now)
	w.OnUnanswered = n.settings.OnUnanswered
	return w
}

// takeAppend removes the calls of the next append from the waiting ones, up to
// maxAppendBytes but at least one, and returns them and their records.
func (n *Intake) takeAppend() ([]*call, []ledger.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var records []ledger.Record
	size, count := 0, 0
	for _, c := range n.waiting {
		if count > 0 && size+c.size() > maxAppendBytes {
			break
		}
		size += c.size()
		records = append(records, c.records...)
		count++
	}
	calls := n.waiting[:count:count]
	n.waiting = append([]*call(nil), n.waiting[count:]...)
	n.waitingBytes -= size
	if count > 0 {
		n.sentAt = n.settings.Now()
	}
	return calls, records
}

// finish records the outcome of an append and returns it to its calls.
func (n *Intake) finish(calls []*call, err error) {
	n.mu.Lock()
	n.sentAt = time.Time{}
	if err == nil {
		n.lastSuccess = n.settings.Now()
	} else {
		n.lastFailure = n.settings.Now()
	}
	n.mu.Unlock()
	var refused *ledger.RefusedError
	switch {
	case errors.As(err, &refused):
		err = ErrNotStored
	case err != nil:
		err = ErrOutcomeUnknown
	}
	for _, c := range calls {
		c.done <- err
	}
}
