package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxOfService is the number of minions of the first service; further ones are of
// another.
const maxOfService = 8

// deployment is what a case asks for. Zero values stand for those of cordage-sfax.
type deployment struct {
	minions, instances int
	memoryMB           int64         // of a machine
	holdMax            time.Duration // hold_max_ms
}

// rig holds a small deployment: the store, the minions and the instances.
type rig struct {
	conf      deployment
	store     *store
	storeAddr string
	hosts     []*host
	instances []*instance
	dir       string // temporary folder
	client    *http.Client
	tailMs    atomic.Int64 // that tasks which serve report

	mu    sync.Mutex // guards the fields below
	file  *os.File
	began time.Time
	runs  map[string][]*runRecord // by task
}

type runRecord struct {
	minion string
	run    int
	from   time.Time
	how    string // empty while it runs
	to     time.Time
}

// instance is a process of the project.
type instance struct {
	name, front, ready string
	settings           string // path of the settings file
	log                *os.File

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	kills   int  // by the platform, for its memory
	stopped bool // it is not started again
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) started(minion, task string, run int) {
	r.mu.Lock()
	r.runs[task] = append(r.runs[task], &runRecord{minion: minion, run: run, from: time.Now()})
	r.mu.Unlock()
	r.note("run of %s, number %d, starts on %s", task, run, minion)
}

func (r *rig) ran(minion, task string, run int, how string) {
	r.mu.Lock()
	for _, rec := range r.runs[task] {
		if rec.minion == minion && rec.run == run && rec.how == "" {
			rec.how, rec.to = how, time.Now()
		}
	}
	r.mu.Unlock()
	r.note("run of %s, number %d, on %s: %s", task, run, minion, how)
}

// runsOf returns copies of the runs of a job's tasks.
func (r *rig) runsOf(job string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runRecord
	for task, list := range r.runs { // few tasks have runs
		if strings.HasPrefix(task, job+".") {
			for _, rec := range list {
				out = append(out, *rec)
			}
		}
	}
	return out
}

// runningNow returns the number of runs at work on all minions.
func (r *rig) runningNow() int {
	n := 0
	for _, h := range r.hosts {
		h.mu.Lock()
		if h.minion != nil {
			n += len(h.minion.running)
		}
		h.mu.Unlock()
	}
	return n
}

// newRig starts the store, the minions and the instances.
func newRig(recordPath string, conf deployment) (*rig, error) {
	if conf.memoryMB == 0 {
		conf.memoryMB = 284
	}
	if conf.holdMax == 0 {
		conf.holdMax = 6 * time.Second
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig3")
	if err != nil {
		return nil, err
	}
	r := &rig{conf: conf, store: newStore(), dir: dir, file: file, began: time.Now(), runs: map[string][]*runRecord{}, client: &http.Client{Timeout: 3 * time.Second}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return r, err
	}
	r.storeAddr = ln.Addr().String()
	go func() { _ = http.Serve(ln, r.store) }()
	r.store.put("keyed.op", "config", []byte(`{"version":3,"routes":[{"name":"r-work","host":"desk.example","path_prefix":"/work/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":3000,"priority":1,"service":"svc","max_attempts":4,"stretch":4.0},{"name":"r-batch","host":"desk.example","path_prefix":"/batch/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":3000,"priority":2,"service":"svc","max_attempts":4,"stretch":4.0},{"name":"r-other","host":"desk.example","path_prefix":"/other/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":3000,"priority":1,"service":"other","max_attempts":4,"stretch":4.0}],"services":[{"name":"svc","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false},{"name":"other","health_path":"/healthz","max_conns":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`))
	for i := range conf.minions {
		h := &host{rig: r, name: fmt.Sprint(i), addr: "127.0.0.1:0", service: "svc"}
		if i >= maxOfService {
			h.service = "other"
		}
		r.hosts = append(r.hosts, h)
		if err := h.boot(); err != nil {
			return r, err
		}
	}
	for i := range conf.instances {
		if err := r.startInstance(i); err != nil {
			return r, err
		}
	}
	return r, r.awaitReady(20 * time.Second)
}

func (r *rig) startInstance(i int) error {
	// Each instance has a loopback address of its own, for the metrics port is fixed.
	ip := fmt.Sprintf("127.%d.%d.%d", 10+rand.Intn(200), 1+rand.Intn(250), 1+rand.Intn(250))
	port := 20000 + rand.Intn(20000)
	zone := fmt.Sprintf("z%d", i%3+1)
	in := &instance{name: fmt.Sprintf("edge-%s-%d", zone, i), front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1)}
	settings := fmt.Sprintf(`node_name = %q
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "reg"
port_range = [%d,%d]
seeds = []
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","recover","sched","platform"]
orders = "invoke"
[zones]
z1 = "reg"
z2 = "reg"
z3 = "reg"
[listen]
front = %q
ready_addr = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = %d
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
recover_s = 12
hold_max_ms = %d
stop_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
require_fence = true
lease_ms = 3000
[platform]
address = %q
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 32
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = %d
call_bytes = %d
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`, in.name, ip, zone, port+10, port+25, in.front, in.ready, r.conf.memoryMB, r.conf.holdMax.Milliseconds(), r.storeAddr, recordBytes, callBytes)
	path := filepath.Join(r.dir, in.name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.dir, in.name+".log"))
	if err != nil {
		return err
	}
	in.log, in.settings = log, path
	in.mu.Lock()
	defer in.mu.Unlock()
	if err := r.launch(in); err != nil {
		return err
	}
	r.instances = append(r.instances, in)
	return nil
}

