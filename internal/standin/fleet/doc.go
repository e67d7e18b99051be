// Package fleet is an in-memory stand-in for the platform's workers. Like them,
// it ends runs whose lease expires and rejects orders with an older fencing
// token. It records each violation of the scheduler's invariants.
package fleet
