package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patience ends a test that hangs; no verdict depends on it otherwise.
const patience = 90 * time.Second

var domains = []string{"sahel-sfax", "sahel-sousse", "sahel-monastir"}

// fleet is a cell of separate processes on loopback.
type fleet struct {
	t       *testing.T
	dir     string
	entries map[string]*exec.Cmd
	addrs   map[string]string
	minions []string // addresses
	workers []string
	client  *http.Client
}

// TestApart runs the whole path in separate processes, kills one entry instance
// by SIGKILL and freezes a leader by SIGSTOP beyond its lease. Nothing is lost,
// doubled, over capacity or reverted.
func TestApart(t *testing.T) {
	if testing.Short() {
		t.Skip("runs some 20 processes")
	}
	is := is.New(t)
	f := startFleet(t)
	f.until("every instance has a leader", func() bool {
		for name := range f.entries {
			if f.status(name).Work.Leader == "" || f.status(name).owned() < 2 {
				return false
			}
		}
		return true
	})
	config := `{"tenants":{"club":{"share":1}},"services":{"stringdesk":{"tenant":"club","domain":"sahel-sfax","class":"normal","replicas":4,
		"size":{"cpu-milli":1000,"memory-mib":512,"accelerators":0},"command":"serve"}}}`
	code, body := f.post("sahel-sfax-e1", "/v1/patches", fmt.Sprintf(`{"id":"p1","operator":"test","base":0,"change":%s}`, config))
	is.Equal(code, 200) // accepted
	is.True(strings.Contains(body, `"version":1`))
	f.until("version 1 is in force on all six", func() bool { return f.inForce(1) })

	for _, d := range domains {
		code, _ = f.post(d+"-e1", "/v1/jobs", job("recon-"+d, "batch", 20, 1500))
		is.Equal(code, 200)
		code, _ = f.post(d+"-e2", "/v1/jobs", job("gang-"+d, "gang", 4, 1500))
		is.Equal(code, 200)
	}
	stop := make(chan struct{})
	results := f.load(stop)
	time.Sleep(time.Second)

	killed := f.leader("sahel-sfax")
	is.NoErr(f.entries[killed].Process.Signal(syscall.SIGKILL))
	frozen := f.leader("sahel-sousse")
	is.NoErr(f.entries[frozen].Process.Signal(syscall.SIGSTOP))
	other := peerOf(frozen)
	f.until("the frozen leader is replaced", func() bool { return f.status(other).Work.Leading })
	code, _ = f.post(other, "/v1/jobs", job("during", "batch", 6, 500))
	is.Equal(code, 200)
	f.until("work goes on", func() bool { return f.jobState(other, "during") == "done" })
	is.NoErr(f.entries[frozen].Process.Signal(syscall.SIGCONT))

	f.until("every job is done", func() bool {
		for _, d := range domains {
			at := d + "-e1"
			if at == killed {
				at = d + "-e2"
			}
			if f.jobState(at, "recon-"+d) != "done" || f.jobState(at, "gang-"+d) != "done" {
				return false
			}
		}
		return true
	})
	close(stop)
	outcomes := results()
	t.Log(outcomes)
	is.True(outcomes["answered"] > 0)
	delete(f.entries, killed)
	f.until("version 1 is in force on all that live", func() bool { return f.inForce(1) })
	f.checkWorkers()
	f.checkMinions()
}

func job(id, kind string, tasks, run int) string {
	return fmt.Sprintf(`{"id":%q,"tenant":"club","kind":%q,"class":"normal","tasks":%d,"size":{"cpu-milli":4000,"memory-mib":512,"accelerators":0},"run-ms":%d,"retries":3}`,
		id, kind, tasks, run)
}

func peerOf(name string) string {
	if strings.HasSuffix(name, "-e1") {
		return strings.TrimSuffix(name, "1") + "2"
	}
	return strings.TrimSuffix(name, "2") + "1"
}

