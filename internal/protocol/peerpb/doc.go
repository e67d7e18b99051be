// Package peerpb holds the generated messages and the twirp service of the calls
// between entry instances. peer.proto is their source; package peer uses them.
package peerpb
