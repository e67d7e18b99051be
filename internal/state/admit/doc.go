// Package admit decides which calls are refused, and what their callers are told.
// It does no input or output.
package admit
