package cell

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/protocol/cellpb"
	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Prefix is the path under which the calls arrive.
const Prefix = cellpb.CellPathPrefix

// Codes of an Outcome.
const (
	codeDone = iota
	codeNotRun
	codeUnknown
	codeNoJob
)

// Server answers the calls of other instances.
type Server struct{ Core *core.Core }

// Handler gives the server as an HTTP handler.
func (s *Server) Handler() http.Handler { return cellpb.NewCellServer(s) }

// Advise asks the placement service for a peer.
func (s *Server) Advise(ctx context.Context, q *cellpb.AdviseRequest) (*cellpb.AdviseReply, error) {
	a, err := s.Core.Advise(ctx, q.Step, q.Workers, q.Quick)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	r := &cellpb.AdviseReply{ValidMs: a.Valid.Milliseconds()}
	for w, v := range a.Tickets {
		r.Tickets = append(r.Tickets, &cellpb.Ticket{Worker: w, Value: v})
	}
	return r, nil
}

// Submit takes a job in for a peer.
func (s *Server) Submit(ctx context.Context, q *cellpb.SubmitRequest) (*cellpb.Outcome, error) {
	spec, err := flow.DecodeSpec(q.Spec)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	return outcome(flow.Status{}, s.Core.Submit(ctx, spec)), nil
}

// Cancel cancels a job for a peer.
func (s *Server) Cancel(ctx context.Context, q *cellpb.JobRequest) (*cellpb.Outcome, error) {
	return outcome(flow.Status{}, s.Core.Cancel(ctx, q.Id)), nil
}

// Status gives a job's state to a peer.
func (s *Server) Status(ctx context.Context, q *cellpb.JobRequest) (*cellpb.Outcome, error) {
	st, err := s.Core.Status(ctx, q.Id)
	return outcome(st, err), nil
}

// Ready tells a peer whether this instance can store calls.
func (s *Server) Ready(context.Context, *cellpb.ReadyRequest) (*cellpb.ReadyReply, error) {
	return &cellpb.ReadyReply{Ready: s.Core.Ready()}, nil
}

func outcome(st flow.Status, err error) *cellpb.Outcome {
	o := &cellpb.Outcome{Queue: st.Queue, State: int32(st.State)}
	switch {
	case errors.Is(err, core.ErrNoJob):
		o.Code = codeNoJob
	case errors.Is(err, core.ErrNotRun):
		o.Code = codeNotRun
	case err != nil:
		o.Code = codeUnknown
	}
	return o
}

// Client calls other instances.
type Client struct {
	http *http.Client

	mu    sync.Mutex
	peers map[string]cellpb.Cell
}

// NewClient gives a client that uses h.
func NewClient(h *http.Client) *Client {
	return &Client{http: h, peers: map[string]cellpb.Cell{}}
}

func (c *Client) peer(addr string) cellpb.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[addr]
	if p == nil {
		p = cellpb.NewCellProtobufClient("http://"+addr, c.http)
		c.peers[addr] = p
	}
	return p
}

// Advise asks the placement service through the instance at addr.
func (c *Client) Advise(ctx context.Context, addr, step string, workers []string, quick bool) (core.Advice, error) {
	r, err := c.peer(addr).Advise(ctx, &cellpb.AdviseRequest{Step: step, Workers: workers, Quick: quick})
	if err != nil {
		return core.Advice{}, errs.At("ask for advice", addr, err)
	}
	a := core.Advice{Tickets: make(map[string]string, len(r.Tickets)), Valid: time.Duration(r.ValidMs) * time.Millisecond}
	for _, t := range r.Tickets {
		a.Tickets[t.Worker] = t.Value
	}
	return a, nil
}

// Submit hands a job to the instance at addr.
func (c *Client) Submit(ctx context.Context, addr string, s *flow.Spec) error {
	data, err := flow.EncodeSpec(s)
	if err != nil {
		return err
	}
	o, err := c.peer(addr).Submit(ctx, &cellpb.SubmitRequest{Spec: data})
	_, err = result(o, err)
	return errs.At("hand a job over", addr, err)
}

// Cancel cancels a job through the instance at addr.
func (c *Client) Cancel(ctx context.Context, addr, id string) error {
	o, err := c.peer(addr).Cancel(ctx, &cellpb.JobRequest{Id: id})
	_, err = result(o, err)
	return errs.At("hand a cancellation over", addr, err)
}

// Status asks the instance at addr for a job's state.
func (c *Client) Status(ctx context.Context, addr, id string) (flow.Status, error) {
	o, err := c.peer(addr).Status(ctx, &cellpb.JobRequest{Id: id})
	st, err := result(o, err)
	return st, errs.At("ask for a job's state", addr, err)
}

// Ready asks the instance at addr whether it can store calls; no answer means no.
func (c *Client) Ready(ctx context.Context, addr string) bool {
	r, err := c.peer(addr).Ready(ctx, &cellpb.ReadyRequest{})
	return err == nil && r.Ready
}

// result gives the outcome as the error that core would give; a call without an
// answer may have been carried out, unless no connection came about.
func result(o *cellpb.Outcome, err error) (flow.Status, error) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return flow.Status{}, core.ErrNotRun
	case err != nil:
		return flow.Status{}, core.ErrUnknown
	}
	st := flow.Status{Queue: o.Queue, State: flow.State(o.State)}
	switch o.Code {
	case codeDone:
		return st, nil
	case codeNotRun:
		return st, core.ErrNotRun
	case codeNoJob:
		return st, core.ErrNoJob
	}
	return st, core.ErrUnknown
}
