// Package wire serves the stand-ins of the users' platform over HTTP, with the
// names of its pages, so that whole processes can run against them.
package wire
