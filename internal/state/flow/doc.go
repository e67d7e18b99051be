// Package flow holds the model of jobs made of steps: what a caller submits,
// how far its tasks are, the records that both are stored as, and an index by
// job for the processes that answer callers. All times are Unix milliseconds
// unless a field says otherwise.
package flow
