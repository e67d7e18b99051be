package limit

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestConnectionsAreClosedInOrder guards against a client that is closed while
// its request is executed, and against one that never completes a request
// outliving those that do.
func TestConnectionsAreClosedInOrder(t *testing.T) {
	is := is.New(t)
	s := NewConns(4)
	accept := func() *Conn {
		c, victim, _ := s.Accept()
		is.Equal(victim, nil) // within the limit
		return c
	}
	idle, old, executing, young := accept(), accept(), accept(), accept()
	is.True(s.Execute(idle))
	s.Idle(idle)
	is.True(s.Execute(executing))
	s.Begin(executing) // the next request arrives early

	var closed []*Conn
	var reasons []string
	for range 3 {
		_, victim, reason := s.Accept()
		is.True(!s.Execute(victim)) // it is about to be closed
		s.Remove(victim)
		closed, reasons = append(closed, victim), append(reasons, reason)
		is.Equal(s.Open(), 4)
	}
	is.Equal(closed[:2], []*Conn{old, young}) // those whose head began first
	is.Equal(reasons, []string{ReasonIncomplete, ReasonIncomplete, ReasonIncomplete})

	s = NewConns(2)
	idle, executing = accept(), accept()
	is.True(s.Execute(idle) && s.Execute(executing))
	s.Idle(idle)
	_, victim, reason := s.Accept()
	is.Equal(victim, idle) // rather than the new one
	is.Equal(reason, ReasonIdle)
	s.Remove(victim)
	newest, victim, _ := s.Accept()
	is.True(victim != executing && victim != newest)
	s.Remove(victim)
	is.True(s.Execute(newest))
	newest, victim, _ = s.Accept()
	is.Equal(victim, newest) // the others are executed
}

// TestIdleConnectionsMakeRoom guards against idle connections that use up the limit,
// while the requests of new ones that arrive together close each other's connections.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	const allowed, together = 100, 20
	s := NewConns(allowed)
	for range allowed {
		c, _, _ := s.Accept()
		is.True(s.Execute(c))
		s.Idle(c)
	}
	var arriving []*Conn
	for range together {
		c, victim, reason := s.Accept()
		is.Equal(reason, ReasonIdle)
		s.Remove(victim)
		arriving = append(arriving, c)
	}
	for _, c := range arriving {
		is.True(s.Execute(c))
	}
}

// TestUnreadConnectionsMakeRoom guards against clients that use up the limit by not
// reading answers.
func TestUnreadConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	s := NewConns(3)
	var conns []*Conn
	for range 3 {
		c, _, _ := s.Accept()
		is.True(s.Execute(c))
		conns = append(conns, c)
	}
	s.Unread(conns[0])
	s.Unread(conns[1])
	s.Read(conns[0]) // its client goes on
	newest, victim, reason := s.Accept()
	is.Equal(victim, conns[1])
	is.Equal(reason, ReasonUnread)
	s.Unread(victim) // it has been chosen already
	s.Read(victim)
	s.Remove(victim)
	is.True(s.Execute(newest))
	s.Idle(newest)
	s.Unread(newest) // its answer has been written
	_, victim, reason = s.Accept()
	is.Equal(victim, newest)
	is.Equal(reason, ReasonIdle)
}

// TestCrowdedConnectionsServeOneRequest guards against clients that keep all connections
// by sending one request after another.
func TestCrowdedConnectionsServeOneRequest(t *testing.T) {
	is := is.New(t)
	s := NewConns(4)
	var conns []*Conn
	for range 4 {
		c, _, _ := s.Accept()
		is.True(s.Execute(c))
		conns = append(conns, c)
	}
	is.True(!s.Crowded()) // nobody was turned away
	newest, victim, _ := s.Accept()
	is.Equal(victim, newest)
	s.Remove(newest)
	is.True(s.Crowded())
	s.Remove(conns[0])
	is.True(!s.Crowded()) // a quarter is free
}

