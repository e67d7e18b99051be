// Package cell carries calls between the instances of a site.
package cell
