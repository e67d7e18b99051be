package main

import (
	"testing"

	"github.com/matryer/is"
)

func TestParseList(t *testing.T) {
	is := is.New(t)
	got, err := parseList(`# Known failures.

./internal/state/work TestOne
    go test -run TestOne ./internal/state/work, seed 20261204
	two tasks ran; issue 19

./cmd/tool TestTable/case_(a|b)/x#01
    issue 20
`)
	is.NoErr(err)
	is.Equal(got, []entry{
		{Line: 3, Dir: "./internal/state/work", Test: "TestOne", Text: []string{"go test -run TestOne ./internal/state/work, seed 20261204", "two tasks ran; issue 19"}},
		{Line: 7, Dir: "./cmd/tool", Test: "TestTable/case_(a|b)/x#01", Text: []string{"issue 20"}},
	})
}

func TestParseListRejectsInvalidEntries(t *testing.T) {
	const why = "\n  issue 19\n"
	tests := []struct{ name, text, want string }{
		{"text before entry", "  issue 19\n", `KNOWN-RED.txt:1: indented line without an entry above it`},
		{"package only", "./a" + why, `KNOWN-RED.txt:1: got "./a", want a package and a test`},
		{"three fields", "./a TestOne TestTwo" + why, `KNOWN-RED.txt:1: got "./a TestOne TestTwo", want a package and a test`},
		{"import path", "example.com/a TestOne" + why, `KNOWN-RED.txt:1: package "example.com/a" is not of the form ./directory`},
		{"all packages", "./... TestOne" + why, `KNOWN-RED.txt:1: package "./..." is not of the form ./directory`},
		{"outside", "./../a TestOne" + why, `KNOWN-RED.txt:1: package "./../a" is not of the form ./directory`},
		{"not clean", "./a/ TestOne" + why, `KNOWN-RED.txt:1: package "./a/" is not of the form ./directory`},
		{"no test", "./a helper" + why, `KNOWN-RED.txt:1: test "helper" is not of the form TestName or TestName/subtest`},
		{"pattern", "./a .*" + why, `KNOWN-RED.txt:1: test ".*" is not of the form TestName or TestName/subtest`},
		{"empty subtest", "./a TestOne/" + why, `KNOWN-RED.txt:1: test "TestOne/" is not of the form TestName or TestName/subtest`},
		{"no explanation", "./a TestOne\n./a TestTwo" + why, `KNOWN-RED.txt:1: ./a TestOne has no explanation`},
		{"twice", "./a TestOne" + why + "./a TestOne" + why, `KNOWN-RED.txt:3: ./a TestOne overlaps with line 1`},
		{"subtest of entry", "./a TestOne" + why + "./a TestOne/x" + why, `KNOWN-RED.txt:3: ./a TestOne/x overlaps with line 1`},
		{"parent of entry", "./a TestOne/x" + why + "./a TestOne" + why, `KNOWN-RED.txt:3: ./a TestOne overlaps with line 1`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, err := parseList(tt.text)
			is.True(err != nil)
			is.Equal(err.Error(), tt.want)
		})
	}
}

func TestPatternIsAnchored(t *testing.T) {
	is := is.New(t)
	is.Equal(pattern("TestOne"), `^TestOne$`)
	is.Equal(pattern("TestOne/a.b/(x|y)"), `^TestOne$/^a\.b$/^\(x\|y\)$`)
}
