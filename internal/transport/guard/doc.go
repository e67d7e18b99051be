// Package guard applies the decisions of package limit to HTTP servers: it closes
// connections above their limit, reads each request body whole and within the
// budget before the handler runs, and sets the servers' timeouts.
//
// listen.go has the connections, body.go the bodies, peers.go the rule for calls of
// other instances, slots.go the limit of bodies that are decoded at a time.
package guard
