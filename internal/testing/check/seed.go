package check

import (
	"flag"
	"testing"
)

// defaultSeed is the seed of the stateful tests unless the command line sets
// one, so that every run has the same result.
const defaultSeed = "20261204"

// FixSeed sets the seed of rapid's tests to a fixed value unless the command
// line sets one. It does nothing in a test program without rapid.
func FixSeed(t *testing.T) {
	t.Helper()
	f := flag.Lookup("rapid.seed")
	if f == nil || f.Value.String() != "0" {
		return
	}
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		t.Fatal(err)
	}
}
