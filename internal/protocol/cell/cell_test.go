package cell

import (
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/protocol/cellpb"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestRefusalPassesThroughPeers guards against refusals that lose their Retry-After
// between instances, and against those of earlier versions taken for decisions.
func TestRefusalPassesThroughPeers(t *testing.T) {
	var rejected *core.RejectedError
	o := toOutcome(flow.Status{}, errors.Wrap(&core.RejectedError{RetryAfter: 7 * time.Second}, "submit"))
	if _, err := fromOutcome(o, nil); !errors.As(err, &rejected) || rejected.RetryAfter != 7*time.Second || o.Code != codeNotExecuted {
		t.Errorf("got %v with code %d, want a refusal for 7 s with code %d", err, o.Code, codeNotExecuted)
	}
	if _, err := fromOutcome(&cellpb.Outcome{Code: codeNotExecuted}, nil); !errors.Is(err, core.ErrNotExecuted) {
		t.Errorf("got %v from an instance that sends no time, want %v", err, core.ErrNotExecuted)
	}
}
