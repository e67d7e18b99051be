package guard

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/state/limit"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
)

// logInterval is the shortest time between two log lines about the same limit.
const logInterval = time.Minute

// Guard limits the connections and bodies of one kind of client of a process. Its
// exported fields must be set before it is used and not change.
type Guard struct {
	Name   string // of the kind of client, for logs and metrics
	Conns  *limit.Conns
	Meter  *meter.Set
	Prefix string // of the names of metrics, may be empty
	Logger zerolog.Logger

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
				g.Conns.Idle(c.entry)
			}
		},
	}
}

// Listener returns a listener that accepts the connections of l and closes one
// for each beyond the limit.
func (g *Guard) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, guard: g}
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
	if err := c.SetWriteDeadline(time.Now().Add(limit.WriteTimeout)); err != nil {
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
