package ledger

import (
	"context"
	"fmt"
	"time"
)

// Record is one keyed record. A nil Value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Producer is the identity under which appends are made. The store refuses an
// epoch lower than one that it has seen from the same name, and answers a
// repeated sequence number as it did at first. Without a name there is none of
// that: a repeated append stands in the log twice.
type Producer struct {
	Name  string
	Epoch int64
}

// Page is a run of consecutive records.
type Page struct {
	From    int64 // offset of the first record
	End     int64 // offset after the last record of the log
	Records []Record
}

// Snapshot is one page of the newest record of each key.
type Snapshot struct {
	Records []Record
	LastKey string // where the next page begins
	More    bool
	End     int64 // offset after the last record of the log
}

// Log is the store's log as functions. Each error is one of this package's or,
// when the outcome is not known, any other.
type Log struct {
	// Append adds all records or none and gives the offset after the last.
	Append func(ctx context.Context, p Producer, seq int64, records []Record) (int64, error)
	// Read waits up to wait for the first record.
	Read func(ctx context.Context, from int64, wait time.Duration) (Page, error)
	// Newest gives the page of keys after the given one.
	Newest func(ctx context.Context, after string) (Snapshot, error)
}

// RefusedError says that the store certainly did nothing.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "the store refused: " + e.Reason }

// FencedError says that a higher epoch of the same producer is in force.
type FencedError struct{ Epoch int64 }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fenced: epoch %d is in force", e.Epoch)
}

// SequenceError says that the store expects another sequence number.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}

// ExpiredError says that the records asked for are no longer kept.
type ExpiredError struct{ First int64 }

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records before offset %d have expired", e.First)
}
