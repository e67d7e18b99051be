package abuse

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Limits of ordinary clients.
const (
	bodyBytes = 262144
	headBytes = 16384
)

// Sizes of the crowds.
const (
	many = 400 // connections of which each holds something
	some = 100 // connections that send as fast as they can, again and again
	few  = 24  // connections of which each costs much on code without limits
)

// crowd is one kind of untrusted clients.
type crowd struct {
	name string
	size int
	// again makes a client whose connection is closed open another one.
	again bool
	// play sends what the client sends and returns when it is done or the
	// connection is closed. It calls ready before it completes a request; that
	// waits until all clients have called it.
	play func(c *client)
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	path  string
	ready func()
	stop  chan struct{} // closed when the case ends
}

var (
	padding = strings.Repeat("x", bodyBytes)
	body    = `{"spec":"` + padding[:bodyBytes-11] + `"}`
	steps   = `{"steps":[` + strings.Repeat("{},", (bodyBytes-20)/3) + `{}]}`
	tiny    = strings.Repeat("1\r\n \r\n", bodyBytes-1)
	large   = strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", 32768, padding[:32768]), bodyBytes/32768-1) + fmt.Sprintf("%x\r\n%s", 32768, padding[:32767])
)

// send writes text and reports whether the connection is still open.
func (c *client) send(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

func (c *client) head(fields string) string {
	return "POST " + c.path + " HTTP/1.1\r\nHost: h\r\n" + fields
}

// repeat sends text until the connection is closed or the case ends.
func (c *client) repeat(text string, pause time.Duration) {
	for c.send(text) {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
	}
}

// Names of the crowds.
const (
	wholeBodies = "whole bodies at once"
	pieces      = "bodies piece by piece"
	largeChunks = "large chunks"
	tinyChunks  = "tiny chunks"
	bigHeads    = "heads over the limit"
	slowHeads   = "heads without end, slowly"
	fastHeads   = "heads without end, fast"
	emptyFirst  = "empty lines before the first request"
	emptyLater  = "empty lines before a later request"
	manySteps   = "many steps"
	endlessBody = "bodies without end"
)

var crowds = []crowd{
	{wholeBodies, many, false, func(c *client) {
		c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) + body[:len(body)-1])
		c.ready()
		c.send(body[len(body)-1:])
	}},
	{pieces, many, false, func(c *client) {
		c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))))
		for rest := body[:len(body)-1]; rest != "" && c.send(rest[:min(8192, len(rest))]); {
			rest = rest[min(8192, len(rest)):]
		}
	}},
	{largeChunks, many, false, func(c *client) { c.send(c.head("Transfer-Encoding: chunked\r\n\r\n") + large) }},
	{tinyChunks, many, false, func(c *client) { c.send(c.head("Transfer-Encoding: chunked\r\n\r\n") + tiny) }},
	{bigHeads, many, false, func(c *client) { c.send(c.head(strings.Repeat("X-Padding: "+padding[:9990]+"\r\n", 100))) }},
	{slowHeads, many, true, func(c *client) {
		if c.send(c.head("")) {
			c.repeat("X-Padding: "+padding[:90]+"\r\n", 100*time.Millisecond)
		}
	}},
	{fastHeads, some, true, func(c *client) {
		if c.send(c.head("X-Padding: ")) {
			c.repeat(padding[:65536], 0)
		}
	}},
	{emptyFirst, many, true, func(c *client) { c.repeat(strings.Repeat("\r\n", 32768), 0) }},
	{emptyLater, some, true, func(c *client) {
		if c.send(c.head("Content-Length: 2\r\n\r\n{}")) {
			c.repeat(strings.Repeat("\r\n", 32768), 0)
		}
	}},
	{manySteps, few, false, func(c *client) {
		c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(steps))) + steps[:len(steps)-1])
		c.ready()
		c.send(steps[len(steps)-1:])
	}},
	{endlessBody, few, false, func(c *client) {
		c.send(c.head("Transfer-Encoding: chunked\r\nContent-Type: application/protobuf\r\n\r\n"))
		chunk := fmt.Sprintf("%x\r\n%s\r\n", bodyBytes, padding)
		for range 64 {
			if !c.send(chunk) {
				return
			}
		}
	}},
}

