// Package wire serves the stand-ins for store, workers and placement service
// over HTTP, with the paths and fields of the users' platform, so that separate
// processes can run against them.
package wire
