// Package world runs a cell in virtual time for tests, and sends it the calls
// of operators and callers.
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
	"github.com/tamaracklink/tamaracklink/internal/standin/minion"
	"github.com/tamaracklink/tamaracklink/internal/standin/pipes"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/transport/server"
)

var showLogs = flag.Bool("show-logs", false, "show the instances' logs of cells in virtual time")

// closeTimeout is how long Run waits, after it has closed a cell, until all the
// connections have ended.
const closeTimeout = 5 * time.Minute

// Simulation is a cell in virtual time, with clients for the calls of tests.
type Simulation struct {
	*cell.Cell
	T   *testing.T
	Net *pipes.Network

	mu      sync.Mutex              // guards clients
	clients map[string]*http.Client // by zone
}

// Config configures a Simulation.
type Config struct {
	Domains         []string
	Instances       int                      // in each domain
	Workers         int                      // in each domain
	Minions         int                      // in each domain
	Capacity        work.Size                // capacity of each worker; zero means 32 cores and 64 GiB
	RetainedRecords int                      // number of records that each stream retains; 0 means 100000
	ChangeSettings  func(s *server.Settings) // changes the instances' settings; may be nil
	Log             io.Writer                // receives the instances' logs; may be nil
}

// Run calls body with a cell in virtual time whose domains have leaders and
// whose configuration has the tenants "red" and "blue". After body has
// returned, it fails the test for each violation of the cell's invariants and
// closes the cell.
func Run(t *testing.T, cfg Config, body func(sim *Simulation)) {
	t.Helper()
	log.SetOutput(io.Discard) // net/http logs each truncated answer
	synctest.Test(t, func(t *testing.T) {
		sim := start(t, cfg)
		sim.waitReady()
		body(sim)
		sim.checkInvariants()
		sim.Close()
		for _, c := range sim.clients {
			c.CloseIdleConnections()
		}
		time.Sleep(closeTimeout)
	})
}

func start(t *testing.T, cfg Config) *Simulation {
	t.Helper()
	network := pipes.New(time.Millisecond)
	settings := server.Defaults()
	settings.TaskLease = 10 * time.Second
	settings.DrainDelay = 500 * time.Millisecond
	if cfg.ChangeSettings != nil {
		cfg.ChangeSettings(&settings)
	}
	if cfg.RetainedRecords == 0 {
		cfg.RetainedRecords = 100000
	}
	if cfg.Capacity == (work.Size{}) {
		cfg.Capacity = work.Size{CPU: 32000, Memory: 64 << 10}
	}
	logger := zerolog.Nop()
	var outputs []io.Writer
	if *showLogs {
		outputs = append(outputs, os.Stderr)
	}
	if cfg.Log != nil {
		outputs = append(outputs, cfg.Log)
	}
	if len(outputs) > 0 {
		logger = zerolog.New(zerolog.SyncWriter(io.MultiWriter(outputs...))).With().Timestamp().Logger()
	}
	c, err := cell.Start(cell.Config{
		Domains: cfg.Domains, Instances: cfg.Instances, Workers: cfg.Workers, Minions: cfg.Minions, Capacity: cfg.Capacity, ListLag: time.Second,
		RetainedRecords: cfg.RetainedRecords, Settings: settings, Network: network, Logger: logger,
	})
	if err != nil {
		t.Fatal(err)
	}
	return &Simulation{Cell: c, T: t, Net: network, clients: map[string]*http.Client{}}
}

