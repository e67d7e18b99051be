package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/standin/wire"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/ports"
)

// Sizes of the site.
const (
	instances = 5
	workers   = 6
	taskTime  = 300 * time.Millisecond
)

// site is the processes of a site, with the stand-ins that they use.
type site struct {
	t         *testing.T
	dir       string
	platform  *wire.Platform
	instances []*instance
	workers   []*proxy // in front of each worker

	mu       sync.Mutex       // guards the fields below
	started  map[string]int   // tasks that workers were told to start, by job
	startsAt map[string]int64 // time of the last start, in Unix milliseconds, by job
	version  int              // newest configuration version
	keyed    bool             // the configuration has a customer
	// configuredAt is a time after each version was confirmed, by version.
	configuredAt map[int]time.Time
}

// instance is one process and its proxy to the store.
type instance struct {
	name, settings, callers string
	metricsPort             int
	store                   *proxy

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd  // nil while it is not running
	exited  chan struct{}
	paused  bool
	life    int // number of processes started
}

func newSite(t *testing.T, program, dir string, keyed bool) *site {
	t.Helper()
	s := &site{t: t, dir: dir, started: map[string]int{}, startsAt: map[string]int64{}, keyed: keyed, configuredAt: map[int]time.Time{}}
	s.platform = &wire.Platform{Service: "svc", TicketValidity: 1500 * time.Millisecond}
	s.platform.Fleet = fleet.New(workers, work.Size{CPU: 16000, Memory: 64000}, "svc", 6*time.Second, s.taskSpec)
	s.configure()
	list, err := s.platform.Fleet.Calls("soak").List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, in := range list {
		srv := httptest.NewServer(s.platform.WorkerHandler(in.ID))
		t.Cleanup(srv.Close)
		p := s.newProxy(strings.TrimPrefix(srv.URL, "http://"))
		s.workers = append(s.workers, p)
		s.append(wire.TopicWorkers, s.platform.WorkerRecord(in, p.addr))
	}
	srv := httptest.NewServer(s.platform.Handler())
	t.Cleanup(srv.Close)
	for i := range instances {
		s.addInstance(fmt.Sprintf("e%d", i), strings.TrimPrefix(srv.URL, "http://"))
	}
	t.Cleanup(func() {
		for _, in := range s.instances {
			in.signal(syscall.SIGKILL)
		}
	})
	for _, in := range s.instances {
		in.start(s, program)
	}
	return s
}

func (s *site) newProxy(target string) *proxy {
	p, err := newProxy(target)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.close)
	return p
}

// taskSpec records that a worker was told to start a task.
func (s *site) taskSpec(id sched.TaskID) (fleet.TaskSpec, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started[id.Job]++
	s.startsAt[id.Job] = time.Now().UnixMilli()
	return fleet.TaskSpec{Size: work.Size{CPU: 2000, Memory: 1000}, RunTime: taskTime}, true
}

func (s *site) append(topic string, r ledger.Record) {
	if _, err := s.platform.TopicStore(topic).Log("soak").Append(context.Background(), ledger.Producer{}, 0, []ledger.Record{r}); err != nil {
		s.t.Errorf("append to %s: %v", topic, err)
	}
}

// callerKey is the key of all callers, if the site has a customer.
const callerKey = "k"

// versionKey returns the key that only the configuration of a version has.
func versionKey(version int) string { return fmt.Sprintf("only%d", version) }

