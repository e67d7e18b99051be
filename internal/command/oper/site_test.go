package oper

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/standin/wire"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/ports"
)

const siteConfig = `{"version":7,"routes":[
 {"name":"r-quick","host":"a.example","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":250,"priority":0,"service":"svc","max_attempts":3,"stretch":1.5,"advice":{"decide_ms":1,"each_ms":0.1,"valid_ms":1500}},
 {"name":"r-plain","host":"a.example","path_prefix":"/p/","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"svc","max_attempts":3,"stretch":2}],
 "services":[{"name":"svc","admission_check":false}],"limits":{"max_body_bytes":4096}}`

// startPlatform serves the simulated store, workers and placement service over
// HTTP and returns the store's address. One entry in the list of workers can't be
// decoded, which instances must ignore.
func startPlatform(t *testing.T, lookup func(sched.TaskID) (fleet.TaskSpec, bool)) (*wire.Platform, string) {
	t.Helper()
	platform := &wire.Platform{
		Fleet:   fleet.New(4, work.Size{CPU: 16000, Memory: 64000}, "svc", 6*time.Second, lookup),
		Service: "svc", TicketValidity: 1500 * time.Millisecond,
	}
	ctx := context.Background()
	put := func(topic string, r ledger.Record, seq int64) {
		if _, err := platform.TopicStore(topic).Log("x").Append(ctx, ledger.Producer{Name: "x", Epoch: 1}, seq, []ledger.Record{r}); err != nil {
			t.Fatal(err)
		}
	}
	put(wire.TopicOrders, ledger.Record{Key: "config", Value: []byte(siteConfig)}, 1)
	list, err := platform.Fleet.Calls("x").List(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for i, in := range list {
		srv := httptest.NewServer(platform.WorkerHandler(in.ID))
		t.Cleanup(srv.Close)
		put(wire.TopicWorkers, platform.WorkerRecord(in, strings.TrimPrefix(srv.URL, "http://")), int64(i+1))
	}
	put(wire.TopicWorkers, ledger.Record{Key: "odd", Value: []byte(`{"service":7}`)}, int64(len(list)+1))
	srv := httptest.NewServer(platform.Handler())
	t.Cleanup(srv.Close)
	return platform, strings.TrimPrefix(srv.URL, "http://")
}

type instanceUnderTest struct {
	callersAddr, peersAddr string
	stop                   context.CancelFunc
	done                   chan error
	log                    *bytes.Buffer
	mu                     *sync.Mutex
}

func (i *instanceUnderTest) Write(b []byte) (int, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.log.Write(b)
}

func startSite(t *testing.T, name, storeAddr string) *instanceUnderTest {
	t.Helper()
	callersPort, peersPort := ports.Free(t, 2), ports.Free(t, 2)
	file := filepath.Join(t.TempDir(), "boot.toml")
	text := fmt.Sprintf(`node_name = %q
zone = "z"
ip = "127.0.0.1"
port_range = [%d,%d]
heartbeat_ms = 1500
advice = %q
later_field = "ignored"
[listen]
front = "127.0.0.1:%d"
ready_addr = "127.0.0.1:%d"
[bounds]
hold_max_ms = 6000
gang_wait_ms = 3000
status_s = 120
grace_s = 1
contact_ms = 3000
[platform]
address = %q
`, name, peersPort, peersPort+1, storeAddr, callersPort, callersPort+1, storeAddr)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instanceUnderTest{
		callersAddr: fmt.Sprintf("127.0.0.1:%d", callersPort), peersAddr: fmt.Sprintf("127.0.0.1:%d", peersPort),
		stop: stop, done: make(chan error, 1), log: &bytes.Buffer{}, mu: &sync.Mutex{},
	}
	stdio := IO{In: strings.NewReader(""), Out: i, Err: i, Env: []string{"TAMARACKLINK_NODE_FILE=" + file}}
	go func() { i.done <- runSite(ctx, []string{"-metrics-port", strconv.Itoa(peersPort + 1)}, stdio) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-i.done:
		case <-time.After(20 * time.Second):
			t.Error("instance did not stop within 20 s after its context ended")
		}
	})
	return i
}

func (i *instanceUnderTest) call(t *testing.T, method, host, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+i.callersAddr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(b)
}

