package cellpb_test

import (
	"testing"

	"github.com/tamaracklink/tamaracklink/internal/protocol/cellpb"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

func TestGeneratedCellCodeMatchesProto(t *testing.T) {
	check.MatchesProto(t, "cell.proto", cellpb.File_internal_protocol_cellpb_cell_proto)
}
