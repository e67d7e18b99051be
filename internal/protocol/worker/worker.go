// Package worker is the client of a worker: it starts and stops tasks, renews
// their leases and reads what the worker runs, over HTTP with JSON bodies. All
// calls to workers go through it.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

const maxReplyBytes = 16 << 20

// HeaderDomain is the header with the failure domain of the calling instance.
const HeaderDomain = "Tamaracklink-Domain"

// Dial opens a connection.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client calls workers.
type Client struct {
	domain string
	http   *http.Client
}

// New returns a client for an instance in the given failure domain. A nil dial
// uses TCP.
func New(domain string, dial Dial) *Client {
	t := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}
	return &Client{domain: domain, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Calls returns the client's calls in the form that a leader uses.
func (c *Client) Calls() leader.WorkerCalls {
	return leader.WorkerCalls{Start: c.Start, Stop: c.Stop, Sync: c.Sync}
}

type startRequest struct {
	Tasks []StartedTask `json:"tasks"`
}

// Start starts tasks on the worker at addr.
func (c *Client) Start(ctx context.Context, addr string, tasks []leader.StartTask) error {
	var req startRequest
	for _, t := range tasks {
		req.Tasks = append(req.Tasks, StartedTask{
			Job: t.Task.Job, Index: t.Task.Index, Attempt: t.Attempt.Attempt, Size: t.Size,
			LeaseMS: t.Lease.Milliseconds(), Command: t.Command, RunMS: t.RunTime.Milliseconds(),
		})
	}
	return errs.At("start tasks", addr, c.call(ctx, addr, "/start", req, nil))
}

type stopRequest struct {
	Tasks []Attempt `json:"tasks"`
}

// Stop stops attempts on the worker at addr.
func (c *Client) Stop(ctx context.Context, addr string, attempts []leader.Attempt) error {
	var req stopRequest
	for _, a := range attempts {
		req.Tasks = append(req.Tasks, Attempt{a.Task.Job, a.Task.Index, a.Attempt})
	}
	return errs.At("stop tasks", addr, c.call(ctx, addr, "/stop", req, nil))
}

// Sync renews leases, acknowledges ends and returns the inventory of the worker
// at addr.
func (c *Client) Sync(ctx context.Context, addr string, query leader.SyncRequest) (leader.SyncReply, error) {
	req := SyncRequest{AckedEnd: query.AckedEnd, KnownVersion: query.KnownVersion, Renew: query.Renew, WaitMS: query.Wait.Milliseconds()}
	var reply SyncReply
	if err := c.call(ctx, addr, "/sync", req, &reply); err != nil {
		return leader.SyncReply{}, errs.At("sync with worker", addr, err)
	}
	out := leader.SyncReply{Unchanged: reply.Unchanged, Incarnation: reply.Boot, Version: reply.Version, Usage: bounded(reply.Usage)}
	for _, t := range reply.Running {
		out.Running = append(out.Running, leader.RunningTask{Attempt: t.toLeader(), Size: bounded(t.Size)})
	}
	for _, t := range reply.Ended {
		out.Ended = append(out.Ended, leader.EndedTask{Attempt: t.toLeader(), EndNumber: t.EndNumber, Outcome: t.Outcome})
	}
	return out, nil
}

// maxAmount is the largest amount in a reply. It leaves room in an int64 for the sum
// over all tasks that a reply can list.
const maxAmount = 1 << 40

// bounded returns s with each amount in 0..maxAmount.
func bounded(s work.Size) work.Size {
	amount := func(n int64) int64 { return max(0, min(n, maxAmount)) }
	return work.Size{CPU: amount(s.CPU), Memory: amount(s.Memory), Accelerators: amount(s.Accelerators)}
}

func (a Attempt) toLeader() leader.Attempt {
	return leader.Attempt{Task: work.TaskRef{Job: a.Job, Index: a.Index}, Attempt: a.Attempt}
}

// call posts in as JSON and decodes the reply into out. A nil out ignores the
// reply's body.
func (c *Client) call(ctx context.Context, addr, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.Header.Set(HeaderDomain, c.domain)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read reply")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", resp.StatusCode, errs.Shorten(string(data)))
	}
	if out == nil {
		return nil
	}
	return errs.At("decode reply", addr, json.Unmarshal(data, out))
}
