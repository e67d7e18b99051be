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

// TestNewerPollsEndOlderOnes guards against callers that use up the connections of other
// instances by waiting for answers.
func TestNewerPollsEndOlderOnes(t *testing.T) {
	is := is.New(t)
	rs := &relayServer{}
	var polls []chan struct{}
	for range maxPolls + 1 {
		polls = append(polls, rs.beginPoll())
	}
	<-polls[0]
	for _, p := range polls {
		rs.endPoll(p)
	}
	is.Equal(len(rs.polls), 0)
	select {
	case <-polls[1]:
		t.Error("a call within the limit has been ended")
	default:
	}
}
