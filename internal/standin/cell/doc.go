// Package cell runs a small cell in one process, for tests and the try command:
// entry instances, and stand-ins for the platform, the workers and the minions,
// connected over loopback TCP or an in-memory network. An Oracle checks what
// the workers and minions run against the system's invariants.
package cell
