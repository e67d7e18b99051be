// Package roles decides which instances hold the whole state.
//
// An instance that holds the state, a replica, reads every record of the
// ledger, answers questions about jobs and may lead. Each replica costs the
// store's read bandwidth as much as all jobs write, so on a site with many
// instances only some are replicas; the others pass their callers' calls on to
// one.
package roles
