package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 2 * time.Millisecond
	answerTime  = 4 * time.Millisecond
	pageRecords = 500
	pageBytes   = 1 << 20
)

// record is one record of a keyed topic.
type record struct {
	key   string
	value []byte
}

// producer is the state of one producer of a topic.
type producer struct {
	epoch, seq int64
	answers    map[int64][2]int64 // offset and end of the last five appends, by sequence number
}

// topic is a keyed topic with one partition.
type topic struct {
	records   []record
	newest    map[string]int // offset of the newest record, by key
	producers map[string]*producer
	changed   chan struct{}
}

// store is a stand-in for the platform's store. It implements the calls that the
// project makes, as PROTOCOL.md describes them.
type store struct {
	addr string

	mu      sync.Mutex
	topics  map[string]*topic
	down    chan struct{} // closed when an outage ends; nil while the store is up
	refused int           // appends refused because of their size
}

func newStore() (*store, error) {
	s := &store{topics: map[string]*topic{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.append)
	m.HandleFunc("GET /log-read", s.read)
	m.HandleFunc("GET /log-newest", s.newestPage)
	go func() { _ = http.Serve(l, m) }() // ends with the process
	return s, nil
}

// topic returns a topic, new if there is none. The caller must hold s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// setDown begins or ends an outage in which the store answers no call and
// carries none out.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case down && s.down == nil:
		s.down = make(chan struct{})
		for _, t := range s.topics { // reads that wait get no answer either
			close(t.changed)
			t.changed = make(chan struct{})
		}
	case !down && s.down != nil:
		close(s.down)
		s.down = nil
	}
}

// silent waits while the store is down and reports whether it was: a call that
// arrived then gets no answer, and its channel stays open until the caller ends
// it.
func (s *store) silent(r *http.Request) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down == nil {
		return false
	}
	<-r.Context().Done()
	return true
}

// put appends a record as the operator or a minion does.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.topic(topicName), []record{{key, value}})
}

// add appends records. The caller must hold s.mu.
func (s *store) add(t *topic, records []record) (offset, end int64) {
	offset = int64(len(t.records))
	for _, r := range records {
		t.records = append(t.records, r)
		if len(r.value) == 0 {
			delete(t.newest, r.key)
			continue
		}
		t.newest[r.key] = len(t.records) - 1
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset, int64(len(t.records))
}

func decodeRecords(b []byte) (out []record, ok bool) {
	for len(b) > 0 {
		if len(b) < 5 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		b = b[4:]
		if n < 1 || n > len(b) || n > recordBytes || int(b[0]) >= n {
			return nil, false
		}
		k := int(b[0])
		out = append(out, record{string(b[1 : 1+k]), append([]byte(nil), b[1+k:n]...)})
		b = b[n:]
	}
	return out, true
}

func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have gone
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64) // 0 if it is missing
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.silent(r) {
		return
	}
	time.Sleep(answerTime / 2)
	records, ok := decodeRecords(body)
	total := len(body)
	if !ok || total > callBytes {
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		answer(w, http.StatusBadRequest, map[string]string{"reason": "size"})
		return
	}
	time.Sleep(appendTime)
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	name := q.Get("producer")
	if name == "" {
		offset, end := s.add(t, records)
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]int64{"offset": offset, "end": end})
		return
	}
	epoch, seq := number(r, "epoch"), number(r, "seq")
	p := t.producers[name]
	if p == nil {
		p = &producer{epoch: epoch, seq: seq - 1, answers: map[int64][2]int64{}}
		t.producers[name] = p
	}
	if epoch > p.epoch {
		*p = producer{epoch: epoch, seq: seq - 1, answers: map[int64][2]int64{}}
	}
	status := http.StatusOK
	var reply map[string]any
	last, repeated := p.answers[seq]
	switch {
	case epoch < p.epoch:
		status, reply = http.StatusConflict, map[string]any{"reason": "fenced", "epoch": p.epoch}
	case repeated:
		reply = map[string]any{"offset": last[0], "end": last[1]}
	case seq != p.seq+1:
		status, reply = http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1}
	default:
		offset, end := s.add(t, records)
		p.seq = seq
		p.answers[seq] = [2]int64{offset, end}
		delete(p.answers, seq-5)
		reply = map[string]any{"offset": offset, "end": end}
	}
	s.mu.Unlock()
	time.Sleep(answerTime / 2)
	answer(w, status, reply)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	if s.silent(r) {
		return
	}
	time.Sleep(answerTime / 2)
	from, limit := number(r, "from"), int(number(r, "max_kb"))<<10
	if limit <= 0 {
		limit = 1 << 20
	}
	deadline := time.NewTimer(time.Duration(min(number(r, "wait_ms"), 30000)) * time.Millisecond)
	defer deadline.Stop()
	for waited := false; ; {
		if s.silent(r) {
			return
		}
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, changed := int64(len(t.records)), t.changed
		var records []record
		if from < end {
			n := 0
			for _, x := range t.records[from:] {
				if n += 5 + len(x.key) + len(x.value); n > limit && len(records) > 0 {
					break
				}
				records = append(records, x)
			}
		}
		s.mu.Unlock()
		if len(records) > 0 || waited {
			time.Sleep(answerTime / 2)
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, x := range records {
				b = binary.BigEndian.AppendUint32(b, uint32(1+len(x.key)+len(x.value)))
				b = append(append(append(b, byte(len(x.key))), x.key...), x.value...)
			}
			_, _ = w.Write(b) // the caller may have gone
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestPage(w http.ResponseWriter, r *http.Request) {
	if s.silent(r) {
		return
	}
	time.Sleep(answerTime)
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.URL.Query().Get("depends_on")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size := []item{}, 0
	for _, k := range keys {
		x := t.records[t.newest[k]]
		size += len(k) + len(x.value)
		if len(items) == pageRecords || size > pageBytes && len(items) > 0 {
			break
		}
		items = append(items, item{k, x.value, t.newest[k]})
	}
	reply := map[string]any{"items": items, "more": len(items) < len(keys), "end": len(t.records)}
	s.mu.Unlock()
	answer(w, http.StatusOK, reply)
}
