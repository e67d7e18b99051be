package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"slices"
	"strings"
)

// runner runs the tests of a module.
type runner struct {
	dir     string
	w       io.Writer
	entries []entry
}

// resolve sets the import paths of the entries.
func (r *runner) resolve() error {
	for i := range r.entries {
		e := &r.entries[i]
		paths, err := r.list(e.Dir)
		if err != nil {
			return fmt.Errorf("%s:%d: %w", listFile, e.Line, err)
		}
		if len(paths) != 1 {
			return fmt.Errorf("%s:%d: %s is %d packages, want 1", listFile, e.Line, e.Dir, len(paths))
		}
		e.ImportPath = paths[0]
	}
	return nil
}

// list returns the import paths of the packages.
func (r *runner) list(packages ...string) ([]string, error) {
	cmd := exec.Command("go", append([]string{"list"}, packages...)...)
	cmd.Dir = r.dir
	out, err := cmd.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return nil, fmt.Errorf("go list: %w: %s", err, bytes.TrimSpace(exit.Stderr))
	}
	if err != nil {
		return nil, err
	}
	return strings.Fields(string(out)), nil
}

// runOthers runs go test with the arguments, without the listed tests. The flag
// -skip applies to all packages of a command, so each package with listed tests
// has its own.
func (r *runner) runOthers(args []string) error {
	var flags, packages []string
	for _, a := range args {
		if strings.HasPrefix(a, "-") {
			flags = append(flags, a)
		} else {
			packages = append(packages, a)
		}
	}
	paths, err := r.list(packages...)
	if err != nil {
		return err
	}
	skip := map[string][]string{}
	for _, e := range r.entries {
		if slices.Contains(paths, e.ImportPath) {
			skip[e.ImportPath] = append(skip[e.ImportPath], pattern(e.Test))
		}
	}
	if len(skip) == 0 {
		return r.test(args)
	}
	var errs []error
	rest := slices.DeleteFunc(slices.Clone(paths), func(p string) bool { return skip[p] != nil })
	if len(rest) > 0 {
		errs = append(errs, r.test(slices.Concat(flags, rest)))
	}
	for _, p := range paths {
		if skip[p] != nil {
			errs = append(errs, r.test(slices.Concat(flags, []string{"-skip=" + strings.Join(skip[p], "|"), p})))
		}
	}
	return errors.Join(errs...)
}

func (r *runner) test(args []string) error {
	cmd := exec.Command("go", append([]string{"test"}, args...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = r.dir, r.w, r.w
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}

// runListed runs each listed test by itself and prints its result.
func (r *runner) runListed() error {
	var errs []error
	for _, e := range r.entries {
		result, output, err := r.runAlone(e)
		if err != nil {
			return err
		}
		fmt.Fprintf(r.w, "%s %s: %s\n", e.Dir, e.Test, result)
		for _, line := range e.Text {
			fmt.Fprintf(r.w, "    %s\n", line)
		}
		if result == notRun {
			errs = append(errs, fmt.Errorf("%s:%d: no test %s ran in %s", listFile, e.Line, e.Test, e.Dir))
		}
		if result == stillFails || result == notRun {
			for _, line := range strings.Split(strings.TrimSpace(output), "\n") {
				fmt.Fprintf(r.w, "    | %s\n", line)
			}
		}
	}
	return errors.Join(errs...)
}

// The results of a listed test.
const (
	stillFails = "known failure, still fails"
	nowPasses  = "known failure, now passes: remove it from " + listFile
	skipped    = "known failure, skipped by the test"
	notRun     = "not run"
)

// runAlone runs a listed test in a process of its own, so that a panic ends no
// other test.
func (r *runner) runAlone(e entry) (result, output string, err error) {
	cmd := exec.Command("go", "test", "-json", "-count=1", "-run="+pattern(e.Test), e.ImportPath)
	cmd.Dir = r.dir
	data, err := cmd.Output()
	failed := err != nil
	var exit *exec.ExitError
	if failed && !errors.As(err, &exit) {
		return "", "", err
	}
	var text strings.Builder
	result = notRun
	for dec := json.NewDecoder(bytes.NewReader(data)); ; {
		var event struct{ Action, Test, Output string }
		err := dec.Decode(&event)
		if err == io.EOF {
			return result, text.String(), nil
		}
		if err != nil {
			return "", "", fmt.Errorf("go test -json of %s: %w", e.ImportPath, err)
		}
		text.WriteString(event.Output)
		switch {
		case event.Test != e.Test:
		case event.Action == "run" && failed:
			result = stillFails
		case event.Action == "run":
			result = nowPasses
		case event.Action == "skip" && !failed:
			result = skipped
		}
	}
}
