// Package world runs a cell in virtual time for tests, and sends it the calls of
// operators and callers.
package world

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/standin/cell"
	"github.com/tamaracklink/tamaracklink/internal/standin/pipes"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/transport/server"
)

var showLogs = flag.Bool("show-logs", false, "show the instances' logs of cells in virtual time")

// closeTimeout is the time after closing a cell until all its connections have ended.
const closeTimeout = 5 * time.Minute

// Simulation is a cell in virtual time, with clients for the calls of tests.
type Simulation struct {
	*cell.Cell
	T   *testing.T
	Net *pipes.Network

	mu      sync.Mutex              // guards clients
	clients map[string]*http.Client // by zone
}

// Config configures a World.
type Config struct {
	Domains         []string
	Instances       int                      // in each domain
	Workers         int                      // in each domain
	Minions         int                      // in each domain
	Capacity        work.Size                // capacity of each worker; zero means 32 cores and 64 GiB
	RetainedRecords int                      // number of records that each stream retains; 0 means 100000
	ChangeSettings  func(s *server.Settings) // changes the instances' settings; may be nil
}

// Run calls body with a cell in virtual time whose domains have leaders and whose
// configuration has the tenants "red" and "blue". After body has returned, it fails
// the test for each violation of the cell's invariants and closes the cell.
func Run(t *testing.T, s Config, body func(w *Simulation)) {
	t.Helper()
	log.SetOutput(io.Discard) // net/http logs each truncated answer
	synctest.Test(t, func(t *testing.T) {
		w := start(t, s)
		w.waitReady()
		body(w)
		w.checkInvariants()
		w.Close()
		for _, c := range w.clients {
			c.CloseIdleConnections()
		}
		time.Sleep(closeTimeout)
	})
}

