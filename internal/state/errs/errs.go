// Package errs defines the structured errors of all layers. An Error names the
// step and the peer at which it arose and, for invalid input, the path, the value
// and what is allowed. A List collects several errors, so that a user sees all
// faults of an input at once.
//
// The state of the configuration holds error texts as the reasons of verdicts.
// Instances whose texts differ therefore hold different states.
package errs

import (
	"fmt"
	"strings"
)

// maxValueBytes is the number of bytes of an invalid value that a message repeats.
const maxValueBytes = 120

// Error is one failure. Empty fields are omitted from the message.
type Error struct {
	Step    string // the operation that failed, for example "check settings"
	Peer    string // the other party of the operation, for example "operator" or an address
	Path    string // path of the invalid field in the input, for example "tenants.club.share"
	Value   string // the invalid value; the message has at most maxValueBytes of it
	Allowed string // what is allowed, with its unit
	Err     error  // the cause, or nil
}

// At wraps err with the step and the peer at which it arose. It returns nil if err
// is nil.
func At(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// Error returns the message, "step (peer P): path: value V: allowed: A: cause"
// without the empty parts.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Step)
	if e.Peer != "" {
		fmt.Fprintf(&b, " (peer %s)", e.Peer)
	}
	if e.Path != "" {
		fmt.Fprintf(&b, ": %s", e.Path)
	}
	if e.Value != "" {
		fmt.Fprintf(&b, ": value %q", Shorten(e.Value))
	}
	if e.Allowed != "" {
		fmt.Fprintf(&b, ": allowed: %s", e.Allowed)
	}
	if e.Err != nil {
		fmt.Fprintf(&b, ": %v", e.Err)
	}
	return b.String()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Shorten returns s cut to maxValueBytes for messages and logs, with "..." appended
// if something was cut.
func Shorten(s string) string {
	if len(s) <= maxValueBytes {
		return s
	}
	return s[:maxValueBytes] + "..."
}

// List collects errors. The zero value is an empty list.
type List struct {
	Errors []*Error
}

// Add appends one error.
func (l *List) Add(e Error) { l.Errors = append(l.Errors, &e) }

// Err returns the list as an error, or nil if it is empty.
func (l *List) Err() error {
	if len(l.Errors) == 0 {
		return nil
	}
	return l
}

// Error returns the messages of all entries, one per line.
func (l *List) Error() string {
	lines := make([]string, 0, len(l.Errors))
	for _, e := range l.Errors {
		lines = append(lines, e.Error())
	}
	return strings.Join(lines, "\n")
}
