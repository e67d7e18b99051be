// Package sched is the leader's scheduler. It decides which task starts on
// which worker and when, and which runs are stopped or preempted, and maintains
// the leader's view of the workers. It does no I/O and reads no clock: the
// calling code passes events and the present time to the methods of Engine,
// sends the orders, queries and probes in Output, and stores the changes in
// Batch.
//
// A start is stored before it is ordered, and the end of a run is stored before
// it is acknowledged to the worker. A task runs again only when its previous
// run has certainly ended: the worker reported the end, or it no longer lists
// the run and no order for the run is in flight, or its lease has expired.
package sched
