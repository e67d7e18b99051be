// Package ledger keeps the records that must outlive every process: a keyed log
// in the platform's store, written by fenced producers and read by everybody.
// A reader begins with the newest record of each key and then follows the log.
package ledger
