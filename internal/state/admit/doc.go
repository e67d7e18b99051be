// Package admit decides what callers are told whose call was not carried out.
// It has no state and does no input or output.
package admit
