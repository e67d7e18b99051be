// Package plat is the client of the platform's list of instances, over HTTP with
// JSON bodies. It also makes the HTTP client for an instance's calls to the
// platform.
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

// maxReplyBytes is the limit on the size of a reply.
const maxReplyBytes = 64 << 20

// HeaderDomain is the header with the failure domain of the calling instance.
const HeaderDomain = "Tamaracklink-Domain"

// Dial opens a connection.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// NewHTTPClient returns the HTTP client with which an instance in the given
// failure domain calls the platform. A nil dial uses TCP.
func NewHTTPClient(domain string, dial Dial) *http.Client {
	t := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second, DisableCompression: true}
	return &http.Client{Transport: &domainTransport{domain: domain, next: t}}
}

// domainTransport adds HeaderDomain to each request.
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

// CloseIdleConnections makes http.Client.CloseIdleConnections close the idle
// connections of the wrapped transport.
func (t *domainTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// Client reads the platform's list of instances. It may be used by several
// goroutines.
type Client struct {
	addr   string
	domain string
	http   *http.Client

	mu             sync.Mutex // guards the fields below, and is held during a List
	ownDomain      cachedPart
	entryInstances cachedPart
}

// New returns a client of the platform at addr for an instance in the given
// failure domain. It sends its calls through h, which is to add HeaderDomain.
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

// List returns the platform's list of instances: all of the client's domain, then
// the entry instances of all domains. The platform does not send a part again
// that has not changed.
func (c *Client) List(ctx context.Context) ([]member.Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ownDomain, err := c.readPart(ctx, &c.ownDomain, "/instances?domain="+url.QueryEscape(c.domain))
	if err != nil {
		return nil, errs.At("read the list of instances", c.addr, err)
	}
	entryInstances, err := c.readPart(ctx, &c.entryInstances, "/instances?kind="+member.KindEntry)
	if err != nil {
		return nil, errs.At("read the list of instances", c.addr, err)
	}
	return append(append([]member.Instance(nil), ownDomain...), entryInstances...), nil
}

// cachedPart is the last read of a part of the list.
type cachedPart struct {
	etag      string
	instances []member.Instance
}

func (c *Client) readPart(ctx context.Context, p *cachedPart, path string) ([]member.Instance, error) {
	var reply listReply
	etag, err := c.get(ctx, path, p.etag, &reply)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusNotModified {
		return p.instances, nil
	}
	if err != nil {
		return nil, err
	}
	instances := make([]member.Instance, 0, len(reply.Instances))
	for _, listed := range reply.Instances {
		instances = append(instances, member.Instance{
			Name: listed.Name, Kind: listed.Kind, Domain: listed.Domain, Rack: listed.Rack, Addr: listed.Addr, State: listed.State, Slots: listed.Slots, Capacity: listed.Capacity,
		})
	}
	p.etag = etag
	p.instances = instances
	return instances, nil
}

type statusError struct {
	code int
	body []byte
}

func (e *statusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.code, errs.Shorten(string(e.body)))
}

// get reads a part of the list into reply and returns its entity tag. If etag is
// not empty and the part still has that tag, the error is a *statusError with code
// 304.
func (c *Client) get(ctx context.Context, path, etag string, reply any) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+path, nil)
	if err != nil {
		return "", errors.Wrap(err, "build request")
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
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
