// Package minion is a stand-in for a minion. It answers requests at a
// configured speed, runs as many at once as it gets, also beyond its slots, and
// can inject faults. It counts the requests that ran and the open connections,
// so that tests and the try command can check the limits.
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
	headerWork    = "Work-Ms" // duration of the request on a minion of speed 1
)

const (
	defaultWorkTime = 20 * time.Millisecond // for requests without headerWork
	maxKeys         = 10000                 // once so many keys are counted, no further request is counted by key
)

// Faults are the faults that a minion injects into its answers.
type Faults struct {
	TruncateAnswers    bool // every answer is truncated at half its length
	TruncateEveryOther bool // every other answer is truncated
	WithholdAnswers    bool // requests run, but get no answer
	WrongID            bool // answers carry another request ID
	DuplicateAnswers   bool // every answer is sent twice on its connection
}

// Config configures a Minion.
type Config struct {
	Name  string
	Speed float64 // divides the duration of requests
	// OnRequest is called without locks held when a request starts to run, with
	// its request ID, idempotency key ("" for none) and path. It may be nil.
	OnRequest func(id, key, path string)
	// OnCrash closes the minion's listener and connections, and lets it listen
	// again after Downtime. It must not wait for the requests to end. It may be nil.
	OnCrash func()
}

// Minion simulates a minion.
type Minion struct {
	CallFaults httpd.FaultInjector
	cfg        Config

	mu           sync.Mutex     // guards the fields below
	running      map[string]int // number of running requests, by request ID
	runningCount int
	peakRunning  int
	started      int // requests started
	refused      int
	answerCount  int // answers under TruncateEveryOther
	conns        map[net.Conn]*connection
	peakConns    int
	faults       Faults
	leaving      bool
	crashes      int
	startsByKey  map[string]int // by idempotency key
}

// connection is an open connection.
type connection struct {
	mu     sync.Mutex // guards silent
	silent bool       // requests on it neither run nor get an answer
}

// connKey is the context key of a request's connection.
type connKey struct{}

// New returns a minion without requests.
func New(cfg Config) *Minion {
	return &Minion{cfg: cfg, running: map[string]int{}, startsByKey: map[string]int{}, conns: map[net.Conn]*connection{}}
}

// Server returns an HTTP server for the minion's protocol, and for the test
// calls /counts and /faults. The caller starts it.
func (m *Minion) Server() *http.Server {
	return &http.Server{Handler: http.HandlerFunc(m.serve), ConnState: m.trackConnState, ConnContext: m.connContext}
}

func (m *Minion) connContext(ctx context.Context, c net.Conn) context.Context {
	m.mu.Lock()
	defer m.mu.Unlock()
	conn := &connection{}
	m.conns[c] = conn
	m.peakConns = max(m.peakConns, len(m.conns))
	return context.WithValue(ctx, connKey{}, conn)
}

func (m *Minion) trackConnState(c net.Conn, s http.ConnState) {
	if s != http.StateClosed && s != http.StateHijacked {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
}

// SilenceOpenConnections makes all connections that are open now silent for
// good: requests on them neither run nor get an answer. New connections work.
func (m *Minion) SilenceOpenConnections() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, conn := range m.conns {
		conn.mu.Lock()
		conn.silent = true
		conn.mu.Unlock()
	}
}

// SetFaults sets the faults for requests that start from now on.
func (m *Minion) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// SetLeaving sets whether the minion refuses new requests because it is
// leaving.
func (m *Minion) SetLeaving(leaving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = leaving
}

// Counts are a minion's counts of requests and connections.
type Counts struct {
	PeakRunning     int // most requests that ran at once
	PeakConnections int // most connections that were open at once
	Refused         int // requests refused because the minion is leaving
	Started         int // requests that have started to run
	Running         int // requests that run now
}

// Counts returns the minion's counts since it was created.
func (m *Minion) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Counts{m.peakRunning, m.peakConns, m.refused, m.started, m.runningCount}
}

func (m *Minion) serve(w http.ResponseWriter, r *http.Request) {
	if !m.CallFaults.Admit(r) {
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
	if conn, ok := r.Context().Value(connKey{}).(*connection); ok && conn.isSilent() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.handleRequest(w, r, body)
}

func (c *connection) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
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
	if m.cfg.OnRequest != nil {
		m.cfg.OnRequest(id, r.Header.Get(headerKey), r.URL.Path)
	}
	// As on a real minion, the request runs on when its connection is lost.
	if r.Header.Get(HeaderCrash) != "" {
		time.Sleep(crashDelay)
		m.crash()
	}
	time.Sleep(m.workTime(r))
	if !m.endRequest(id) {
		panic(http.ErrAbortHandler)
	}
	m.answer(w, r, faults, id, body)
}

func (m *Minion) countKey(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if key != "" && len(m.startsByKey) < maxKeys {
		m.startsByKey[key]++
	}
}

// getCounts returns the peaks, the number of requests started and the starts by
// key, for tests in other processes.
func (m *Minion) getCounts(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	httpd.Reply(w, map[string]any{"peak-running": m.peakRunning, "peak-connections": m.peakConns, "total": m.started, "keys": m.startsByKey})
}

// startRequest counts a request as running and returns the faults that apply to
// it, or refuses it if the minion is leaving.
func (m *Minion) startRequest(id string) (Faults, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaving {
		m.refused++
		return Faults{}, false
	}
	m.running[id]++
	m.runningCount++
	m.started++
	m.peakRunning = max(m.peakRunning, m.runningCount)
	return m.faults, true
}

// endRequest reports whether the request ran to its end and not into a crash.
func (m *Minion) endRequest(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running[id] == 0 {
		return false
	}
	m.running[id]--
	if m.running[id] == 0 {
		delete(m.running, id)
	}
	m.runningCount--
	return true
}

func (m *Minion) workTime(r *http.Request) time.Duration {
	d := defaultWorkTime
	if ms, err := strconv.ParseInt(r.Header.Get(headerWork), 10, 64); err == nil && ms >= 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	return time.Duration(float64(d) / m.cfg.Speed)
}

func (m *Minion) answer(w http.ResponseWriter, r *http.Request, faults Faults, id string, body []byte) {
	if faults.WithholdAnswers {
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
	if faults.TruncateAnswers || faults.TruncateEveryOther && m.isOddAnswer() {
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
	if faults.DuplicateAnswers {
		m.sendAgain(w, id, text)
	}
}

// isOddAnswer counts an answer and reports whether the count is odd.
func (m *Minion) isOddAnswer() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answerCount++
	return m.answerCount%2 == 1
}

// sendAgain sends the answer a second time on the same connection.
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

// getLoad returns the IDs of the running requests and the number of
// connections.
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

// postFaults sets the faults of the minion, for tests in other processes. It
// ends all faults that the request does not name, except silent connections.
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
	m.CallFaults.SetDown(q.Down)
	m.CallFaults.SetDelay(time.Duration(q.SlowMS) * time.Millisecond)
	m.CallFaults.SetPartitioned(q.Cut...)
	m.SetLeaving(q.Leaving)
	m.SetFaults(Faults{TruncateAnswers: q.CutAnswers, WithholdAnswers: q.NoAnswers})
	if q.SilenceOpen {
		m.SilenceOpenConnections()
	}
}
