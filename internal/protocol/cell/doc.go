// Package cell is the client and the server of the calls between the instances
// of a site, which is one deployment on the users' platform.
package cell
