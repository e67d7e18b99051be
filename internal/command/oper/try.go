package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/standin/cell"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/transport/server"
)

// Size of the cell that try runs, its load, and time limits. The numbers of
// instances, workers and minions are for each domain.
const (
	tryDomains      = 3
	tryInstances    = 2
	tryWorkers      = 4
	tryMinions      = 4
	tryRequests     = 600
	tryCallers      = 24
	tryWaitLimit    = 15 * time.Second // longest wait for one condition
	tryPollInterval = 20 * time.Millisecond
)

// trial is one run of try. The mutex guards the fields below it.
type trial struct {
	cell    *cell.Cell
	io      IO
	domains []string
	client  *http.Client
	logger  zerolog.Logger

	mu            sync.Mutex
	responseTimes map[string][]time.Duration // by class of the request
	outcomes      map[string]int
	failures      []string
	checks        int
}

func runTry(ctx context.Context, args []string, io IO) error {
	f := newFlags("try", "run a small cell with simulated platform, workers and minions in one process, cause failures, and check its guarantees; takes some 10 s", io)
	verbose := f.Bool("v", false, "show the instances' logs")
	if err := parseFlags(f, args, io); err != nil {
		return err
	}
	logger := zerolog.Nop()
	if *verbose {
		logger = zerolog.New(io.Err).With().Timestamp().Logger()
	}
	settings := server.Defaults()
	settings.DrainDelay = 200 * time.Millisecond
	settings.TaskLease = 5 * time.Second
	t := &trial{
		io: io, logger: logger, client: &http.Client{Timeout: tryWaitLimit}, responseTimes: map[string][]time.Duration{}, outcomes: map[string]int{},
		domains: []string{"sahel-sfax", "sahel-sousse", "sahel-monastir"}[:tryDomains],
	}
	c, err := cell.Start(cell.Config{
		Domains: t.domains, Instances: tryInstances, Workers: tryWorkers, Minions: tryMinions,
		Capacity: work.Size{CPU: 32000, Memory: 128 << 10}, ListLag: 300 * time.Millisecond, RetainedRecords: 100000, Settings: settings, Logger: logger,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	t.cell = c
	return t.run(ctx)
}

func (t *trial) run(ctx context.Context) error {
	steps := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"start: each domain has a leader, each minion has an owner", t.startUp},
		{"patches: of two concurrent ones, one is accepted and one refused; the accepted one is in force on every instance", t.patches},
		{"jobs: a service runs, batch and gang jobs end as done, one too large for any worker ends as not-run", t.jobs},
		{"requests: every request of three classes is answered, although one instance is killed half-way", t.requests},
		{"idempotency key: a non-idempotent request, repeated at another instance, runs once", t.repeatedRequest},
		{"graceful shutdown: each request in flight is answered or not run, the minions get other owners", t.gracefulShutdown},
		{"platform outage of 3 s: requests are answered; a patch after it is in force on every instance", t.platformOutage},
		{"jobs of steps (site): chain, gang and schedule complete and each task starts once, although the leader is killed", t.platformSite},
	}
	for _, s := range steps {
		begin := time.Now()
		if err := s.run(ctx); err != nil {
			t.fail("%s: %v", s.name, err)
			break
		}
		fmt.Fprintf(t.io.Out, "checked in %5d ms: %s\n", time.Since(begin).Milliseconds(), s.name)
	}
	return t.printReport()
}

