// Package minion is the client of a minion: it sends a request and reads the
// whole answer, and asks which requests the minion runs, over HTTP/1.1. All calls
// to minions go through it.
//
// A minion repeats the Request-Id header of a request in its answer. An answer
// with no such header, with another value, or that is truncated does not count as
// an answer.
package minion

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
)

// Headers of requests to minions and of their answers.
const (
	HeaderRequestID = "Request-Id"
	HeaderRefused   = "Request-Refused" // "busy" or "leaving": the request was not started
	HeaderDomain    = "Tamaracklink-Domain"
)

// Limits of connections and answers.
const (
	// connsPerMinion is the size of the pool. Load queries, non-idempotent requests
	// and retries use connections of their own.
	connsPerMinion = 8
	idleTimeout    = 5 * time.Second
	dialTimeout    = time.Second
	// userTimeout is how long sent bytes may stay unacknowledged until the
	// connection is closed.
	userTimeout    = 2 * time.Second
	keepAliveIdle  = time.Second
	maxAnswerBytes = 8 << 20
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 0x12
)

// Client calls minions.
type Client struct {
	domain   string
	pooled   *http.Transport // reuses connections
	unpooled *http.Transport // opens a connection for each request
}

// Dial opens a connection.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a client for an instance in the given failure domain. A nil dial
// uses TCP with time-outs that detect silent connections early.
func New(domain string, dial Dial) *Client {
	if dial == nil {
		dial = dialTCP()
	}
	return &Client{
		domain: domain,
		pooled: &http.Transport{
			DialContext: dial, MaxConnsPerHost: connsPerMinion, MaxIdleConnsPerHost: connsPerMinion,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		},
		unpooled: &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true},
	}
}

func dialTCP() Dial {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle / 2, Count: 2},
		Control:         setUserTimeout,
	}
	return dialer.DialContext
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// CloseIdle closes the idle connections to all minions, whatever its argument. New
// ones are opened when they are needed.
func (c *Client) CloseIdle(string) { c.pooled.CloseIdleConnections() }

// Send sends the request to the minion at addr and returns the whole answer. Every
// error is an *entry.SendError. With newConn the request uses a connection of its
// own, on which the transport never retries.
func (c *Client) Send(ctx context.Context, addr string, request *entry.Request, newConn bool) (entry.Reply, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), request.Method, "http://"+addr+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return entry.Reply{}, &entry.SendError{Addr: addr, Err: err}
	}
	for name, values := range request.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, request.AttemptID)
	req.Header.Set(HeaderDomain, c.domain)
	transport := c.pooled
	if newConn {
		transport = c.unpooled
	}
	reply, err := c.exchange(transport, req, request.AttemptID)
	if err == nil {
		return reply, nil
	}
	sendErr := &entry.SendError{Sent: sent.Load(), Addr: addr, Err: err}
	var noAnswer *noAnswerError
	sendErr.Broken = sendErr.Sent && ctx.Err() == nil && errors.As(err, &noAnswer) && !unreachable(err)
	var refused *refusedError
	if errors.As(err, &refused) {
		sendErr.Refused = true
		sendErr.Leaving = refused.reason == "leaving"
	}
	return entry.Reply{}, sendErr
}

// refusedError says that the minion did not start the request.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return "refused: " + e.reason }

// noAnswerError says that no part of an answer arrived.
type noAnswerError struct{ err error }

func (e *noAnswerError) Error() string { return e.err.Error() }
func (e *noAnswerError) Unwrap() error { return e.err }

// unreachable reports whether the network, and not the minion, ended the
// connection.
func unreachable(err error) bool {
	var netErr net.Error
	timeout := errors.As(err, &netErr) && netErr.Timeout()
	return timeout || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

func (c *Client) exchange(t *http.Transport, req *http.Request, requestID string) (entry.Reply, error) {
	resp, err := t.RoundTrip(req)
	if err != nil {
		return entry.Reply{}, &noAnswerError{err}
	}
	defer resp.Body.Close()
	if got := resp.Header.Get(HeaderRequestID); got != requestID {
		t.CloseIdleConnections()
		return entry.Reply{}, errors.Errorf("answer has request ID %q, want %q", got, requestID)
	}
	if reason := resp.Header.Get(HeaderRefused); reason != "" && resp.StatusCode == http.StatusServiceUnavailable {
		return entry.Reply{}, &refusedError{reason}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && req.Method != http.MethodHead {
		return entry.Reply{}, errors.New("answer has neither a length nor chunks, so truncation can't be detected")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return entry.Reply{}, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswerBytes {
		return entry.Reply{}, errors.Errorf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return entry.Reply{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

type loadReply struct {
	Running     []string `json:"running"`
	Connections int      `json:"connections"`
	Leaving     bool     `json:"leaving"`
}

// Load returns what the minion at addr runs. It uses a new connection.
func (c *Client) Load(ctx context.Context, addr string) (entry.Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/load", nil)
	if err != nil {
		return entry.Load{}, errors.Wrap(err, "build request")
	}
	req.Header.Set(HeaderDomain, c.domain)
	resp, err := c.unpooled.RoundTrip(req)
	if err != nil {
		return entry.Load{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return entry.Load{}, errors.Errorf("status %d", resp.StatusCode)
	}
	var reply loadReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&reply); err != nil {
		return entry.Load{}, errors.Wrap(err, "decode load")
	}
	return entry.Load{Running: reply.Running, Connections: reply.Connections, Leaving: reply.Leaving}, nil
}