// WaitUntil waits in virtual time until ok returns true. It fails the test, but
// does not end it, if that takes longer than limit; what describes the
// condition.
func (s *Simulation) WaitUntil(limit time.Duration, what string, ok func() bool) {
	s.T.Helper()
	end := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(end) {
			s.T.Errorf("condition not met within %v: %s", limit, what)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitReady waits until every domain has a leader and its minions have owners,
// and then configures the tenants.
func (s *Simulation) waitReady() {
	s.WaitUntil(time.Minute, "every domain has a leader and owners", func() bool {
		for _, inst := range s.Instances() {
			status, ok := s.Status(inst.Name)
			owned := 0
			for _, m := range status.Work.MinionsByInstance {
				owned += m
			}
			if !ok || status.Work.Leader == "" || owned < len(s.Minions)/s.domainCount() {
				return false
			}
		}
		return true
	})
	first := s.Instances()[0]
	if code, body := s.Patch(first.Name, "setup", 0, `{"tenants":{"red":{"share":1},"blue":{"share":1}}}`); code != http.StatusOK {
		s.T.Fatalf("configure tenants: got status %d %s, want 200", code, body)
	}
	s.WaitForVersion(1)
}

// domainCount returns the number of domains with running instances, at least 1.
func (s *Simulation) domainCount() int {
	seen := map[string]bool{}
	for _, inst := range s.Instances() {
		seen[inst.Domain] = true
	}
	return max(len(seen), 1)
}

// WaitForVersion waits until the configuration version or a newer one is in
// force on every running instance. It fails the test after 8 s, the objective
// for bringing a version into force.
func (s *Simulation) WaitForVersion(version uint64) {
	s.T.Helper()
	s.WaitUntil(8*time.Second, fmt.Sprintf("version %d in force everywhere", version), func() bool {
		for _, inst := range s.Instances() {
			if status, ok := s.Status(inst.Name); !ok || status.Version < version {
				return false
			}
		}
		return true
	})
}

// Client returns the HTTP client of a zone of the in-memory network.
func (s *Simulation) Client(zone string) *http.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[zone]
	if c == nil {
		c = &http.Client{Transport: &http.Transport{DialContext: s.Net.Dialer(zone), IdleConnTimeout: time.Second}, Timeout: time.Minute}
		s.clients[zone] = c
	}
	return c
}

// Call sends a call to an instance and returns the status and body of the
// answer. The status is 0 if no complete answer arrives.
func (s *Simulation) Call(method, instance, path, body string) (int, []byte) {
	inst := s.Instance(instance)
	if inst == nil {
		return 0, nil
	}
	req, err := http.NewRequest(method, "http://"+inst.Addr+path, strings.NewReader(body))
	if err != nil {
		s.T.Fatal(err)
	}
	resp, err := s.Client(inst.Domain).Do(req)
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

// Patch proposes a patch against the base version at an instance, and returns
// the status and body of the answer. The first patch of a cell has base 0.
func (s *Simulation) Patch(instance, id string, base uint64, change string) (int, []byte) {
	return s.Call(http.MethodPost, instance, "/v1/patches", fmt.Sprintf(`{"id":%q,"operator":"test","base":%d,"change":%s}`, id, base, change))
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

// Status returns an instance's status; ok reports whether the instance
// answered.
func (s *Simulation) Status(instance string) (status Status, ok bool) {
	code, body := s.Call(http.MethodGet, instance, "/v1/status", "")
	return status, code == http.StatusOK && json.Unmarshal(body, &status) == nil
}

// Leader returns the name of a running instance that leads the domain, or "" if
// there is none.
func (s *Simulation) Leader(domain string) string {
	for _, inst := range s.Instances() {
		if inst.Domain != domain {
			continue
		}
		if status, ok := s.Status(inst.Name); ok && status.Work.Leading {
			return inst.Name
		}
	}
	return ""
}

// OtherInstance returns the name of a running instance of the domain other than
// the named one, or "" if there is none.
func (s *Simulation) OtherInstance(domain, name string) string {
	for _, inst := range s.Instances() {
		if inst.Domain == domain && inst.Name != name {
			return inst.Name
		}
	}
	return ""
}

// Submit submits a job at an instance and returns the status of the answer.
// Defaults are tenant "red", class normal and a size of 1 core and 512 MiB.
func (s *Simulation) Submit(instance string, spec work.JobSpec) int {
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
		s.T.Fatal(err)
	}
	code, _ := s.Call(http.MethodPost, instance, "/v1/jobs", string(body))
	return code
}

// JobState returns a job's state as an instance reports it, or "" if there is
// no answer.
func (s *Simulation) JobState(instance, id string) string {
	_, body := s.Call(http.MethodGet, instance, "/v1/job?id="+id, "")
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
	Crash      bool          // it crashes the minion that runs it
	WorkTime   time.Duration // duration on a minion of speed 1; 0 means the minion's default
	Deadline   time.Duration // 0 means 20 s
}

// Response is the response to a caller's request.
type Response struct {
	Outcome string // "unreachable" if no complete answer arrived
	Code    string // error code, unless the outcome is "answered"
	Body    string
	Latency time.Duration
}

// SendRequest sends a caller's request and returns the response. It fails the
// test if the answer does not end with the request's body, and so belongs to
// another request.
func (s *Simulation) SendRequest(r Request) Response {
	inst := s.Instance(r.Instance)
	if inst == nil {
		return Response{Outcome: "unreachable"}
	}
	if r.Class == "" {
		r.Class = "quick"
	}
	if r.Deadline == 0 {
		r.Deadline = 20 * time.Second
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+inst.Addr+"/run/work", bytes.NewReader([]byte(r.Body)))
	if err != nil {
		s.T.Fatal(err)
	}
	req.Header.Set(server.HeaderTenant, "red")
	req.Header.Set(server.HeaderClass, r.Class)
	req.Header.Set(server.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	req.Header.Set(server.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	if r.Key != "" {
		req.Header.Set(server.HeaderKey, r.Key)
	}
	if r.Crash {
		req.Header.Set(minion.HeaderCrash, "true")
	}
	if r.WorkTime > 0 {
		req.Header.Set("Work-Ms", strconv.FormatInt(r.WorkTime.Milliseconds(), 10))
	}
	begin := time.Now()
	resp, err := s.Client(inst.Domain).Do(req)
	if err != nil {
		return Response{Outcome: "unreachable", Latency: time.Since(begin)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{Outcome: "unreachable", Latency: time.Since(begin)}
	}
	out := Response{Outcome: resp.Header.Get(server.HeaderOutcome), Body: string(body), Latency: time.Since(begin)}
	if out.Outcome == "answered" && !strings.HasSuffix(out.Body, ": "+r.Body) {
		s.T.Errorf("request %q: got answer %q, want one that ends with the request", r.Body, out.Body)
	}
	var failure struct {
		Code string `json:"code"`
	}
	if out.Outcome != "answered" && json.Unmarshal(body, &failure) == nil {
		out.Code = failure.Code
	}
	return out
}

// checkInvariants fails the test for each violation that the oracle found, and
// for each minion that had more requests or connections at once than it allows.
func (s *Simulation) checkInvariants() {
	for _, violation := range s.Oracle.Violations() {
		s.T.Error(violation)
	}
	for name, m := range s.Minions {
		c := m.Counts()
		if c.PeakRunning > 8 {
			s.T.Errorf("minion %s: got %d requests at once, want at most 8", name, c.PeakRunning)
		}
		if c.PeakConnections > 64 {
			s.T.Errorf("minion %s: got %d connections at once, want at most 64", name, c.PeakConnections)
		}
	}
}