// gather runs the crowd until each client has played once or for at most
// waitLimit, and returns a function that ends it. Connections stay open until
// then.
func (c crowd) gather(addr, path string) func() {
	stop := make(chan struct{})
	var all, first, waiting sync.WaitGroup
	first.Add(c.size)
	waiting.Add(c.size)
	for range c.size {
		all.Go(func() {
			played, ready := sync.OnceFunc(first.Done), sync.OnceFunc(waiting.Done)
			defer played()
			defer ready()
			for {
				conn, err := net.DialTimeout("tcp", addr, waitLimit)
				if err == nil {
					ended := make(chan struct{})
					go func() { // unblocks a client that writes and is not read
						defer close(ended)
						select {
						case <-stop:
						case <-time.After(waitLimit):
						}
						_ = conn.Close()
					}()
					go func() { _, _ = io.Copy(io.Discard, conn) }() // reads the answers
					if c.again {
						played()
					}
					c.play(&client{Conn: conn, path: path, stop: stop, ready: func() {
						ready()
						waiting.Wait()
					}})
					ready()
					played()
					if !c.again {
						<-ended
						return
					}
					_ = conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				if !c.again {
					return
				}
			}
		})
	}
	first.Wait()
	if c.again {
		time.Sleep(repeatTime)
	}
	return func() {
		close(stop)
		all.Wait()
	}
}

// repeatTime is how long crowds that never end have their way before the ordinary
// request is sent.
const repeatTime = 2 * time.Second

// target is a listener's path that a crowd calls.
type target struct {
	name   string
	addr   string // key of process.addrs
	path   string
	crowds []string
}

func play(t *testing.T, newProcess func(*testing.T, string) *process, targets []target) {
	if testing.Short() {
		t.Skip("runs processes in real time")
	}
	program := build(t)
	for _, target := range targets {
		for _, name := range target.crowds {
			for _, c := range crowds {
				if c.name != name {
					continue
				}
				t.Run(target.name+"/"+name, func(t *testing.T) {
					p := newProcess(t, program)
					t.Logf("before the crowd: peak memory %d MB", p.peakMB())
					end := c.gather(p.addrs[target.addr], target.path)
					p.accept("an ordinary job, while the crowd's connections are open", p.body(2))
					p.check()
					end()
				})
			}
		}
	}
}

// TestSiteWithstandsUntrustedClients guards against an instance that exceeds its
// memory or its descriptors, ends, or serves nobody else, because of clients that
// send too much or never complete what they send.
func TestSiteWithstandsUntrustedClients(t *testing.T) {
	play(t, newSite, []target{
		{"callers", "callers", "/q/00000000000000aa", []string{wholeBodies, pieces, largeChunks, tinyChunks, bigHeads, slowHeads, fastHeads, emptyFirst, emptyLater, manySteps}},
		{"operators", "operators", "/flows", []string{wholeBodies, largeChunks, slowHeads, manySteps}},
		{"peers", "operators", "/twirp/tamaracklink.cell.Cell/Submit", []string{pieces, endlessBody}},
		{"readiness", "readiness", "/", []string{pieces, slowHeads}},
		{"metrics", "metrics", "/metrics", []string{tinyChunks, bigHeads}},
	})
}

// TestServeWithstandsUntrustedClients guards against the same faults of serve.
func TestServeWithstandsUntrustedClients(t *testing.T) {
	play(t, newServe, []target{
		{"operators", "callers", "/v1/jobs", []string{wholeBodies, pieces, tinyChunks, slowHeads, emptyLater}},
		{"peers", "callers", "/twirp/tamaracklink.peer.Peer/Forward", []string{largeChunks, endlessBody}},
	})
}
