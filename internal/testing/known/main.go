// Command known runs the tests with those listed in KNOWN-RED.txt passed over.
// It is run in the root of the module.
//
//	known                 runs each listed test by itself and prints its result
//	known go test ARG...  runs this command without the listed tests
//
// An entry of the list is a line with the package and the test, and indented
// lines with the command and seed, what was seen and the issue:
//
//	./internal/state/work TestName/subtest
//	    go test -run '^TestName$/^subtest$' ./internal/state/work, seed 20261204
//	    runs a task twice after a restart; issue N
//
// The result of a listed test does not change the exit code, as it may be
// flaky. An invalid list and an entry without a test do. Of the go test flags,
// those with a value need the form -flag=value.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
)

const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(".", os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "known:", err)
		os.Exit(1)
	}
}

// run runs the command in args, or the listed tests if there is none, in the
// module in dir.
func run(dir string, args []string, w io.Writer) error {
	entries, err := readList(dir)
	if err != nil {
		return err
	}
	r := &runner{dir: dir, w: w, entries: entries}
	if err := r.resolve(); err != nil {
		return err
	}
	switch {
	case len(args) == 0:
		return r.runListed()
	case len(args) >= 2 && slices.Equal(args[:2], []string{"go", "test"}):
		return r.runOthers(args[2:])
	}
	return fmt.Errorf("got command %q, want one that starts with go test", args)
}
