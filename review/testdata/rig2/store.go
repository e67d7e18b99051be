package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, as the platform's settings name them.
const (
	recordBytes  = 262144
	callBytes    = 2097152
	appendTime   = 2 * time.Millisecond
	bytesPerSec  = 20e6
	maxQueueTime = 2 * time.Second
	pageItems    = 500
	pageBytes    = 1 << 20
)

// store is the platform's metadata store. It keeps all records.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

type topic struct {
	records   [][]byte       // by offset, without the length
	newest    map[string]int // offset of the newest record, by key
	producers map[string]*producer
	changed   chan struct{} // closed and replaced with each append
	freeAt    time.Time     // when the appends accepted so far are done
}

type producer struct {
	epoch, seq int64
	replies    map[int64]appendReply // of the last five appends, by sequence number
}

type appendReply struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, new if there is none. The caller must hold the lock.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// keyOf splits a record of a keyed topic into key and value.
func keyOf(record []byte) (string, []byte) {
	if len(record) == 0 || int(record[0]) >= len(record) {
		return "", nil
	}
	n := int(record[0])
	return string(record[1 : 1+n]), record[1+n:]
}

func (t *topic) add(records [][]byte) appendReply {
	r := appendReply{Offset: len(t.records), End: len(t.records) + len(records)}
	for _, rec := range records {
		key, value := keyOf(rec)
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = len(t.records)
		}
		t.records = append(t.records, rec)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return r
}

// put stores a record of the operator or of a server.
func (s *store) put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// remove drops a key.
func (s *store) remove(topicName, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topicName).add([][]byte{append([]byte{byte(len(key))}, key...)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	num := func(name string) int64 {
		n, _ := strconv.ParseInt(q.Get(name), 10, 64)
		return n
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, q.Get("topic"), q.Get("producer"), num("epoch"), num("seq"), body)
	case "/log-read":
		s.read(w, r, q.Get("topic"), int(num("from")), int(num("max_kb"))<<10, time.Duration(num("wait_ms"))*time.Millisecond)
	case "/log-newest":
		s.readNewest(w, q.Get("topic"), q.Get("depends_on"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, name, prod string, epoch, seq int64, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	total := 0
	for b := body; len(b) > 0; {
		if len(b) < 4 || int(binary.BigEndian.Uint32(b)) > len(b)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(binary.BigEndian.Uint32(b))
		records = append(records, append([]byte(nil), b[4:4+n]...))
		total += n
		if n > recordBytes {
			total = callBytes + 1
		}
		b = b[4+n:]
	}
	s.mu.Lock()
	if total > callBytes {
		s.mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := s.topic(name)
	now := time.Now()
	if t.freeAt.Before(now) {
		t.freeAt = now
	}
	if t.freeAt.Sub(now) > maxQueueTime {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.freeAt = t.freeAt.Add(appendTime + time.Duration(float64(total)/bytesPerSec*1e9))
	wait := t.freeAt.Sub(now)
	s.mu.Unlock()
	time.Sleep(wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if prod == "" {
		writeJSON(w, http.StatusOK, t.add(records))
		return
	}
	p := t.producers[prod]
	switch {
	case p == nil || epoch > p.epoch:
		p = &producer{epoch: epoch, replies: map[int64]appendReply{}}
		t.producers[prod] = p
	case epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced", "epoch": p.epoch})
		return
	case seq == p.seq+1:
	default:
		if reply, ok := p.replies[seq]; ok {
			writeJSON(w, http.StatusOK, reply)
			return
		}
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
		return
	}
	if len(records) == 0 {
		writeJSON(w, http.StatusOK, appendReply{len(t.records), len(t.records)})
		return
	}
	p.seq = seq
	p.replies[seq] = t.add(records)
	delete(p.replies, seq-5)
	writeJSON(w, http.StatusOK, p.replies[seq])
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string, from, maxBytes int, wait time.Duration) {
	if maxBytes <= 0 {
		maxBytes = 1 << 20
	}
	deadline := time.After(min(wait, 30*time.Second))
	s.mu.Lock()
	t := s.topic(name)
	for from >= len(t.records) && wait > 0 {
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := max(from, 0); i < len(t.records); i++ {
		if len(out) > 16 && len(out)+len(t.records[i]) > maxBytes {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
		out = append(out, t.records[i]...)
	}
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	_, _ = w.Write(out)
}

func (s *store) readNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	var keys []string
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		_, v := keyOf(t.records[t.newest[k]])
		if len(items) == pageItems || size+len(v) > pageBytes && len(items) > 0 {
			more = true
			break
		}
		size += len(v)
		items = append(items, item{k, v, t.newest[k]})
	}
	end := len(t.records)
	s.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}
