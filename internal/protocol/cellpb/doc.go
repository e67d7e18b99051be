// Package cellpb is generated from cell.proto: the calls between the instances
// of a site.
package cellpb