// launch starts the process of an instance. The caller holds in.mu.
func (r *rig) launch(in *instance) error {
	in.command = exec.Command("target/tamaracklink", "site")
	in.command.Env = []string{"TAMARACKLINK_NODE_FILE=" + in.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	in.command.Stdout, in.command.Stderr = in.log, in.log
	if err := in.command.Start(); err != nil {
		return err
	}
	r.note("instance %s starts", in.name)
	return nil
}

// boundMemory does as the platform does: it kills a process that exceeds memory_mb,
// and starts it again after a second.
func (r *rig) boundMemory(in *instance) {
	for {
		time.Sleep(20 * time.Millisecond)
		in.mu.Lock()
		if in.stopped {
			in.mu.Unlock()
			return
		}
		var kB int64
		if _, err := fmt.Sscanf(statusField(in.command.Process.Pid, "VmRSS:"), "%d", &kB); err == nil && kB > r.conf.memoryMB<<10 {
			_ = in.command.Process.Kill()
			_ = in.command.Wait()
			in.kills++
			r.note("instance %s is killed: it uses %d MB of %d MB", in.name, kB>>10, r.conf.memoryMB)
			time.Sleep(time.Second)
			if err := r.launch(in); err != nil {
				r.note("instance %s does not start: %v", in.name, err)
				in.stopped = true
			}
		}
		in.mu.Unlock()
	}
}

func (r *rig) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, in := range r.instances {
			resp, err := r.client.Get("http://" + in.ready + "/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				ready++
			}
		}
		if ready == len(r.instances) {
			return nil
		}
	}
	return fmt.Errorf("instances are not ready after %v", limit)
}

// stop ends the processes that the rig started and removes the temporary folder.
func (r *rig) stop() {
	if r == nil {
		return
	}
	for _, in := range r.instances {
		in.mu.Lock()
		in.stopped = true
		r.note("instance %s: most memory in use %s", in.name, statusField(in.command.Process.Pid, "VmHWM:"))
		_ = in.command.Process.Kill()
		_ = in.command.Wait()
		_ = in.log.Close()
		in.mu.Unlock()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.file.Close()
}

// statusField returns a field of the system's status of a process.
func statusField(pid int, name string) string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return "unknown"
	}
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, name); ok {
			return strings.TrimSpace(v)
		}
	}
	return "unknown"
}

// call makes a requester's call at an instance, and returns the status and the
// body; status 0 means that there was no response. The ID is that of a job of the
// first queue, unless it begins with the path of another one.
func (r *rig) call(in *instance, method, id string, body any) (int, string) {
	var data bytes.Buffer
	if body != nil {
		e := json.NewEncoder(&data)
		e.SetEscapeHTML(false)
		_ = e.Encode(body)
	}
	path := "/work/" + id
	if strings.Contains(id, "/") {
		path = "/" + id
	}
	req, err := http.NewRequest(method, "http://"+in.front+path, &data)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "desk.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// retried makes a call up to five times, at one instance after another, while there
// is no response or a status that asks for another try.
func (r *rig) retried(method, id string, body any) (status int, text string) {
	from := rand.Intn(len(r.instances))
	for try := range 5 {
		in := r.instances[(from+try)%len(r.instances)]
		status, text = r.call(in, method, id, body)
		if method != http.MethodGet || try > 0 {
			r.note("%s %s at %s: %d %s", method, id, in.name, status, strings.TrimSpace(text))
		}
		if status != 0 && status != 429 && status < 500 {
			return status, text
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, text
}

// state returns the state of a job as any instance tells it.
func (r *rig) state(id string) string {
	status, text := r.retried(http.MethodGet, id, nil)
	var doc struct{ State string }
	if status != 200 || json.Unmarshal([]byte(text), &doc) != nil {
		return fmt.Sprintf("status %d", status)
	}
	return doc.State
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
