package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"
)

// module has the failing tests listed in allRed.
const module = `
-- go.mod --
module example.com/m

go 1.26
-- a/a_test.go --
package a

import "testing"

func TestRed(t *testing.T)      { t.Error("red") }
func TestRedToo(t *testing.T)   { t.Error("red, too") }
func TestPanic(t *testing.T)    { panic("red") }
func TestGreen(t *testing.T)    {}
func TestSkipped(t *testing.T)  { t.Skip("not here") }
func TestTable(t *testing.T) {
	for _, name := range []string{"red", "red, too", "red.x", "green"} {
		t.Run(name, func(t *testing.T) {
			if name != "green" {
				t.Error(name)
			}
		})
	}
}
-- b/b_test.go --
package b

import "testing"

func TestRed(t *testing.T)   { t.Error("red") }
func TestGreen(t *testing.T) {}
-- c/c_test.go --
package c

import "testing"

func TestGreen(t *testing.T) {}
`

var allRed = []string{
	"./a TestRed", "./a TestRedToo", "./a TestPanic",
	"./a TestTable/red", "./a TestTable/red,_too", "./a TestTable/red.x",
	"./b TestRed",
}

// writeModule writes the module to a new directory. It skips the test in short
// mode, because building and running the module takes seconds.
func writeModule(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("runs go test")
	}
	// A toolchain may have flags that make the compiler print more.
	t.Setenv("GOFLAGS", "-buildvcs=false")
	is := is.New(t)
	dir := t.TempDir()
	for _, f := range txtar.Parse([]byte(module)).Files {
		name := filepath.Join(dir, f.Name)
		is.NoErr(os.MkdirAll(filepath.Dir(name), 0o755))
		is.NoErr(os.WriteFile(name, f.Data, 0o644))
	}
	return dir
}

// runWith runs the command with the entries as the list.
func runWith(t *testing.T, dir string, entries []string, args ...string) (string, error) {
	t.Helper()
	text := "# Known failures.\n"
	for _, e := range entries {
		text += e + "\n    issue 19\n"
	}
	is.New(t).NoErr(os.WriteFile(filepath.Join(dir, listFile), []byte(text), 0o644))
	var out strings.Builder
	err := run(dir, args, &out)
	return out.String(), err
}

func TestOnlyListedTestsArePassedOver(t *testing.T) {
	dir := writeModule(t)
	t.Run("all listed", func(t *testing.T) {
		is := is.New(t)
		out, err := runWith(t, dir, allRed, "go", "test", "./...")
		is.NoErr(err)
		for _, pkg := range []string{"a", "b", "c"} {
			is.True(strings.Contains(out, "ok  \texample.com/m/"+pkg+"\t"))
		}
	})
	for i, left := range allRed {
		t.Run("without "+left, func(t *testing.T) {
			is := is.New(t)
			var entries []string
			entries = append(entries, allRed[:i]...)
			entries = append(entries, allRed[i+1:]...)
			out, err := runWith(t, dir, entries, "go", "test", "-vet=off", "./a", "./b")
			is.True(err != nil)
			pkg, test, _ := strings.Cut(left, " ")
			is.True(strings.Contains(out, "--- FAIL: "+test+" "))
			is.True(strings.Contains(out, "FAIL\texample.com/m/"+pkg[2:]+"\t"))
		})
	}
	t.Run("other packages", func(t *testing.T) {
		is := is.New(t)
		out, err := runWith(t, dir, allRed[:1], "go", "test", "-short", "./c")
		is.NoErr(err)
		is.True(strings.HasPrefix(out, "ok  \texample.com/m/c\t"))
	})
}

func TestListedTestsRunByThemselves(t *testing.T) {
	dir := writeModule(t)
	is := is.New(t)
	out, err := runWith(t, dir, []string{"./a TestRed", "./a TestPanic", "./a TestGreen", "./a TestSkipped", "./a TestTable/red.x", "./a TestTable/green"})
	is.NoErr(err) // the result of a listed test does not matter
	for _, want := range []string{
		"./a TestRed: known failure, still fails\n    issue 19\n",
		"./a TestPanic: known failure, still fails\n",
		"./a TestGreen: known failure, now passes: remove it from KNOWN-RED.txt\n",
		"./a TestSkipped: known failure, skipped by the test\n",
		"./a TestTable/red.x: known failure, still fails\n",
		"./a TestTable/green: known failure, now passes: remove it from KNOWN-RED.txt\n",
		"    | --- FAIL: TestRed ",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("got output\n%s\nwant it to contain\n%s", out, want)
		}
	}
}

func TestEntryWithoutTestFails(t *testing.T) {
	dir := writeModule(t)
	for _, e := range []string{"./a TestRe", "./a TestTable/yellow", "./a TestGreen/red", "./b TestPanic", "./c TestRed", "./d TestRed"} {
		t.Run(e, func(t *testing.T) {
			is := is.New(t)
			_, err := runWith(t, dir, []string{e})
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), "KNOWN-RED.txt:2: "))
		})
	}
}

func TestEmptyListChangesNothing(t *testing.T) {
	is := is.New(t)
	dir := writeModule(t)
	out, err := runWith(t, dir, nil)
	is.NoErr(err)
	is.Equal(out, "")
	_, err = runWith(t, dir, nil, "go", "test", "./c")
	is.NoErr(err)
	_, err = runWith(t, dir, nil, "go", "test", "-run=Red$", "./b", "./c")
	is.True(err != nil)
	is.NoErr(os.Remove(filepath.Join(dir, listFile)))
	is.NoErr(run(dir, []string{"go", "test", "./c"}, &strings.Builder{}))
}

func TestOtherCommandIsRejected(t *testing.T) {
	is := is.New(t)
	err := run(t.TempDir(), []string{"go", "vet"}, &strings.Builder{})
	is.True(err != nil)
	is.Equal(err.Error(), `got command ["go" "vet"], want one that starts with go test`)
}