// waitForReply polls until the call returns the status and the body.
func (i *instanceUnderTest) waitForReply(t *testing.T, path string, status int, body string) {
	t.Helper()
	var gotStatus int
	var got string
	for range 300 {
		if gotStatus, got = i.call(t, http.MethodGet, "a.example", path, ""); gotStatus == status && got == body {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("GET %s: got %d %s, want %d %s", path, gotStatus, got, status, body)
}

// TestSiteCompletesJobOnLoopback runs two instances in real time against the
// platform's protocol on loopback, from the submission of a job to its
// displayed end. It guards against faults that only real listeners, clocks and
// the wiring of the site command show, and against wrong status codes for
// callers.
func TestSiteCompletesJobOnLoopback(t *testing.T) {
	if testing.Short() {
		t.Skip("runs in real time")
	}
	is := is.New(t)
	platform, addr := startPlatform(t, func(sched.TaskID) (fleet.TaskSpec, bool) {
		return fleet.TaskSpec{Size: work.Size{CPU: 1000, Memory: 100}, RunTime: 50 * time.Millisecond}, true
	})
	a, b := startSite(t, "a", addr), startSite(t, "b", addr)
	a.waitForReply(t, "/q/", 200, `{"pending":0}`)
	b.waitForReply(t, "/q/", 200, `{"pending":0}`)
	const id = "5c0e7a21d94b36f8"
	body := `{"spec":"x","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":50},{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":50,"depends_on":[0]}]}`
	for range 100 { // until the instance is ready to store
		if status, _ := a.call(t, http.MethodPost, "a.example", "/q/"+id, body); status == 200 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.waitForReply(t, "/q/"+id, 200, `{"state":"complete"}`)
	a.waitForReply(t, "/q/"+id, 200, `{"state":"complete"}`)

	tests := []struct {
		method, host, path, body string
		status                   int
	}{
		{"GET", "a.example", "/q/0000000000000000", "", 410},
		{"DELETE", "a.example", "/q/0000000000000000", "", 410},
		{"GET", "b.example", "/q/" + id, "", 404},
		{"GET", "a.example", "/z/" + id, "", 404},
		{"GET", "a.example", "/q/short", "", 404},
		{"POST", "a.example", "/p/00000000000000aa", "{", 400},
		{"POST", "a.example", "/p/00000000000000aa", `{"steps":[]}`, 400},
		{"POST", "a.example", "/p/00000000000000aa", `{"steps":[{"count":0}]}`, 400},
		{"POST", "a.example", "/p/00000000000000aa", `{"steps":[{"count":1,"depends_on":[0]}]}`, 400},
		{"POST", "a.example", "/p/00000000000000aa", strings.Repeat(" ", 5000), 413},
		{"POST", "a.example", "/q/" + id, body, 200}, // again
		{"POST", "a.example", "/p/00000000000000ab", `{"spec":"y","times":3,"first_run_ms":99999999999999,"interval_ms":5,"steps":[{"count":1,"cpu":1}]}`, 200},
		{"DELETE", "a.example", "/p/00000000000000ab", "", 200},
		{"PUT", "a.example", "/q/" + id, "", 405},
	}
	for _, tt := range tests {
		if status, got := a.call(t, tt.method, tt.host, tt.path, tt.body); status != tt.status {
			t.Errorf("%s %s %s: got %d %s, want %d", tt.method, tt.host, tt.path, status, got, tt.status)
		}
	}
	b.waitForReply(t, "/p/00000000000000ab", 200, `{"state":"canceled"}`)
	is.Equal(platform.Fleet.Violations(), nil)
	is.Equal(platform.Fleet.RunStarts(), 4)
	checkFlowCommands(t, a.peersAddr)
}

// checkFlowCommands checks exit codes and output of the flow command at the same
// instance.
func checkFlowCommands(t *testing.T, addr string) {
	t.Helper()
	spec := `{"id":"own1","queue":"r-plain","policy":{"service":"","priority":0,"max-attempts":0,"advice":{}},"steps":[{"count":2,"size":{"cpu-milli":500,"memory-mib":50,"accelerators":0}}],"repeat":{},"accepted-ms":0}`
	dir := t.TempDir()
	file := func(name, data string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	same := file("same", siteConfig)
	next := file("next", strings.NewReplacer(`"version":7`, `"version":8`, `"stretch":2}`, `"stretch":3}`).Replace(siteConfig))
	tests := []struct {
		args []string
		in   string
		code int
		want string
	}{
		{[]string{"flow", "check", same}, "", ExitOK, "no findings"},
		{[]string{"flow", "-addr", addr, "check", same}, "", ExitFailed, "error    version: is 7, but 7 is in force"},
		{[]string{"flow", "-addr", addr, "check", next}, "", ExitOK, "change   version: 7 -> 8\nchange   routes[1].stretch (r-plain): 2 -> 3\n"},
		{[]string{"flow", "-json", "check", file("bad", "{")}, "", ExitFailed, `[{"severity":"error","path":"","text":"`},
		{[]string{"flow", "-addr", unreachableAddr(t), "check", same}, "", ExitFailed, "read configuration in force"},
		{[]string{"flow", "check"}, "", ExitUsage, "flow takes one of"},
		{[]string{"flow", "check", filepath.Join(dir, "none")}, "", ExitUsage, "read configuration"},
		{[]string{"flow", "-addr", addr, "site"}, "", ExitOK, "configuration 7 with 2 queues"},
		{[]string{"flow", "-addr", addr, "submit"}, spec, ExitOK, "accepted: job own1 is queued"},
		{[]string{"flow", "-addr", addr, "submit"}, strings.Replace(spec, "r-plain", "none", 1), ExitRefused, `allowed: a queue of the configuration`},
		{[]string{"flow", "-addr", addr, "submit"}, strings.Replace(spec, `"count":2`, `"count":0`, 1), ExitUsage, "steps[0].count"},
		{[]string{"flow", "-addr", addr, "show", "nobody"}, "", ExitRefused, "no-such-job"},
		{[]string{"flow", "-addr", addr, "pending", "r-plain"}, "", ExitOK, "wait for their first start"},
		{[]string{"flow", "-addr", addr, "pending", "none"}, "", ExitRefused, "no-such-queue"},
		{[]string{"flow", "-addr", addr, "show", "own1"}, "", ExitOK, "accepted under configuration 7"},
		{[]string{"flow", "-addr", addr, "cancel", "own1"}, "", ExitOK, "job own1 of r-plain is"},
		{[]string{"flow", "-addr", addr, "show"}, "", ExitUsage, "flow takes one of"},
		{[]string{"flow", "-addr", addr}, "", ExitUsage, "flow takes one of"},
	}
	for _, tt := range tests {
		out := &bytes.Buffer{}
		code := Main(tt.args, IO{In: strings.NewReader(tt.in), Out: out, Err: out})
		if code != tt.code || !strings.Contains(out.String(), tt.want) {
			t.Errorf("%v: got exit code %d and output %s, want %d and output with %q", tt.args, code, out, tt.code, tt.want)
		}
	}
}
