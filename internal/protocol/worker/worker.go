// Package worker is the client of a worker: it starts and stops tasks, renews
// their leases and reads what the worker runs, over HTTP with JSON bodies. All
// talk with workers passes through it.
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

// HeaderDomain tells a worker from which failure domain a call comes.
const HeaderDomain = "Tamaracklink-Domain"

// Dial opens a connection.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Client talks to workers.
type Client struct {
	domain string
	http   *http.Client
}

// New gives a client for an instance of the failure domain. A nil dial uses TCP.
func New(domain string, dial Dial) *Client {
	t := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second, DisableCompression: true, ReadBufferSize: 2 << 10, WriteBufferSize: 2 << 10}
	return &Client{domain: domain, http: &http.Client{Transport: t}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Workers gives the client's functions for a leader.
func (c *Client) Workers() leader.Workers {
	return leader.Workers{Start: c.Start, Stop: c.Stop, Sync: c.Sync}
}

type startRequest struct {
	Tasks []StartedTask `json:"tasks"`
}

// Start starts tasks on the worker.
func (c *Client) Start(ctx context.Context, addr string, tasks []leader.StartTask) error {
	var q startRequest
	for _, t := range tasks {
		q.Tasks = append(q.Tasks, StartedTask{
			Job: t.Task.Job, Index: t.Task.Index, Attempt: t.Attempt.Attempt, Size: t.Size,
			LeaseMS: t.Lease.Milliseconds(), Command: t.Command, RunMS: t.Run.Milliseconds(),
		})
	}
	return errs.At("start tasks", addr, c.call(ctx, addr, "/start", q, nil))
}

type stopRequest struct {
	Tasks []Attempt `json:"tasks"`
}

// Stop ends attempts on the worker.
func (c *Client) Stop(ctx context.Context, addr string, attempts []leader.Attempt) error {
	var q stopRequest
	for _, a := range attempts {
		q.Tasks = append(q.Tasks, Attempt{a.Task.Job, a.Task.Index, a.Attempt})
	}
	return errs.At("stop tasks", addr, c.call(ctx, addr, "/stop", q, nil))
}

// Sync renews leases and gives what the worker runs.
func (c *Client) Sync(ctx context.Context, addr string, q leader.SyncQuery) (leader.SyncReply, error) {
	w := SyncRequest{Ack: q.Ack, Seen: q.Seen, Renew: q.Renew, WaitMS: q.Wait.Milliseconds()}
	var reply SyncReply
	if err := c.call(ctx, addr, "/sync", w, &reply); err != nil {
		return leader.SyncReply{}, errs.At("sync with worker", addr, err)
	}
	out := leader.SyncReply{Same: reply.Same, Boot: reply.Boot, Version: reply.Version, Usage: reply.Usage}
	for _, t := range reply.Running {
		out.Running = append(out.Running, leader.RunningTask{Attempt: t.named(), Size: t.Size})
	}
	for _, t := range reply.Ended {
		out.Ended = append(out.Ended, leader.EndedTask{Attempt: t.named(), Number: t.Number, Outcome: t.Outcome})
	}
	return out, nil
}

func (a Attempt) named() leader.Attempt {
	return leader.Attempt{Task: work.TaskRef{Job: a.Job, Index: a.Index}, Attempt: a.Attempt}
}

func (c *Client) call(ctx context.Context, addr, path string, q, reply any) error {
	body, err := json.Marshal(q)
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
	if reply == nil {
		return nil
	}
	return errs.At("decode reply", addr, json.Unmarshal(data, reply))
}
