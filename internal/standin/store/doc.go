// Package store is an in-memory stand-in for the platform's store: a keyed log
// with fenced producers, which injects the faults that the real store may have.
// It works in virtual time and in real time.
package store
