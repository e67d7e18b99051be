// Package sites runs instances of a site in one process, over the stand-ins for
// store and workers, in virtual time as well as in real time. Tests and the
// try-out share it.
package sites
