// Package entry carries callers' requests to the minions that this instance
// owns. router.go holds the state of the minions and assigns their slots,
// attempt.go sends requests and decides about retries, forward.go exchanges
// free slots and requests with peers. load.go asks minions which requests they
// run. This distinguishes a dead connection from a slow answer, and prevents
// the reuse of a slot whose request may still run although nobody awaits its
// answer.
//
// Every request has one of three outcomes: it got a complete answer, it
// certainly was not run, or it is unknown whether it was run.
package entry
