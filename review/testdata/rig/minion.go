package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// endsPerPage is how many ends a minion lists at a time.
const endsPerPage = 500

// taskWork is what a task does.
type taskWork struct {
	duration   time.Duration
	checkpoint time.Duration // work between two checkpoints, 0 for none
}

// activity is one thing that a minion has seen or done.
type activity struct {
	at     time.Time
	minion string
	boot   int64
	what   string // start, end, noted, lapse, crash, up
	task   string
	run    int
	how    string // of an end
	n      int64  // number of an end, or the highest one noted
}

// journal collects the activities of all minions.
type journal struct {
	mu   sync.Mutex
	list []activity
}

func (j *journal) add(a activity) {
	a.at = time.Now()
	j.mu.Lock()
	j.list = append(j.list, a)
	j.mu.Unlock()
}

func (j *journal) all() []activity {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]activity(nil), j.list...)
}

// minion is a stand-in for a minion that runs tasks. It does not guard its
// capacity.
type minion struct {
	id, service, zone string
	labels            []string
	cpu, mem          int64
	holdMax           time.Duration
	store             *store
	journal           *journal
	work              func(task string) taskWork

	mu       sync.Mutex
	addr     string
	listener net.Listener
	server   *http.Server
	born     int64
	started  time.Time // origin of the clock
	fence    int64
	lease    time.Time
	runs     map[string]*minionRun
	closed   map[string]int // highest run that was stopped or has ended, by task
	ends     []minionEnd
	lastEnd  int64
	changed  chan struct{}
	seq      int
	up       bool
}

type minionRun struct {
	run     int
	started time.Time
	resumed time.Duration // work that the checkpoint stands for
	work    taskWork
	timer   *time.Timer
}

type minionEnd struct {
	n          int64
	task       string
	run        int
	how        string
	checkpoint string
}

// boot starts the minion, at the address that it had if it ran before.
func (m *minion) boot() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	addr := m.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	m.addr, m.listener = l.Addr().String(), l
	m.started = time.Now()
	m.born = m.started.UnixMilli()
	m.fence, m.lease, m.lastEnd, m.ends = 0, time.Time{}, 0, nil
	m.runs, m.closed, m.changed, m.up = map[string]*minionRun{}, map[string]int{}, make(chan struct{}), true
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.start)
	mux.HandleFunc("POST /run-stop", m.stop)
	mux.HandleFunc("POST /hold", m.hold)
	mux.HandleFunc("POST /pace", m.pace)
	m.server = &http.Server{Handler: mux}
	server, born := m.server, m.born
	go func() { _ = server.Serve(l) }() // ends with crash, or with the process
	m.journal.add(activity{minion: m.id, boot: m.born, what: "up"})
	go m.beat(born)
	go m.watchLease(born)
	return nil
}

// crash ends the minion with all that runs on it. Its channels are reset.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	for _, r := range m.runs {
		r.timer.Stop()
	}
	m.runs = map[string]*minionRun{}
	server := m.server
	m.journal.add(activity{minion: m.id, boot: m.born, what: "crash"})
	m.mu.Unlock()
	_ = server.Close() // its error is that of closing the listener
}

// beat writes the minion's entry every 1.5 s.
func (m *minion) beat(born int64) {
	for {
		m.mu.Lock()
		if !m.up || m.born != born {
			m.mu.Unlock()
			return
		}
		m.seq++
		labels, err := json.Marshal(m.labels)
		if err != nil {
			panic(err)
		}
		entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d,"labels":%s,"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0}}`,
			m.service, m.addr, m.zone, m.seq, m.born, labels, m.cpu, m.mem)
		m.mu.Unlock()
		m.store.put("keyed.servers", m.id, []byte(entry))
		time.Sleep(1500 * time.Millisecond)
	}
}

// clock returns the time on the minion's clock. The caller must hold m.mu.
func (m *minion) clock() time.Duration { return time.Since(m.started) }

// extend extends the lease. The caller must hold m.mu.
func (m *minion) extend(untilMs int64) {
	until := m.started.Add(time.Duration(untilMs) * time.Millisecond)
	if latest := time.Now().Add(m.holdMax); until.After(latest) {
		until = latest
	}
	if until.After(m.lease) {
		m.lease = until
	}
}

