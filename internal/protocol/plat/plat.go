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
	"strings"
	"sync"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/addrs"
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
// goroutines. Logger must be set before the first call, if at all.
type Client struct {
	Logger zerolog.Logger

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
	Instances []json.RawMessage `json:"instances"`
}

// Bounds of an entry of the list.
const (
	// maxEntryBytes is many times the length of an entry.
	maxEntryBytes = 16 << 10
	// maxSlots and maxCapacity leave room for the sums over a million instances.
	maxSlots    = 1 << 20
	maxCapacity = 1 << 40
)

// decodeInstance decodes and checks an entry of the list. The error names the
// field.
func decodeInstance(data []byte) (member.Instance, error) {
	if len(data) > maxEntryBytes {
		return member.Instance{}, errors.Errorf("an entry has %d bytes, more than %d", len(data), maxEntryBytes)
	}
	var listed listedInstance
	if err := json.Unmarshal(data, &listed); err != nil {
		return member.Instance{}, errors.Wrapf(err, "instance %q", errs.Shorten(listed.Name))
	}
	reject := func(format string, args ...any) (member.Instance, error) {
		return member.Instance{}, errors.Errorf("instance %q: "+format, append([]any{errs.Shorten(listed.Name)}, args...)...)
	}
	if listed.Name == "" || strings.ContainsFunc(listed.Name, func(r rune) bool { return unicode.IsControl(r) || r == utf8.RuneError }) {
		return reject("the name is empty or has bytes that are not text")
	}
	if listed.Kind == "" {
		return reject("no kind")
	}
	if err := addrs.Check(listed.Addr); err != nil {
		return reject("addr %q: %w", errs.Shorten(listed.Addr), err)
	}
	if listed.Slots < 0 || listed.Slots > maxSlots {
		return reject("slots %d is not in 0..%d", listed.Slots, maxSlots)
	}
	none, most := work.Size{}, work.Size{CPU: maxCapacity, Memory: maxCapacity, Accelerators: maxCapacity}
	if !none.FitsIn(listed.Capacity) || !listed.Capacity.FitsIn(most) {
		return reject("capacity %v is not in 0..%d", listed.Capacity, int64(maxCapacity))
	}
	return member.Instance{
		Name: listed.Name, Kind: listed.Kind, Domain: listed.Domain, Rack: listed.Rack, Addr: listed.Addr, State: listed.State, Slots: listed.Slots, Capacity: listed.Capacity,
	}, nil
}

// List returns the platform's list of instances: all of the client's domain, then
// the entry instances of all domains. The platform does not send a part again
// that has not changed. An entry that describes no instance is skipped and logged
// once.
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
	skipped   map[string]bool // errors of the entries that were skipped
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
	skipped := map[string]bool{}
	for _, data := range reply.Instances {
		inst, err := decodeInstance(data)
		if err == nil {
			instances = append(instances, inst)
			continue
		}
		if skipped[err.Error()] = true; !p.skipped[err.Error()] {
			c.Logger.Warn().Err(err).Msg("platform: skipping an entry of the list of instances")
		}
	}
	p.etag, p.instances, p.skipped = etag, instances, skipped
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
