package peerpb_test

import (
	"testing"

	"github.com/tamaracklink/tamaracklink/internal/protocol/peerpb"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

func TestGeneratedPeerCodeMatchesProto(t *testing.T) {
	check.MatchesProto(t, "peer.proto", peerpb.File_internal_protocol_peerpb_peer_proto)
}
