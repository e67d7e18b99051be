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
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
)

// PathPrefix is the path prefix of the calls.
const PathPrefix = cellpb.CellPathPrefix

// Codes of a cellpb.Outcome. They are sent, so their order must not change.
const (
	codeExecuted = iota
	codeNotExecuted
	codeOutcomeUnknown
	codeJobNotFound
	codeOtherCustomer
)

// maxRetryAfterS bounds the Retry-After that a peer sends, in seconds.
const maxRetryAfterS = 3600

// Server handles the calls of other instances. Core must be set.
type Server struct{ Core *core.Core }

// Handler returns the HTTP handler of the calls under PathPrefix.
func (s *Server) Handler() http.Handler { return cellpb.NewCellServer(s) }

// Advise queries the placement service for a peer. The error is a twirp error
// with code unavailable.
func (s *Server) Advise(ctx context.Context, req *cellpb.AdviseRequest) (*cellpb.AdviseReply, error) {
	a, err := s.Core.RequestTickets(ctx, req.Step, req.Workers, req.Quick)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &cellpb.AdviseReply{ValidMs: a.ValidFor.Milliseconds()}
	for worker, ticket := range a.Tickets {
		reply.Tickets = append(reply.Tickets, &cellpb.Ticket{Worker: worker, Value: ticket})
	}
	return reply, nil
}

// Submit accepts a job for a peer. The outcome carries the result; the error is
// only for a spec that can't be decoded or is not valid.
func (s *Server) Submit(ctx context.Context, req *cellpb.SubmitRequest) (*cellpb.Outcome, error) {
	spec, err := flow.DecodeForwarded(req.Spec)
	if err != nil {
		return nil, twirp.NewError(twirp.InvalidArgument, err.Error())
	}
	return toOutcome(flow.Status{}, s.Core.Submit(ctx, spec)), nil
}

// Cancel cancels a job for a peer. The outcome carries the result; the error is
// always nil.
func (s *Server) Cancel(ctx context.Context, req *cellpb.JobRequest) (*cellpb.Outcome, error) {
	return toOutcome(flow.Status{}, s.Core.Cancel(ctx, req.Id, callerOf(req))), nil
}

// Status returns a job's current state for a peer. If there is none, the
// outcome's code says why. The error is always nil.
func (s *Server) Status(ctx context.Context, req *cellpb.JobRequest) (*cellpb.Outcome, error) {
	st, err := s.Core.CurrentStatus(ctx, req.Id, callerOf(req))
	return toOutcome(st, err), nil
}

// Pending returns the number of pending jobs of a queue for a peer. The
// outcome's code is that of core.Core.PendingJobs. The error is always nil.
func (s *Server) Pending(_ context.Context, req *cellpb.PendingRequest) (*cellpb.PendingReply, error) {
	n, err := s.Core.PendingJobs(req.Queue)
	return &cellpb.PendingReply{Code: toOutcome(flow.Status{}, err).Code, Jobs: int64(n)}, nil
}

// Ready returns whether this instance can store calls now. The error is always
// nil.
func (s *Server) Ready(context.Context, *cellpb.ReadyRequest) (*cellpb.ReadyReply, error) {
	return &cellpb.ReadyReply{Ready: s.Core.Ready()}, nil
}

func jobRequest(id string, by keys.Caller) *cellpb.JobRequest {
	return &cellpb.JobRequest{Id: id, Customer: by.Customer, Check: by.Check}
}

func callerOf(req *cellpb.JobRequest) keys.Caller {
	return keys.Caller{Customer: req.Customer, Check: req.Check}
}

func toOutcome(st flow.Status, err error) *cellpb.Outcome {
	o := &cellpb.Outcome{Queue: st.Queue, State: int32(st.State), ConfigVersion: st.ConfigVersion, Customer: st.Customer}
	var rejected *core.RejectedError
	switch {
	case errors.Is(err, core.ErrJobNotFound):
		o.Code = codeJobNotFound
	case errors.Is(err, core.ErrOtherCustomer):
		o.Code = codeOtherCustomer
	case errors.As(err, &rejected):
		o.Code, o.RetryAfterS = codeNotExecuted, int64(rejected.RetryAfter/time.Second)
	case errors.Is(err, core.ErrNotExecuted):
		o.Code = codeNotExecuted
	case err != nil:
		o.Code = codeOutcomeUnknown
	}
	return o
}

