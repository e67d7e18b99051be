package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of minions, as the bounds of the settings name them.
const (
	holdMax   = 6 * time.Second
	stopTime  = 100 * time.Millisecond // at most stop_ms
	heartbeat = 1500 * time.Millisecond
	endsPage  = 500
	maxWait   = 2 * time.Second
)

// minion is a machine that runs tasks. It doesn't guard its capacity.
type minion struct {
	id, addr string
	labels   []string
	cpu, mem int64
	st       *store
	rec      *recorder
	// outcome returns how long a run works and how it ends.
	outcome func(task string, run int) (time.Duration, string)
	// tail returns the tail of a serving task's response times in ms; nil if none
	// serves.
	tail func(task string) int
	// paced reports whether a task works at the speed that pace orders set.
	paced func(task string) bool

	mu       sync.Mutex
	up       bool
	draining bool
	srv      *http.Server
	born     int64
	startAt  time.Time
	seq      int
	fence    int64
	until    time.Duration // end of the lease on its clock
	runs     map[string]*taskRun
	closed   map[string]int // highest run that was stopped or ended, by task
	ends     []taskEnd
	lastEnd  int64
	endAdded chan struct{}
	life     int
}

type taskRun struct {
	run      int
	stopping bool
	timer    *time.Timer
	percent  int // speed of a paced task
}

type taskEnd struct {
	n    int64
	task string
	run  int
	how  string
}

func newMinion(st *store, rec *recorder, id string, labels []string, cpu, mem int64) (*minion, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{id: id, addr: ln.Addr().String(), labels: labels, cpu: cpu, mem: mem, st: st, rec: rec}
	m.begin(ln)
	return m, nil
}

// begin begins a new life, which runs nothing and has seen no fencing token.
func (m *minion) begin(ln net.Listener) {
	m.mu.Lock()
	m.up, m.draining, m.life = true, false, m.life+1
	m.startAt, m.born, m.seq = time.Now(), time.Now().UnixMilli(), 0
	m.fence, m.until, m.lastEnd, m.ends = 0, 0, 0, nil
	m.runs, m.closed, m.endAdded = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	m.srv = &http.Server{Handler: m}
	srv, life := m.srv, m.life
	m.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	go m.checkIn(life)
	go m.watchLease(life)
}

// checkIn writes the minion's record every heartbeat while it lives.
func (m *minion) checkIn(life int) {
	for {
		if !m.writeRecord(life) {
			return
		}
		time.Sleep(heartbeat)
	}
}

func (m *minion) writeRecord(life int) bool {
	m.mu.Lock()
	if m.life != life || !m.up {
		m.mu.Unlock()
		return false
	}
	m.seq++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	doc := map[string]any{
		"service": service, "address": m.addr, "zone": "z1", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": m.seq, "born": m.born,
		"capacity": map[string]int64{"cpu": m.cpu, "mem_mb": m.mem, "gpu": 0}, "labels": m.labels, "clock_ms": time.Since(m.startAt).Milliseconds(),
	}
	m.mu.Unlock()
	data, _ := json.Marshal(doc)
	m.st.put("keyed.servers", m.id, data)
	return true
}

