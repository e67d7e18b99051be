package guard

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/tamaracklink/tamaracklink/internal/state/limit"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
)

// logInterval is the shortest time between two log lines about the same limit.
const logInterval = time.Minute

// Guard limits the connections and bodies of one kind of client of a process. Its
// exported fields must be set before it is used and not change.
type Guard struct {
	Name  string // of the kind of client, for logs and metrics
	Conns *limit.Conns
	Heads *limit.Budget // for the fields of heads beyond ordinary ones
	// ReceiveBytes is the size of a connection's receive buffer; 0 leaves it to the
	// system.
	ReceiveBytes int
	Meter        *meter.Set
	Prefix       string // of the names of metrics, may be empty
	Logger       zerolog.Logger

	mu     sync.Mutex            // guards the fields below
	conns  map[*limit.Conn]*conn // open ones of all listeners
	logged map[string]time.Time  // when a limit was last logged, by reason
}

type connKey struct{}

// Server returns a server for handler with the timeouts and limits of package
// limit. It must serve a listener that Listener has returned.
func (g *Guard) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: limit.HeadTimeout, IdleTimeout: limit.IdleTimeout, MaxHeaderBytes: limit.MaxHeadBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*conn); ok && state == http.StateIdle {
				c.nextHead()
				g.Conns.Idle(c.entry)
			}
		},
	}
}

// readHead counts bytes that have arrived, and reports whether the head has ended and
// whether the budget had room for it.
func (c *conn) readHead(p []byte) (ended, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Add(p)
	ended, ok = c.head.Ended(), c.chargeHead()
	c.refused = c.refused || !ended && !ok
	return ended, ok
}

// endHead records that the head has ended, and reports whether the budget had room for
// it.
func (c *conn) endHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.End()
	return !c.refused && c.chargeHead()
}

// refuseHead answers that the budget has no room for a head that has not ended, and
// reads and discards the rest for a short time, into p. It returns an error of a type
// to which net/http does not answer.
func (c *conn) refuseHead(p []byte) error {
	c.guard.report("refused_bodies", "fields")
	end := time.Now().Add(limit.LingerTimeout)
	// Errors mean that the client has gone.
	_ = c.Conn.SetDeadline(end)
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n", int(limit.RetryAfter.Seconds()))
	_ = c.CloseWrite()
	for {
		if _, err := c.Conn.Read(p); err != nil {
			return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errBudget}
		}
	}
}

// nextHead records that the next head follows.
func (c *conn) nextHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.head.Next()
}

// closeHead gives back what has been charged and lets nothing more be charged.
func (c *conn) closeHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.ended = true
}

// chargeHead charges what the head's fields take. The caller must hold mu.
func (c *conn) chargeHead() bool {
	more := c.head.Bytes() - c.charged
	if c.guard.Heads == nil || c.ended || more <= 0 {
		return true
	}
	if !c.guard.Heads.TakeLarge(more) {
		return false
	}
	c.charged += more
	return true
}

// releaseHead gives back what has been charged for the head. The caller must hold mu.
func (c *conn) releaseHead() {
	if c.charged > 0 {
		c.guard.Heads.ReleaseLarge(c.charged)
	}
	c.charged = 0
}

// Listener returns a listener that accepts the connections of l and closes one
// for each beyond the limit.
func (g *Guard) Listener(l net.Listener) net.Listener {
	if err := g.setReceiveBuffer(l); err != nil {
		g.Logger.Warn().Err(err).Str("clients", g.Name).Msg("guard: receive buffers keep the system's size")
	}
	return &listener{Listener: l, guard: g}
}

// setReceiveBuffer sets the size of the receive buffer of l, which the connections that
// it accepts inherit.
func (g *Guard) setReceiveBuffer(l net.Listener) error {
	socket, ok := l.(syscall.Conn)
	if !ok || g.ReceiveBytes == 0 {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, g.ReceiveBytes)
	})
	if err != nil {
		return err
	}
	return setErr
}

type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c, closing, reason := l.guard.accept(accepted)
		if reason == "" {
			return c, nil
		}
		l.guard.report("closed_connections", reason)
		if closing != nil {
			_ = closing.Close() // the client has no claim to a clean end
		}
		if closing != c {
			return c, nil
		}
	}
}

// accept adds a connection. If there are too many now, it also returns the reason
// and the connection to close, which is nil if it has just closed itself. The lock
// is held throughout, since another listener of the guard may choose a connection
// as soon as it is in Conns.
func (g *Guard) accept(accepted net.Conn) (c, closing *conn, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry, victim, reason := g.Conns.Accept()
	c = &conn{Conn: accepted, guard: g, entry: entry}
	if g.conns == nil {
		g.conns = map[*limit.Conn]*conn{}
	}
	g.conns[entry] = c
	return c, g.conns[victim], reason
}

// conn is a connection of a client.
type conn struct {
	net.Conn
	guard   *Guard
	entry   *limit.Conn
	began   bool // a byte has arrived; not written after that
	removed sync.Once

	// mu guards the fields below, since net/http reads while a handler runs.
	mu      sync.Mutex
	head    limit.Head
	charged int64 // bytes of Guard.Heads
	refused bool  // a head has been refused, so no further request is executed
	ended   bool  // Close has been called, so nothing more is charged
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if !c.began {
			c.began = true
			_ = c.Conn.SetReadDeadline(time.Now().Add(limit.HeadTimeout)) // it fails only on a closed connection
		}
		c.guard.Conns.Begin(c.entry)
		if ended, ok := c.readHead(p[:n]); !ok && !ended {
			return 0, c.refuseHead(p)
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. Until the first byte has arrived, the
// connection is idle: net/http would apply the head's timeout from its acceptance
// on, but clients keep unused connections, which their pools have opened in advance,
// as long as idle ones.
func (c *conn) SetReadDeadline(t time.Time) error {
	if !c.began && !t.IsZero() {
		t = t.Add(limit.IdleTimeout - limit.HeadTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	began := time.Now()
	n, err := c.writeUntil(p, began.Add(limit.UnreadTimeout))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.guard.Conns.Unread(c.entry)
	defer c.guard.Conns.Read(c.entry)
	more, err := c.writeUntil(p[n:], began.Add(limit.WriteTimeout))
	return n + more, err
}

func (c *conn) writeUntil(p []byte, end time.Time) (int, error) {
	if err := c.SetWriteDeadline(end); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the sending half of the connection. net/http calls it so that a
// client that still sends can read the answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(*net.TCPConn); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.removed.Do(func() {
		c.closeHead()
		c.guard.Conns.Remove(c.entry)
		c.guard.mu.Lock()
		delete(c.guard.conns, c.entry)
		c.guard.mu.Unlock()
	})
	return err
}

// report counts that a limit was reached, and logs it if the same one was not
// logged within logInterval.
func (g *Guard) report(what, reason string) {
	g.Meter.Count(g.Prefix+what, "reason", g.Name+"-"+reason, 1)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if last, ok := g.logged[what+reason]; ok && now.Sub(last) < logInterval {
		return
	}
	if g.logged == nil {
		g.logged = map[string]time.Time{}
	}
	g.logged[what+reason] = now
	g.Logger.Warn().Str("clients", g.Name).Str("reason", reason).Str("counter", g.Prefix+what).Msg("guard: limit reached")
}
