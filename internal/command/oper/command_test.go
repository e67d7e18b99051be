package oper

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// runMain runs a command with an empty environment and returns its exit code and
// outputs.
func runMain(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Main(args, IO{In: strings.NewReader(""), Out: &out, Err: &err})
	return code, out.String(), err.String()
}

func TestHelpPrintsTitleOnce(t *testing.T) {
	for _, c := range commands() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := runMain(c.name, "-h")
			is.Equal(code, ExitOK)
			is.Equal(stderr, "")
			is.Equal(strings.Count(stdout, "tamaracklink "+c.name+": "), 1)
		})
	}
}
