// Package plat is the client of the platform's list of instances, over HTTP with
// JSON bodies, and makes the HTTP client through which an instance calls it.
package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// maxReplyBytes bounds the size of one answer.
const maxReplyBytes = 64 << 20

// HeaderDomain tells the platform from which failure domain a call comes.
const HeaderDomain = "Tamaracklink-Domain"

// Dial opens a connection.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// NewHTTP gives the client through which an instance of the failure domain calls
// the platform. A nil dial uses TCP.
func NewHTTP(domain string, dial Dial) *http.Client {
	t := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &http.Client{Transport: &domainTransport{domain: domain, next: t}}
}

// domainTransport tells the platform from which failure domain each call comes.
type domainTransport struct {
	domain string
	next   *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *domainTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(HeaderDomain, t.domain)
	return t.next.RoundTrip(r)
}

// CloseIdleConnections is called by the client's method of that name.
func (t *domainTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// Client reads the list from the platform at one address.
type Client struct {
	addr   string
	domain string
	http   *http.Client

	mu      sync.Mutex
	own     part
	entries part
}

// New gives a client for an instance of the failure domain.
func New(addr, domain string, h *http.Client) *Client {
	return &Client{addr: addr, domain: domain, http: h}
}

type listedInstance struct {
	Name     string    `json:"name"`
	Kind     string    `json:"kind"`
	Domain   string    `json:"domain"`
	Rack     string    `json:"rack"`
	Addr     string    `json:"addr"`
	State    string    `json:"state"`
	Slots    int       `json:"slots"`
	Capacity work.Size `json:"capacity"`
}

type listReply struct {
	Instances []listedInstance `json:"instances"`
}

// List gives the platform's list of instances: all of this domain, and the entry
// instances of the others. A part that has not changed is not sent again.
func (c *Client) List(ctx context.Context) ([]member.Node, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own, err := c.listPart(ctx, &c.own, "/instances?domain="+url.QueryEscape(c.domain))
	if err != nil {
		return nil, errs.At("read the list of instances", c.addr, err)
	}
	entries, err := c.listPart(ctx, &c.entries, "/instances?kind="+member.KindEntry)
	if err != nil {
		return nil, errs.At("read the list of instances", c.addr, err)
	}
	return append(append([]member.Node(nil), own...), entries...), nil
}

// part is a part of the list as it was read last.
type part struct {
	tag   string
	nodes []member.Node
}

func (c *Client) listPart(ctx context.Context, p *part, path string) ([]member.Node, error) {
	var reply listReply
	tag, err := c.get(ctx, path, p.tag, &reply)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusNotModified {
		return p.nodes, nil
	}
	if err != nil {
		return nil, err
	}
	nodes := make([]member.Node, 0, len(reply.Instances))
	for _, i := range reply.Instances {
		nodes = append(nodes, member.Node{
			Name: i.Name, Kind: i.Kind, Domain: i.Domain, Rack: i.Rack, Addr: i.Addr, State: i.State, Slots: i.Slots, Cap: i.Capacity,
		})
	}
	p.tag = tag
	p.nodes = nodes
	return nodes, nil
}

type statusError struct {
	code int
	body []byte
}

func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.code, errs.Shorten(string(e.body)))
}

// get reads a part of the list and gives the reply's entity tag; with a tag of
// its own it asks for nothing that is the same.
func (c *Client) get(ctx context.Context, path, tag string, reply any) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+path, nil)
	if err != nil {
		return "", errors.Wrap(err, "build request")
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return "", errors.Wrap(err, "read reply")
	}
	if resp.StatusCode != http.StatusOK {
		return "", &statusError{resp.StatusCode, data}
	}
	return resp.Header.Get("ETag"), errs.At("decode reply", c.addr, json.Unmarshal(data, reply))
}
