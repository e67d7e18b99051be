// Package intake stores what callers hand in. Calls that arrive while the store
// is busy with an earlier append go out together in the next one.
package intake
