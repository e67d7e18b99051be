// Package fleet is a stand-in for the platform's workers in one process. It
// holds leases and fences as they do, and notes each promise that is broken.
package fleet
