// Package route decides which minion serves which request next, for the minions
// that one entry instance owns. Pool tracks the minions, their free slots and
// their service times. Queue orders the waiting requests by class and tenant, and
// refuses early those that can't start in time. Budget limits retries. All of them
// only decide: the present time is an argument, and they do no I/O.
package route
