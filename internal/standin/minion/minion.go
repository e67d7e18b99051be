// Package minion is a small stand-in for a minion: it answers requests at its
// own speed, up to its slots and beyond, and counts what really ran and how
// many connections were open, for the checks of tests and the try-out.
package minion

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/standin/httpd"
)

// Headers of the protocol between entry instances and minions.
const (
	headerID      = "Request-Id"
	headerRefused = "Request-Refused"
	headerKey     = "Idempotency-Key"
	headerWork    = "Work-Ms" // time that the request takes on a minion of speed 1
)

const (
	defaultWorkTime = 20 * time.Millisecond
	maxKeys         = 10000
)

// Faults are what a minion does wrong.
type Faults struct {
	CutAnswers bool // answers stop half-way
	CutOdd     bool // every other answer does
	NoAnswers  bool // requests run, but no answer is sent
	WrongID    bool // answers carry another request's id
	Twice      bool // answers are sent twice
}

// Config sets up a Minion.
type Config struct {
	Name  string
	Speed float64 // work is done so many times as fast
	// Ran is told of each request that starts to run: its id, key and path.
	Ran func(id, key, path string)
}

// Minion is the stand-in.
type Minion struct {
	Gate httpd.Gate
	cfg  Config

	mu           sync.Mutex
	running      map[string]int
	runningCount int
	peakRunning  int
	total        int
	refused      int
	answerCount  int
	conns        map[net.Conn]*connection
	peakConns    int
	faults       Faults
	leaving      bool
	startsByKey  map[string]int
}

type connection struct {
	mu     sync.Mutex
	silent bool
}

type connKey struct{}

// New gives a minion that runs nothing.
func New(cfg Config) *Minion {
	return &Minion{cfg: cfg, running: map[string]int{}, startsByKey: map[string]int{}, conns: map[net.Conn]*connection{}}
}

// Server gives the HTTP server that speaks the minion's protocol.
func (m *Minion) Server() *http.Server {
	return &http.Server{Handler: http.HandlerFunc(m.serve), ConnState: m.trackConnState, ConnContext: m.connContext}
}

func (m *Minion) connContext(ctx context.Context, c net.Conn) context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &connection{}
	m.conns[c] = s
	m.peakConns = max(m.peakConns, len(m.conns))
	return context.WithValue(ctx, connKey{}, s)
}

func (m *Minion) trackConnState(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// SilenceOpen makes all connections that are open now silent for good: requests
// on them are not run and not answered. New connections work.
func (m *Minion) SilenceOpen() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.conns {
		s.mu.Lock()
		s.silent = true
		s.mu.Unlock()
	}
}

// SetFaults sets what the minion does wrong from now on.
func (m *Minion) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetLeaving makes the minion refuse new requests, or ends that.
func (m *Minion) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// Counts are what the minion has seen.
type Counts struct {
	PeakRunning     int
	PeakConnections int
	Refused         int
	Total           int
	Running         int
}

// Counts gives what the minion has seen.
func (m *Minion) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counts{m.peakRunning, m.peakConns, m.refused, m.total, m.runningCount}
}

func (m *Minion) serve(w http.ResponseWriter, r *http.Request) {
	if !m.Gate.Pass(r) {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/load":
		m.getLoad(w)
		return
	case "/counts":
		m.getCounts(w)
		return
	case "/faults":
		m.postFaults(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s, ok := r.Context().Value(connKey{}).(*connection); ok && s.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.handleRequest(w, r, body)
}

func (s *connection) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (m *Minion) handleRequest(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get(headerID)
	faults, ok := m.startRequest(id)
	if !ok {
		w.Header().Set(headerID, id)
		w.Header().Set(headerRefused, "leaving")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	m.countKey(r.Header.Get(headerKey))
	if m.cfg.Ran != nil {
		m.cfg.Ran(id, r.Header.Get(headerKey), r.URL.Path)
	}
	// The work goes on when the connection is lost, as real work does.
	time.Sleep(m.workTime(r))
	m.endRequest(id)
	m.answer(w, r, faults, id, body)
}

func (m *Minion) countKey(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key != "" && len(m.startsByKey) < maxKeys {
		m.startsByKey[key]++
	}
}

// getCounts tells tests in other processes what really ran.
func (m *Minion) getCounts(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	httpd.Reply(w, map[string]any{"peak-running": m.peakRunning, "peak-connections": m.peakConns, "total": m.total, "keys": m.startsByKey})
}

func (m *Minion) startRequest(id string) (Faults, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		m.refused++
		return Faults{}, false
	}
	m.running[id]++
	m.runningCount++
	m.total++
	m.peakRunning = max(m.peakRunning, m.runningCount)
	return m.faults, true
}

func (m *Minion) endRequest(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[id]--
	if m.running[id] == 0 {
		delete(m.running, id)
	}
	m.runningCount--
}

func (m *Minion) workTime(r *http.Request) time.Duration {
	d := defaultWorkTime
	if ms, err := strconv.ParseInt(r.Header.Get(headerWork), 10, 64); err == nil && ms >= 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	return time.Duration(float64(d) / m.cfg.Speed)
}

func (m *Minion) answer(w http.ResponseWriter, r *http.Request, faults Faults, id string, body []byte) {
	if faults.NoAnswers {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if faults.WrongID {
		id = "other-" + id
	}
	text := fmt.Sprintf("%s answers %s %s: %s", m.cfg.Name, r.Method, r.URL.Path, body)
	w.Header().Set(headerID, id)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if faults.CutAnswers || faults.CutOdd && m.isOddAnswer() {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
	if faults.Twice {
		m.sendAgain(w, id, text)
	}
}

func (m *Minion) isOddAnswer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answerCount++
	return m.answerCount%2 == 1
}

// sendAgain sends the answer again on the same connection.
func (m *Minion) sendAgain(w http.ResponseWriter, id, text string) {
	c := http.NewResponseController(w)
	_ = c.Flush()
	conn, _, err := c.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
	time.Sleep(100 * time.Millisecond)
}

func (m *Minion) getLoad(w http.ResponseWriter) {
	m.mu.Lock()
	running := make([]string, 0, m.runningCount)
	for id, n := range m.running {
		for range n {
			running = append(running, id)
		}
	}
	reply := map[string]any{"running": running, "connections": len(m.conns), "leaving": m.leaving}
	m.mu.Unlock()
	httpd.Reply(w, reply)
}

func (m *Minion) postFaults(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Down        bool     `json:"down"`
		SlowMS      int64    `json:"slow-ms"`
		Cut         []string `json:"cut"`
		Leaving     bool     `json:"leaving"`
		SilenceOpen bool     `json:"silence-open"`
		CutAnswers  bool     `json:"cut-answers"`
		NoAnswers   bool     `json:"no-answers"`
	}
	if !httpd.Read(w, r, &q) {
		return
	}
	m.Gate.SetDown(q.Down)
	m.Gate.SetSlow(time.Duration(q.SlowMS) * time.Millisecond)
	m.Gate.SetCut(q.Cut...)
	m.SetLeaving(q.Leaving)
	m.SetFaults(Faults{CutAnswers: q.CutAnswers, NoAnswers: q.NoAnswers})
	if q.SilenceOpen {
		m.SilenceOpen()
	}
}
