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

// Table compares the generated part of a page with text, which must be the same in
// every run. With -update it rewrites the page instead.
func Table(t *testing.T, page, text string) {
	t.Helper()
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, ok1 := strings.Cut(string(data), tableBegin)
	old, after, ok2 := strings.Cut(rest, tableEnd)
	if !ok1 || !ok2 {
		t.Fatalf("%s: markers of the measured part not found", page)
	}
	if old == text {
		return
	}
	if !*update {
		t.Errorf("%s: measured part: want\n%s\ngot\n%s", page, text, old)
		return
	}
	if err := os.WriteFile(page, []byte(before+tableBegin+text+tableEnd+after), 0o644); err != nil {
		t.Fatal(err)
	}
}
