// Package ledger reads and writes the records that must outlive every process.
// They are in a keyed log in the platform's store, which fenced producers
// append to and every instance reads. A reader starts with the newest record of
// each key and then follows the log.
package ledger
