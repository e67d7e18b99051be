// Package place decides which pending tasks start on which worker. An Engine
// holds the workers and the queue of one failure domain in memory. Its methods
// only decide: they take the present time as an argument and do no I/O.
//
// queue.go orders the pending items by class, age and the tenants' fair shares,
// fit.go chooses workers, reservation.go reserves capacity for items that smaller
// ones would otherwise starve, attribution.go attributes failures to workers or
// to jobs.
package place
