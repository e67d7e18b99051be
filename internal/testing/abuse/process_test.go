package abuse

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	// The program is built by a command. Without this import, a cached result might be
	// that of another program.
	_ "github.com/tamaracklink/tamaracklink/internal/command/oper"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/standin/platf"
	"github.com/tamaracklink/tamaracklink/internal/standin/wire"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/ports"
)

// Limits of the process under test. They are below those of the smallest machine
// (144 MB and 3,075 descriptors), so that a crowd of some hundred connections
// exceeds them. An idle instance takes 13 MB and some 15 descriptors.
const (
	memoryMB = 96
	maxFDs   = 400
)

// moreFDs is a limit of descriptors with which the memory, not the descriptors,
// bounds the number of connections, as on the smallest machine.
const moreFDs = 1500

// waitLimit ends a case that hangs. No other verdict depends on it.
const waitLimit = 60 * time.Second

// process is a process under test.
type process struct {
	t       *testing.T
	cmd     *exec.Cmd
	exited  chan struct{} // closed when the process has ended
	log     string        // path of its log
	addrs   map[string]string
	post    func(body string) *http.Request // an ordinary request with this body
	body    func(n int) string              // of the ordinary request number n
	maxFDs  int                             // limit of the process's descriptors
	maxSeen int                             // most descriptors seen open; written by watch
	unread  int                             // most bytes seen that had arrived and were not read; written by watch
	watched chan struct{}                   // closed when watch has returned
	newCmd  func() *exec.Cmd                // returns a command that starts the process
}

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "tamaracklink")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/tamaracklink").CombinedOutput(); err != nil {
		t.Fatalf("build tamaracklink: %v\n%s", err, out)
	}
	return program
}

func (p *process) start() {
	cmd := p.newCmd()
	p.log = filepath.Join(p.t.TempDir(), "log")
	log, err := os.Create(p.log)
	if err != nil {
		p.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.cmd, p.exited, p.watched = cmd, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(p.exited)
		_ = cmd.Wait() // check reports a process that has ended
		_ = log.Close()
	}()
	go p.watch()
	p.t.Cleanup(p.kill)
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	<-p.exited
	<-p.watched
}

// stop sends the signals one after another and waits until the process has ended by
// itself.
func (p *process) stop(signals ...os.Signal) {
	p.t.Helper()
	for _, s := range signals {
		if err := p.cmd.Process.Signal(s); err != nil {
			p.t.Fatal(err)
		}
	}
	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		p.t.Fatalf("the process has not ended %v after %v", waitLimit, signals)
	}
	<-p.watched
	if !p.cmd.ProcessState.Success() {
		data, _ := os.ReadFile(p.log)
		p.t.Errorf("the process ended with %v; its log ends with %s", p.cmd.ProcessState, data[max(0, len(data)-2000):])
	}
}

// watch counts the open descriptors and the bytes that wait to be read until the
// process ends.
func (p *process) watch() {
	defer close(p.watched)
	for n := 0; ; n++ {
		select {
		case <-p.exited:
			return
		case <-time.After(10 * time.Millisecond):
		}
		if n%10 == 0 {
			p.unread = max(p.unread, unreadBytes(p.addrs))
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
		if err == nil {
			p.maxSeen = max(p.maxSeen, len(entries))
		}
	}
}

// unreadBytes returns the number of bytes that have arrived on connections to the
// addresses and were not read yet.
func unreadBytes(addrs map[string]string) int {
	local := map[string]bool{}
	for _, addr := range addrs {
		port, err := strconv.Atoi(addr[strings.LastIndex(addr, ":")+1:])
		if err == nil {
			local[fmt.Sprintf("0100007F:%04X", port)] = true
		}
	}
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const established = "01"
	sum := int64(0)
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line) // sl, local address, remote address, state, tx_queue:rx_queue
		if len(f) < 5 || !local[f[1]] || f[3] != established {
			continue
		}
		_, unread, _ := strings.Cut(f[4], ":")
		n, err := strconv.ParseInt(unread, 16, 64)
		if err == nil {
			sum += n
		}
	}
	return int(sum)
}

// peakMB returns the process's peak of resident memory, 0 if it has ended.
func (p *process) peakMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kb >> 10
}

// accept sends an ordinary request until it is accepted. Each time it uses a new
// connection.
func (p *process) accept(what, body string) {
	p.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "not sent"
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-p.exited:
			p.t.Fatalf("%s: the process has ended: %v", what, p.cmd.ProcessState)
		default:
		}
		resp, err := client.Do(p.post(body))
		if err != nil {
			last = err.Error()
			continue
		}
		data, _ := io.ReadAll(io.LimitReader(resp.Body, 200))
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d: %s", resp.StatusCode, data)
	}
	p.t.Errorf("%s: not accepted within %v; the last try: %s", what, waitLimit, last)
}

// answer sends GET requests to an address and path until one is answered 200. Each
// time it uses a new connection.
func (p *process) answer(addr, path string) {
	p.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "not sent"
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + addr + path)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d", resp.StatusCode)
	}
	p.t.Errorf("GET %s: not answered within %v; the last try: %s", path, waitLimit, last)
}

