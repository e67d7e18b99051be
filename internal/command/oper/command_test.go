package oper

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/testing/ports"
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

// unreachableAddr returns an address on which nothing listens at the time of
// the call.
func unreachableAddr(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", ports.Free(t, 1))
}

func TestSubmitWithoutReplyPrintsID(t *testing.T) {
	is := is.New(t)
	addr := unreachableAddr(t)
	code, _, stderr := runMain("submit", "-addr", addr, "-tenant", "red", "-run", "10")
	is.Equal(code, ExitOutcomeUnknown)
	is.True(regexp.MustCompile(`job job-[0-9a-f]{16}: `).MatchString(stderr)) // the drawn ID
	code, _, stderr = runMain("submit", "-addr", addr, "-tenant", "red", "-run", "10", "-id", "own")
	is.Equal(code, ExitOutcomeUnknown)
	is.True(strings.Contains(stderr, "job own: "))
}

func TestUnknownMemberIsRefused(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, `{"code":"not-found","step":"bury member","peer":"x","errors":["no member \"e9\" in domain sfax"]}`)
	}))
	defer srv.Close()
	code, _, stderr := runMain("members", "-addr", srv.Listener.Addr().String(), "-dead", "e9", "-operator", "amal")
	is.Equal(code, ExitRefused)
	is.True(strings.Contains(stderr, `no member "e9" in domain sfax`))
}

func TestPatchExitCodes(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"changes":[]}`)
	}))
	defer srv.Close()
	tests := []struct {
		name, addr string
		code       int
		want       string
	}{
		{"unreachable instance", unreachableAddr(t), ExitFailed, "connection refused"},
		{"unknown version", srv.Listener.Addr().String(), ExitUsage, "version 7 is not in the history"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := runMain("patch", "-addr", tt.addr, "-undo", "7", "-base", "7", "-operator", "amal")
			is.Equal(code, tt.code)
			is.True(strings.Contains(stderr, tt.want))
		})
	}
	t.Run("missing file", func(t *testing.T) {
		is := is.New(t)
		code, _, _ := runMain("patch", "-file", t.TempDir()+"/none", "-base", "0", "-operator", "amal")
		is.Equal(code, ExitUsage)
	})
}

func TestSiteNamesAllowedLogLevels(t *testing.T) {
	for _, level := range []string{"loud", "trace", "3", "debug info"} {
		t.Run(level, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := runMain("site", "-log-level", level)
			is.Equal(code, ExitUsage)
			is.Equal(stdout, "")
			is.Equal(stderr, fmt.Sprintf("tamaracklink site: read flags (peer operator): log-level: value %q: allowed: debug, info, warn or error\n", level))
		})
	}
	for _, level := range []string{"debug", "info", "warn", "error"} {
		t.Run(level, func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := runMain("site", "-log-level", level)
			is.Equal(code, ExitUsage)
			is.True(strings.Contains(stderr, "must name the settings file")) // the next check
		})
	}
}