func (t *trial) fail(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

// expect counts one check and records a failure if ok is false.
func (t *trial) expect(ok bool, format string, args ...any) {
	t.mu.Lock()
	t.checks++
	t.mu.Unlock()
	if !ok {
		t.fail(format, args...)
	}
}

// waitFor polls ok until it returns true. It returns an error when the time limit
// passes or ctx ends first.
func (t *trial) waitFor(ctx context.Context, what string, ok func() bool) error {
	end := time.Now().Add(tryWaitLimit)
	for !ok() {
		if time.Now().After(end) || ctx.Err() != nil {
			return errors.Errorf("condition not reached within %v: %s", tryWaitLimit, what)
		}
		time.Sleep(tryPollInterval)
	}
	return nil
}

func (t *trial) get(addr, path string, v any) bool {
	resp, err := t.client.Get("http://" + addr + path)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(v) == nil
}

func (t *trial) post(addr, path, body string) (int, []byte) {
	resp, err := t.client.Post("http://"+addr+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, data
}

func (t *trial) addr(name string) string {
	if n := t.cell.Instance(name); n != nil {
		return n.Addr
	}
	return ""
}

func (t *trial) status(addr string) (s server.Status, ok bool) {
	ok = t.get(addr, "/v1/status", &s)
	return s, ok
}

func (t *trial) startUp(ctx context.Context) error {
	return t.waitFor(ctx, "each domain has a leader and every minion an owner", func() bool {
		for _, n := range t.cell.Instances() {
			s, ok := t.status(n.Addr)
			owned := 0
			for _, m := range s.Work.MinionsByInstance {
				owned += m
			}
			if !ok || s.Work.Leader == "" || owned < tryMinions {
				return false
			}
		}
		return true
	})
}

const tryConfig = `{
 "tenants": {"front-desk": {"share": 2}, "coaches": {"share": 1}, "stringers": {"share": 1}},
 "services": {"stringdesk": {"tenant": "front-desk", "domain": "sahel-sfax", "class": "normal", "replicas": 6,
   "size": {"cpu-milli": 2000, "memory-mib": 4096, "accelerators": 0}, "command": "serve"}}}`

func patchBody(id string, base int, change string) string {
	return fmt.Sprintf(`{"id":%q,"operator":"try","base":%d,"change":%s}`, id, base, change)
}

func (t *trial) patches(ctx context.Context) error {
	first := t.addr("sahel-sfax-e1")
	if status, body := t.post(first, "/v1/patches", patchBody("p1", 0, tryConfig)); status != http.StatusOK {
		return errors.Errorf("patch p1 against version 0: got status %d, want 200: %s", status, body)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := map[int]int{}
	for n, addr := range []string{first, t.addr("sahel-sousse-e1")} {
		wg.Go(func() {
			change := fmt.Sprintf(`{"tenants":{"coaches":{"share":%d}}}`, n+5)
			status, _ := t.post(addr, "/v1/patches", patchBody(fmt.Sprintf("race-%d", n), 1, change))
			mu.Lock()
			defer mu.Unlock()
			results[status]++
		})
	}
	wg.Wait()
	t.expect(results[http.StatusOK] == 1 && results[http.StatusConflict] == 1, "two concurrent patches: got %v (number by status), want one with status 200 and one with 409", results)
	return t.waitForVersion(ctx, 2)
}

func (t *trial) waitForVersion(ctx context.Context, version uint64) error {
	begin := time.Now()
	err := t.waitFor(ctx, fmt.Sprintf("version %d in force everywhere", version), func() bool {
		for _, n := range t.cell.Instances() {
			if s, ok := t.status(n.Addr); !ok || s.ConfigVersion != version {
				return false
			}
		}
		return true
	})
	t.expect(time.Since(begin) < 8*time.Second, "version %d was in force on every instance after %v, want less than 8 s", version, time.Since(begin))
	return err
}

func (t *trial) jobState(id string) string {
	var v jobView
	t.get(t.addr("sahel-sfax-e2"), "/v1/job?id="+id, &v)
	return v.State
}

func jobBody(id, kind, class string, tasks int, cpu int64, run int) string {
	return fmt.Sprintf(`{"id":%q,"tenant":"stringers","kind":%q,"class":%q,"tasks":%d,"size":{"cpu-milli":%d,"memory-mib":1024,"accelerators":0},"run-ms":%d,"retries":2}`,
		id, kind, class, tasks, cpu, run)
}

func (t *trial) jobs(ctx context.Context) error {
	addr := t.addr("sahel-sfax-e2")
	for _, body := range []string{
		jobBody("stock-reconciliation", "batch", "patient", 40, 4000, 400),
		jobBody("tournament-profiles", "gang", "normal", 8, 8000, 600),
		jobBody("too-large", "batch", "normal", 1, 64000, 100),
		jobBody("urgent-restring", "batch", "urgent", 2, 1000, 200),
	} {
		if status, reply := t.post(addr, "/v1/jobs", body); status != http.StatusOK {
			return errors.Errorf("submit job: got status %d, want 200: %s", status, reply)
		}
	}
	want := map[string]string{
		"service/stringdesk": "running", "stock-reconciliation": "done", "tournament-profiles": "done", "too-large": "not-run",
		"urgent-restring": "done",
	}
	err := t.waitFor(ctx, "every job is in its expected state", func() bool {
		for id, state := range want {
			if t.jobState(id) != state {
				return false
			}
		}
		return true
	})
	for id, state := range want {
		t.expect(t.jobState(id) == state, "job %s: got state %q, want %q", id, t.jobState(id), state)
	}
	return err
}

// request sends one request, checks that an answer belongs to it, and returns
// the outcome.
func (t *trial) request(addr, class, text, key string, idempotent bool) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/run/quote", bytes.NewReader([]byte(text)))
	if err != nil {
		return "error"
	}
	req.Header.Set(server.HeaderTenant, "coaches")
	req.Header.Set(server.HeaderClass, class)
	req.Header.Set(server.HeaderIdempotent, strconv.FormatBool(idempotent))
	req.Header.Set(server.HeaderDeadline, "10000")
	if key != "" {
		req.Header.Set(server.HeaderKey, key)
	}
	begin := time.Now()
	resp, err := t.client.Do(req)
	if err != nil {
		return "unreachable"
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "unreachable"
	}
	outcome := resp.Header.Get(server.HeaderOutcome)
	t.mu.Lock()
	t.outcomes[outcome]++
	t.responseTimes[class] = append(t.responseTimes[class], time.Since(begin))
	t.mu.Unlock()
	if outcome == "answered" {
		t.expect(strings.HasSuffix(string(body), ": "+text), "request %q: got the answer %q, want one that ends with the request's text", text, body)
	}
	return outcome
}

// requests sends requests from concurrent callers and kills an instance half-way.
// As behind a load balancer, a caller whose instance is gone repeats its request
// at another.
func (t *trial) requests(context.Context) error {
	var wg sync.WaitGroup
	next := make(chan int)
	for range tryCallers {
		wg.Go(func() {
			for n := range next {
				t.requestUntilAnswered(n)
			}
		})
	}
	for n := range tryRequests {
		if n == tryRequests/2 {
			t.cell.Kill("sahel-sfax-e1")
		}
		next <- n
	}
	close(next)
	wg.Wait()
	t.expect(t.outcomes["answered"] >= tryRequests, "idempotent requests: got %d answered, want %d; outcomes %v", t.outcomes["answered"], tryRequests, t.outcomes)
	return nil
}

func (t *trial) requestUntilAnswered(n int) {
	class := []string{"quick", "urgent", "patient"}[n%3]
	for range 40 {
		instances := t.cell.Instances()
		outcome := t.request(instances[n%len(instances)].Addr, class, fmt.Sprintf("request %d", n), "", true)
		if outcome == "answered" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (t *trial) repeatedRequest(context.Context) error {
	a := t.request(t.addr("sahel-sfax-e2"), "quick", "invoice", "invoice-7", false)
	b := t.request(t.addr("sahel-sousse-e1"), "quick", "invoice", "invoice-7", false)
	t.expect(a == "answered", "first request with key invoice-7: got outcome %s, want answered", a)
	t.expect(b == "unknown", "repeated request with key invoice-7: got outcome %s, want unknown", b)
	runs := t.cell.Oracle.KeyExecutions("/quote", "invoice-7")
	t.expect(runs == 1, "request with key invoice-7: ran %d times, want once", runs)
	return nil
}

func (t *trial) gracefulShutdown(ctx context.Context) error {
	var wg sync.WaitGroup
	addr := t.addr("sahel-sousse-e2")
	outcomes := make(chan string, 8)
	for n := range 8 {
		wg.Go(func() { outcomes <- t.request(addr, "patient", fmt.Sprintf("long %d", n), "", false) })
	}
	time.Sleep(tryPollInterval / 4)
	t.cell.Stop("sahel-sousse-e2")
	wg.Wait()
	close(outcomes)
	for o := range outcomes {
		t.expect(o == "answered" || o == "not-run", "request during a graceful shutdown: got outcome %s, want answered or not-run", o)
	}
	return t.waitFor(ctx, "the stopped instance's minions have other owners", func() bool {
		s, ok := t.status(t.addr("sahel-sousse-e1"))
		return ok && s.Work.MinionsByInstance["sahel-sousse-e1"] == tryMinions
	})
}

func (t *trial) platformOutage(ctx context.Context) error {
	t.cell.Platform.CallFaults.SetDown(true)
	time.Sleep(3 * time.Second)
	answered := 0
	for n := range 10 {
		if t.request(t.addr("sahel-monastir-e1"), "quick", fmt.Sprintf("outage %d", n), "", true) == "answered" {
			answered++
		}
	}
	t.expect(answered == 10, "requests during an outage of the platform: got %d answered, want 10", answered)
	t.cell.Platform.CallFaults.SetDown(false)
	if status, body := t.post(t.addr("sahel-monastir-e1"), "/v1/patches", patchBody("after", 2, `{"tenants":{"clubs":{"share":1}}}`)); status != http.StatusOK {
		return errors.Errorf("patch after the outage: got status %d, want 200: %s", status, body)
	}
	return t.waitForVersion(ctx, 3)
}

func (t *trial) printReport() error {
	w := t.io.Out
	for _, class := range []string{"urgent", "quick", "patient"} {
		d := t.responseTimes[class]
		sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
		if len(d) > 0 {
			fmt.Fprintf(w, "requests, class %-8s %4d responses, response time p50 %v, p99 %v\n", class+":", len(d), d[len(d)/2].Round(time.Millisecond), d[len(d)*99/100].Round(time.Millisecond))
		}
	}
	var used, total int64
	for _, k := range t.cell.Workers {
		used += k.Peak().CPU
		total += 32000
	}
	fmt.Fprintf(w, "work: %d task starts; sum of the workers' peak processor allocations: %d%% of their capacity\n", t.cell.Oracle.TaskStarts(), 100*used/total)
	fmt.Fprintf(w, "platform's log: %d appends; %d records in the configuration stream\n", t.cell.Platform.AppendCount(), t.cell.Platform.RecordCount("config"))
	for name, m := range t.cell.Minions {
		c := m.Counts()
		t.expect(c.PeakRunning <= 8, "minion %s: ran %d requests at once, want at most 8", name, c.PeakRunning)
		t.expect(c.PeakConnections <= 64, "minion %s: had %d connections, want at most 64", name, c.PeakConnections)
	}
	faults := t.cell.Oracle.Violations()
	t.expect(len(faults) == 0, "%s", strings.Join(faults, "; "))
	for _, s := range t.failures {
		fmt.Fprintf(w, "FAILED: %s\n", s)
	}
	if len(t.failures) > 0 {
		fmt.Fprintf(w, "result: %d checks, %d failures\n", t.checks, len(t.failures))
		return errors.New("a check failed")
	}
	fmt.Fprintf(w, "result: %d checks, all passed\n", t.checks)
	return nil
}
