// Package leader keeps the work of one failure domain. Every entry instance of
// the domain holds a Domain, which follows the domain's stream; one of them
// leads at a time and decides what its workers run and who owns its minions.
//
// claim.go gains and keeps the leadership, leadership.go holds what only a leader
// knows, decide.go builds the batches of records, commit.go acts on them once
// the log has confirmed them, link.go talks to one worker, owners.go hands
// minions to instances, submit.go brings jobs and cancellations to the log.
//
// Invariants: a start is sent only after its record counts in the log and while
// the right to lead holds; a worker gets new work only after it has told the
// present leader what it runs; an exclusive task is given to another worker
// only after its worker reported its end or its lease has certainly lapsed.
package leader
