package cell

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/tamaracklink/tamaracklink/internal/coordination/core"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
)

// TestCustomerTravelsBetweenInstances guards against a peer that takes a call for
// that of another caller, and an outcome that becomes another on its way.
func TestCustomerTravelsBetweenInstances(t *testing.T) {
	is := is.New(t)
	st := flow.Status{Queue: "q", State: flow.Active, ConfigVersion: 7, Customer: "red"}
	for _, err := range []error{nil, core.ErrJobNotFound, core.ErrNotExecuted, core.ErrOutcomeUnknown, core.ErrOtherCustomer} {
		got, gotErr := fromOutcome(toOutcome(st, err), nil)
		is.True(errors.Is(gotErr, err))
		is.Equal(got, st)
	}
	by := keys.Caller{Customer: "red", Check: true}
	is.Equal(callerOf(jobRequest("aa", by)), by)
	is.Equal(proto.Size(jobRequest("aa", keys.Caller{})), 4) // as before there were customers
}
