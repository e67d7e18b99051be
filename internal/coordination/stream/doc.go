// Package stream keeps folds of streams in the store. A Follower applies one
// stream's records in order to a fold, starts from the newest snapshot where the
// beginning has expired, and appends snapshots before it expires. An Appender
// gathers records of many callers into few appends.
//
// A record that was appended may stand in the log although the answer was an
// error, and may stand there twice after a retry. Every fold of this project
// therefore tells a repeated record from a new one by its content, and whoever
// appends learns the result by reading the log, not from the append's answer.
package stream
