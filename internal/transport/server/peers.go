package server

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/conf"
	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	protocol "github.com/tamaracklink/tamaracklink/internal/protocol/peer"
	"github.com/tamaracklink/tamaracklink/internal/transport/guard"
)

// peerPath is the path of calls from other instances.
const peerPath = protocol.PathPrefix + "*call"

func (i *Instance) peerHandler() http.Handler {
	s := &protocol.Server{
		HeartbeatFunc: i.answerHeartbeat, ForwardFunc: i.router.Do, StateFunc: i.snapshot,
		ReportFunc: func() member.Report { return i.ownReport(i.now()) }, OperatorCallFunc: i.serveForwarded, Now: i.now,
	}
	return s.Handler()
}

// bodyRule returns the rule for a request's body.
func (i *Instance) bodyRule(r *http.Request) guard.Rule {
	if strings.HasPrefix(r.URL.Path, protocol.PathPrefix) {
		return guard.PeerRule(i.peerBodies, r)
	}
	return guard.Rule{Budget: i.clientBodies, MaxBytes: maxBodyBytes}
}

func (i *Instance) answerHeartbeat(r member.Report) member.Report {
	now := i.now()
	i.memberView.HandleReport(r)
	i.router.HandlePeerReport(r)
	reply := i.ownReport(now)
	i.domain.FillReply(r, &reply, now)
	return reply
}

func (i *Instance) snapshot(stream string) ([]byte, error) {
	switch {
	case stream == conf.Stream && i.configView.Ready():
		return i.configView.Snapshot()
	case stream == leader.StreamName(i.settings.Domain) && i.domain.Ready():
		return i.domain.Snapshot()
	}
	return nil, errors.Errorf("this instance has no state of stream %q", stream)
}
