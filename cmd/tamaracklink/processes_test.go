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

// waitLimit ends a test that hangs. No other verdict depends on it.
const waitLimit = 90 * time.Second

var domains = []string{"sahel-sfax", "sahel-sousse", "sahel-monastir"}

// processCell is a cell whose parts are separate processes on loopback.
type processCell struct {
	t         *testing.T
	dir       string
	instances map[string]*exec.Cmd
	addrs     map[string]string
	minions   []string // addresses
	workers   []string
	client    *http.Client
}

// TestApart runs a cell of separate processes, kills a leader by SIGKILL and
// suspends another by SIGSTOP for longer than its lease, while jobs and requests
// are under way. It guards against jobs that are lost or run twice, requests with
// a key that run twice, workers and minions loaded beyond their capacity, and a
// configuration that changes back. Such faults come about when a suspended leader
// resumes after its lease has expired and still acts, although another leads.
func TestApart(t *testing.T) {
	if testing.Short() {
		t.Skip("runs some 20 processes")
	}
	is := is.New(t)
	f := startCell(t)
	f.waitFor("every instance has a leader", func() bool {
		for name := range f.instances {
			if f.status(name).Work.Leader == "" || f.status(name).ownedMinions() < 2 {
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
	f.waitFor("version 1 is in force on all six", func() bool { return f.allAtVersion(1) })

	for _, d := range domains {
		code, _ = f.post(d+"-e1", "/v1/jobs", jobBody("recon-"+d, "batch", 20, 1500))
		is.Equal(code, 200)
		code, _ = f.post(d+"-e2", "/v1/jobs", jobBody("gang-"+d, "gang", 4, 1500))
		is.Equal(code, 200)
	}
	stop := make(chan struct{})
	results := f.sendRequests(stop)
	time.Sleep(time.Second)

	killed := f.leader("sahel-sfax")
	is.NoErr(f.instances[killed].Process.Signal(syscall.SIGKILL))
	frozen := f.leader("sahel-sousse")
	is.NoErr(f.instances[frozen].Process.Signal(syscall.SIGSTOP))
	other := otherInstance(frozen)
	f.waitFor("the frozen leader is replaced", func() bool { return f.status(other).Work.Leading })
	code, _ = f.post(other, "/v1/jobs", jobBody("during", "batch", 6, 500))
	is.Equal(code, 200)
	f.waitFor("work goes on", func() bool { return f.jobState(other, "during") == "done" })
	is.NoErr(f.instances[frozen].Process.Signal(syscall.SIGCONT))

	f.waitFor("every job is done", func() bool {
		for _, d := range domains {
			instance := d + "-e1"
			if instance == killed {
				instance = d + "-e2"
			}
			if f.jobState(instance, "recon-"+d) != "done" || f.jobState(instance, "gang-"+d) != "done" {
				return false
			}
		}
		return true
	})
	close(stop)
	outcomes := results()
	t.Log(outcomes)
	is.True(outcomes["answered"] > 0)
	delete(f.instances, killed)
	f.waitFor("version 1 is in force on all that live", func() bool { return f.allAtVersion(1) })
	f.checkWorkers()
	f.checkMinions()
}

func jobBody(id, kind string, tasks, run int) string {
	return fmt.Sprintf(`{"id":%q,"tenant":"club","kind":%q,"class":"normal","tasks":%d,"size":{"cpu-milli":4000,"memory-mib":512,"accelerators":0},"run-ms":%d,"retries":3}`,
		id, kind, tasks, run)
}

func otherInstance(name string) string {
	if strings.HasSuffix(name, "-e1") {
		return strings.TrimSuffix(name, "1") + "2"
	}
	return strings.TrimSuffix(name, "2") + "1"
}

// newCell builds the programs and starts the platform. It returns the platform's
// address too.
func newCell(t *testing.T) (*processCell, string) {
	f := &processCell{t: t, dir: t.TempDir(), instances: map[string]*exec.Cmd{}, addrs: map[string]string{}, client: &http.Client{Timeout: 10 * time.Second}}
	f.build("tamaracklink", "../../cmd/tamaracklink")
	f.build("standin", "../../cmd/standin")
	platform := freeAddr(t)
	f.start("standin", "platform", "-listen", platform, "-lag", "500ms")
	f.waitFor("the platform listens", func() bool {
		resp, err := f.client.Get("http://" + platform + "/instances")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	return f, platform
}

func startCell(t *testing.T) *processCell {
	f, platform := newCell(t)
	for _, d := range domains {
		for n := 1; n <= 2; n++ {
			minionAddr, workerAddr := freeAddr(t), freeAddr(t)
			f.minions = append(f.minions, minionAddr)
			f.workers = append(f.workers, workerAddr)
			f.start("standin", "minion", "-platform", platform, "-name", fmt.Sprintf("%s-m%d", d, n), "-domain", d, "-listen", minionAddr, "-speed", fmt.Sprint(n))
			f.start("standin", "worker", "-platform", platform, "-name", fmt.Sprintf("%s-w%d", d, n), "-domain", d, "-rack", d+"-r1", "-listen", workerAddr)
			f.startInstance(fmt.Sprintf("%s-e%d", d, n), d, platform, "-task-lease", "6s")
		}
	}
	return f
}

func (f *processCell) build(name, path string) {
	out, err := exec.Command("go", "build", "-o", filepath.Join(f.dir, name), path).CombinedOutput()
	if err != nil {
		f.t.Fatalf("build %s: %v\n%s", name, err, out)
	}
}

func (f *processCell) start(name string, args ...string) *exec.Cmd {
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

func (f *processCell) startInstance(name, domain, platform string, moreArgs ...string) {
	f.addrs[name] = freeAddr(f.t)
	args := []string{"serve", "-instance", name, "-domain", domain, "-listen", f.addrs[name], "-platform", platform, "-log-level", "error"}
	f.instances[name] = f.start("tamaracklink", append(args, moreArgs...)...)
	f.start("standin", "list", "-platform", platform, "-kind", "entry", "-name", name, "-domain", domain, "-addr", f.addrs[name])
}

// Ports for the processes are below the system's ephemeral ports, so that no
// connection of another test takes one between its choice and its use.
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
	t.Fatal("no free port in the range of these tests")
	return ""
}

func (f *processCell) waitFor(what string, ok func() bool) {
	f.t.Helper()
	end := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(end) {
			f.t.Fatalf("condition not reached within the time limit: %s", what)
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

func (s status) ownedMinions() int {
	n := 0
	for _, c := range s.Work.MinionsOf {
		n += c
	}
	return n
}

func (f *processCell) get(addr, path string, v any) {
	resp, err := f.client.Get("http://" + addr + path)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(v)
}

func (f *processCell) status(name string) (s status) {
	f.get(f.addrs[name], "/v1/status", &s)
	return s
}

func (f *processCell) post(name, path, body string) (int, string) {
	resp, err := f.client.Post("http://"+f.addrs[name]+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (f *processCell) allAtVersion(version uint64) bool {
	for name := range f.instances {
		if f.status(name).Version != version {
			return false
		}
	}
	return true
}

func (f *processCell) leader(domain string) string {
	name := ""
	f.waitFor("domain "+domain+" has a leader", func() bool {
		name = f.status(domain + "-e2").Work.Leader
		return name != ""
	})
	return name
}

func (f *processCell) jobState(name, id string) string {
	var v struct {
		State string `json:"state"`
	}
	f.get(f.addrs[name], "/v1/job?id="+id, &v)
	return v.State
}

// sendRequests sends idempotent requests and requests with a key from concurrent
// callers to all instances until stop is closed. Each request is sent up to three
// times, each time to another instance, until it is answered. The returned
// function waits for the callers and returns the number of requests by outcome.
func (f *processCell) sendRequests(stop <-chan struct{}) func() map[string]int {
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

func (f *processCell) request(name, text, key string) string {
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
		f.t.Errorf("request %q: got the answer %q, want one that ends with the request's text", text, body)
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

// checkWorkers checks what the workers recorded: no task of a batch or gang job
// runs on two workers at once, each is done exactly once, and no worker is loaded
// beyond its capacity.
func (f *processCell) checkWorkers() {
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
			f.t.Errorf("worker %s: got a peak of %d thousandths of a core, want at most 32000", addr, h.Peak.CPU)
		}
		all = append(all, h.Events...)
	}
	// Events of one worker at equal times keep their order, so an end comes before
	// the start that follows it. Ends are recorded after the fact.
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
			f.t.Errorf("task %s: started on %s while it still ran on %s", task, e.Worker, running[task])
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
			f.t.Errorf("task %s: done %d times, want once", task, n)
		}
	}
	if want := 3*24 + 6; len(done) != want {
		f.t.Errorf("tasks done: got %d, want %d", len(done), want)
	}
}

// checkMinions checks what the minions recorded: no key ran twice, and no minion
// had more than 8 requests or 64 connections at once.
func (f *processCell) checkMinions() {
	keys := map[string]int{}
	for _, addr := range f.minions {
		var c struct {
			Running     int            `json:"peak-running"`
			Connections int            `json:"peak-connections"`
			Keys        map[string]int `json:"keys"`
		}
		f.get(addr, "/counts", &c)
		if c.Running > 8 || c.Connections > 64 {
			f.t.Errorf("minion %s: got peaks of %d requests and %d connections, want at most 8 and 64", addr, c.Running, c.Connections)
		}
		for k, n := range c.Keys {
			keys[k] += n
		}
	}
	for k, n := range keys {
		if n > 1 {
			f.t.Errorf("request with key %s: ran %d times, want at most once", k, n)
		}
	}
}
