package limit

import (
	"container/list"
	"sync"
)

// Reasons for closing a connection.
const (
	ReasonIncomplete = "incomplete" // its head or body was not complete
	ReasonIdle       = "idle"       // it had no request
	ReasonUnread     = "unread"     // its client did not read the answer
)

// Conn is one connection. A connection is incomplete from its first byte, or from
// its acceptance, until its request has arrived; then its request is executed;
// then it is idle. It is unread while its client does not read the answer.
type Conn struct {
	list   *list.List    // of the connections in the same state, nil while a request is executed and the answer is read
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
	unread     *list.List // of *Conn, those unread for longest at the front
	crowded    bool       // a new connection was closed since all others were executed
}

// NewConns returns an empty set that allows so many connections.
func NewConns(limit int) *Conns {
	return &Conns{limit: limit, incomplete: list.New(), idle: list.New(), unread: list.New()}
}

// Accept adds a connection. If there are too many now, it also returns the one to
// close and the reason: the one unread for longest; if there is none, the incomplete one
// that began first if more connections are incomplete than idle, and else the one idle
// for longest. Otherwise idle connections that use up the limit would stay while requests
// that arrive at the same time close each other's connections. The victim may be the new
// connection itself, but never one whose request is executed and whose client reads the
// answer. The caller must close it; it counts until Remove.
func (s *Conns) Accept() (c, victim *Conn, reason string) {
	c = &Conn{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	s.move(c, s.incomplete)
	if s.open <= s.limit {
		return c, nil, ""
	}
	victim, reason = s.choose(c)
	s.crowded = s.crowded || victim == c
	s.leave(victim)
	victim.closed = true
	return c, victim, reason
}

// choose returns the connection to close, where newest has been accepted last, and the
// reason. The caller must hold mu.
func (s *Conns) choose(newest *Conn) (victim *Conn, reason string) {
	if s.unread.Len() > 0 {
		return s.unread.Front().Value.(*Conn), ReasonUnread
	}
	if front := s.incomplete.Front().Value.(*Conn); front != newest && s.incomplete.Len() > s.idle.Len() || s.idle.Len() == 0 {
		return front, ReasonIncomplete
	}
	return s.idle.Front().Value.(*Conn), ReasonIdle
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

// Unread records that a part of the answer has not been read for some time.
func (s *Conns) Unread(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.closed && c.list == nil {
		s.move(c, s.unread)
	}
}

// Read records that a part of the answer has been read after all.
func (s *Conns) Read(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.list == s.unread {
		s.leave(c)
	}
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
	if s.open <= s.limit*3/4 {
		s.crowded = false
	}
}

// Crowded reports whether connections should be closed after their current request.
// Otherwise clients that send one request after another would keep all connections,
// and new clients would get none.
func (s *Conns) Crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crowded
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