// TestBudgetKeepsRoomForSmallBodies guards against large bodies that use up the
// room of ordinary ones, and against bytes that are never given back.
func TestBudgetKeepsRoomForSmallBodies(t *testing.T) {
	is := is.New(t)
	const total, block, large = 1 << 20, 4 << 10, 256 << 10
	b := NewBudget(total)
	fill := func(size int64) (held int64) {
		for held < size && b.Take(held, block) {
			held += block
		}
		return held
	}
	var bodies []int64
	for range 8 { // several times what there is room for
		bodies = append(bodies, fill(large))
	}
	is.Equal(bodies[0], int64(large)) // a single large body is served
	is.Equal(bodies[7], int64(ReservedBytes))
	for range 20 {
		bodies = append(bodies, fill(ReservedBytes))
		is.Equal(bodies[len(bodies)-1], int64(ReservedBytes))
	}
	for range total / ReservedBytes {
		bodies = append(bodies, fill(ReservedBytes))
	}
	is.Equal(b.Used(), int64(total))
	for _, held := range bodies {
		b.Release(held)
	}
	is.Equal(b.Used(), int64(0))
	is.True(b.Take(ReservedBytes, total/2)) // the large parts are given back, too
}

// TestDerivedLimits guards against limits that ordinary clients could reach, and
// against those whose sum exceeds the machine.
func TestDerivedLimits(t *testing.T) {
	for _, tt := range []struct {
		memory, fds int64
		want        Limits
	}{
		{144 << 20, 3075, Limits{ClientConns: 576, PeerConns: 576, ProbeConns: 64, BodyBytes: 18 << 20}},
		{536 << 20, 10250, Limits{ClientConns: 2144, PeerConns: 2144, ProbeConns: 64, BodyBytes: 67 << 20}},
		{1 << 40, 400, Limits{ClientConns: 100, PeerConns: 50, ProbeConns: 25, BodyBytes: 128 << 30}},
		{32 << 20, 100, Limits{ClientConns: 16, PeerConns: 16, ProbeConns: 16, BodyBytes: 8 << 20}},
		{64 << 20, 0, Limits{ClientConns: 256, PeerConns: 256, ProbeConns: 64, BodyBytes: 8 << 20}},
	} {
		t.Run(fmt.Sprintf("memory=%d,fds=%d", tt.memory, tt.fds), func(t *testing.T) {
			is.New(t).Equal(Derive(tt.memory, tt.fds), tt.want)
		})
	}
}

// TestHeadCountsLines guards against heads whose fields are not charged, also if they
// arrive together with the request before, and against charges for bodies.
func TestHeadCountsLines(t *testing.T) {
	const head, lines = "POST / HTTP/1.1\r\nHost: h\r\n", 2
	fields := strings.Repeat("a:\r\n", 500)
	for _, tt := range []struct {
		name   string
		before string // arrives before the previous request has been answered
		text   string
		want   int // lines
		ended  bool
	}{
		{"ordinary", "", head + "\r\n", lines, true},
		{"without end", "", head + fields, lines + 500, false},
		{"with a body", "", head + fields + "\r\n" + strings.Repeat("\n", 5000), lines + 500, true},
		{"line feeds only", "", strings.ReplaceAll(head+fields, "\r", "") + "\n\n", lines + 500, true},
		{"empty lines first", "", "\r\n\r\n" + head + fields + "\r\n", lines + 502, true},
		{"partly read ahead", head + "\r\n" + head + fields, fields, 2*lines + 1 + 1000, false},
		{"after a large body", strings.Repeat("\n", 50_000) + strings.Repeat("x", 2*readAhead), head + "\r\n", lines, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := &Head{}
			add := func(text string) {
				for n := 0; n < len(text); n += 100 {
					h.Add([]byte(text[n:min(n+100, len(text))]))
				}
			}
			if tt.before != "" {
				add(tt.before)
				h.End()
				h.Next()
			}
			add(tt.text)
			is.Equal(h.Ended(), tt.ended)
			is.Equal(h.Bytes(), int64(max(0, tt.want-freeHeadLines)*FieldBytes))
			h.End()
			add(fields)
			is.Equal(h.Bytes(), int64(max(0, tt.want-freeHeadLines)*FieldBytes)) // the body is not counted
		})
	}
}
