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

// TestCellOfProcessesSurvivesKilledAndSuspendedLeaders runs a cell of separate
// processes, kills a leader by SIGKILL and suspends another by SIGSTOP for
// longer than its lease, while jobs and requests are under way. It guards
// against jobs that are lost or run twice, requests with a key that run twice,
// workers and minions loaded beyond their capacity, and a configuration that
// changes back. Such faults occur when a suspended leader resumes after its
// lease has expired and still acts, although another leads.
func TestCellOfProcessesSurvivesKilledAndSuspendedLeaders(t *testing.T) {
	if testing.Short() {
		t.Skip("runs some 20 processes")
	}
	is := is.New(t)
	cell := startCell(t)
	cell.waitFor("every instance has a leader", func() bool {
		for name := range cell.instances {
			if cell.status(name).Work.Leader == "" || cell.status(name).ownedMinions() < 2 {
				return false
			}
		}
		return true
	})
	config := `{"tenants":{"club":{"share":1}},"services":{"stringdesk":{"tenant":"club","domain":"sahel-sfax","class":"normal","replicas":4,
		"size":{"cpu-milli":1000,"memory-mib":512,"accelerators":0},"command":"serve"}}}`
	code, body := cell.post("sahel-sfax-e1", "/v1/patches", fmt.Sprintf(`{"id":"p1","operator":"test","base":0,"change":%s}`, config))
	is.Equal(code, 200) // accepted
	is.True(strings.Contains(body, `"version":1`))
	cell.waitFor("version 1 is in force on all six", func() bool { return cell.allAtVersion(1) })

	for _, d := range domains {
		code, _ = cell.post(d+"-e1", "/v1/jobs", jobBody("recon-"+d, "batch", 20, 1500))
		is.Equal(code, 200)
		code, _ = cell.post(d+"-e2", "/v1/jobs", jobBody("gang-"+d, "gang", 4, 1500))
		is.Equal(code, 200)
	}
	stop := make(chan struct{})
	results := cell.sendRequests(stop)
	time.Sleep(time.Second)

	killed := cell.leader("sahel-sfax")
	is.NoErr(cell.instances[killed].Process.Signal(syscall.SIGKILL))
	frozen := cell.leader("sahel-sousse")
	is.NoErr(cell.instances[frozen].Process.Signal(syscall.SIGSTOP))
	other := otherInstance(frozen)
	cell.waitFor("the frozen leader is replaced", func() bool { return cell.status(other).Work.Leading })
	code, _ = cell.post(other, "/v1/jobs", jobBody("during", "batch", 6, 500))
	is.Equal(code, 200)
	cell.waitFor("work goes on", func() bool { return cell.jobState(other, "during") == "done" })
	is.NoErr(cell.instances[frozen].Process.Signal(syscall.SIGCONT))

	cell.waitFor("every job is done", func() bool {
		for _, d := range domains {
			instance := d + "-e1"
			if instance == killed {
				instance = d + "-e2"
			}
			if cell.jobState(instance, "recon-"+d) != "done" || cell.jobState(instance, "gang-"+d) != "done" {
				return false
			}
		}
		return true
	})
	close(stop)
	outcomes := results()
	t.Log(outcomes)
	is.True(outcomes["answered"] > 0)
	delete(cell.instances, killed)
	cell.waitFor("version 1 is in force on all that live", func() bool { return cell.allAtVersion(1) })
	cell.checkWorkers()
	cell.checkMinions()
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
	cell := &processCell{t: t, dir: t.TempDir(), instances: map[string]*exec.Cmd{}, addrs: map[string]string{}, client: &http.Client{Timeout: 10 * time.Second}}
	cell.build("tamaracklink", "../../cmd/tamaracklink")
	cell.build("standin", "../../cmd/standin")
	platform := freeAddr(t)
	cell.start("standin", "platform", "-listen", platform, "-lag", "500ms")
	cell.waitFor("the platform listens", func() bool {
		resp, err := cell.client.Get("http://" + platform + "/instances")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
	return cell, platform
}

func startCell(t *testing.T) *processCell {
	cell, platform := newCell(t)
	for _, d := range domains {
		for n := 1; n <= 2; n++ {
			minionAddr, workerAddr := freeAddr(t), freeAddr(t)
			cell.minions = append(cell.minions, minionAddr)
			cell.workers = append(cell.workers, workerAddr)
			cell.start("standin", "minion", "-platform", platform, "-name", fmt.Sprintf("%s-m%d", d, n), "-domain", d, "-listen", minionAddr, "-speed", fmt.Sprint(n))
			cell.start("standin", "worker", "-platform", platform, "-name", fmt.Sprintf("%s-w%d", d, n), "-domain", d, "-rack", d+"-r1", "-listen", workerAddr)
			cell.startInstance(fmt.Sprintf("%s-e%d", d, n), d, platform, "-task-lease", "6s")
		}
	}
	return cell
}

func (p *processCell) build(name, path string) {
	out, err := exec.Command("go", "build", "-o", filepath.Join(p.dir, name), path).CombinedOutput()
	if err != nil {
		p.t.Fatalf("build %s: %v\n%s", name, err, out)
	}
}

func (p *processCell) start(name string, args ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(p.dir, name), args...)
	c.Env = os.Environ()
	if err := c.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	return c
}

func (p *processCell) startInstance(name, domain, platform string, moreArgs ...string) {
	p.addrs[name] = freeAddr(p.t)
	args := []string{"serve", "-instance", name, "-domain", domain, "-listen", p.addrs[name], "-platform", platform, "-log-level", "error"}
	p.instances[name] = p.start("tamaracklink", append(args, moreArgs...)...)
	p.start("standin", "list", "-platform", platform, "-kind", "entry", "-name", name, "-domain", domain, "-addr", p.addrs[name])
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

func (p *processCell) waitFor(what string, ok func() bool) {
	p.t.Helper()
	end := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(end) {
			p.t.Fatalf("condition not reached within the time limit: %s", what)
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

func (p *processCell) get(addr, path string, v any) {
	resp, err := p.client.Get("http://" + addr + path)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(v)
}

func (p *processCell) status(name string) (s status) {
	p.get(p.addrs[name], "/v1/status", &s)
	return s
}

func (p *processCell) post(name, path, body string) (int, string) {
	resp, err := p.client.Post("http://"+p.addrs[name]+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data)
}

func (p *processCell) allAtVersion(version uint64) bool {
	for name := range p.instances {
		if p.status(name).Version != version {
			return false
		}
	}
	return true
}

func (p *processCell) leader(domain string) string {
	name := ""
	p.waitFor("domain "+domain+" has a leader", func() bool {
		name = p.status(domain + "-e2").Work.Leader
		return name != ""
	})
	return name
}

func (p *processCell) jobState(name, id string) string {
	var v struct {
		State string `json:"state"`
	}
	p.get(p.addrs[name], "/v1/job?id="+id, &v)
	return v.State
}

// sendRequests sends idempotent requests and requests with a key from concurrent
// callers to all instances until stop is closed. Each request is sent up to three
// times, each time to another instance, until it is answered. The returned
// function waits for the callers and returns the number of attempts by outcome.
func (p *processCell) sendRequests(stop <-chan struct{}) func() map[string]int {
	var mu sync.Mutex
	outcomes := map[string]int{}
	var names []string
	for name := range p.addrs {
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
					o := p.request(names[(c+n+try)%len(names)], fmt.Sprintf("text %d %d", c, n), key)
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

func (p *processCell) request(name, text, key string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.addrs[name]+"/run/quote", bytes.NewReader([]byte(text)))
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
		p.t.Errorf("request %q: got the answer %q, want one that ends with the request's text", text, body)
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
func (p *processCell) checkWorkers() {
	var all []event
	for _, addr := range p.workers {
		var h struct {
			Events []event `json:"events"`
			Peak   struct {
				CPU int64 `json:"cpu-milli"`
			} `json:"peak"`
		}
		p.get(addr, "/history", &h)
		if h.Peak.CPU > 32000 {
			p.t.Errorf("worker %s: got a peak of %d thousandths of a core, want at most 32000", addr, h.Peak.CPU)
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
			p.t.Errorf("task %s: started on %s while it still ran on %s", task, e.Worker, running[task])
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
			p.t.Errorf("task %s: done %d times, want once", task, n)
		}
	}
	if want := 3*24 + 6; len(done) != want {
		p.t.Errorf("tasks done: got %d, want %d", len(done), want)
	}
}

// checkMinions checks what the minions recorded: no key ran twice, and no minion
// had more than 8 requests or 64 connections at once.
func (p *processCell) checkMinions() {
	keys := map[string]int{}
	for _, addr := range p.minions {
		var c struct {
			Running     int            `json:"peak-running"`
			Connections int            `json:"peak-connections"`
			Keys        map[string]int `json:"keys"`
		}
		p.get(addr, "/counts", &c)
		if c.Running > 8 || c.Connections > 64 {
			p.t.Errorf("minion %s: got peaks of %d requests and %d connections, want at most 8 and 64", addr, c.Running, c.Connections)
		}
		for k, n := range c.Keys {
			keys[k] += n
		}
	}
	for k, n := range keys {
		if n > 1 {
			p.t.Errorf("request with key %s: ran %d times, want at most once", k, n)
		}
	}
}
