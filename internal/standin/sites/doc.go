// Package sites runs the instances of a site in one process, over the stand-ins
// for the store and the workers. The instances reach each other by function
// calls. It works in virtual time and in real time; tests and the try command
// share it.
package sites
