package server_test

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"

	"github.com/tamaracklink/tamaracklink/internal/testing/check"
	"github.com/tamaracklink/tamaracklink/internal/testing/world"
	"github.com/tamaracklink/tamaracklink/internal/transport/server"
)

// TestBadInputIsReportedInFull sends the request of each archive unchanged but for
// CRLF line ends and compares the whole response. It guards against malformed
// input that is reported only in part, or that stops the instance from answering
// the next request.
func TestBadInputIsReportedInFull(t *testing.T) {
	check.Golden(t, func(t *testing.T, a *txtar.Archive) (out string) {
		world.Run(t, world.Config{Domains: []string{"sfax"}, Instances: 1, Minions: 1}, func(w *world.Simulation) {
			raw := strings.ReplaceAll(check.ArchiveFile(a, "request"), "\n", "\r\n")
			if body := check.ArchiveFile(a, "body"); body != "" {
				body = strings.TrimSpace(body)
				raw = strings.Replace(raw, "LENGTH", fmt.Sprint(len(body)), 1) + body
			}
			out = sendRaw(w, raw)
			reply := w.SendRequest(world.Request{Instance: "sfax-e1", Body: "still here", Idempotent: true})
			if reply.Outcome != "answered" {
				w.T.Errorf("valid request after the malformed one: got %+v, want outcome answered", reply)
			}
		})
		return out
	})
}

var variableParts = regexp.MustCompile(`(Date: .*\n)|(sfax-e1\.\d+\.[0-9a-f]+-\d+)|\r`)

// sendRaw sends raw bytes to the instance and returns what it answers within a
// minute, without the parts that differ between test runs.
func sendRaw(w *world.Simulation, raw string) string {
	dial := w.Net.Dialer("sfax")
	c, err := dial(w.T.Context(), "tcp", w.Instance("sfax-e1").Addr)
	if err != nil {
		w.T.Fatal(err)
	}
	defer c.Close()
	go func() { _, _ = c.Write([]byte(raw)) }()
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return variableParts.ReplaceAllString(b.String(), "")
}

// TestOversizedBodyIsRejected guards against a request body or a patch above the
// size limit that reaches a minion, or that is repeated in the error message.
func TestOversizedBodyIsRejected(t *testing.T) {
	world.Run(t, world.Config{Domains: []string{"sfax"}, Instances: 1, Minions: 1}, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		reply := w.SendRequest(world.Request{Instance: "sfax-e1", Body: strings.Repeat("x", 2<<20), Idempotent: true})
		is.Equal(reply.Outcome, "not-run")
		is.Equal(reply.Code, "body-too-large")
		code, body := w.Patch("sfax-e1", "big", 1, `{"tenants":{"x":{"share":1,"pad":"`+strings.Repeat("x", 2<<20)+`"}}}`)
		is.Equal(code, http.StatusBadRequest)
		is.True(len(body) < 1000)
		is.Equal(w.Minions["sfax-m1"].Counts().Started, 0)
	})
}

// TestCheckNamesEveryWrongSetting guards against a check that stops at the first
// wrong setting, so that an operator finds the others one start at a time.
func TestCheckNamesEveryWrongSetting(t *testing.T) {
	is := is.New(t)
	s := server.Defaults()
	is.True(s.Check() != nil)
	s.Instance, s.Domain, s.Listen, s.Platform = "Bad Name", "", "localhost:1", "10.0.0.1"
	s.LeaderLease = time.Nanosecond
	s.LogLevel = "loud"
	err := s.Check()
	for _, name := range []string{"instance", "domain", "listen", "platform", "lead", "log-level", "renew-every"} {
		is.True(strings.Contains(err.Error(), ": "+name+":"))
	}
	s = server.Defaults()
	s.Instance, s.Domain, s.Listen, s.Platform = "e1", "sfax", "10.0.0.1:7070", "10.0.0.2:7000"
	is.NoErr(s.Check())
}

// TestLogLinesNameEachFieldOnce guards against a field that a log line has twice,
// of which a reader of JSON sees only one.
func TestLogLinesNameEachFieldOnce(t *testing.T) {
	var log bytes.Buffer
	world.Run(t, world.Config{Domains: []string{"sfax"}, Instances: 2, Minions: 1, Log: &log}, func(*world.Simulation) {})
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	serving := 0
	for _, line := range lines {
		if strings.Contains(line, "server: serving") {
			serving++
		}
		names := map[string]bool{}
		for _, m := range fieldName.FindAllStringSubmatch(line, -1) {
			if names[m[1]] {
				t.Errorf("field %q twice in log line %s", m[1], line)
			}
			names[m[1]] = true
		}
	}
	is.New(t).Equal(serving, 2)
}

// fieldName matches the name of a field in a flat JSON object.
var fieldName = regexp.MustCompile(`[{,]"([^"\\]+)":`)
