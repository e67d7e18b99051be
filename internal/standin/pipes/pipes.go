// Package pipes is a small network inside one process, for tests in virtual
// time: listeners and connections over in-memory pipes, each end in a zone,
// with latency, cuts between zones, and connections that go silent for good.
package pipes

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Net is the network.
type Net struct {
	latency time.Duration

	mu         sync.Mutex
	addresses  int
	listeners  map[string]*Listener
	partitions map[[2]string]bool
}

// New gives a network in which each write takes so long.
func New(latency time.Duration) *Net {
	return &Net{latency: latency, listeners: map[string]*Listener{}, partitions: map[[2]string]bool{}}
}

// Listener accepts connections at one address.
type Listener struct {
	net     *Net
	zones   []string
	addr    string
	pending chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Listen gives a listener in the zones. An empty address takes a new one.
func (n *Net) Listen(addr string, zones ...string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr == "" {
		n.addresses++
		addr = fmt.Sprintf("10.0.%d.%d:80", n.addresses/250, n.addresses%250+1)
	}
	if n.listeners[addr] != nil {
		return nil, errors.Errorf("address %s is in use", addr)
	}
	l := &Listener{net: n, zones: zones, addr: addr, pending: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Accept gives the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, l.addr)
		close(l.closed)
	})
	return nil
}

// Addr gives the listener's address.
func (l *Listener) Addr() net.Addr { return addr(l.addr) }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }

// Cut cuts two zones off from each other: connections between them go silent
// for good, new ones are not answered.
func (n *Net) Cut(a, b string) { n.setPartitioned(a, b, true) }

// Heal ends a cut.
func (n *Net) Heal(a, b string) { n.setPartitioned(a, b, false) }

func (n *Net) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}] = partitioned
	n.partitions[[2]string{b, a}] = partitioned
}

// Dialer gives a dial function for callers in the zones.
func (n *Net) Dialer(zones ...string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return n.dial(ctx, zones, address) }
}

func (n *Net) dial(ctx context.Context, zones []string, address string) (net.Conn, error) {
	if err := n.sleep(ctx); err != nil {
		return nil, err
	}
	n.mu.Lock()
	l := n.listeners[address]
	partitioned := l != nil && n.isPartitioned(zones, l.zones)
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("connect to %s: refused", address)
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
		return nil, errors.Errorf("connect to %s: refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return client, nil
}

// isPartitioned reports whether any zones of the two ends are cut off from each other.
func (n *Net) isPartitioned(dialerZones, listenerZones []string) bool {
	for _, a := range dialerZones {
		for _, b := range listenerZones {
			if n.partitions[[2]string{a, b}] {
				return true
			}
		}
	}
	return false
}

func (n *Net) sleep(ctx context.Context) error {
	select {
	case <-time.After(n.latency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// link is what both ends of a connection share.
type link struct {
	mu     sync.Mutex
	silent bool
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

type conn struct {
	net.Conn
	net           *Net
	link          *link
	dialerZones   []string // zones of the end that dialled
	listenerZones []string // and of the end that listened
	address       string
}

// Write passes bytes on after the latency, or loses them where the zones are
// cut; a connection that lost bytes stays silent.
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

// LocalAddr and RemoteAddr give the address that was dialled.
func (c *conn) LocalAddr() net.Addr  { return addr(c.address) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.address) }