// watchLease ends everything that runs when the lease expires.
func (m *minion) watchLease(born int64) {
	for {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		if !m.up || m.born != born {
			m.mu.Unlock()
			return
		}
		if len(m.runs) > 0 && time.Now().After(m.lease) {
			m.journal.add(activity{minion: m.id, boot: m.born, what: "lapse"})
			for task, r := range m.runs {
				m.end(task, r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// end ends a run. The caller must hold m.mu.
func (m *minion) end(task string, r *minionRun, how string) {
	r.timer.Stop()
	delete(m.runs, task)
	m.closed[task] = max(m.closed[task], r.run)
	m.lastEnd++
	checkpoint := ""
	if how != "done" && how != "failed" {
		checkpoint = r.checkpoint()
	}
	m.ends = append(m.ends, minionEnd{m.lastEnd, task, r.run, how, checkpoint})
	m.journal.add(activity{minion: m.id, boot: m.born, what: "end", task: task, run: r.run, how: how, n: m.lastEnd})
	close(m.changed)
	m.changed = make(chan struct{})
}

// checkpoint returns the newest checkpoint: the work that is done, in whole
// intervals.
func (r *minionRun) checkpoint() string {
	if r.work.checkpoint == 0 {
		return ""
	}
	n := int64((r.resumed + time.Since(r.started)) / r.work.checkpoint)
	if n == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", n)
}

// minionCall is the body of a call.
type minionCall struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"until_ms"`
	FencingToken int64  `json:"fencing_token"`
	Checkpointed string `json:"checkpointed"`
	LastSeen     int64  `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
}

// decode reads a call. It answers a call for another boot, or with a lower
// fencing token, and then returns false. If it returns true, m.mu is locked.
func (m *minion) decode(w http.ResponseWriter, r *http.Request, c *minionCall) bool {
	if err := json.NewDecoder(r.Body).Decode(c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return false
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	m.mu.Lock()
	if c.FencingToken < m.fence {
		m.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	m.fence = c.FencingToken
	return true
}

func (m *minion) reply(w http.ResponseWriter, status int, reason string) {
	v := map[string]any{"clock_ms": m.clock().Milliseconds(), "born": m.born}
	if reason != "" {
		v["reason"] = reason
	}
	answer(w, status, v)
}

func (m *minion) start(w http.ResponseWriter, r *http.Request) {
	var c minionCall
	if !m.decode(w, r, &c) {
		return
	}
	defer m.mu.Unlock()
	old := m.runs[c.Task]
	switch {
	case old != nil && old.run == c.Run:
		m.extend(c.UntilMs)
		m.reply(w, http.StatusOK, "")
		return
	case old != nil, c.Run <= m.closed[c.Task]:
		m.extend(c.UntilMs)
		m.reply(w, http.StatusConflict, "old")
		return
	case time.Duration(c.UntilMs)*time.Millisecond <= m.clock():
		m.reply(w, http.StatusConflict, "late")
		return
	}
	m.extend(c.UntilMs)
	run := &minionRun{run: c.Run, started: time.Now(), work: m.work(c.Task)}
	if run.work.checkpoint > 0 && c.Checkpointed != "" {
		var n int64
		if _, err := fmt.Sscanf(strings.TrimLeft(c.Checkpointed, "0"), "%x", &n); err == nil {
			run.resumed = time.Duration(n) * run.work.checkpoint
		}
	}
	born, task := m.born, c.Task
	run.timer = time.AfterFunc(run.work.duration-run.resumed, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.up && m.born == born && m.runs[task] == run {
			m.end(task, run, "done")
		}
	})
	m.runs[c.Task] = run
	m.journal.add(activity{minion: m.id, boot: m.born, what: "start", task: c.Task, run: c.Run})
	m.reply(w, http.StatusOK, "")
}

func (m *minion) stop(w http.ResponseWriter, r *http.Request) {
	var c minionCall
	if !m.decode(w, r, &c) {
		return
	}
	defer m.mu.Unlock()
	m.closed[c.Task] = max(m.closed[c.Task], c.Run)
	if run := m.runs[c.Task]; run != nil && run.run <= c.Run {
		m.end(c.Task, run, "stopped")
	}
	m.reply(w, http.StatusOK, "")
}

func (m *minion) pace(w http.ResponseWriter, r *http.Request) {
	var c minionCall
	if !m.decode(w, r, &c) {
		return
	}
	defer m.mu.Unlock()
	m.reply(w, http.StatusOK, "")
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var c minionCall
	if !m.decode(w, r, &c) {
		return
	}
	if c.UntilMs > 0 {
		m.extend(c.UntilMs)
	}
	kept, noted := m.ends[:0:0], int64(0)
	for _, e := range m.ends {
		if e.n > c.LastSeen {
			kept = append(kept, e)
		} else {
			noted = e.n
		}
	}
	m.ends = kept
	if noted > 0 {
		m.journal.add(activity{minion: m.id, boot: m.born, what: "noted", n: noted})
	}
	timeout := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for waiting := c.WaitMs > 0; waiting && len(m.ends) == 0; {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for task, run := range m.runs {
		percent := int(100 * (run.resumed + time.Since(run.started)) / max(run.work.duration, 1))
		running = append(running, []any{task, run.run, run.checkpoint(), min(percent, 99), 0.05})
	}
	for _, e := range m.ends[:min(len(m.ends), endsPerPage)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, e.checkpoint})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": m.clock().Milliseconds(), "born": m.born, "running": running, "finished": finished})
}
