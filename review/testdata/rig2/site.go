package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	service = "booking"
	host    = "jobs.example"
)

// recorder writes the record and keeps what the minions have seen.
type recorder struct {
	mu      sync.Mutex
	w       io.Writer
	began   time.Time
	quiet   bool                 // starts and ends are not written
	starts  map[string]int       // by task
	active  map[string]int       // runs at work, by task
	endsOf  map[string][]string  // kinds of ends, by job
	doneAt  map[string]time.Time // when the end as done was noted, by task
	failed  map[string]int       // ends failed, by task
	lostOf  map[string]int       // runs lost with their minion, by job
	startAt map[string]time.Time // of the newest start, by job
}

func newRecorder(w io.Writer) *recorder {
	return &recorder{
		w: w, began: time.Now(), starts: map[string]int{}, active: map[string]int{}, endsOf: map[string][]string{}, doneAt: map[string]time.Time{},
		failed: map[string]int{}, lostOf: map[string]int{}, startAt: map[string]time.Time{},
	}
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) started(task string, run int, minion, _ string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts[task]++
	r.active[task]++
	job, _, _, _ := taskOf(task)
	r.startAt[job] = time.Now()
	if !r.quiet {
		r.write("run: %s run %d starts on %s", task, run, minion)
	}
}

func (r *recorder) ended(task string, run int, minion, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[task]--
	job, _, _, _ := taskOf(task)
	r.endsOf[job] = append(r.endsOf[job], how)
	if how == "failed" {
		r.failed[task]++
	}
	if !r.quiet {
		r.write("run: %s run %d ends %s on %s", task, run, how, minion)
	}
}

func (r *recorder) lost(task string, run int, minion string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[task]--
	job, _, _, _ := taskOf(task)
	r.lostOf[job]++
	r.write("run: %s run %d is lost with %s", task, run, minion)
}

func (r *recorder) noted(task string, _ int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if how == "done" {
		r.doneAt[task] = time.Now()
	}
}

// instance is a process of the project.
type instance struct {
	name, ip, front, ready string
	dir                    string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

// site is a small deployment.
type site struct {
	rec       *recorder
	st        *store
	storeAddr string
	dir       string
	instances []*instance
	minions   []*minion
	client    *http.Client
	next      int
}

// newSite returns a site without running instances. changed replaces lines of the
// settings, in pairs of the old and the new one.
func newSite(rec *recorder, instances int, changed ...string) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, st: newStore(), dir: dir, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: s.st}).Serve(ln) }()
	// Each instance has a loopback address of its own, because the metrics port of
	// the deploy file is fixed.
	base := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), rand.IntN(250))
	for i := range instances {
		in := &instance{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", base, i+1), dir: dir}
		in.front, in.ready = in.ip+":8161", in.ip+":8167"
		s.instances = append(s.instances, in)
		text := strings.NewReplacer(changed...).Replace(fmt.Sprintf(settings, in.name, in.ip, in.front, in.ready, s.storeAddr))
		if err := os.WriteFile(in.settings(), []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return s, nil
}

const settings = `node_name = %q
role = "instance"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = "z1"
region = "r1"
port_range = [7720,7735]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","recover","sched","platform","upkeep","sharing"]
orders = "invoke"
advice = ""
[zones]
z1 = "r1"
[listen]
front = %q
ready_addr = %q
[limits]
cpu_share = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recover_s = 12
hold_max_ms = 6000
stop_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 2
checkpoint_s = 2
restore_ms = 100
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = %q
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 32
append_ms = 2.0
partition_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
[cloud_api]
address = "127.0.0.1:9"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`

func (in *instance) settings() string { return filepath.Join(in.dir, in.name+".toml") }

func (in *instance) start(run string) error {
	log, err := os.OpenFile(filepath.Join(in.dir, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	words := strings.Fields(run)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + in.dir, "LANG=C", "TAMARACKLINK_NODE_FILE=" + in.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.cmd, in.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (in *instance) running() bool {
	if in.cmd == nil {
		return false
	}
	select {
	case <-in.exited:
		return false
	default:
		return true
	}
}

func (in *instance) kill() {
	if in.running() {
		_ = in.cmd.Process.Signal(syscall.SIGKILL)
		<-in.exited
	}
}

// peakMemory returns the largest resident size that the process has had, as the
// kernel tells it.
func (in *instance) peakMemory() string {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return "not known"
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

// close ends all processes and removes the folder.
func (s *site) close(keep string) {
	for _, in := range s.instances {
		if in.running() {
			s.rec.note("%s still runs; its peak memory: %s", in.name, in.peakMemory())
		} else {
			s.rec.note("%s has ended by itself", in.name)
		}
	}
	for _, in := range s.instances {
		in.kill()
	}
	if keep != "" {
		for _, in := range s.instances {
			data, _ := os.ReadFile(filepath.Join(s.dir, in.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, in.name+".log"), data, 0o600)
		}
	}
	_ = os.RemoveAll(s.dir)
}

// startAll starts the instances and waits until each is ready.
func (s *site) startAll(run string) error {
	for _, in := range s.instances {
		if err := in.start(run); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, in := range s.instances {
		for {
			resp, err := s.client.Get("http://" + in.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s isn't ready", in.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (s *site) addMinions(n int, cpu, mem int64, outcome func(task string, run int) (time.Duration, string)) error {
	for i := range n {
		m, err := newMinion(s.st, s.rec, fmt.Sprintf("i-%08x", 0x7f3a9100+i), []string{"a", fmt.Sprintf("r1-%d", i/8+1)}, cpu, mem)
		if err != nil {
			return err
		}
		m.outcome = outcome
		s.minions = append(s.minions, m)
	}
	return nil
}

// call makes a requester's call at an instance. Status 0 means no answer.
func (s *site) call(in *instance, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// anyCall makes a call at one instance after another until one answers with a
// status other than 502, 503 and 504, up to five times in all.
func (s *site) anyCall(method, path, body string) (status int, answer string) {
	for try := range 5 {
		s.rec.mu.Lock()
		s.next++
		in := s.instances[s.next%len(s.instances)]
		s.rec.mu.Unlock()
		if status, answer = s.call(in, method, path, body); status != 0 && status < 500 {
			return status, answer
		}
		time.Sleep(time.Duration(200*(try+1)) * time.Millisecond)
	}
	return status, answer
}
