package guard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/tamaracklink/tamaracklink/internal/protocol/cellpb"
	"github.com/tamaracklink/tamaracklink/internal/protocol/peerpb"
	"github.com/tamaracklink/tamaracklink/internal/state/limit"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
)

// start serves a handler that answers with the body's length, or 400 if it can't
// read it, and 413 as http.MaxBytesReader has it. It returns the address.
func start(t *testing.T, conns int, rule Rule, before func()) (*Guard, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &Guard{Name: "test", Conns: limit.NewConns(conns), Meter: meter.New(), Logger: zerolog.Nop()}
	srv := g.Server(g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		before()
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, rule.MaxBytes))
		switch err.(type) {
		case nil:
			fmt.Fprintf(w, "%d %v", len(data), strings.Trim(string(data), "x") == "")
		case *http.MaxBytesError:
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		default:
			w.WriteHeader(http.StatusBadRequest)
		}
	}), func(*http.Request) Rule { return rule }))
	go func() { _ = srv.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = srv.Close() })
	return g, l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // ends a test that hangs
	return c
}

// waitForConns waits until at most limit connections are open. A client may see the
// end of its connection just before that no longer counts.
func waitForConns(t *testing.T, g *Guard, limit int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); g.Conns.Open() > limit; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want at most %d", g.Conns.Open(), limit)
		}
	}
}

// TestBodiesAreLimited guards against bodies beyond the limits that are held, and
// against answers from which a client can't tell that its call has not run.
func TestBodiesAreLimited(t *testing.T) {
	for _, tt := range []struct {
		name     string
		budget   int64
		declared int // Content-Length, -1 for a chunked body
		sent     int
		status   int
		body     string
		closes   bool // the answer says so
	}{
		{"empty", 1 << 20, 0, 0, 200, "0 true", false},
		{"blocks and a byte", 1 << 20, 3*blockBytes + 1, 3*blockBytes + 1, 200, "12289 true", false},
		{"whole blocks", 1 << 20, 4 * blockBytes, 4 * blockBytes, 200, "16384 true", false},
		{"chunked", 1 << 20, -1, 5000, 200, "5000 true", false},
		{"largest", 1 << 20, 65536, 65536, 200, "65536 true", false},
		{"too large", 1 << 20, 65537, 65537, 413, "", true},
		{"beyond the budget", 65536, 65536, 65536, 503, errBudget.Error() + "\n", true},
		{"ends early", 1 << 20, 100, 99, 400, "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			budget := limit.NewBudget(tt.budget)
			_, addr := start(t, 10, Rule{Budget: budget, MaxBytes: 65536}, func() {})
			c := dial(t, addr)
			length, content := fmt.Sprintf("Content-Length: %d", tt.declared), strings.Repeat("x", tt.sent)
			if tt.declared < 0 {
				length, content = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", tt.sent, content)
			}
			_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n%s", length, content)
			is.NoErr(err)
			if tt.sent < tt.declared {
				is.NoErr(c.(*net.TCPConn).CloseWrite())
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			data, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(string(data), tt.body)
			is.Equal(resp.Close, tt.closes)
			is.Equal(resp.Header.Get("Retry-After") != "", tt.status == 503)
			if tt.closes {
				_, err = c.Read(make([]byte, 1))
				is.Equal(err, io.EOF)
			}
			for end := time.Now().Add(10 * time.Second); budget.Used() > 0; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end)) // the bytes are given back
			}
		})
	}
}

// TestHeadsOfManyFieldsAreCharged guards against heads whose fields take more memory
// than the budget has, and against fields that are never given back.
func TestHeadsOfManyFieldsAreCharged(t *testing.T) {
	is := is.New(t)
	budget := limit.NewBudget(1 << 20)
	g, addr := start(t, 10, Rule{Budget: budget, MaxBytes: 65536}, func() {})
	g.Heads = budget
	fields := strings.Repeat("a:\r\n", 1500)
	post := func(fields string) *http.Response {
		c := dial(t, addr)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"+fields+"\r\nx")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		return resp
	}
	is.Equal(post(fields).StatusCode, http.StatusOK) // without a crowd
	for end := time.Now().Add(10 * time.Second); budget.Used() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the bytes are given back
	}
	held := dial(t, addr)
	_, err := io.WriteString(held, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"+fields+"\r\n")
	is.NoErr(err)
	for end := time.Now().Add(10 * time.Second); budget.Used() < 1400*limit.FieldBytes; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the head has arrived
	}
	refused := post(fields)
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.Equal(refused.Header.Get("Retry-After"), "1")
	is.True(refused.Close)
	is.Equal(post("").StatusCode, http.StatusOK) // an ordinary head
	unended := dial(t, addr)
	_, err = io.WriteString(unended, "POST / HTTP/1.1\r\nHost: h\r\n"+fields)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(unended), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // before its end
}

