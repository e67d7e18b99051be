// Package core runs one instance of the system: it replays and follows the
// ledger (the shared log of keyed records), takes part in leader election,
// answers calls about jobs, and carries out the decisions of package sched
// while this instance leads.
//
// The leader is the instance whose claim has the highest term in the ledger.
// All leaders append claims and decisions as one producer, with the term as its
// epoch, so the store refuses every later append of an earlier leader. The term
// is also the fencing token of orders to workers.
package core
