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

const (
	stopTime = 200 * time.Millisecond
	beat     = 1500 * time.Millisecond
)

// host is a place with one address, on which one minion after another runs.
type host struct {
	rig     *rig
	name    string
	addr    string
	service string

	mu     sync.Mutex
	minion *minion // nil while the host is down
	lives  int
	server *http.Server
}

// minion is one life of a minion. Its fields are guarded by host.mu.
type minion struct {
	id      string
	born    time.Time
	fence   int64
	until   int64 // end of the lease on the minion's clock
	running map[string]*process
	highest map[string]int // by task: highest run stopped or ended
	ends    []end
	number  int64
	changed chan struct{} // closed when a run ends
	seq     int
}

type process struct {
	task    string
	run     int
	serves  bool // it lasts, and reports the tail of its response times
	percent int  // its pace
	left    time.Duration
	since   time.Time // when left was computed
	stop    *time.Timer
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() + 1000 }

// boot starts a new life under a new id, at the host's address.
func (h *host) boot() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	ln, err := net.Listen("tcp", h.addr)
	if err != nil {
		return err
	}
	h.addr = ln.Addr().String()
	h.lives++
	m := &minion{id: fmt.Sprintf("i-%s-%d", h.name, h.lives), born: time.Now(), running: map[string]*process{}, highest: map[string]int{}, changed: make(chan struct{})}
	h.minion = m
	h.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serve(m, w, r) })}
	go func(s *http.Server) { _ = s.Serve(ln) }(h.server)
	h.rig.note("minion %s starts on host %s", m.id, h.name)
	go h.beats(m)
	go h.watchLease(m)
	return nil
}

// beats registers the minion in the store until it is gone, and removes the entry
// after three silent intervals, as the platform does.
func (h *host) beats(m *minion) {
	for {
		h.mu.Lock()
		alive := h.minion == m
		m.seq++
		seq := m.seq
		h.mu.Unlock()
		if !alive {
			break
		}
		entry, _ := json.Marshal(map[string]any{
			"service": h.service, "address": h.addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int{"cpu": 32000, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"}, "seq": seq, "born": m.born.UnixMilli(),
		})
		h.rig.store.put("keyed.servers", m.id, entry)
		time.Sleep(beat)
	}
	time.Sleep(2 * beat)
	h.rig.store.put("keyed.servers", m.id, nil)
}

// crash ends the minion at once, with all that it runs and all its channels.
func (h *host) crash() {
	h.mu.Lock()
	m, s := h.minion, h.server
	h.minion = nil
	if m != nil {
		for _, p := range m.running {
			p.halt()
			h.rig.ran(m.id, p.task, p.run, "lost in a crash")
		}
		m.running = map[string]*process{}
	}
	h.mu.Unlock()
	if m != nil {
		_ = s.Close()
		h.rig.note("minion %s crashes", m.id)
	}
}

// watchLease kills what runs when the lease has expired.
func (h *host) watchLease(m *minion) {
	for {
		time.Sleep(10 * time.Millisecond)
		h.mu.Lock()
		if h.minion != m {
			h.mu.Unlock()
			return
		}
		if m.clock() >= m.until {
			for _, p := range m.running {
				h.finish(m, p, "lapsed")
			}
		}
		h.mu.Unlock()
	}
}

// finish ends a run. The caller holds h.mu.
func (h *host) finish(m *minion, p *process, how string) {
	if h.minion != m || m.running[p.task] != p {
		return
	}
	p.halt()
	delete(m.running, p.task)
	m.highest[p.task] = max(m.highest[p.task], p.run)
	m.number++
	m.ends = append(m.ends, end{m.number, p.task, p.run, how})
	close(m.changed)
	m.changed = make(chan struct{})
	h.rig.ran(m.id, p.task, p.run, how)
}

// halt ends the work of a run for now. The caller holds h.mu.
func (p *process) halt() {
	if p.stop != nil {
		p.stop.Stop()
		p.stop = nil
	}
	p.left -= time.Duration(float64(time.Since(p.since)) * float64(p.percent) / 100)
	p.since = time.Now()
}

// setPace lets a run work at a share of its speed. The caller holds h.mu.
func (h *host) setPace(m *minion, p *process, percent int) {
	p.halt()
	p.percent = percent
	if percent == 0 || p.serves {
		return
	}
	p.stop = time.AfterFunc(p.left*100/time.Duration(percent), func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.finish(m, p, "done")
	})
}

