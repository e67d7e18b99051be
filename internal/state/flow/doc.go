// Package flow holds the model of jobs that consist of steps: the specification
// that a caller submits, the progress of its tasks, the stored forms of both, and
// an index by job ID for the processes that answer callers. All times are Unix
// milliseconds unless a field says otherwise.
package flow
