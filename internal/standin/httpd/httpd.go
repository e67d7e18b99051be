// Package httpd serves a stand-in over TCP and can cut it off: it refuses calls
// from failure domains that are cut, answers slowly, or not at all.
package httpd

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// HeaderDomain tells from which failure domain a call comes.
const HeaderDomain = "Tamaracklink-Domain"

// Gate decides which calls come through. The zero value lets all through.
type Gate struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	partitioned map[string]bool
}

// SetDown makes all calls fail, or ends that.
func (g *Gate) SetDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

// SetSlow delays each call.
func (g *Gate) SetSlow(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delay = d
}

// SetCut cuts off calls from the domains, and from no others.
func (g *Gate) SetCut(domains ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partitioned = map[string]bool{}
	for _, d := range domains {
		g.partitioned[d] = true
	}
}

// Closed reports whether a call from the domain fails now.
func (g *Gate) Closed(domain string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down || g.partitioned[domain]
}

// Pass waits as long as calls are slow and reports whether the call comes through.
func (g *Gate) Pass(r *http.Request) bool {
	g.mu.Lock()
	delay := g.delay
	g.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
	}
	return !g.Closed(r.Header.Get(HeaderDomain))
}

// Server is a running stand-in.
type Server struct {
	Addr string
	http *http.Server
	done chan struct{}
}

// Start serves the handler at the address; port 0 takes a free one.
func Start(addr string, s *http.Server) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	return Serve(l, s), nil
}

// Serve serves the handler on the listener.
func Serve(l net.Listener, s *http.Server) *Server {
	out := &Server{Addr: l.Addr().String(), http: s, done: make(chan struct{})}
	go func() {
		defer close(out.done)
		// Serve ends with Close; there is nothing to do about its error.
		_ = s.Serve(l)
	}()
	return out
}

// Done is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close ends the server and its connections.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// Reply writes v as JSON.
func Reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may be gone; a stand-in does not care.
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes a request's JSON body into v and answers with an error otherwise.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