// load returns the rough figure that a minion reports of a run: the tail of the
// response times of a task that serves, the cores in use by any other.
func (h *host) load(p *process) float64 {
	if p.serves {
		return float64(h.rig.tailMs.Load())
	}
	return float64(p.percent) / 100
}

// workTime reads the run time of a task from the spec: milliseconds by step,
// separated by commas.
func workTime(spec, task string) time.Duration {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0
	}
	step, _ := strconv.Atoi(parts[2])
	times := strings.Split(spec, ",")
	ms, _ := strconv.Atoi(times[min(step, len(times)-1)])
	return time.Duration(ms) * time.Millisecond
}

func (h *host) serve(m *minion, w http.ResponseWriter, r *http.Request) {
	var doc struct {
		Task         string `json:"task"`
		Run          int    `json:"run"`
		Spec         string `json:"spec"`
		UntilMs      int64  `json:"until_ms"`
		FencingToken int64  `json:"fencing_token"`
		LastSeen     int64  `json:"last_seen"`
		WaitMs       int64  `json:"wait_ms"`
		Percent      int    `json:"percent"`
	}
	if err := json.NewDecoder(r.Body).Decode(&doc); err != nil {
		w.WriteHeader(400)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.minion != m {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != m.id {
		reply(w, 421, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli()})
		return
	}
	refuse := func(reason string) {
		reply(w, 409, map[string]any{"clock_ms": m.clock(), "reason": reason, "born": m.born.UnixMilli()})
	}
	if doc.FencingToken < m.fence {
		refuse("fence")
		return
	}
	m.fence = doc.FencingToken
	extend := func() { m.until = max(m.until, min(doc.UntilMs, m.clock()+h.rig.conf.holdMax.Milliseconds())) }
	switch r.URL.Path {
	case "/run-start":
		p := m.running[doc.Task]
		switch {
		case p != nil && p.run == doc.Run:
			extend()
		case doc.Run <= m.highest[doc.Task]:
			extend()
			refuse("old")
			return
		case doc.UntilMs <= m.clock():
			refuse("late")
			return
		default:
			extend()
			p := &process{task: doc.Task, run: doc.Run, serves: doc.Spec == "serve", left: workTime(doc.Spec, doc.Task), since: time.Now()}
			m.running[doc.Task] = p
			h.setPace(m, p, 100)
			h.rig.started(m.id, doc.Task, doc.Run)
		}
	case "/run-stop":
		m.highest[doc.Task] = max(m.highest[doc.Task], doc.Run)
		if p := m.running[doc.Task]; p != nil && p.run == doc.Run {
			time.AfterFunc(stopTime/2, func() {
				h.mu.Lock()
				defer h.mu.Unlock()
				h.finish(m, p, "stopped")
			})
		}
	case "/pace":
		if p := m.running[doc.Task]; p != nil && p.run == doc.Run {
			h.setPace(m, p, doc.Percent)
			h.rig.note("run of %s, number %d, on %s: paced to %d percent", doc.Task, doc.Run, m.id, doc.Percent)
		}
	case "/hold":
		extend()
		for len(m.ends) > 0 && m.ends[0].number <= doc.LastSeen {
			m.ends = m.ends[1:]
		}
		deadline := time.After(time.Duration(min(doc.WaitMs, 2000)) * time.Millisecond)
		for waiting := doc.WaitMs > 0; waiting && len(m.ends) == 0; {
			changed := m.changed
			h.mu.Unlock()
			select {
			case <-changed:
			case <-deadline:
				waiting = false
			case <-r.Context().Done():
				waiting = false
			}
			h.mu.Lock()
			if h.minion != m {
				panic(http.ErrAbortHandler)
			}
		}
		running, finished := [][]any{}, [][]any{}
		for _, p := range m.running {
			running = append(running, []any{p.task, p.run, "", p.percent, h.load(p)})
		}
		for _, e := range m.ends[:min(len(m.ends), 500)] {
			finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
		}
		reply(w, 200, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished})
		return
	default:
		w.WriteHeader(404)
		return
	}
	reply(w, 200, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli()})
}