// configure puts the next configuration version in force. Version v has the
// queue of all jobs and one, at /v/, that only it has.
func (s *site) configure() {
	s.mu.Lock()
	s.version++
	v := s.version
	s.mu.Unlock()
	route := func(name, prefix string) string {
		return fmt.Sprintf(`{"name":%q,"host":"h","path_prefix":%q,"target_latency_ms":1000,"priority":1,"service":"svc","max_attempts":9,"stretch":2}`, name, prefix)
	}
	tenants := ""
	if s.keyed {
		tenants = fmt.Sprintf(`,"tenants":[{"name":"red","api_keys":[%q,%q],"weight":9}]`, callerKey, versionKey(v))
	}
	s.append(wire.TopicOrders, ledger.Record{Key: "config", Value: fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],"limits":{"max_body_bytes":4096}%s}`,
		v, route("jobs", "/q/"), route(fmt.Sprintf("only%d", v), fmt.Sprintf("/%d/", v)), tenants)})
	s.mu.Lock()
	s.configuredAt[v] = time.Now()
	s.mu.Unlock()
}

// store returns the store of the ledger.
func (s *site) store() *store.Store { return s.platform.TopicStore(wire.TopicLedger) }

func (s *site) addInstance(name, storeAddr string) {
	port := ports.Free(s.t, 4)
	in := &instance{name: name, settings: filepath.Join(s.dir, name+".toml"), callers: fmt.Sprintf("127.0.0.1:%d", port), metricsPort: port + 3, store: s.newProxy(storeAddr)}
	text := fmt.Sprintf("node_name = %q\nzone = \"z\"\nip = \"127.0.0.1\"\nport_range = [%d,%d]\nadvice = %q\n[listen]\nfront = %q\nready_addr = \"127.0.0.1:%d\"\n"+
		"[bounds]\nhold_max_ms = 6000\ngang_wait_ms = 3000\nstatus_s = 120\ngrace_s = 2\ncontact_ms = 3000\nstrict_revoke = true\nrevoke_ms = %d\nconfig_apply_ms = %d\n[platform]\naddress = %q\n",
		name, port+1, port+1, storeAddr, in.callers, port+2, revokeTime.Milliseconds(), applyTime.Milliseconds(), in.store.addr)
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.instances = append(s.instances, in)
}

// start starts the process, unless it is running.
func (in *instance) start(s *site, program string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		return
	}
	in.life++
	log, err := os.Create(filepath.Join(s.dir, fmt.Sprintf("%s-%d.log", in.name, in.life)))
	if err != nil {
		s.t.Error(err)
		return
	}
	cmd := exec.Command(program, "site", "-metrics-port", fmt.Sprint(in.metricsPort))
	cmd.Env = append(os.Environ(), "TAMARACKLINK_NODE_FILE="+in.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	exited := make(chan struct{})
	in.process, in.exited, in.paused = cmd, exited, false
	go func() {
		defer close(exited)
		err := cmd.Wait()
		_ = log.Close()
		in.mu.Lock()
		defer in.mu.Unlock()
		in.process = nil
		// A process may end by the soak's signals only.
		if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); !ok || !status.Signaled() && status.ExitStatus() != 0 {
			s.t.Errorf("instance %s ended by itself: %v; its log is %s", in.name, err, log.Name())
		}
	}()
}

// signal sends a signal to the process if it is running. SIGKILL also waits
// for its end.
func (in *instance) signal(sig syscall.Signal) {
	in.mu.Lock()
	cmd, exited := in.process, in.exited
	switch {
	case cmd == nil:
	case sig == syscall.SIGSTOP:
		in.paused = true
	case sig == syscall.SIGCONT:
		in.paused = false
	}
	if cmd != nil {
		_ = cmd.Process.Signal(sig) // it may have just ended
	}
	in.mu.Unlock()
	if cmd != nil && sig == syscall.SIGKILL {
		<-exited
	}
}

// call makes a caller's request. It returns status 0 if there is no answer.
func (in *instance) call(client *http.Client, method, path, body string) (int, string) {
	return in.callWithKey(client, callerKey, method, path, body)
}

func (in *instance) callWithKey(client *http.Client, key, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+in.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = "h"
	r.Header.Set("X-Key", key)
	resp, err := client.Do(r)
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

func (s *site) anyInstance(rng *rand.Rand) *instance { return s.instances[rng.IntN(len(s.instances))] }
