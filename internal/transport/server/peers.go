package server

import (
	"net/http"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/conf"
	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	protocol "github.com/tamaracklink/tamaracklink/internal/protocol/peer"
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
