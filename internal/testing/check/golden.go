package check

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"golang.org/x/tools/txtar"
)

var update = flag.Bool("update", false, "rewrite the golden files from what the code gives")

// Golden runs fn on each archive testdata/*.txtar in a subtest and fails the
// subtest if the result differs from the file "out" in the archive. With
// -update it rewrites "out" instead. An archive shows the whole input and
// output of a case.
func Golden(t *testing.T, fn func(t *testing.T, a *txtar.Archive) string) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no golden files testdata/*.txtar: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) { compareGolden(t, file, fn) })
	}
}

func compareGolden(t *testing.T, file string, fn func(t *testing.T, a *txtar.Archive) string) {
	a, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	got := strings.TrimSpace(fn(t, a)) + "\n"
	want := ArchiveFile(a, "out")
	if got == want {
		return
	}
	if !*update {
		t.Errorf("%s: got\n%s\nwant\n%s", file, got, want)
		return
	}
	replaceSection(a, "out", got)
	if err := os.WriteFile(file, txtar.Format(a), 0o644); err != nil {
		t.Fatal(err)
	}
}

// ArchiveFile returns the content of a file of the archive, or "" if there is
// none of that name.
func ArchiveFile(a *txtar.Archive, name string) string {
	for _, f := range a.Files {
		if f.Name == name {
			return string(f.Data)
		}
	}
	return ""
}

func replaceSection(a *txtar.Archive, name, text string) {
	for i := range a.Files {
		if a.Files[i].Name == name {
			a.Files[i].Data = []byte(text)
			return
		}
	}
	a.Files = append(a.Files, txtar.File{Name: name, Data: []byte(text)})
}
