// Package pipes is an in-memory network for tests in virtual time. Each
// listener and dialer is in one or more zones, named sets of endpoints. The
// network has a latency, and any two zones can be partitioned from each other.
// A connection that lost bytes in a partition stays silent for good: all
// further bytes are lost without an error.
package pipes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Network is an in-memory network.
type Network struct {
	latency time.Duration

	mu         sync.Mutex           // guards the fields below
	addresses  int                  // number of addresses assigned
	listeners  map[string]*Listener // by address
	partitions map[[2]string]bool   // by zones, in both orders
}

// New returns a network in which each dial and each write takes the given
// latency.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, listeners: map[string]*Listener{}, partitions: map[[2]string]bool{}}
}

// Listener accepts connections at one address.
type Listener struct {
	net     *Network
	zones   []string
	addr    string
	pending chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Listen returns a listener in the zones. For an empty address it assigns a new
// one. It returns an error if the address is in use.
func (n *Network) Listen(addr string, zones ...string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr == "" {
		n.addresses++
		addr = fmt.Sprintf("10.0.%d.%d:80", n.addresses/250, n.addresses%250+1)
	}
	if n.listeners[addr] != nil {
		return nil, errors.Errorf("listen on %s: address is in use", addr)
	}
	l := &Listener{net: n, zones: zones, addr: addr, pending: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Accept returns the next connection, or net.ErrClosed once the listener is
// closed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and releases its address. Accepted connections stay
// open.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.addr)
		close(l.closed)
	})
	return nil
}

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return addr(l.addr) }

// addr implements net.Addr.
type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

// Partition partitions two zones from each other. A connection between them
// that is written to during the partition stays silent for good. Dials get no
// answer.
func (n *Network) Partition(a, b string) { n.setPartitioned(a, b, true) }

// Heal ends the partition between two zones. Silent connections stay silent.
func (n *Network) Heal(a, b string) { n.setPartitioned(a, b, false) }

func (n *Network) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}] = partitioned
	n.partitions[[2]string{b, a}] = partitioned
}

// Dialer returns a dial function for callers in the zones. Its dials fail if
// nothing listens at the address, and wait for the end of their context during
// a partition.
func (n *Network) Dialer(zones ...string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, zones, address) }
}

func (n *Network) dial(ctx context.Context, zones []string, address string) (net.Conn, error) {
	if err := n.sleep(ctx); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[address]
	partitioned := l != nil && n.isPartitioned(zones, l.zones)
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("dial %s: connection refused", address)
	}
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	link := &link{}
	client := &conn{Conn: near, net: n, link: link, dialerZones: zones, listenerZones: l.zones, address: address}
	server := &conn{Conn: far, net: n, link: link, dialerZones: zones, listenerZones: l.zones, address: address}
	select {
	case l.pending <- server:
	case <-l.closed:
		return nil, errors.Errorf("dial %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return client, nil
}

// isPartitioned reports whether any zone of one end is partitioned from any
// zone of the other. The caller must hold n.mu.
func (n *Network) isPartitioned(dialerZones, listenerZones []string) bool {
	for _, a := range dialerZones {
		for _, b := range listenerZones {
			if n.partitions[[2]string{a, b}] {
				return true
			}
		}
	}
	return false
}

// sleep waits for the latency, or returns the error of ctx if that ends before.
func (n *Network) sleep(ctx context.Context) error {
	select {
	case <-time.After(n.latency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// link is the state that both ends of a connection share.
type link struct {
	mu     sync.Mutex // guards silent
	silent bool       // all further bytes are lost
}

func (l *link) setSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	net           *Network
	link          *link
	dialerZones   []string // zones of the end that dialed
	listenerZones []string // zones of the end that listened
	address       string   // that was dialed
}

// Write passes bytes on after the latency. It loses them if the zones of the
// two ends are partitioned; the connection then stays silent in both
// directions. The caller gets no error.
func (c *conn) Write(b []byte) (int, error) {
	time.Sleep(c.net.latency)
	c.net.mu.Lock()
	partitioned := c.net.isPartitioned(c.dialerZones, c.listenerZones)
	c.net.mu.Unlock()
	if partitioned {
		c.link.setSilent()
	}
	if c.link.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// LocalAddr returns the address that was dialed, on both ends.
func (c *conn) LocalAddr() net.Addr { return addr(c.address) }

// RemoteAddr returns the address that was dialed, on both ends.
func (c *conn) RemoteAddr() net.Addr { return addr(c.address) }
