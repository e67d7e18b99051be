// Package stream replicates state machines through streams in the store. A
// Follower applies one stream's records in order to a state machine. It starts
// from the newest snapshot where the first records have expired, and appends
// new snapshots before that happens. An Appender batches the records of many
// callers into few appends.
//
// An append that returned an error may have added its record all the same, and
// a retry may have added it twice. Every state machine therefore deduplicates
// records by their content, and callers learn the effect of a record by reading
// the log, not from the result of the append.
package stream
