// Package platf is a stand-in for the platform that the request path uses: a
// store with limited retention, and a list of instances that shows changes
// late. It injects outages, partitions and lost answers, for tests and the try
// command.
package platf

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/tamaracklink/tamaracklink/internal/standin/httpd"
	"github.com/tamaracklink/tamaracklink/internal/standin/wire"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Instance is an entry of the list: an instance, a worker or a minion.
type Instance struct {
	Name     string    `json:"name"`
	Kind     string    `json:"kind"`
	Domain   string    `json:"domain"`
	Rack     string    `json:"rack"`
	Addr     string    `json:"addr"`
	State    string    `json:"state"`
	Slots    int       `json:"slots"`
	Capacity work.Size `json:"capacity"`
}

// change is a change of the list.
type change struct {
	visibleAt time.Time
	name      string
	present   bool
	instance  Instance
}

// Platform simulates the platform.
type Platform struct {
	CallFaults httpd.FaultInjector
	listLag    time.Duration
	store      *wire.Platform // holds the streams

	mu             sync.Mutex          // guards the fields below
	list           map[string]Instance // as it is visible, by name
	listVersion    int                 // number of changes applied to list
	pendingChanges []change            // not applied yet, in order
	logDown        bool
}

// New returns a platform whose list shows changes after lag. Its streams retain
// the given number of newest records, and the newest record of each key.
func New(lag time.Duration, retained int) *Platform {
	return &Platform{listLag: lag, store: &wire.Platform{RetainedRecords: retained}, list: map[string]Instance{}}
}

// Put adds an instance to the list or replaces its entry. The change is visible
// after the lag.
func (p *Platform) Put(i Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingChanges = append(p.pendingChanges, change{time.Now().Add(p.listLag), i.Name, true, i})
}

// Delete removes an instance from the list. The change is visible after the
// lag.
func (p *Platform) Delete(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingChanges = append(p.pendingChanges, change{time.Now().Add(p.listLag), name, false, Instance{}})
}

// SetLogDown sets whether calls to the log fail. The list is still served.
func (p *Platform) SetLogDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDown = down
}

// withLogFaults passes calls to the store on while the platform and the log are
// up. A read fails too if one of them went down while it waited for records.
func (p *Platform) withLogFaults(h httprouter.Handle) httprouter.Handle {
	return p.withFaults(func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		if p.logUnavailable(r) {
			http.Error(w, "the log is down", http.StatusServiceUnavailable)
			return
		}
		if r.Method != http.MethodGet {
			h(w, r, ps)
			return
		}
		answer := httptest.NewRecorder()
		h(answer, r, ps)
		if p.logUnavailable(r) {
			http.Error(w, "the log is down", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(answer.Code)
		// An error means that the caller has gone.
		_, _ = w.Write(answer.Body.Bytes())
	})
}

func (p *Platform) logUnavailable(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logDown || p.CallFaults.Rejects(r.Header.Get(httpd.HeaderDomain))
}

// LoseAnswers makes the platform carry out the next n appends to each stream
// without an answer. It affects the streams used so far.
func (p *Platform) LoseAnswers(n int) {
	for _, s := range p.store.TopicStores() {
		s.LoseAnswers(n)
	}
}

// AppendCount returns the number of appends that all streams have carried out.
func (p *Platform) AppendCount() int {
	n := 0
	for _, s := range p.store.TopicStores() {
		n += s.AppendCount()
	}
	return n
}

// RecordCount returns the number of records that a stream has had, including
// expired ones.
func (p *Platform) RecordCount(stream string) int {
	return p.store.TopicStore(wire.TopicLedger + "." + stream).RecordCount()
}

// Handler returns a handler for the platform's protocol, and for the test calls
// that change the list and set faults.
func (p *Platform) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/instances", p.withFaults(p.getList))
	r.PUT("/instances/:name", p.putInstance)
	r.DELETE("/instances/:name", p.deleteInstance)
	p.store.ServeStore(r, p.withLogFaults)
	r.POST("/faults", p.postFaults)
	return r
}

// withFaults delays calls to h or answers them with status 503, as configured
// in CallFaults.
func (p *Platform) withFaults(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		if !p.CallFaults.Admit(r) {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r, ps)
	}
}

// getList returns the instances of the given domain and kind; an empty
// parameter matches all. It answers 304 without a body if the caller has this
// version of the list.
func (p *Platform) getList(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	domain, kind := r.URL.Query().Get("domain"), r.URL.Query().Get("kind")
	p.mu.Lock()
	now := time.Now()
	for len(p.pendingChanges) > 0 && !now.Before(p.pendingChanges[0].visibleAt) {
		c := p.pendingChanges[0]
		p.pendingChanges = p.pendingChanges[1:]
		if c.present {
			p.list[c.name] = c.instance
		} else {
			delete(p.list, c.name)
		}
		p.listVersion++
	}
	tag := fmt.Sprintf("%q", fmt.Sprint(p.listVersion))
	out := make([]Instance, 0, len(p.list))
	for _, i := range p.list {
		if (domain == "" || i.Domain == domain) && (kind == "" || i.Kind == kind) {
			out = append(out, i)
		}
	}
	p.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	httpd.Reply(w, map[string]any{"instances": out})
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	var i Instance
	if !httpd.Read(w, r, &i) {
		return
	}
	i.Name = ps.ByName("name")
	p.Put(i)
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, _ *http.Request, ps httprouter.Params) {
	p.Delete(ps.ByName("name"))
}

// postFaults sets the faults of the platform, for tests in other processes.
func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q struct {
		Down        bool     `json:"down"`
		SlowMS      int64    `json:"slow-ms"`
		LoseAnswers int      `json:"lose-answers"`
		Cut         []string `json:"cut"`
	}
	if !httpd.Read(w, r, &q) {
		return
	}
	p.CallFaults.SetDown(q.Down)
	p.CallFaults.SetDelay(time.Duration(q.SlowMS) * time.Millisecond)
	p.CallFaults.SetPartitioned(q.Cut...)
	p.LoseAnswers(q.LoseAnswers)
}
