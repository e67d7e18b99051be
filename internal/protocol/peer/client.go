// Package peer is the client and the server of the calls between entry instances,
// over twirp. client.go calls another instance, serve.go handles its calls, and
// convert.go converts between the types of packages entry and member and the
// messages.
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/protocol/peerpb"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
)

// maxClients is the number of cached clients at which the cache is emptied.
const maxClients = 2048

// Client calls other entry instances.
type Client struct {
	// OnReport is called with each report that an answer to Forward carries, and
	// with the time when the request was sent. It may be nil.
	OnReport func(r member.Report, sent time.Time)

	http *http.Client
	now  func() time.Time

	mu      sync.Mutex             // guards clients
	clients map[string]peerpb.Peer // by address
}

// Dial opens a connection.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// NewClient returns a client that reads the time from now. A nil dial uses TCP.
func NewClient(now func() time.Time, dial Dial) *Client {
	t := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &Client{http: &http.Client{Transport: t}, now: now, clients: map[string]peerpb.Peer{}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) client(addr string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[addr]
	if client == nil {
		if len(c.clients) >= maxClients {
			clear(c.clients)
		}
		client = peerpb.NewPeerProtobufClient("http://"+addr, c.http)
		c.clients[addr] = client
	}
	return client
}

// SendHeartbeat sends this instance's report as a heartbeat to the instance at
// addr and returns that instance's report.
func (c *Client) SendHeartbeat(ctx context.Context, addr string, r member.Report) (member.Report, error) {
	reply, err := c.client(addr).Beat(ctx, toReport(r))
	if err != nil {
		return member.Report{}, errs.At("heartbeat", addr, err)
	}
	return fromReport(reply), nil
}

// Forward forwards a request to the instance at addr and returns its answer. With
// an error the request may have been executed there.
func (c *Client) Forward(ctx context.Context, addr string, req *entry.Request) (entry.Answer, error) {
	sent := c.now()
	reply, err := c.client(addr).Forward(ctx, toRequest(req, sent))
	if err != nil {
		return entry.Answer{}, errs.At("hand request over", addr, err)
	}
	if reply.Report != nil && c.OnReport != nil {
		c.OnReport(fromReport(reply.Report), sent)
	}
	return fromAnswer(reply), nil
}

// FetchState returns the newest state of a stream that the instance at addr has,
// in its encoded form.
func (c *Client) FetchState(ctx context.Context, addr, name string) ([]byte, error) {
	reply, err := c.client(addr).State(ctx, &peerpb.StateRequest{Stream: name})
	if err != nil {
		return nil, errs.At("fetch state of "+name, addr, err)
	}
	return reply.State, nil
}

// ForwardOperatorCall forwards an operator's call to the instance at addr and
// returns the HTTP status and the body of the response.
func (c *Client) ForwardOperatorCall(ctx context.Context, addr, method, path string, body []byte) (int, []byte, error) {
	reply, err := c.client(addr).Relay(ctx, &peerpb.RelayRequest{Method: method, Path: path, Body: body})
	if err != nil {
		return 0, nil, errs.At("relay operator's call", addr, err)
	}
	return int(reply.Status), reply.Body, nil
}
