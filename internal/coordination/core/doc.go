// Package core is one instance's part in the whole system: it follows the
// ledger, takes part in choosing the leader, answers for jobs, and runs the
// decisions of package sched while this instance leads.
//
// The leader is whoever's claim with the highest term stands in the ledger. A
// claim is appended under the producer that leaders share, with the term as its
// epoch, so the store refuses every later append of an earlier leader. The term
// is also the fencing token of orders to workers.
package core
