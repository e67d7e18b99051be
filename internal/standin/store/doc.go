// Package store is a stand-in for the platform's store in one process: a keyed
// log with fenced producers, and the troubles that the real one may have. It
// runs in virtual time as well as in real time.
package store
