// Package sched decides for the leader which task starts where and when, what
// is stopped, and what is known of the workers. It does no input or output: its
// methods take what happened with the present time and leave orders, questions
// and records to write in an Output.
//
// A start is recorded before it is ordered, and the end of a run is recorded
// before it is acknowledged to the worker. A task runs again only when its
// former run has certainly ended: the worker listed the end, lists the run no
// more though no order for it is under way, or its lease has lapsed.
package sched
