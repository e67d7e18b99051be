// Rig runs one case of the review: it starts the project's instances as processes
// beside stand-ins for the platform's store, minions and clients, writes what was
// sent, answered and run, and checks one rule.
//
//	review-rig CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the one route of all cases.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	service     = "booking"
)

// holdMax is hold_max_ms of the settings.
const holdMax = 10 * time.Second

// rig holds the parts of a case.
type rig struct {
	dir       string
	trouble   bool
	addresses *addresses
	store     *store
	journal   *journal
	began     time.Time

	mu        sync.Mutex // guards the fields below
	instances []*instance
	minions   []*minion
	lines     []string
}

// note adds a line to the record and prints it.
func (r *rig) note(format string, args ...any) { fmt.Println(r.record(format, args...)) }

// record adds a line to the record.
func (r *rig) record(format string, args ...any) string {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.lines = append(r.lines, line)
	r.mu.Unlock()
	return line
}

// configure writes the operator's configuration.
func (r *rig) configure(version, maxAttempts int) {
	r.store.put("keyed.op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[{"name":"r-1","host":%q,"path_prefix":%q,"service":%q,"priority":1,"max_attempts":%d,"stretch":4,"target_latency_ms":3000}],"services":[{"name":%q,"admission_check":false}],"limits":{"max_body_bytes":262144}}`,
		version, routeHost, routePrefix, service, maxAttempts, service))
	r.note("operator: configuration %d, max_attempts %d, confirmed", version, maxAttempts)
}

func (r *rig) newMinion(id, zone string, labels []string, work func(task string) taskWork) (*minion, error) {
	m := &minion{id: id, service: service, zone: zone, labels: labels, cpu: 32000, mem: 65536, holdMax: holdMax, store: r.store, journal: r.journal, work: work}
	r.mu.Lock()
	r.minions = append(r.minions, m)
	r.mu.Unlock()
	return m, m.boot()
}

// call makes one call of a requester. Status 0 means that there was no answer.
func call(in *instance, method, path string, body []byte, wait time.Duration) (int, string) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", in.ip, portFront, path), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: wait}).DialContext}}
	resp, err := client.Do(req)
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

// submit hands a job in, and again at the next instance until it is accepted.
func (r *rig) submit(instances []*instance, id string, job any) bool {
	body, err := json.Marshal(job)
	if err != nil {
		panic(err)
	}
	for i := range 20 {
		in := instances[i%len(instances)]
		status, text := call(in, http.MethodPost, routePrefix+id, body, 3*time.Second)
		r.note("POST %s at %s (%d bytes) -> %d %s", id, in.name, len(body), status, text)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state until an instance gives it.
func (r *rig) state(instances []*instance, id string) string {
	for _, in := range instances {
		status, text := call(in, http.MethodGet, routePrefix+id, nil, 3*time.Second)
		if status == http.StatusOK {
			var doc struct{ State string }
			if json.Unmarshal([]byte(text), &doc) == nil {
				return doc.State
			}
		}
	}
	return ""
}

// await waits until f holds and reports whether it did in time.
func await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if f() {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return f()
}

// startAll starts instances and waits until they are ready.
func (r *rig) startAll(limit time.Duration, instances ...*instance) bool {
	for _, in := range instances {
		if err := in.start(); err != nil {
			r.note("can't start %s: %v", in.name, err)
			return false
		}
	}
	ok := await(limit, func() bool {
		for _, in := range instances {
			if !in.ready() {
				return false
			}
		}
		return true
	})
	r.note("%d instances started, all ready: %v", len(instances), ok)
	return ok
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(r *rig) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(f func(r *rig) int, recordFile string) (code int) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	r := &rig{dir: dir, trouble: os.Getenv("TROUBLE") != "0", addresses: newAddresses(), journal: &journal{}, began: time.Now()}
	if r.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		r.mu.Lock()
		instances := r.instances
		r.mu.Unlock()
		for _, in := range instances {
			in.kill()
			if in.byItself > 0 {
				r.note("instance %s has ended by itself %d times", in.name, in.byItself)
			}
		}
		text := strings.Join(r.lines, "\n") + fmt.Sprintf("\nexit code %d\n", code)
		if err := os.WriteFile(recordFile, []byte(text), 0o644); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = exitNotRun
		}
	}()
	r.note("disruption: %v", r.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	result := make(chan int, 1)
	go func() { result <- f(r) }()
	select {
	case code := <-result:
		return code
	case s := <-signals:
		r.note("ended by signal %v", s)
	case <-time.After(caseLimit):
		r.note("not finished after %v", caseLimit)
	}
	return exitNotRun
}

// caseLimit is how long a case may run. Ending its processes takes a moment more.
const caseLimit = 112 * time.Second