func (m *minion) watchLease(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		if m.life != life || !m.up {
			m.mu.Unlock()
			return
		}
		if time.Since(m.startAt) > m.until {
			for task, r := range m.runs {
				m.end(task, r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// crash ends the minion's life: what runs on it is gone, and its channels break.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	m.rec.note("minion %s crashes with %d runs", m.id, len(m.runs))
	for task, r := range m.runs {
		r.timer.Stop()
		m.rec.lost(task, r.run, m.id)
	}
	m.runs = map[string]*taskRun{}
	close(m.endAdded)
	m.endAdded = make(chan struct{})
	srv := m.srv
	m.mu.Unlock()
	_ = srv.Close()
}

// restart begins a new life under the same id and at the same address.
func (m *minion) restart() error {
	var ln net.Listener
	var err error
	for range 100 {
		if ln, err = net.Listen("tcp", m.addr); err == nil {
			m.rec.note("minion %s starts again", m.id)
			m.begin(ln)
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return err
}

// end ends a run. The caller must hold the lock.
func (m *minion) end(task string, r *taskRun, how string) {
	if m.runs[task] != r {
		return
	}
	r.timer.Stop()
	delete(m.runs, task)
	m.closed[task] = max(m.closed[task], r.run)
	m.lastEnd++
	m.ends = append(m.ends, taskEnd{m.lastEnd, task, r.run, how})
	close(m.endAdded)
	m.endAdded = make(chan struct{})
	m.rec.ended(task, r.run, m.id, how)
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMs      int64  `json:"until_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMs       int64  `json:"wait_ms"`
	Percent      int    `json:"percent"`
}

func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	clock := time.Since(m.startAt)
	refuse := func(reason string) {
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": clock.Milliseconds(), "reason": reason, "born": m.born})
	}
	ok := func() {
		writeJSON(w, http.StatusOK, map[string]any{"clock_ms": clock.Milliseconds(), "born": m.born})
	}
	if r.URL.Path != "/healthz" {
		if o.FencingToken < m.fence {
			refuse("fence")
			return
		}
		m.fence = o.FencingToken
	}
	extend := func() {
		if until := min(time.Duration(o.UntilMs)*time.Millisecond, clock+holdMax); until > m.until {
			m.until = until
		}
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", m.id)
		w.WriteHeader(http.StatusOK)
	case "/run-start":
		if time.Duration(o.UntilMs)*time.Millisecond <= clock {
			refuse("late")
			return
		}
		extend()
		if r := m.runs[o.Task]; r != nil && r.run == o.Run {
			ok()
			return
		}
		if o.Run <= m.closed[o.Task] || m.runs[o.Task] != nil {
			refuse("old")
			return
		}
		m.start(o)
		ok()
	case "/run-stop":
		m.closed[o.Task] = max(m.closed[o.Task], o.Run)
		if r := m.runs[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
			r.stopping = true
			time.AfterFunc(stopTime, func() {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.end(o.Task, r, "stopped")
			})
		}
		ok()
	case "/pace":
		if r := m.runs[o.Task]; r != nil && r.run == o.Run {
			r.percent = o.Percent
			m.rec.note("pace: %s run %d on %s at %d percent", o.Task, o.Run, m.id, o.Percent)
		}
		ok()
	case "/hold":
		if o.UntilMs > 0 {
			extend()
		}
		m.forget(o.LastSeen)
		m.answerHold(w, min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// start starts a run. The caller must hold the lock.
func (m *minion) start(o order) {
	d, how := m.outcome(o.Task, o.Run)
	r := &taskRun{run: o.Run, percent: 100}
	m.runs[o.Task] = r
	m.rec.started(o.Task, o.Run, m.id, o.Spec)
	if m.paced != nil && m.paced(o.Task) {
		r.timer = time.NewTimer(time.Hour)
		go m.workPaced(o.Task, r, d, how)
		return
	}
	r.timer = time.AfterFunc(d, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(o.Task, r, how)
	})
}

// workPaced ends a run once it has done the given work at the speeds set.
func (m *minion) workPaced(task string, r *taskRun, work time.Duration, how string) {
	const tick = 50 * time.Millisecond
	for {
		time.Sleep(tick)
		m.mu.Lock()
		if m.runs[task] != r {
			m.mu.Unlock()
			return
		}
		if work -= tick * time.Duration(r.percent) / 100; work <= 0 {
			m.end(task, r, how)
			m.mu.Unlock()
			return
		}
		m.mu.Unlock()
	}
}

// forget drops the ends up to a number. The caller must hold the lock.
func (m *minion) forget(lastSeen int64) {
	for len(m.ends) > 0 && m.ends[0].n <= lastSeen {
		m.rec.noted(m.ends[0].task, m.ends[0].run, m.ends[0].how)
		m.ends = m.ends[1:]
	}
}

// answerHold waits up to wait for an end and answers with both lists. The caller
// must hold the lock.
func (m *minion) answerHold(w http.ResponseWriter, wait time.Duration) {
	life := m.life
	if len(m.ends) == 0 && wait > 0 {
		added := m.endAdded
		m.mu.Unlock()
		select {
		case <-added:
		case <-time.After(wait):
		}
		m.mu.Lock()
	}
	if m.life != life || !m.up {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for task, r := range m.runs {
		load := 0
		if m.tail != nil {
			load = m.tail(task)
		}
		running = append(running, []any{task, r.run, "", 100, load})
	}
	for _, e := range m.ends[:min(len(m.ends), endsPage)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": time.Since(m.startAt).Milliseconds(), "born": m.born, "running": running, "finished": finished})
}

// runsNow returns the number of runs.
func (m *minion) runsNow() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs)
}

// taskOf splits a task's name into job, round, step and index.
func taskOf(name string) (job string, round, step, index int) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		panic(fmt.Sprintf("task name %q", name))
	}
	round, _ = strconv.Atoi(p[1])
	step, _ = strconv.Atoi(p[2])
	index, _ = strconv.Atoi(p[3])
	return p[0], round, step, index
}
