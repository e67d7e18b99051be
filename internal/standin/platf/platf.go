// Package platf is a small stand-in for the platform of the product's own request
// path: the store, with limited retention and outages, and a list of instances
// that lags. It is for tests and the try-out only.
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

// Instance is an entry of the list.
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

type change struct {
	visibleAt time.Time
	name      string
	present   bool
	instance  Instance
}

// Platform is the stand-in.
type Platform struct {
	Gate    httpd.Gate
	listLag time.Duration
	store   *wire.Plant // holds the streams

	mu             sync.Mutex
	list           map[string]Instance
	listVersion    int      // changes that are visible
	pendingChanges []change // not visible yet
	logDown        bool
}

// New gives a platform whose list lags and whose streams keep so many records.
func New(lag time.Duration, keep int) *Platform {
	return &Platform{listLag: lag, store: &wire.Plant{Keep: keep}, list: map[string]Instance{}}
}

// Put lists an instance, after the lag.
func (p *Platform) Put(i Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingChanges = append(p.pendingChanges, change{time.Now().Add(p.listLag), i.Name, true, i})
}

// Delete takes an instance off the list, after the lag.
func (p *Platform) Delete(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingChanges = append(p.pendingChanges, change{time.Now().Add(p.listLag), name, false, Instance{}})
}

// LogDown makes the log fail while the list goes on, or ends that.
func (p *Platform) LogDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logDown = down
}

// withLogFaults lets calls of the store through while platform and log are up. What
// has waited for records meanwhile is not answered either.
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
		// A caller that has left is told by its own side.
		_, _ = w.Write(answer.Body.Bytes())
	})
}

func (p *Platform) logUnavailable(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logDown || p.Gate.Closed(r.Header.Get(httpd.HeaderDomain))
}

// LoseAnswers makes the next n appends to each stream take effect without an
// answer.
func (p *Platform) LoseAnswers(n int) {
	for _, s := range p.store.Topics() {
		s.LoseAnswers(n)
	}
}

// Appends counts the appends so far.
func (p *Platform) Appends() int {
	n := 0
	for _, s := range p.store.Topics() {
		n += s.Appends()
	}
	return n
}

// Records counts the records that a stream has had.
func (p *Platform) Records(stream string) int {
	return p.store.Topic(wire.TopicLedger + "." + stream).Records()
}

// Handler serves the platform's protocol.
func (p *Platform) Handler() http.Handler {
	r := httprouter.New()
	r.GET("/instances", p.withFaults(p.getList))
	r.PUT("/instances/:name", p.putInstance)
	r.DELETE("/instances/:name", p.deleteInstance)
	p.store.ServeStore(r, p.withLogFaults)
	r.POST("/faults", p.postFaults)
	return r
}

func (p *Platform) withFaults(h httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		if !p.Gate.Pass(r) {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r, ps)
	}
}

// getList gives the instances of one domain or of one kind, and nothing when the
// caller has that state of the list already.
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
	p.Gate.SetDown(q.Down)
	p.Gate.SetSlow(time.Duration(q.SlowMS) * time.Millisecond)
	p.Gate.SetCut(q.Cut...)
	p.LoseAnswers(q.LoseAnswers)
}
