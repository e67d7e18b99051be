// Package httpd serves stand-ins over HTTP and injects faults into their calls:
// it rejects all calls or those from given failure domains, and delays them.
package httpd

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// HeaderDomain is the request header that names the caller's failure domain.
const HeaderDomain = "Tamaracklink-Domain"

// FaultInjector injects faults into the calls to a stand-in. The zero value
// injects none. It may be used concurrently.
type FaultInjector struct {
	mu          sync.Mutex // guards the fields below
	down        bool
	delay       time.Duration
	partitioned map[string]bool
}

// SetDown sets whether all calls fail.
func (f *FaultInjector) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay sets the delay of each call.
func (f *FaultInjector) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetPartitioned makes calls from the given domains fail, and from no others.
func (f *FaultInjector) SetPartitioned(domains ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned = map[string]bool{}
	for _, d := range domains {
		f.partitioned[d] = true
	}
}

// Rejects reports whether a call from the domain would fail now.
func (f *FaultInjector) Rejects(domain string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down || f.partitioned[domain]
}

// Admit waits for the delay of calls, or until the caller has gone, and reports
// whether the call may be carried out.
func (f *FaultInjector) Admit(r *http.Request) bool {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
		}
	}
	return !f.Rejects(r.Header.Get(HeaderDomain))
}

// Server is the running HTTP server of a stand-in.
type Server struct {
	Addr string
	http *http.Server
	done chan struct{}
}

// Start starts s on the TCP address. Port 0 selects a free port. The caller
// must close the result.
func Start(addr string, s *http.Server) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	return Serve(l, s), nil
}

// Serve starts s on the listener. The caller must close the result.
func Serve(l net.Listener, s *http.Server) *Server {
	out := &Server{Addr: l.Addr().String(), http: s, done: make(chan struct{})}
	go func() {
		defer close(out.done)
		// Serve returns an error whenever it ends, also after Close.
		_ = s.Serve(l)
	}()
	return out
}

// Done returns a channel that is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close closes the listener and all connections, and waits until the server has
// ended.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

// Reply writes v as the JSON body of an answer. Errors are ignored.
func Reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes a request's JSON body into v. If that fails, it answers with
// status 400 and reports false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
