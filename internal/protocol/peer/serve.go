package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/protocol/peerpb"
)

// Server handles the calls of other entry instances with its functions. All
// fields must be set.
type Server struct {
	HeartbeatFunc    func(r member.Report) member.Report
	ForwardFunc      func(ctx context.Context, req *entry.Request) entry.Answer
	StateFunc        func(name string) ([]byte, error)
	ReportFunc       func() member.Report // of this instance, sent with each answer to Forward
	OperatorCallFunc func(ctx context.Context, method, path string, body []byte) (int, []byte)
	Now              func() time.Time
}

// PathPrefix is the path prefix of the calls.
const PathPrefix = peerpb.PeerPathPrefix

// Handler returns the HTTP handler of the calls under PathPrefix.
func (s *Server) Handler() http.Handler { return peerpb.NewPeerServer(s) }

// Beat handles a heartbeat and returns this instance's report.
func (s *Server) Beat(_ context.Context, r *peerpb.Report) (*peerpb.Report, error) {
	return toReport(s.HeartbeatFunc(fromReport(r))), nil
}

// Forward handles a request that a peer forwards. The error is always nil.
func (s *Server) Forward(ctx context.Context, req *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	reply := toAnswer(s.ForwardFunc(ctx, fromRequest(req, s.Now())))
	reply.Report = toReport(s.ReportFunc())
	return reply, nil
}

// State returns the newest state of a stream that this instance has, in its
// encoded form. If it has none, the error is a twirp error with code unavailable.
func (s *Server) State(_ context.Context, req *peerpb.StateRequest) (*peerpb.StateReply, error) {
	state, err := s.StateFunc(req.Stream)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.StateReply{State: state}, nil
}

// Relay handles an operator's call that another instance forwards. The error is
// always nil.
func (s *Server) Relay(ctx context.Context, req *peerpb.RelayRequest) (*peerpb.RelayReply, error) {
	status, body := s.OperatorCallFunc(ctx, req.Method, req.Path, req.Body)
	return &peerpb.RelayReply{Status: int32(status), Body: body}, nil
}