// TestExecutedRequestsKeepTheirConnections guards against a flood of connections
// that cuts off requests under way, and against one that keeps its descriptors.
func TestExecutedRequestsKeepTheirConnections(t *testing.T) {
	is := is.New(t)
	entered, goOn := make(chan struct{}), make(chan struct{})
	g, addr := start(t, 2, Rule{Budget: limit.NewBudget(1 << 20), MaxBytes: 100}, func() {
		entered <- struct{}{}
		<-goOn
	})
	executed := dial(t, addr)
	_, err := io.WriteString(executed, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	is.NoErr(err)
	<-entered
	var flood []net.Conn
	for range 20 {
		c := dial(t, addr)
		_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n")
		is.NoErr(err)
		flood = append(flood, c)
	}
	for _, c := range flood[:len(flood)-1] {
		_, err := c.Read(make([]byte, 1))
		is.True(err != nil) // closed
	}
	waitForConns(t, g, 2)
	close(goOn)
	resp, err := http.ReadResponse(bufio.NewReader(executed), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestListenersShareLimit guards against connections beyond the limit of a guard
// with several listeners, as for readiness and metrics: the one to close may belong
// to another listener than the one that accepts.
func TestListenersShareLimit(t *testing.T) {
	is := is.New(t)
	g, addr := start(t, 2, Rule{}, func() {})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	srv := g.Server(http.NotFoundHandler())
	go func() { _ = srv.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = srv.Close() })
	waiting := []net.Conn{dial(t, addr), dial(t, addr)}
	for end := time.Now().Add(10 * time.Second); g.Conns.Open() < 2; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // both are accepted
	}
	for range waiting {
		dial(t, l.Addr().String())
	}
	for _, c := range waiting {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // less than limit.HeadTimeout
		_, err := c.Read(make([]byte, 1))
		is.Equal(err, io.EOF) // closed
	}
	waitForConns(t, g, 2)
}

// TestMessagesWithManyFieldsAreRefused guards against small bodies that decode to
// a hundred times their size, also by the messages that they contain.
func TestMessagesWithManyFieldsAreRefused(t *testing.T) {
	is := is.New(t)
	check := func(text string, message protoreflect.MessageDescriptor) (int64, error) {
		return checkMessage(strings.NewReader(text), message)
	}
	n, err := check("", nil)
	is.NoErr(err)
	is.Equal(n, int64(0))
	n, err = check("\x08\x96\x01"+"\x12\x03abc"+"\x1d1234"+"\x2112345678"+strings.Repeat("\x1a\x00", 1000), nil)
	is.NoErr(err)
	is.Equal(n, int64(1004*limit.FieldBytes))
	for _, bad := range []string{
		strings.Repeat("\x1a\x00", maxPeerFields+1), "\x12\x05abc" /* ends early */, "\x0b" /* a group */, "\x12", "\x08",
	} {
		_, err = check(bad, nil)
		is.True(err != nil)
	}

	forward := (&peerpb.ForwardRequest{}).ProtoReflect().Descriptor()
	is.Equal(requestMessage("/twirp/tamaracklink.peer.Peer/Forward"), forward)
	is.Equal(requestMessage("/twirp/tamaracklink.peer.Peer/Nothing"), nil)
	is.Equal(requestMessage("/v1/jobs"), nil)
	encode := func(headers, values int) string {
		msg := &peerpb.ForwardRequest{Body: []byte(strings.Repeat("\x12\x00", 1<<19))}
		for range headers {
			msg.Headers = append(msg.Headers, &peerpb.Header{Name: "n", Values: make([]string, values)})
		}
		data, err := proto.Marshal(msg)
		is.NoErr(err)
		return string(data)
	}
	n, err = check(encode(maxPeerFields-1, 1), forward) // as many as a head can have
	is.NoErr(err)
	is.Equal(n, int64((2*maxPeerFields-1)*limit.FieldBytes))
	_, err = check(encode(2, maxPeerFields/2+1), forward)
	is.True(err != nil)
	_, err = check("\x4a\x04\x12\x05ab", forward) // a value that ends behind its header
	is.True(err != nil)
	orders := &cellpb.GiveRequest{}
	for range 2100 {
		orders.Orders = append(orders.Orders, &cellpb.Order{Id: 1, Kind: 1, Worker: "w", Addr: "a", Task: "t", Run: 1, Payload: "p", Saved: "s", Ticket: "t", UntilMs: 1, Acked: 1, WaitMs: 1, Percent: 1})
	}
	data, err := proto.Marshal(orders)
	is.NoErr(err)
	_, err = check(string(data), orders.ProtoReflect().Descriptor())
	is.NoErr(err)
}

// TestPeerBodiesDecodeToLittle guards against bodies of peers that exhaust the
// memory when many of them are decoded at the same time.
func TestPeerBodiesDecodeToLittle(t *testing.T) {
	is := is.New(t)
	const largest = 3 << 19 // of all that is allocated for one body
	for _, tt := range []struct{ kind, first, repeated, last string }{
		{"application/json", `{"orders":[{}`, ",{}", "]}"},
		{"application/protobuf", "", "\x1a\x00", ""},
	} {
		r := &http.Request{Header: http.Header{"Content-Type": {tt.kind}}}
		rule := PeerRule(nil, r)
		n := (int(rule.MaxBytes) - len(tt.first) - len(tt.last)) / len(tt.repeated)
		if rule.Check != nil {
			n = maxPeerFields
		}
		data, msg := []byte(tt.first+strings.Repeat(tt.repeated, n)+tt.last), &cellpb.GiveRequest{}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		if rule.Check != nil {
			is.NoErr(proto.Unmarshal(data, msg))
		} else {
			is.NoErr(protojson.Unmarshal(data, msg))
		}
		runtime.ReadMemStats(&after)
		is.True(len(msg.Orders) >= n)
		if used := after.TotalAlloc - before.TotalAlloc; used > largest {
			t.Errorf("%s: %d bytes take %d bytes, want at most %d", tt.kind, len(data), used, largest)
		}
	}
}

// deadlines is a connection that records its read deadline.
type deadlines struct {
	net.Conn
	read time.Time
}

func (d *deadlines) Read(p []byte) (int, error) { return len(p), nil }

func (d *deadlines) SetReadDeadline(t time.Time) error {
	d.read = t
	return nil
}

// TestUnusedConnectionIsIdle guards against clients that are cut off because their
// pool has opened a connection seconds before it is first used, and against heads
// that may take longer after that.
func TestUnusedConnectionIsIdle(t *testing.T) {
	is := is.New(t)
	g, d := &Guard{Conns: limit.NewConns(1)}, &deadlines{}
	c, _, _ := g.accept(d)
	start := time.Now()
	is.NoErr(c.SetReadDeadline(start.Add(limit.HeadTimeout))) // as net/http does after the acceptance
	is.Equal(d.read, start.Add(limit.IdleTimeout))
	_, err := c.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!d.read.Before(start.Add(limit.HeadTimeout)))
	is.True(!d.read.After(time.Now().Add(limit.HeadTimeout)))
	is.NoErr(c.SetReadDeadline(start))
	is.Equal(d.read, start)
}

// TestRefusedHeadIsNotExecuted guards against a request that is executed although its
// connection has been told that it was not, and against charges that outlive it.
func TestRefusedHeadIsNotExecuted(t *testing.T) {
	is := is.New(t)
	g := &Guard{Conns: limit.NewConns(2), Heads: limit.NewBudget(1 << 20), Meter: meter.New(), Logger: zerolog.Nop()}
	lines := []byte(strings.Repeat("a:\n", 1500))
	is.True(g.Heads.TakeLarge(1 << 19)) // all
	c, _, _ := g.accept(&deadlines{})
	ended, ok := c.readHead(lines)
	is.True(!ended && !ok)
	g.Heads.ReleaseLarge(1 << 19)
	is.True(!c.endHead())

	c, _, _ = g.accept(&deadlines{})
	_, ok = c.readHead(lines)
	is.True(ok)
	is.True(g.Heads.Used() > 0)
	c.closeHead()
	c.nextHead()
	is.True(c.endHead())
	is.Equal(g.Heads.Used(), int64(0))
}
