package ledger

import (
	"context"
	"fmt"
	"time"
)

// Record is a keyed record. A nil Value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Producer identifies the writer of an append. The store rejects an epoch lower
// than the highest one of the same name. It answers a repeated sequence number
// as it did the first time, and does not append again. Without a name, appends
// are neither fenced nor deduplicated: a repeated append is in the log twice.
type Producer struct {
	Name  string
	Epoch int64
}

// Page is a sequence of consecutive records of the log.
type Page struct {
	FirstOffset int64 // offset of the first record
	LogEnd      int64 // offset after the last record of the log
	Records     []Record
}

// NewestPage is one page of the newest record of each key, sorted by key. The
// pages of one listing are read one after another, so together they are not a
// consistent snapshot.
type NewestPage struct {
	Records []Record
	LastKey string // the next page begins after this key
	More    bool   // there are keys after LastKey
	LogEnd  int64  // offset after the last record of the log
}

// Log holds the calls to the store's log. Where the outcome of a call is known,
// the error is one of the error types of this package. After any other error the
// outcome is unknown.
type Log struct {
	// Append appends all records or none and returns the offset after the last.
	Append func(ctx context.Context, p Producer, seq int64, records []Record) (int64, error)
	// Read returns the records from offset from on, up to some maxBytes of them.
	// If there are none, it waits for the first one up to the given time.
	Read func(ctx context.Context, from int64, maxBytes int, wait time.Duration) (Page, error)
	// ReadNewest returns the page of keys after the given one; "" is before all
	// keys.
	ReadNewest func(ctx context.Context, after string) (NewestPage, error)
}

// RefusedError is the error of a call that the store certainly did not carry
// out.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "the store refused: " + e.Reason }

// FencedError is the error of an append under an epoch lower than the current
// one of the producer. It holds the current one.
type FencedError struct{ Epoch int64 }

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("fenced: epoch %d is in force", e.Epoch)
}

// SequenceError is the error of an append under a sequence number other than
// the one that the store expects from the producer.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d", e.Expected)
}

// ExpiredError is the error of a read of records that the log no longer
// retains. It holds the offset of the oldest retained record.
type ExpiredError struct{ OldestOffset int64 }

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records before offset %d have expired", e.OldestOffset)
}
