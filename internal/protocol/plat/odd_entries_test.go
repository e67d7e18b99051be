package plat

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// listTransport answers reads of the workers of a domain with the items, and other
// reads with an empty list.
type listTransport struct{ items string }

func (l *listTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	items := l.items
	if r.URL.Query().Get("domain") == "" {
		items = ""
	}
	body := io.NopCloser(strings.NewReader(`{"instances":[` + items + `]}`))
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: body, Request: r}, nil
}

const goodEntry = `{"name":"NAME","kind":"worker","domain":"d","rack":"r1","addr":"10.0.0.1:80","state":"live","slots":8,"capacity":{"cpu-milli":32000,"memory-mib":64000,"accelerators":2}}`

func named(name string) string { return strings.Replace(goodEntry, "NAME", name, 1) }

// TestOddEntryOfInstanceListHidesOthers guards against one entry of the list of
// instances that makes the list unreadable, or names an instance that can't be
// called or whose numbers overflow in sums.
func TestOddEntryOfInstanceListHidesOthers(t *testing.T) {
	odd := []string{`7`, `null`, `[]`, `"x"`, `{}`, `{"name":7}`, strings.Repeat("[", 5000) + strings.Repeat("]", 5000)}
	with := func(old, new string) {
		entry := strings.Replace(named("odd"), old, new, 1)
		if entry == named("odd") {
			t.Fatalf("no %s in the good entry", old)
		}
		odd = append(odd, entry)
	}
	for _, address := range []string{"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0.1:-1", "user@10.0.0.1:80", "10.0.0.1:80/path", "a b:80"} {
		with("10.0.0.1:80", address)
	}
	for _, field := range []string{`"slots":8`, `"cpu-milli":32000`, `"memory-mib":64000`, `"accelerators":2`} {
		name := field[:strings.IndexByte(field, ':')+1]
		for _, n := range []string{"-1", "9223372036854775807", "9223372036854775808", "1e18", "1e999", "0.5", `"1"`, "[]"} {
			with(field, name+n)
		}
	}
	with(`"name":"odd"`, `"name":""`)
	with(`"name":"odd"`, `"name":"O\ndd"`)
	with(`"kind":"worker"`, `"kind":""`)
	with(`"kind":"worker"`, `"kind":{}`)
	with(`"rack":"r1"`, `"rack":"`+strings.Repeat("r", 200_000)+`"`)
	for _, entry := range odd {
		t.Run(fmt.Sprintf("%.160s", entry), func(t *testing.T) {
			is := is.New(t)
			c := New("10.0.0.9:1", "d", &http.Client{Transport: &listTransport{items: named("a") + "," + entry + "," + named("c")}})
			list, err := c.List(context.Background())
			is.NoErr(err)
			is.Equal(len(list), 2)
			is.Equal(list[0].Name, "a")
			is.Equal(list[1].Name, "c")
		})
	}
}

// TestSkippedInstanceIsLoggedAtEachRead guards against a log that fills with the
// same entry, since the list is read twice a second, and against one that lacks it.
func TestSkippedInstanceIsLoggedAtEachRead(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	c := New("10.0.0.9:1", "d", &http.Client{Transport: &listTransport{items: named("a") + "," + strings.Replace(named("odd"), ":80", ":70000", 1)}})
	c.Logger = zerolog.New(&logged)
	for range 3 {
		_, err := c.List(context.Background())
		is.NoErr(err)
	}
	is.Equal(strings.Count(logged.String(), "\n"), 1)
	is.True(strings.Contains(logged.String(), `instance \"odd\": addr \"10.0.0.1:70000\": port \"70000\" is not in 1..65535`))
}

// TestUnusualEntryOfInstanceList checks that an entry is not skipped for fields
// that aren't used of its kind, or aren't named.
func TestUnusualEntryOfInstanceList(t *testing.T) {
	for _, entry := range []string{
		`{"name":"m","kind":"minion","domain":"d","addr":"m.example:80","state":"odd","slots":8}`, `{"name":"e","kind":"entry","domain":"e","addr":"[::]:80","state":"live"}`,
		`{"name":"w","kind":"other","addr":"10.0.0.1:80","odd":1e999,"capacity":null}`,
	} {
		c := New("10.0.0.9:1", "d", &http.Client{Transport: &listTransport{items: entry}})
		list, err := c.List(context.Background())
		if err != nil || len(list) != 1 {
			t.Errorf("entry %s: got %v, error %v; want one instance", entry, list, err)
		}
	}
}
