package check

import (
	"os"
	"strings"
	"testing"
)

// Markers around the part of a page that a test generates.
const (
	tableBegin = "<!-- measured -->\n"
	tableEnd   = "<!-- end -->\n"
)

// Table fails the test if the generated part of a page differs from text, which
// the test has computed and which must be the same in every run. With -update
// it rewrites that part of the page instead.
func Table(t *testing.T, page, text string) {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok1 := strings.Cut(string(data), tableBegin)
	old, after, ok2 := strings.Cut(rest, tableEnd)
	if !ok1 || !ok2 {
		t.Fatalf("%s: markers of the generated part not found", page)
	}
	if old == text {
		return
	}
	if !*update {
		t.Errorf("%s: generated part: got\n%s\nwant\n%s", page, text, old)
		return
	}
	if err := os.WriteFile(page, []byte(before+tableBegin+text+tableEnd+after), 0o644); err != nil {
		t.Fatal(err)
	}
}
