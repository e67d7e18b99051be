package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the store, as in the settings file.
const (
	recordBytes = 262144
	callBytes   = 2097152
	appendTime  = 2 * time.Millisecond
	partitionMB = 20.0
	pageItems   = 500
	pageBytes   = 1 << 20
)

// store is a stand-in for the platform's store: the log calls that the product
// uses, with fenced producers, for partition 0 of each topic.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	refused int // appends beyond callBytes or recordBytes
}

type topic struct {
	appendMu  sync.Mutex // a partition processes its appends one at a time
	records   [][]byte   // without the length
	changed   chan struct{}
	producers map[string]*producer
	newest    map[string]int // key to offset, without dropped keys
}

type producer struct {
	epoch int64
	seq   int64
	last  map[int64][2]int64 // the last five appends: seq to offset and end
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topics[name]
	if t == nil {
		t = &topic{changed: make(chan struct{}), producers: map[string]*producer{}, newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *store) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

func splitRecord(r []byte) (key string, value []byte) {
	if len(r) == 0 || int(r[0]) >= len(r) {
		return "", nil
	}
	n := int(r[0])
	return string(r[1 : 1+n]), r[1+n:]
}

// add appends records. The caller holds s.mu.
func (t *topic) add(records [][]byte) (offset, end int64) {
	offset = int64(len(t.records))
	for _, r := range records {
		key, value := splitRecord(r)
		t.records = append(t.records, r)
		if len(value) == 0 {
			delete(t.newest, key)
		} else {
			t.newest[key] = len(t.records) - 1
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset, int64(len(t.records))
}

// put writes a record as the operator and the minions do; no value drops the key.
func (s *store) put(topicName, key string, value []byte) {
	t := s.topic(topicName)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := append([]byte{byte(len(key))}, key...)
	t.add([][]byte{append(r, value...)})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	t := s.topic(name)
	switch r.URL.Path {
	case "/log-append":
		if name == "keyed.op" || name == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.append(w, r, t)
	case "/log-read":
		s.read(w, r, t)
	case "/log-newest":
		s.readNewest(w, r, t)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, code int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, t *topic) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	total := 0
	for b := body; len(b) > 0; {
		n := 0
		if len(b) >= 4 {
			n = int(binary.BigEndian.Uint32(b))
		}
		if len(b) < 4 || n > len(b)-4 {
			reply(w, 400, map[string]string{"reason": "malformed"})
			return
		}
		if n > recordBytes {
			total = callBytes + 1
		}
		records, total = append(records, b[4:4+n]), total+n
		b = b[4+n:]
	}
	if total > callBytes {
		// The page bounds the records of a call and names no status.
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		reply(w, 400, map[string]string{"reason": "size"})
		return
	}
	t.appendMu.Lock()
	defer t.appendMu.Unlock()
	time.Sleep(appendTime + time.Duration(float64(len(body))/(partitionMB*1e6)*float64(time.Second)))
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
		p := t.producers[name]
		switch {
		case p != nil && epoch < p.epoch:
			reply(w, 409, map[string]any{"reason": "fenced", "epoch": p.epoch})
			return
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, seq: seq - 1, last: map[int64][2]int64{}}
			t.producers[name] = p
		}
		if old, ok := p.last[seq]; ok {
			reply(w, 200, map[string]int64{"offset": old[0], "end": old[1]})
			return
		}
		if len(records) > 0 {
			if seq != p.seq+1 {
				reply(w, 409, map[string]any{"reason": "seq", "seq": p.seq + 1})
				return
			}
			offset, end := t.add(records)
			p.seq = seq
			p.last[seq] = [2]int64{offset, end}
			delete(p.last, seq-5)
			reply(w, 200, map[string]int64{"offset": offset, "end": end})
			return
		}
	}
	offset, end := t.add(records)
	reply(w, 200, map[string]int64{"offset": offset, "end": end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, t *topic) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := wait > 0; ; {
		s.mu.Lock()
		if from < len(t.records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(t.records) && (i == from || len(out)+len(t.records[i]) < maxKB<<10); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
				out = append(out, t.records[i]...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := t.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request, t *topic) {
	after := r.URL.Query().Get("depends_on")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range t.newest {
		if strings.Compare(k, after) > 0 {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items, size, more := []item{}, 0, false
	for _, k := range keys {
		offset := t.newest[k]
		_, value := splitRecord(t.records[offset])
		if len(items) == pageItems || len(items) > 0 && size+len(value) > pageBytes {
			more = true
			break
		}
		size += len(value)
		items = append(items, item{k, base64.StdEncoding.EncodeToString(value), offset})
	}
	reply(w, 200, map[string]any{"items": items, "more": more, "end": len(t.records)})
}
