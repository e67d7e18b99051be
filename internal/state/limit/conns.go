package limit

import (
	"container/list"
	"sync"
)

// Reasons for closing a connection.
const (
	ReasonIncomplete = "incomplete" // its head or body was not complete
	ReasonIdle       = "idle"       // it had no request
)

// Conn is one connection. A connection is incomplete from its first byte, or from
// its acceptance, until its request has arrived; then its request is executed;
// then it is idle.
type Conn struct {
	list   *list.List    // of the connections in the same state, nil while a request is executed
	place  *list.Element // in list
	closed bool          // it is closed, or chosen to be closed
}

// Conns are the connections of a process for one kind of client. They are ordered
// by the calls of its methods, so it needs no clock. It is safe for concurrent use.
type Conns struct {
	limit int

	mu         sync.Mutex // guards the fields below and all connections
	open       int
	incomplete *list.List // of *Conn, those whose head began first at the front
	idle       *list.List // of *Conn, those idle for longest at the front
}

// NewConns returns an empty set that allows so many connections.
func NewConns(limit int) *Conns {
	return &Conns{limit: limit, incomplete: list.New(), idle: list.New()}
}

// Accept adds a connection. If there are too many now, it also returns the one to
// close and the reason: the incomplete one that began first if more connections are
// incomplete than idle, and else the one idle for longest. Otherwise idle connections
// that use up the limit would stay while requests that arrive at the same time close
// each other's connections. The victim may be the new connection itself, but never
// one whose request is executed. The caller must close it; it counts until Remove.
func (s *Conns) Accept() (c, victim *Conn, reason string) {
	c = &Conn{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	s.move(c, s.incomplete)
	if s.open <= s.limit {
		return c, nil, ""
	}
	if front := s.incomplete.Front().Value.(*Conn); front != c && s.incomplete.Len() > s.idle.Len() || s.idle.Len() == 0 {
		victim, reason = front, ReasonIncomplete
	} else {
		victim, reason = s.idle.Front().Value.(*Conn), ReasonIdle
	}
	s.leave(victim)
	victim.closed = true
	return c, victim, reason
}

// Begin records that a part of a request has arrived.
func (s *Conns) Begin(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closed && c.list == s.idle {
		s.move(c, s.incomplete)
	}
}

// Execute records that the whole request has arrived, and reports whether it may
// be executed. It may not if the connection has been chosen to be closed.
func (s *Conns) Execute(c *Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return false
	}
	s.leave(c)
	return true
}

// Idle records that a request has been answered.
func (s *Conns) Idle(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closed {
		s.move(c, s.idle)
	}
}

// Remove records that a connection has been closed. It must be called once for
// each.
func (s *Conns) Remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leave(c)
	c.closed = true
	s.open--
}

// Open returns the number of connections.
func (s *Conns) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *Conns) move(c *Conn, to *list.List) {
	s.leave(c)
	c.list = to
	c.place = to.PushBack(c)
}

func (s *Conns) leave(c *Conn) {
	if c.list != nil {
		c.list.Remove(c.place)
	}
	c.list, c.place = nil, nil
}
