package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
)

// entry is a known failure: a test and why it is listed.
type entry struct {
	Line       int
	Dir        string // directory of the package, as "./internal/state/work"
	Test       string // full name, as "TestName" or "TestName/subtest"
	Text       []string
	ImportPath string
}

// readList reads the list in the root of a module. A module without the file
// has no known failures.
func readList(root string) ([]entry, error) {
	data, err := os.ReadFile(filepath.Join(root, listFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseList(string(data))
}

// parseList parses a list. Lines that start with # are comments.
func parseList(text string) ([]entry, error) {
	var entries []entry
	for i, line := range strings.Split(text, "\n") {
		switch content := strings.TrimSpace(line); {
		case content == "" || line[0] == '#':
		case line[0] == ' ' || line[0] == '\t':
			if len(entries) == 0 {
				return nil, fmt.Errorf("%s:%d: indented line without an entry above it", listFile, i+1)
			}
			last := &entries[len(entries)-1]
			last.Text = append(last.Text, content)
		default:
			e, err := parseEntry(content)
			if err != nil {
				return nil, fmt.Errorf("%s:%d: %w", listFile, i+1, err)
			}
			e.Line = i + 1
			entries = append(entries, e)
		}
	}
	for i, e := range entries {
		if len(e.Text) == 0 {
			return nil, fmt.Errorf("%s:%d: %s %s has no explanation", listFile, e.Line, e.Dir, e.Test)
		}
		for _, other := range entries[:i] {
			if other.Dir == e.Dir && (covers(other.Test, e.Test) || covers(e.Test, other.Test)) {
				return nil, fmt.Errorf("%s:%d: %s %s overlaps with line %d", listFile, e.Line, e.Dir, e.Test, other.Line)
			}
		}
	}
	return entries, nil
}

var testName = regexp.MustCompile(`^(Test|Fuzz|Example)[^/]*(/[^/]+)*$`)

func parseEntry(line string) (entry, error) {
	fields := strings.Fields(line)
	if len(fields) != 2 {
		return entry{}, fmt.Errorf("got %q, want a package and a test", line)
	}
	dir, test := fields[0], fields[1]
	if strings.Contains(dir, "..") || dir != "./"+path.Clean(strings.TrimPrefix(dir, "./")) {
		return entry{}, fmt.Errorf("package %q is not of the form ./directory", dir)
	}
	if !testName.MatchString(test) {
		return entry{}, fmt.Errorf("test %q is not of the form TestName or TestName/subtest", test)
	}
	return entry{Dir: dir, Test: test}, nil
}

// covers reports whether skipping a test skips the other one.
func covers(test, other string) bool {
	return test == other || strings.HasPrefix(other, test+"/")
}

// pattern returns a pattern for -run and -skip that matches only the test and
// its subtests.
func pattern(test string) string {
	elems := strings.Split(test, "/")
	for i, elem := range elems {
		elems[i] = "^" + regexp.QuoteMeta(elem) + "$"
	}
	return strings.Join(elems, "/")
}
