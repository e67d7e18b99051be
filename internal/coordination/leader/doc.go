// Package leader schedules the work of one failure domain and assigns the
// domain's minions to entry instances. Every entry instance of the domain holds
// a Domain, which replicates the domain's state from its stream in the log. One
// of them is the leader at a time; it decides what the workers run and which
// instance owns each minion.
//
// election.go acquires the leadership and extends it, leadership.go holds the
// state that only a leader has, batch.go builds the batches of records,
// commit.go acts on batches that have taken effect, session.go synchronizes
// with one worker, owners.go assigns minions to instances, submit.go appends
// the records of jobs, cancellations and members, and worker.go defines the
// calls to workers.
//
// A record takes effect when it is read back from the log and the state machine
// in package work accepts it; late and repeated records are ignored.
//
// Invariants: a start is sent only after its record has taken effect and while
// the leader lease is valid. A worker gets new work only after it has reported
// to the current leader what it runs. A task of an exclusive job is assigned to
// another worker only after its worker has reported that it no longer runs, or
// after its lease has certainly expired.
package leader