func start(t *testing.T, s Config) *Simulation {
	t.Helper()
	network := pipes.New(time.Millisecond)
	settings := server.Defaults()
	settings.TaskLease = 10 * time.Second
	settings.DrainDelay = 500 * time.Millisecond
	if s.ChangeSettings != nil {
		s.ChangeSettings(&settings)
	}
	if s.RetainedRecords == 0 {
		s.RetainedRecords = 100000
	}
	if s.Capacity == (work.Size{}) {
		s.Capacity = work.Size{CPU: 32000, Memory: 64 << 10}
	}
	logger := zerolog.Nop()
	if *showLogs {
		logger = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	c, err := cell.Start(cell.Config{
		Domains: s.Domains, Instances: s.Instances, Workers: s.Workers, Minions: s.Minions, Capacity: s.Capacity, ListLag: time.Second,
		RetainedRecords: s.RetainedRecords, Settings: settings, Network: network, Logger: logger,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &Simulation{Cell: c, T: t, Net: network, clients: map[string]*http.Client{}}
}

// WaitUntil waits in virtual time until ok returns true. It fails the test, but does not
// end it, if that takes longer than limit; what describes the condition.
func (w *Simulation) WaitUntil(limit time.Duration, what string, ok func() bool) {
	w.T.Helper()
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			w.T.Errorf("condition not met within %v: %s", limit, what)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitReady waits until every domain has a leader and its minions have owners, and
// then configures the tenants.
func (w *Simulation) waitReady() {
	w.WaitUntil(time.Minute, "every domain has a leader and owners", func() bool {
		for _, n := range w.Instances() {
			s, ok := w.Status(n.Name)
			owned := 0
			for _, m := range s.Work.MinionsByInstance {
				owned += m
			}
			if !ok || s.Work.Leader == "" || owned < len(w.Minions)/w.domainCount() {
				return false
			}
		}
		return true
	})
	first := w.Instances()[0]
	if code, body := w.Patch(first.Name, "setup", 0, `{"tenants":{"red":{"share":1},"blue":{"share":1}}}`); code != http.StatusOK {
		w.T.Fatalf("configure tenants: got status %d %s, want 200", code, body)
	}
	w.WaitForVersion(1)
}

// domainCount returns the number of domains with running instances, at least 1.
func (w *Simulation) domainCount() int {
	seen := map[string]bool{}
	for _, n := range w.Instances() {
		seen[n.Domain] = true
	}
	return max(len(seen), 1)
}

// WaitForVersion waits until the configuration version or a newer one is in force on every
// running instance. It fails the test after 8 s, the objective for this.
func (w *Simulation) WaitForVersion(version uint64) {
	w.T.Helper()
	w.WaitUntil(8*time.Second, fmt.Sprintf("version %d in force everywhere", version), func() bool {
		for _, n := range w.Instances() {
			if s, ok := w.Status(n.Name); !ok || s.Version < version {
				return false
			}
		}
		return true
	})
}

// Client returns the HTTP client of a zone of the in-memory network.
func (w *Simulation) Client(zone string) *http.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.clients[zone]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{DialContext: w.Net.Dialer(zone), IdleConnTimeout: time.Second}, Timeout: time.Minute}
		w.clients[zone] = c
	}
	return c
}

// Call sends a call to an instance and returns the status and body of the answer. The
// status is 0 if there is no whole answer.
func (w *Simulation) Call(method, instance, path, body string) (int, []byte) {
	n := w.Instance(instance)
	if n == nil {
		return 0, nil
	}
	req, err := http.NewRequest(method, "http://"+n.Addr+path, strings.NewReader(body))
	if err != nil {
		w.T.Fatal(err)
	}
	resp, err := w.Client(n.Domain).Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// Patch proposes a patch against the base version at an instance, and returns the
// status and body of the answer. The first patch of a cell has base 0.
func (w *Simulation) Patch(instance, id string, base uint64, change string) (int, []byte) {
	return w.Call(http.MethodPost, instance, "/v1/patches", fmt.Sprintf(`{"id":%q,"operator":"test","base":%d,"change":%s}`, id, base, change))
}

// Status is the part of an instance's status that tests need.
type Status struct {
	Version uint64 `json:"config-version"`
	Work    struct {
		Leader            string         `json:"leader"`
		Term              uint64         `json:"term"`
		Leading           bool           `json:"leading"`
		LeaderLeaseMS     int64          `json:"right-ms"`
		PendingTasks      int            `json:"waiting-tasks"`
		RunningTasks      int            `json:"running-tasks"`
		MinionsByInstance map[string]int `json:"minions-of"`
		Workers           []struct {
			Name  string `json:"name"`
			State string `json:"state"`
			Tasks int    `json:"tasks"`
		} `json:"workers"`
	} `json:"work"`
	Requests struct {
		Minions []struct {
			Name        string `json:"name"`
			Busy        int    `json:"busy"`
			Unconfirmed int    `json:"unconfirmed"`
			State       string `json:"state"`
		} `json:"minions"`
	} `json:"requests"`
}

// Status returns an instance's status; ok reports whether the instance answered.
func (w *Simulation) Status(instance string) (s Status, ok bool) {
	code, body := w.Call(http.MethodGet, instance, "/v1/status", "")
	return s, code == http.StatusOK && json.Unmarshal(body, &s) == nil
}

// Leader returns the name of a running instance that leads the domain, or "" if there
// is none.
func (w *Simulation) Leader(domain string) string {
	for _, n := range w.Instances() {
		if n.Domain != domain {
			continue
		}
		if s, ok := w.Status(n.Name); ok && s.Work.Leading {
			return n.Name
		}
	}
	return ""
}

// OtherInstance returns the name of a running instance of the domain other than the named one,
// or "" if there is none.
func (w *Simulation) OtherInstance(domain, name string) string {
	for _, n := range w.Instances() {
		if n.Domain == domain && n.Name != name {
			return n.Name
		}
	}
	return ""
}

// Submit submits a job at an instance and returns the status of the answer. Defaults
// are tenant "red", class normal and a size of 1 core and 512 MiB.
func (w *Simulation) Submit(instance string, spec work.JobSpec) int {
	if spec.Tenant == "" {
		spec.Tenant = "red"
	}
	if spec.Class == "" {
		spec.Class = work.ClassNormal
	}
	if spec.Size == (work.Size{}) {
		spec.Size = work.Size{CPU: 1000, Memory: 512}
	}
	body, err := json.Marshal(spec)
	if err != nil {
		w.T.Fatal(err)
	}
	code, _ := w.Call(http.MethodPost, instance, "/v1/jobs", string(body))
	return code
}

// JobState returns a job's state as an instance reports it, or "" if there is no
// answer.
func (w *Simulation) JobState(instance, id string) string {
	_, body := w.Call(http.MethodGet, instance, "/v1/job?id="+id, "")
	var v struct {
		State string `json:"state"`
	}
	if json.Unmarshal(body, &v) != nil {
		return ""
	}
	return v.State
}

// Request is a caller's request for a minion.
type Request struct {
	Instance   string // that the request is sent to
	Class      string // "" means "quick"
	Body       string // request body; the answer must end with it
	Key        string // idempotency key, "" for none
	Idempotent bool
	WorkTime   time.Duration // duration on a minion of speed 1; 0 means the minion's default
	Deadline   time.Duration // 0 means 20 s
}

// Response is the response to a caller's request.
type Response struct {
	Outcome string // "unreachable" if the instance gave no whole answer
	Code    string // error code, unless the outcome is "answered"
	Body    string
	Latency time.Duration
}

// SendRequest sends a caller's request and returns the response. It fails the test if
// the answer belongs to another request.
func (w *Simulation) SendRequest(a Request) Response {
	n := w.Instance(a.Instance)
	if n == nil {
		return Response{Outcome: "unreachable"}
	}
	if a.Class == "" {
		a.Class = "quick"
	}
	if a.Deadline == 0 {
		a.Deadline = 20 * time.Second
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Addr+"/run/work", bytes.NewReader([]byte(a.Body)))
	if err != nil {
		w.T.Fatal(err)
	}
	req.Header.Set(server.HeaderTenant, "red")
	req.Header.Set(server.HeaderClass, a.Class)
	req.Header.Set(server.HeaderIdempotent, strconv.FormatBool(a.Idempotent))
	req.Header.Set(server.HeaderDeadline, strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	if a.Key != "" {
		req.Header.Set(server.HeaderKey, a.Key)
	}
	if a.WorkTime > 0 {
		req.Header.Set("Work-Ms", strconv.FormatInt(a.WorkTime.Milliseconds(), 10))
	}
	begin := time.Now()
	resp, err := w.Client(n.Domain).Do(req)
	if err != nil {
		return Response{Outcome: "unreachable", Latency: time.Since(begin)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{Outcome: "unreachable", Latency: time.Since(begin)}
	}
	out := Response{Outcome: resp.Header.Get(server.HeaderOutcome), Body: string(body), Latency: time.Since(begin)}
	if out.Outcome == "answered" && !strings.HasSuffix(out.Body, ": "+a.Body) {
		w.T.Errorf("request %q: got answer %q, want one that ends with the request", a.Body, out.Body)
	}
	var failure struct {
		Code string `json:"code"`
	}
	if out.Outcome != "answered" && json.Unmarshal(body, &failure) == nil {
		out.Code = failure.Code
	}
	return out
}

// checkInvariants fails the test for each violation that the oracle found, and for
// each minion that had more requests or connections at once than it allows.
func (w *Simulation) checkInvariants() {
	for _, f := range w.Oracle.Violations() {
		w.T.Error(f)
	}
	for name, m := range w.Minions {
		c := m.Counts()
		if c.PeakRunning > 8 {
			w.T.Errorf("minion %s: got %d requests at once, want at most 8", name, c.PeakRunning)
		}
		if c.PeakConnections > 64 {
			w.T.Errorf("minion %s: got %d connections at once, want at most 64", name, c.PeakConnections)
		}
	}
}
