package core

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// TestOrdersOfOneCallAreBounded guards against a call with so many orders that the
// relay refuses it as too large, which would fail all of them.
func TestOrdersOfOneCallAreBounded(t *testing.T) {
	is := is.New(t)
	orders := make([]NumberedOrder, 1000)
	for i := range orders {
		orders[i].Order = sched.Order{Payload: strings.Repeat("x", 4000)}
	}
	is.Equal(fittingOrders(nil), 0)
	is.Equal(fittingOrders(orders[:100]), 100)
	is.Equal(fittingOrders(orders), maxRelayBytes/4500)
	orders[0].Payload = strings.Repeat("x", 2*maxRelayBytes)
	is.Equal(fittingOrders(orders), 1) // goes by itself
}
