package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// fault is what a proxy does to its connections.
type fault uint8

const (
	passing  fault = iota
	delaying       // holds bytes back for 150 ms, both ways
	oneWay         // carries requests, but no answers
	silent         // carries nothing; connections stay silent after the fault
	faults
)

const proxyDelay = 150 * time.Millisecond

// proxy passes TCP connections on loopback on to a target.
type proxy struct {
	addr, target string
	listener     net.Listener

	mu    sync.Mutex // guards the fields below
	fault fault
	conns map[net.Conn]bool // those of clients; false for a connection that stays silent
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[in] = p.fault != silent
		p.mu.Unlock()
		go p.carry(in)
	}
}

func (p *proxy) carry(in net.Conn) {
	defer p.drop(in)
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	go func() {
		defer p.drop(in)
		p.copy(in, out, in, true)
	}()
	p.copy(in, in, out, false)
	_ = out.Close() // ends the other direction
}

// copy carries bytes from one connection to the other. in is the client's.
func (p *proxy) copy(in, from, to net.Conn, answers bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		f, live := p.state(in)
		if !live {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if f == delaying {
			time.Sleep(proxyDelay)
		}
		if f == oneWay && answers {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) state(in net.Conn) (fault, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.conns[in]
}

func (p *proxy) drop(in net.Conn) {
	p.mu.Lock()
	delete(p.conns, in)
	p.mu.Unlock()
	_ = in.Close()
}

// set changes the fault. Connections that are open when the proxy falls silent
// stay silent for good.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == silent {
		for c := range p.conns {
			p.conns[c] = false
		}
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