// check kills the process and checks that it lived until now and stayed within
// its limits.
func (p *process) check() {
	p.t.Helper()
	peak := p.peakMB()
	select {
	case <-p.exited:
		data, _ := os.ReadFile(p.log)
		p.t.Fatalf("the process has ended: %v; its log ends with %s", p.cmd.ProcessState, data[max(0, len(data)-2000):])
	default:
	}
	p.kill()
	unread := p.unread >> 20
	p.t.Logf("peak memory %d MB, most unread bytes %d MB, most open descriptors %d", peak, unread, p.maxSeen)
	if peak >= memoryMB {
		p.t.Errorf("peak memory: got %d MB, want less than %d", peak, memoryMB)
	}
	if peak+unread >= memoryMB { // the platform counts them as memory of the process
		p.t.Errorf("peak memory with unread bytes: got %d MB, want less than %d", peak+unread, memoryMB)
	}
	if p.maxSeen >= p.maxFDs {
		p.t.Errorf("most open descriptors: got %d, want less than %d", p.maxSeen, p.maxFDs)
	}
}

// newSite starts an instance on the platform with a stand-in of the platform and
// one worker, and waits until it has accepted a job as large as its limits allow.
func newSite(t *testing.T, program string, maxFDs int) *process {
	platform := &wire.Platform{Service: "svc", TicketValidity: 1500 * time.Millisecond}
	platform.Fleet = fleet.New(1, work.Size{CPU: 16000, Memory: 64000}, "svc", 6*time.Second, func(sched.TaskID) (fleet.TaskSpec, bool) {
		return fleet.TaskSpec{Size: work.Size{CPU: 100, Memory: 100}, RunTime: 100 * time.Millisecond}, true
	})
	add := func(topic string, r ledger.Record) {
		if _, err := platform.TopicStore(topic).Log("abuse").Append(context.Background(), ledger.Producer{}, 0, []ledger.Record{r}); err != nil {
			t.Fatal(err)
		}
	}
	add(wire.TopicOrders, ledger.Record{Key: "config", Value: []byte(`{"version":1,"routes":[{"name":"jobs","host":"h","path_prefix":"/q/","target_latency_ms":1000,` +
		`"priority":1,"service":"svc","max_attempts":9,"stretch":2}],"limits":{"max_body_bytes":262144}}`)})
	list, err := platform.Fleet.Calls("abuse").List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, in := range list {
		srv := httptest.NewServer(platform.WorkerHandler(in.ID))
		t.Cleanup(srv.Close)
		add(wire.TopicWorkers, platform.WorkerRecord(in, strings.TrimPrefix(srv.URL, "http://")))
	}
	store := httptest.NewServer(platform.Handler())
	t.Cleanup(store.Close)

	port := ports.Free(t, 4)
	addr := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", port+n) }
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("node_name = \"e\"\nzone = \"z\"\nip = \"127.0.0.1\"\nport_range = [%d,%d]\nadvice = %q\n[listen]\nfront = %q\nready_addr = %q\n"+
		"[limits]\nmemory_mb = %d\nmax_fds = %d\n[bounds]\nhold_max_ms = 6000\nstatus_s = 120\ngrace_s = 2\ncontact_ms = 3000\n[platform]\naddress = %q\n",
		port+1, port+1, store.Listener.Addr(), addr(0), addr(2), memoryMB, maxFDs, store.Listener.Addr())
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &process{t: t, maxFDs: maxFDs, addrs: map[string]string{"callers": addr(0), "operators": addr(1), "readiness": addr(2), "metrics": addr(3)}}
	p.post = func(body string) *http.Request {
		id, body, _ := strings.Cut(body, " ")
		return request(t, addr(0), "/q/"+id, body)
	}
	p.body = func(n int) string {
		return fmt.Sprintf(`%016x {"steps":[{"count":1,"cpu":100,"mem_mb":100,"estimate_ms":100}]}`, n)
	}
	p.newCmd = func() *exec.Cmd {
		cmd := exec.Command(program, "site", "-log-level", "warn", "-metrics-port", fmt.Sprint(port+3))
		cmd.Env = append(os.Environ(), "TAMARACKLINK_NODE_FILE="+settings)
		return cmd
	}
	p.start()
	largest := p.body(1)
	p.accept("the largest job, without load", largest+strings.Repeat(" ", bodyBytes-len(largest)+17))
	return p
}

// newServe starts an instance of the request path with a stand-in of its
// platform, and waits until it has accepted a configuration and a job.
func newServe(t *testing.T, program string, maxFDs int) *process {
	platform := platf.New(50*time.Millisecond, 10000)
	store := httptest.NewServer(platform.Handler())
	t.Cleanup(store.Close)
	addr := fmt.Sprintf("127.0.0.1:%d", ports.Free(t, 1))
	platform.Put(platf.Instance{Name: "e", Kind: "entry", Domain: "d", Addr: addr, State: "live"})
	p := &process{t: t, maxFDs: maxFDs, addrs: map[string]string{"callers": addr}}
	path := "/v1/patches"
	p.post = func(body string) *http.Request { return request(t, addr, path, body) }
	args := []string{"serve", "-instance", "e", "-domain", "d", "-listen", addr, "-platform", store.Listener.Addr().String(), "-log-level", "warn"}
	args = append(args, "-memory-mb", fmt.Sprint(memoryMB), "-max-fds", fmt.Sprint(maxFDs))
	p.newCmd = func() *exec.Cmd { return exec.Command(program, args...) }
	p.start()
	p.accept("a configuration, without load", `{"id":"p1","operator":"test","base":0,"change":{"tenants":{"club":{"share":1}}}}`)
	path = "/v1/jobs"
	p.body = func(n int) string {
		return fmt.Sprintf(`{"id":"j%d","tenant":"club","class":"normal","kind":"batch","tasks":1,"size":{"cpu-milli":1,"memory-mib":1,"accelerators":0},"command":"c"}`, n)
	}
	p.accept("a job, without load", p.body(1))
	return p
}

// request returns a POST request whose head is nearly as large as allowed.
func request(t *testing.T, addr, path, body string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("X-Padding", strings.Repeat("p", headBytes-500))
	return r
}
