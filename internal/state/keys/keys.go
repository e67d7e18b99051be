package keys

import (
	"crypto/sha256"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Bounds are the platform's bounds on how long an earlier configuration may be
// used. The zero value sets none.
type Bounds struct {
	// Strict is set if a key must not be accepted for a request that was sent
	// later than Revoke after the removal of the key.
	Strict bool
	Revoke time.Duration
	// Apply is the time after which a new key must not be rejected; 0 if there is
	// no such bound.
	Apply time.Duration
}

// Numerator and denominator of the part of a bound for which a proof is used. The
// rest covers differences between the rates of clocks.
const leaseNum, leaseDenom = 4, 5

// acceptLease returns the age from which on a proof no longer permits a key of the
// configuration.
func (b Bounds) acceptLease() time.Duration { return b.Revoke / leaseDenom * leaseNum }

// rejectLease returns the age from which on a proof no longer shows that a key is
// not in the newest configuration. It returns 0 if a proof of any age does.
func (b Bounds) rejectLease() time.Duration {
	switch {
	case b.Apply <= 0 && !b.Strict:
		return 0
	case b.Apply <= 0:
		return b.acceptLease()
	case b.Revoke <= 0:
		return b.Apply / leaseDenom * leaseNum
	}
	return min(b.Apply, b.Revoke) / leaseDenom * leaseNum
}

// Proof is the evidence that a configuration was the newest at a time. The zero
// value is none.
type Proof struct {
	Valid bool
	// SentAt is a time before the read of the configuration log was sent that
	// showed no newer configuration.
	SentAt time.Duration
}

// Age returns the age of the proof at the time now, and whether there is one. A
// proof from the future comes from a clock that can't be read, and is none.
func (p Proof) Age(now time.Duration) (time.Duration, bool) {
	age := now - p.SentAt
	return age, p.Valid && age >= 0
}

// fresh reports whether there is a proof that is younger than the lease.
func (p Proof) fresh(now, lease time.Duration) bool {
	age, ok := p.Age(now)
	return ok && age < lease
}

// Table finds customers by key in one configuration. It is immutable.
type Table struct {
	Config *flow.Config
	// customers are by hash of the key, so that the time of a look-up tells nothing
	// about the keys.
	customers map[[sha256.Size]byte]*flow.Customer
}

// NewTable returns the table of a configuration. A key that several customers have
// is that of the first.
func NewTable(cfg *flow.Config) *Table {
	t := &Table{Config: cfg, customers: map[[sha256.Size]byte]*flow.Customer{}}
	for i := range cfg.Customers {
		for _, key := range cfg.Customers[i].Keys {
			hash := sha256.Sum256([]byte(key))
			if t.customers[hash] == nil {
				t.customers[hash] = &cfg.Customers[i]
			}
		}
	}
	return t
}

// View is a configuration with the proof for it. Both have to be loaded together:
// a proof holds for no earlier configuration than its own.
type View struct {
	*Table
	Proof Proof
}

// Outcome says whether a call may be executed.
type Outcome uint8

// Outcomes of Decide.
const (
	Open         Outcome = iota // the queue needs no key
	Accepted                    // the key is that of a customer
	Unauthorized                // the key is missing or not in the configuration
	Unproven                    // the configuration may be too old to decide
)

var outcomeNames = [...]string{Open: "open", Accepted: "accepted", Unauthorized: "unauthorized", Unproven: "unproven"}

// String returns the outcome's name, for metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Decision is the result of Decide.
type Decision struct {
	Outcome Outcome
	// Customer has the key. It is nil if none has. An unproven call may be that of
	// another customer.
	Customer *flow.Customer
	// MayBeCustomer is set if the outcome is Open and the call carries a key of
	// which it is not known whose it is.
	MayBeCustomer bool
}

// Refused reports whether the call must not be executed.
func (d Decision) Refused() bool { return d.Outcome == Unauthorized || d.Outcome == Unproven }

// Caller returns who makes the call.
func (d Decision) Caller(cfg *flow.Config) Caller {
	by := Caller{Check: cfg.CustomersOn}
	if d.Customer != nil && !d.Refused() {
		by.Customer = d.Customer.Name
	}
	return by
}

// Decide decides on a call of a queue of the configuration that carries key, or
// none if key is empty. The time now must have been read after the whole request
// had arrived, and after v had been loaded. A queue that is open needs no key; one
// that is sent nevertheless gives access to the jobs of its customer.
func (v *View) Decide(q *flow.Queue, key string, now time.Duration, b Bounds) Decision {
	if !v.Config.CustomersOn {
		return Decision{Outcome: Open}
	}
	d := Decision{Outcome: Unauthorized}
	if key != "" {
		d = v.find(key, now, b)
	}
	if !q.Open {
		return d
	}
	if d.Outcome == Accepted {
		return Decision{Outcome: Open, Customer: d.Customer}
	}
	return Decision{Outcome: Open, MayBeCustomer: d.Outcome == Unproven}
}

func (v *View) find(key string, now time.Duration, b Bounds) Decision {
	if c := v.customers[sha256.Sum256([]byte(key))]; c != nil {
		if b.Strict && !v.Proof.fresh(now, b.acceptLease()) {
			return Decision{Outcome: Unproven, Customer: c}
		}
		return Decision{Outcome: Accepted, Customer: c}
	}
	if lease := b.rejectLease(); lease > 0 && !v.Proof.fresh(now, lease) {
		return Decision{Outcome: Unproven}
	}
	return Decision{Outcome: Unauthorized}
}

// Serves reports whether any call can be executed at the time now: no key is
// needed, a queue is open, or the proof permits the keys of the configuration.
func (v *View) Serves(now time.Duration, b Bounds) bool {
	if !v.Config.CustomersOn || !b.Strict || len(v.Config.Queues) == 0 || v.Proof.fresh(now, b.acceptLease()) {
		return true
	}
	for i := range v.Config.Queues {
		if v.Config.Queues[i].Open {
			return true
		}
	}
	return false
}

// Caller is who makes a call about a job. The zero value, for operators and for
// configurations without customers, has access to all jobs.
type Caller struct {
	Customer string // empty if there is none
	Check    bool   // the caller has no access to the jobs of other customers
}

// HasAccess reports whether the caller has access to a job of the given customer,
// which is empty if the job has none.
func (c Caller) HasAccess(customer string) bool {
	return !c.Check || customer == "" || customer == c.Customer
}
