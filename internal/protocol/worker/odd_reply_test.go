package worker

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// syncReply returns what a client makes of a worker's reply.
func syncReply(t *testing.T, body string) (leader.SyncReply, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(body)) // an error shows in the client
	})}
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer server.Close()
	c := New("d", nil)
	defer c.Close()
	return c.Sync(context.Background(), listener.Addr().String(), leader.SyncRequest{})
}

const goodReply = `{"boot":"b","version":7,"running":[{"job":"j","index":1,"attempt":2,"size":{"cpu-milli":500,"memory-mib":100,"accelerators":0}}],"ended":[],"usage":{"cpu-milli":400,"memory-mib":90,"accelerators":0}}`

// TestOddSizesInReplyMakeRoom guards against a reply of a worker with sizes below 0
// or near the largest integer: their sum would make room on the worker for tasks
// that don't fit.
func TestOddSizesInReplyMakeRoom(t *testing.T) {
	is := is.New(t)
	reply, err := syncReply(t, goodReply)
	is.NoErr(err)
	is.Equal(reply.Running[0].Size.CPU, int64(500))
	is.Equal(reply.Usage.Memory, int64(90))
	for _, n := range []string{"-1", "-9223372036854775808", "9223372036854775807", "1000000000000000000"} {
		odd := strings.NewReplacer(`:500`, ":"+n, `:100`, ":"+n, `:400`, ":"+n, `:90`, ":"+n, `"accelerators":0`, `"accelerators":`+n).Replace(goodReply)
		reply, err := syncReply(t, odd)
		is.NoErr(err) // a worker with a wrong figure keeps its tasks
		want := work.Size{CPU: maxAmount, Memory: maxAmount, Accelerators: maxAmount}
		if n[0] == '-' {
			want = work.Size{}
		}
		is.Equal(reply.Running[0].Size, want)
		is.Equal(reply.Usage, want)
	}
	for _, n := range []string{"9223372036854775808", "1e18", "1e999", "0.5"} {
		_, err := syncReply(t, strings.Replace(goodReply, "500", n, 1))
		is.True(err != nil)
	}
	_, err = syncReply(t, `{"running":`+strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)+`}`)
	is.True(err != nil)
}