// newFleet builds the programs and starts the platform.
func newFleet(t *testing.T) (*fleet, string) {
	f := &fleet{t: t, dir: t.TempDir(), entries: map[string]*exec.Cmd{}, addrs: map[string]string{}, client: &http.Client{Timeout: 10 * time.Second}}
	f.build("tamaracklink", "../../cmd/tamaracklink")
	f.build("standin", "../../cmd/standin")
	platform := freeAddr(t)
	f.run("standin", "platform", "-listen", platform, "-lag", "500ms")
	f.until("the platform listens", func() bool {
		resp, err := f.client.Get("http://" + platform + "/instances")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	return f, platform
}

func startFleet(t *testing.T) *fleet {
	f, platform := newFleet(t)
	for _, d := range domains {
		for n := 1; n <= 2; n++ {
			m, w := freeAddr(t), freeAddr(t)
			f.minions = append(f.minions, m)
			f.workers = append(f.workers, w)
			f.run("standin", "minion", "-platform", platform, "-name", fmt.Sprintf("%s-m%d", d, n), "-domain", d, "-listen", m, "-speed", fmt.Sprint(n))
			f.run("standin", "worker", "-platform", platform, "-name", fmt.Sprintf("%s-w%d", d, n), "-domain", d, "-rack", d+"-r1", "-listen", w)
			f.startEntry(fmt.Sprintf("%s-e%d", d, n), d, platform, "-task-lease", "6s")
		}
	}
	return f
}

func (f *fleet) build(name, path string) {
	out, err := exec.Command("go", "build", "-o", filepath.Join(f.dir, name), path).CombinedOutput()
	if err != nil {
		f.t.Fatalf("build %s: %v\n%s", name, err, out)
	}
}

func (f *fleet) run(name string, args ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(f.dir, name), args...)
	c.Env = os.Environ()
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

func (f *fleet) startEntry(name, domain, platform string, more ...string) {
	f.addrs[name] = freeAddr(f.t)
	args := []string{"serve", "-instance", name, "-domain", domain, "-listen", f.addrs[name], "-platform", platform, "-log-level", "error"}
	f.entries[name] = f.run("tamaracklink", append(args, more...)...)
	f.run("standin", "list", "-platform", platform, "-kind", "entry", "-name", name, "-domain", domain, "-addr", f.addrs[name])
}

// Ports for the processes lie below those that the system gives out by itself,
// so that no connection of another test takes one between its choice and its use.
const (
	firstPort = 20000
	portSpan  = 10000
)

var nextPort = os.Getpid() * 37 % portSpan

func freeAddr(t *testing.T) string {
	for range portSpan {
		nextPort = (nextPort + 1) % portSpan
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String()
	}
	t.Fatal("no free port")
	return ""
}

func (f *fleet) until(what string, ok func() bool) {
	f.t.Helper()
	end := time.Now().Add(patience)
	for !ok() {
		if time.Now().After(end) {
			f.t.Fatalf("gave up waiting: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

type status struct {
	Version uint64 `json:"config-version"`
	Work    struct {
		Leader    string         `json:"leader"`
		Leading   bool           `json:"leading"`
		Running   int            `json:"running-tasks"`
		MinionsOf map[string]int `json:"minions-of"`
	} `json:"work"`
}

func (s status) owned() int {
	n := 0
	for _, c := range s.Work.MinionsOf {
		n += c
	}
	return n
}

func (f *fleet) get(addr, path string, v any) {
	resp, err := f.client.Get("http://" + addr + path)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(v)
}

func (f *fleet) status(name string) (s status) {
	f.get(f.addrs[name], "/v1/status", &s)
	return s
}

func (f *fleet) post(name, path, body string) (int, string) {
	resp, err := f.client.Post("http://"+f.addrs[name]+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (f *fleet) inForce(version uint64) bool {
	for name := range f.entries {
		if f.status(name).Version != version {
			return false
		}
	}
	return true
}

func (f *fleet) leader(domain string) string {
	name := ""
	f.until("domain "+domain+" has a leader", func() bool {
		name = f.status(domain + "-e2").Work.Leader
		return name != ""
	})
	return name
}

func (f *fleet) jobState(name, id string) string {
	var v struct {
		State string `json:"state"`
	}
	f.get(f.addrs[name], "/v1/job?id="+id, &v)
	return v.State
}

// load has callers send requests of both kinds to all instances, each repeated
// at another instance until it is answered or its outcome is unknown.
func (f *fleet) load(stop <-chan struct{}) func() map[string]int {
	var mu sync.Mutex
	outcomes := map[string]int{}
	var names []string
	for name := range f.addrs {
		names = append(names, name)
	}
	sort.Strings(names)
	var wg sync.WaitGroup
	for c := range 12 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := ""
				if n%2 == 0 {
					key = fmt.Sprintf("key-%d-%d", c, n)
				}
				for try := range 3 {
					o := f.request(names[(c+n+try)%len(names)], fmt.Sprintf("text %d %d", c, n), key)
					mu.Lock()
					outcomes[o]++
					mu.Unlock()
					if o == "answered" {
						break
					}
				}
			}
		})
	}
	return func() map[string]int {
		wg.Wait()
		return outcomes
	}
}

func (f *fleet) request(name, text, key string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+f.addrs[name]+"/run/quote", bytes.NewReader([]byte(text)))
	if err != nil {
		return "error"
	}
	req.Header.Set("Tamaracklink-Tenant", "club")
	req.Header.Set("Tamaracklink-Class", "quick")
	req.Header.Set("Tamaracklink-Deadline-Ms", "1500")
	req.Header.Set("Tamaracklink-Idempotent", fmt.Sprint(key == ""))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return "unreachable"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "unreachable"
	}
	outcome := resp.Header.Get("Tamaracklink-Outcome")
	if outcome == "answered" && !strings.HasSuffix(string(body), ": "+text) {
		f.t.Errorf("request %q got the answer %q", text, body)
	}
	return outcome
}

type event struct {
	Worker  string
	Job     string
	Index   int
	Attempt int
	Size    struct {
		CPU    int64 `json:"cpu-milli"`
		Memory int64 `json:"memory-mib"`
	}
	Started bool
	Outcome string
	At      int64
}

// checkWorkers reads what the workers really ran: no exclusive task in two
// places at once, none done twice, no worker over its capacity.
func (f *fleet) checkWorkers() {
	var all []event
	for _, addr := range f.workers {
		var h struct {
			Events []event `json:"events"`
			Peak   struct {
				CPU int64 `json:"cpu-milli"`
			} `json:"peak"`
		}
		f.get(addr, "/history", &h)
		if h.Peak.CPU > 32000 {
			f.t.Errorf("worker %s held %d thousandths of a core, it has 32000", addr, h.Peak.CPU)
		}
		all = append(all, h.Events...)
	}
	// At equal times ends come first: they are noted after the fact.
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	running := map[string]string{}
	done := map[string]int{}
	for _, e := range all {
		task := fmt.Sprintf("%s#%d", e.Job, e.Index)
		if strings.HasPrefix(e.Job, "service/") {
			continue
		}
		switch {
		case e.Started && running[task] != "":
			f.t.Errorf("task %s starts on %s and still runs on %s", task, e.Worker, running[task])
		case e.Started:
			running[task] = e.Worker
		default:
			delete(running, task)
			if e.Outcome == "done" {
				done[task]++
			}
		}
	}
	for task, n := range done {
		if n != 1 {
			f.t.Errorf("task %s was done %d times", task, n)
		}
	}
	if want := 3*24 + 6; len(done) != want {
		f.t.Errorf("%d tasks were done, want %d", len(done), want)
	}
}

// checkMinions reads what the minions really ran: no key twice, never more than
// 8 requests and 64 connections.
func (f *fleet) checkMinions() {
	keys := map[string]int{}
	for _, addr := range f.minions {
		var c struct {
			Running     int            `json:"peak-running"`
			Connections int            `json:"peak-connections"`
			Keys        map[string]int `json:"keys"`
		}
		f.get(addr, "/counts", &c)
		if c.Running > 8 || c.Connections > 64 {
			f.t.Errorf("minion %s had %d requests and %d connections", addr, c.Running, c.Connections)
		}
		for k, n := range c.Keys {
			keys[k] += n
		}
	}
	for k, n := range keys {
		if n > 1 {
			f.t.Errorf("the request with key %s ran %d times", k, n)
		}
	}
}