// Client calls other instances. It may be used by several goroutines.
type Client struct {
	http *http.Client

	mu      sync.Mutex             // guards clients
	clients map[string]cellpb.Cell // by address
}

// NewClient returns a client that sends its calls through h.
func NewClient(h *http.Client) *Client {
	return &Client{http: h, clients: map[string]cellpb.Cell{}}
}

func (c *Client) client(addr string) cellpb.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[addr]
	if client == nil {
		client = cellpb.NewCellProtobufClient("http://"+addr, c.http)
		c.clients[addr] = client
	}
	return client
}

// RequestTickets queries the placement service through the instance at addr. A
// quick call is short and goes before long ones there.
func (c *Client) RequestTickets(ctx context.Context, addr, step string, workers []string, quick bool) (core.PlacementReply, error) {
	reply, err := c.client(addr).Advise(ctx, &cellpb.AdviseRequest{Step: step, Workers: workers, Quick: quick})
	if err != nil {
		return core.PlacementReply{}, errs.At("ask for advice", addr, err)
	}
	a := core.PlacementReply{Tickets: make(map[string]string, len(reply.Tickets)), ValidFor: time.Duration(reply.ValidMs) * time.Millisecond}
	for _, t := range reply.Tickets {
		a.Tickets[t.Worker] = t.Value
	}
	return a, nil
}

// Submit forwards a job to the instance at addr. The errors are those of
// core.Core.Submit, wrapped; it may also fail to encode the job.
func (c *Client) Submit(ctx context.Context, addr string, s *flow.Spec) error {
	data, err := flow.EncodeSpec(s)
	if err != nil {
		return err
	}
	o, err := c.client(addr).Submit(ctx, &cellpb.SubmitRequest{Spec: data})
	_, err = fromOutcome(o, err)
	return errs.At("hand a job over", addr, err)
}

// Cancel cancels a job through the instance at addr. The errors are those of
// core.Core.Cancel, wrapped.
func (c *Client) Cancel(ctx context.Context, addr, id string, by keys.Caller) error {
	o, err := c.client(addr).Cancel(ctx, jobRequest(id, by))
	_, err = fromOutcome(o, err)
	return errs.At("hand a cancellation over", addr, err)
}

// Status returns a job's state as the instance at addr reports it. The errors are
// those of package core, wrapped.
func (c *Client) Status(ctx context.Context, addr, id string, by keys.Caller) (flow.Status, error) {
	o, err := c.client(addr).Status(ctx, jobRequest(id, by))
	st, err := fromOutcome(o, err)
	return st, errs.At("ask for a job's state", addr, err)
}

// Pending returns the number of pending jobs of a queue as the instance at addr
// reports it. The errors are those of package core, wrapped.
func (c *Client) Pending(ctx context.Context, addr, queue string) (int, error) {
	reply, err := c.client(addr).Pending(ctx, &cellpb.PendingRequest{Queue: queue})
	_, err = fromOutcome(&cellpb.Outcome{Code: reply.GetCode()}, err)
	return int(reply.GetJobs()), errs.At("ask for a queue's pending jobs", addr, err)
}

// Ready reports whether the instance at addr can store calls. The error is that of
// a call without an answer.
func (c *Client) Ready(ctx context.Context, addr string) (bool, error) {
	reply, err := c.client(addr).Ready(ctx, &cellpb.ReadyRequest{})
	if err != nil {
		return false, errs.At("probe", addr, err)
	}
	return reply.Ready, nil
}

// fromOutcome returns the status and the error of package core that an outcome
// stands for. A call that failed may have been executed, unless no connection was
// established.
func fromOutcome(o *cellpb.Outcome, err error) (flow.Status, error) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return flow.Status{}, core.ErrNotExecuted
	case err != nil:
		return flow.Status{}, core.ErrOutcomeUnknown
	}
	st := flow.Status{Queue: o.Queue, State: flow.State(o.State), ConfigVersion: o.ConfigVersion, Customer: o.Customer}
	switch o.Code {
	case codeExecuted:
		return st, nil
	case codeNotExecuted:
		if o.RetryAfterS > 0 {
			return st, &core.RejectedError{RetryAfter: time.Duration(min(o.RetryAfterS, maxRetryAfterS)) * time.Second}
		}
		return st, core.ErrNotExecuted
	case codeJobNotFound:
		return st, core.ErrJobNotFound
	case codeOtherCustomer:
		return st, core.ErrOtherCustomer
	}
	return st, core.ErrOutcomeUnknown
}
