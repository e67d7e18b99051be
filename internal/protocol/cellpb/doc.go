// Package cellpb holds the generated messages and the twirp service of the calls
// between the instances of a site. cell.proto is their source; package cell uses
// them.
package cellpb
