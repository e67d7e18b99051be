package abuse

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
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
	// unread says that the clients read no answers by themselves.
	unread bool
	// play sends what the client sends and returns when it is done or the
	// connection is closed. It calls ready before it completes a request; that
	// waits until all clients have called it.
	play func(c *client)
}

// client is one connection of a crowd.
type client struct {
	net.Conn
	path  string
	more  string // further fields of the head
	ready func()
	stop  chan struct{} // closed when the case ends
	// closed is closed when the connection has ended, unless the crowd is unread.
	closed chan struct{}
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
	return "POST " + c.path + " HTTP/1.1\r\nHost: h\r\n" + c.more + fields
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
	{name: wholeBodies, size: many, play: func(c *client) {
		c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))) + body[:len(body)-1])
		c.ready()
		c.send(body[len(body)-1:])
	}},
	{name: pieces, size: many, play: func(c *client) {
		c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))))
		for rest := body[:len(body)-1]; rest != "" && c.send(rest[:min(8192, len(rest))]); {
			rest = rest[min(8192, len(rest)):]
		}
	}},
	{name: largeChunks, size: many, play: func(c *client) { c.send(c.head("Transfer-Encoding: chunked\r\n\r\n") + large) }},
	{name: tinyChunks, size: many, play: func(c *client) { c.send(c.head("Transfer-Encoding: chunked\r\n\r\n") + tiny) }},
	{name: bigHeads, size: many, play: func(c *client) { c.send(c.head(strings.Repeat("X-Padding: "+padding[:9990]+"\r\n", 100))) }},
	{name: slowHeads, size: many, again: true, play: func(c *client) {
		if c.send(c.head("")) {
			c.repeat("X-Padding: "+padding[:90]+"\r\n", 100*time.Millisecond)
		}
	}},
	{name: fastHeads, size: some, again: true, play: func(c *client) {
		if c.send(c.head("X-Padding: ")) {
			c.repeat(padding[:65536], 0)
		}
	}},
	{name: emptyFirst, size: many, again: true, play: func(c *client) { c.repeat(strings.Repeat("\r\n", 32768), 0) }},
	{name: emptyLater, size: some, again: true, play: func(c *client) {
		if c.send(c.head("Content-Length: 2\r\n\r\n{}")) {
			c.repeat(strings.Repeat("\r\n", 32768), 0)
		}
	}},
	{name: manySteps, size: few, play: func(c *client) {
		c.send(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(steps))) + steps[:len(steps)-1])
		c.ready()
		c.send(steps[len(steps)-1:])
	}},
	{name: endlessBody, size: few, play: func(c *client) {
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
func (c crowd) gather(addr, path, more string) func() {
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
					ended, closed := make(chan struct{}), make(chan struct{})
					go func() { // unblocks a client that writes and is not read
						defer close(ended)
						select {
						case <-stop:
						case <-time.After(waitLimit):
						}
						_ = conn.Close()
					}()
					if !c.unread {
						go func() { // reads the answers
							defer close(closed)
							_, _ = io.Copy(io.Discard, conn)
						}()
					}
					if c.again {
						played()
					}
					c.play(&client{Conn: conn, path: path, more: more, stop: stop, closed: closed, ready: func() {
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
	more   string // further fields of the crowd's heads
	// probe is the path of a GET request at addr that must be answered too while the
	// crowd's connections are open; empty for none.
	probe string
	// probeAddr is the key of the address of probe; empty for that of the crowd.
	probeAddr string
}

// play lets each crowd of each target act on a process of its own, and checks that the
// process withstands it and serves an ordinary client meanwhile.
func play(t *testing.T, newProcess func(*testing.T, string, int) *process, maxFDs int, targets []target) {
	if testing.Short() {
		t.Skip("runs processes in real time")
	}
	program := build(t)
	for _, target := range targets {
		for _, name := range target.crowds {
			t.Run(target.name+"/"+name, func(t *testing.T) {
				p := newProcess(t, program, maxFDs)
				t.Logf("before the crowd: peak memory %d MB", p.peakMB())
				end := crowdNamed(name).gather(p.addrs[target.addr], target.path, target.more)
				p.accept("an ordinary job, while the crowd's connections are open", p.body(2))
				if target.probe != "" {
					p.answer(p.addrs[cmp.Or(target.probeAddr, target.addr)], target.probe)
				}
				p.check()
				end()
			})
		}
	}
}

// crowdNamed returns the crowd of a name, which must exist.
func crowdNamed(name string) crowd {
	all := slices.Concat(crowds, moreCrowds)
	return all[slices.IndexFunc(all, func(c crowd) bool { return c.name == name })]
}

// oneProcessor ends the names of cases with as many processors as the platform's
// machines have.
const oneProcessor = "with one processor"

const (
	cellPath   = "/twirp/tamaracklink.cell.Cell/"
	peerPath   = "/twirp/tamaracklink.peer.Peer/"
	callPath   = "/q/00000000000000aa"
	runPath    = "/run/x"
	runHeaders = "Tamaracklink-Tenant: club\r\nTamaracklink-Class: patient\r\nTamaracklink-Deadline-Ms: 600000\r\n"
)

// TestSiteWithstandsUntrustedClients guards against an instance that exceeds its
// memory or its descriptors, ends, or serves nobody else, because of clients that
// send too much or never complete what they send.
func TestSiteWithstandsUntrustedClients(t *testing.T) {
	play(t, newSite, maxFDs, []target{
		{name: "callers", addr: "callers", path: callPath, crowds: []string{wholeBodies, pieces, largeChunks, tinyChunks, bigHeads, slowHeads, fastHeads, emptyFirst, emptyLater, manySteps}},
		{name: "operators", addr: "operators", path: "/flows", probe: "/site", crowds: []string{wholeBodies, largeChunks, slowHeads, manySteps}},
		{name: "peers", addr: "operators", path: cellPath + "Submit", probe: "/site", crowds: []string{pieces, endlessBody}},
		{name: "readiness", addr: "readiness", path: "/", probe: "/", crowds: []string{pieces, slowHeads}},
		{name: "metrics", addr: "metrics", path: "/metrics", probe: "/metrics", crowds: []string{tinyChunks, bigHeads}},
	})
}

// TestSiteWithstandsFurtherUntrustedClients guards against the same faults on further
// paths, by further methods and with further contents.
func TestSiteWithstandsFurtherUntrustedClients(t *testing.T) {
	play(t, newSite, maxFDs, []target{
		{name: "callers", addr: "callers", path: callPath, crowds: []string{otherMethods, neverReaders, slowReaders}},
		{name: "operators", addr: "operators", path: "/flows", probe: "/site", crowds: []string{pieces, tinyChunks, bigHeads, fastHeads, emptyFirst, emptyLater, largestBodies, manyKeys}},
		{name: "operators", addr: "operators", path: "/flows-config", probe: "/site", crowds: []string{slowReaders}},
		{name: "peers", addr: "operators", path: cellPath + "Submit", probe: "/site", crowds: []string{wholeBodies, tinyChunks, specSteps}},
		{name: "peers", addr: "operators", path: cellPath + "Answers", probe: "/site", crowds: []string{longPolls}},
		{name: "readiness", addr: "readiness", path: "/", probe: "/", crowds: []string{wholeBodies, tinyChunks, bigHeads, fastHeads, emptyFirst, neverReaders, slowReaders}},
		{name: "metrics", addr: "metrics", path: "/metrics", probe: "/", probeAddr: "readiness", crowds: []string{wholeBodies, slowHeads, fastHeads, emptyLater, neverReaders, slowReaders}},
	})
}

// TestSiteWithstandsManyConnections guards against the same faults where the memory
// and not the descriptors bounds the connections.
func TestSiteWithstandsManyConnections(t *testing.T) {
	play(t, newSite, moreFDs, []target{
		{name: "callers", addr: "callers", path: callPath, crowds: []string{wholeBodies, pieces, largeChunks, tinyChunks, bigHeads, slowHeads, emptyFirst, manyFields, fieldsNoEnd, fieldsLater, fieldsReopened, slowReaders}},
		{name: "operators", addr: "operators", path: "/flows", probe: "/site", crowds: []string{wholeBodies, tinyChunks, manyFields, fieldsNoEnd}},
		{name: "peers", addr: "operators", path: cellPath + "Submit", probe: "/site", crowds: []string{wholeBodies, manyFields}},
		{name: "readiness", addr: "readiness", path: "/", probe: "/", crowds: []string{manyFields, fieldsNoEnd}},
	})
}

// TestSiteWithstandsCrowdsOnAllPorts guards against limits that hold on each port by
// itself and not together.
func TestSiteWithstandsCrowdsOnAllPorts(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes in real time")
	}
	program := build(t)
	for _, tt := range []struct {
		name                                          string
		callers, operators, peers, readiness, metrics string // crowds
	}{
		{"bodies", pieces, tinyChunks, wholeBodies, tinyChunks, pieces},
		{"heads", manyFields, fieldsNoEnd, manyFields, manyFields, fieldsNoEnd},
		{"bodies and heads", wholeBodies, manyFields, largeChunks, slowHeads, neverReaders},
		{oneProcessor, pieces, tinyChunks, wholeBodies, tinyChunks, pieces},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.name == oneProcessor {
				t.Setenv("GOMAXPROCS", "1") // for the process under test
			}
			p := newSite(t, program, moreFDs)
			for _, crowd := range []struct{ addr, path, name string }{
				{"readiness", "/", tt.readiness},
				{"metrics", "/metrics", tt.metrics},
				{"operators", "/flows", tt.operators},
				{"operators", cellPath + "Submit", tt.peers},
				{"callers", callPath, tt.callers},
			} {
				defer crowdNamed(crowd.name).gather(p.addrs[crowd.addr], crowd.path, "")()
			}
			p.accept("an ordinary job, while the crowds' connections are open", p.body(2))
			p.answer(p.addrs["readiness"], "/")
			p.answer(p.addrs["operators"], "/site")
			p.check()
		})
	}
}

// TestProcessesRestartAmongUntrustedClients guards against a process that clients keep
// from ending when it is told to, or from serving when it has just started.
func TestProcessesRestartAmongUntrustedClients(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes in real time")
	}
	program := build(t)
	for _, tt := range []struct {
		name       string
		newProcess func(*testing.T, string, int) *process
		path       string
		signals    []os.Signal
	}{
		{"site", newSite, callPath, []os.Signal{syscall.SIGHUP, syscall.SIGTERM}},
		{"serve", newServe, "/v1/jobs", []os.Signal{syscall.SIGTERM}},
		{"serve " + oneProcessor, newServe, "/v1/jobs", []os.Signal{syscall.SIGTERM}},
	} {
		for _, crowd := range []string{slowHeads, fastHeads, fieldsReopened, slowReaders} {
			t.Run(tt.name+"/"+crowd, func(t *testing.T) {
				if strings.HasSuffix(tt.name, oneProcessor) {
					t.Setenv("GOMAXPROCS", "1") // for the process under test
				}
				p := tt.newProcess(t, program, maxFDs)
				end := crowdNamed(crowd).gather(p.addrs["callers"], tt.path, "")
				defer end()
				for n := range 2 {
					p.stop(tt.signals...)
					p.start()
					p.accept("an ordinary job, after a restart", p.body(2+n))
				}
				p.check()
			})
		}
	}
}

// TestServeWithstandsUntrustedClients guards against the same faults of serve.
func TestServeWithstandsUntrustedClients(t *testing.T) {
	play(t, newServe, maxFDs, []target{
		{name: "operators", addr: "callers", path: "/v1/jobs", probe: "/healthz", crowds: []string{wholeBodies, pieces, tinyChunks, slowHeads, emptyLater}},
		{name: "peers", addr: "callers", path: peerPath + "Forward", probe: "/healthz", crowds: []string{largeChunks, endlessBody}},
	})
}

// TestSiteWithstandsOddClients guards against the same faults by clients that send
// little, something else, or valid requests without end.
func TestSiteWithstandsOddClients(t *testing.T) {
	play(t, newSite, moreFDs, []target{
		{name: "callers", addr: "callers", path: callPath, crowds: []string{silent, idleAfter, reconnecting, notHTTP, extensions, trailers, trailersNoEnd, expecting, longPaths, sameJob, allKinds}},
		{name: "operators", addr: "operators", path: "/flows", probe: "/site", crowds: []string{silent, notHTTP, extensions, trailers, longPaths, allKinds}},
		{name: "readiness", addr: "readiness", path: "/", probe: "/", crowds: []string{silent, idleAfter, notHTTP, expecting, allKinds}},
	})
}

// TestServeWithstandsOddClients guards against the same faults of serve.
func TestServeWithstandsOddClients(t *testing.T) {
	play(t, newServe, moreFDs, []target{
		{name: "callers", addr: "callers", path: runPath, more: runHeaders, probe: "/healthz", crowds: []string{silent, idleAfter, reconnecting, notHTTP, extensions, trailers, trailersNoEnd, expecting, longPaths, allKinds}},
		{name: "operators", addr: "callers", path: "/v1/patches", probe: "/healthz", crowds: []string{patchesAtOnce}},
		{name: "peers", addr: "callers", path: peerPath + "Forward", probe: "/healthz", crowds: []string{jsonHeaders, protoHeaders}},
	})
}

// TestServeWithstandsFurtherUntrustedClients guards against the same faults on further
// paths and with further contents.
func TestServeWithstandsFurtherUntrustedClients(t *testing.T) {
	play(t, newServe, maxFDs, []target{
		{name: "callers", addr: "callers", path: runPath, more: runHeaders, probe: "/healthz", crowds: []string{wholeBodies, pieces, largeChunks, tinyChunks, bigHeads, fastHeads, emptyFirst, largestBodies, otherMethods, longWaits}},
		{name: "operators", addr: "callers", path: "/v1/jobs", probe: "/healthz", crowds: []string{largeChunks, bigHeads, fastHeads, emptyFirst, largestBodies, manyKeys}},
		{name: "operators", addr: "callers", path: "/v1/patches", probe: "/healthz", crowds: []string{patchValues}},
		{name: "operators", addr: "callers", path: "/metrics", probe: "/healthz", crowds: []string{neverReaders, slowReaders}},
		{name: "peers", addr: "callers", path: peerPath + "Forward", probe: "/healthz", crowds: []string{wholeBodies, pieces, tinyChunks, headerValues}},
	})
}

// TestServeWithstandsManyConnections guards against the same faults where the memory
// and not the descriptors bounds the connections.
func TestServeWithstandsManyConnections(t *testing.T) {
	play(t, newServe, moreFDs, []target{
		{name: "callers", addr: "callers", path: runPath, more: runHeaders, probe: "/healthz", crowds: []string{wholeBodies, tinyChunks, manyFields, fieldsNoEnd, fieldsLater}},
		{name: "peers", addr: "callers", path: peerPath + "Forward", probe: "/healthz", crowds: []string{largeChunks, manyFields}},
	})
}
