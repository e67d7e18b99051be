package wire

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/fleet"
	"github.com/tamaracklink/tamaracklink/internal/standin/store"
	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

// Platform simulates the platform in one process: a store for each topic, a
// fleet of workers, and a placement service that permits every worker. Its
// exported fields must not change once it serves calls.
type Platform struct {
	// RetainedRecords is the number of records that each topic retains beside
	// the newest of each key, 0 for all.
	RetainedRecords int
	Fleet           *fleet.Fleet
	// Service is the name of the service that the workers belong to.
	Service string
	// TicketValidity is how long the placement service's tickets are valid.
	TicketValidity time.Duration

	mu     sync.Mutex // guards topics
	topics map[string]*store.Store
}

// TopicStore returns a topic's store. The first use of a name creates an empty
// one.
func (p *Platform) TopicStore(name string) *store.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.topics == nil {
		p.topics = map[string]*store.Store{}
	}
	s := p.topics[name]
	if s == nil {
		s = store.New(uint64(len(p.topics) + 1))
		s.SetRetention(p.RetainedRecords)
		p.topics[name] = s
	}
	return s
}

// TopicStores returns the stores of all topics used so far, in no particular
// order.
func (p *Platform) TopicStores() []*store.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.topics))
}

// Topics of the platform's store.
const (
	TopicLedger  = "keyed.tamaracklink" // records of this system
	TopicOrders  = "keyed.op"           // records of operators
	TopicWorkers = "keyed.servers"      // entries that workers write about themselves
)

// clientName is the client name under which the stand-ins see all callers.
const clientName = "wire"

// Handler returns a handler for the calls to the store and the placement
// service. The workers have handlers of their own.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	p.ServeStore(router, func(h httprouter.Handle) httprouter.Handle { return h })
	router.POST("/advise", p.advise)
	return router
}

// ServeStore adds the store's calls to a router, each passed through wrap.
func (p *Platform) ServeStore(router *httprouter.Router, wrap func(httprouter.Handle) httprouter.Handle) {
	router.POST("/log-append", wrap(p.logAppend))
	router.GET("/log-read", wrap(p.logRead))
	router.GET("/log-newest", wrap(p.logNewest))
}

func (p *Platform) topicLog(r *http.Request) ledger.Log {
	return p.TopicStore(r.URL.Query().Get("topic")).Log(clientName)
}

// intParam returns a query parameter, 0 if it is missing or no integer.
func intParam(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(data) // an error means that the caller has gone
}

// DecodeRecords decodes the body of an append. Each record has a length of 4
// bytes, which covers the rest, a key length of 1 byte, the key and the value.
// It returns an error for a truncated record or key.
func DecodeRecords(b []byte) ([]ledger.Record, error) {
	var out []ledger.Record
	for len(b) > 0 {
		if len(b) < 5 || int(binary.BigEndian.Uint32(b)) > len(b)-4 {
			return nil, errors.New("record is truncated")
		}
		n := int(binary.BigEndian.Uint32(b))
		body := b[4 : 4+n]
		k := int(body[0])
		if k >= n {
			return nil, errors.New("key is longer than its record")
		}
		out = append(out, ledger.Record{Key: string(body[1 : 1+k]), Value: append([]byte(nil), body[1+k:]...)})
		b = b[4+n:]
	}
	return out, nil
}

func (p *Platform) logAppend(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, err := DecodeRecords(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	producer := ledger.Producer{Name: r.URL.Query().Get("producer"), Epoch: intParam(r, "epoch")}
	end, err := p.topicLog(r).Append(r.Context(), producer, intParam(r, "seq"), records)
	var fenced *ledger.FencedError
	var seq *ledger.SequenceError
	var refused *ledger.RefusedError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, map[string]int64{"offset": end - int64(len(records)), "end": end})
	case errors.As(err, &fenced):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced", "epoch": fenced.Epoch})
	case errors.As(err, &seq):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": seq.Expected})
	case errors.As(err, &refused):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler) // no answer
	}
}

func (p *Platform) logRead(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	page, err := p.topicLog(r).Read(r.Context(), intParam(r, "from"), int(intParam(r, "max_kb"))<<10, time.Duration(intParam(r, "wait_ms"))*time.Millisecond)
	var expired *ledger.ExpiredError
	switch {
	case errors.As(err, &expired):
		writeJSON(w, http.StatusGone, map[string]int64{"first": expired.OldestOffset})
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	b := binary.BigEndian.AppendUint64(nil, uint64(page.LogEnd))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, x := range page.Records {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(x.Key)+len(x.Value)))
		b = append(append(append(b, byte(len(x.Key))), x.Key...), x.Value...)
	}
	_, _ = w.Write(b)
}

func (p *Platform) logNewest(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	page, err := p.topicLog(r).ReadNewest(r.Context(), r.URL.Query().Get("depends_on"))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	items := []item{}
	for _, x := range page.Records {
		items = append(items, item{Key: x.Key, Value: x.Value})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": page.More, "end": page.LogEnd})
}

func (p *Platform) advise(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	permitted := [][]string{}
	for _, id := range q.Workers {
		permitted = append(permitted, []string{id, "t-" + id})
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": permitted, "valid_ms": p.TicketValidity.Milliseconds()})
}

// WorkerHandler returns a handler for the calls to one worker.
func (p *Platform) WorkerHandler(id string) http.Handler {
	calls := p.Fleet.Calls(clientName)
	router := httprouter.New()
	router.POST("/run-start", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		o, term, ok := readOrder(w, r, id)
		if ok {
			writeAnswer(w, calls.Start(r.Context(), o, term))
		}
	})
	router.POST("/run-stop", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		o, term, ok := readOrder(w, r, id)
		if ok {
			writeAnswer(w, calls.Stop(r.Context(), o, term))
		}
	})
	router.POST("/hold", func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		o, term, ok := readOrder(w, r, id)
		if !ok {
			return
		}
		rep, a := calls.Poll(r.Context(), o, term)
		if a != sched.AnswerOK {
			writeAnswer(w, a)
			return
		}
		writeJSON(w, http.StatusOK, encodeReport(rep))
	})
	return router
}

// readOrder decodes the body of a call to the worker id. It reports false after
// it has answered a body that is invalid or a call that expects another worker.
func readOrder(w http.ResponseWriter, r *http.Request, id string) (sched.Order, int64, bool) {
	var b struct {
		Task         string `json:"task"`
		Run          int    `json:"run"`
		UntilMs      int64  `json:"until_ms"`
		FencingToken int64  `json:"fencing_token"`
		LastSeen     int64  `json:"last_seen"`
		WaitMs       int64  `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return sched.Order{}, 0, false
	}
	if want := r.Header.Get("X-Expect-Instance"); want != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return sched.Order{}, 0, false
	}
	o := sched.Order{Worker: id, Run: b.Run, LeaseExpiry: b.UntilMs, AckedEnd: b.LastSeen, Wait: time.Duration(b.WaitMs) * time.Millisecond}
	if b.Task != "" {
		t, err := sched.ParseTaskID(b.Task)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return sched.Order{}, 0, false
		}
		o.Task = t
	}
	return o, b.FencingToken, true
}

// writeAnswer answers an order that has no report.
func writeAnswer(w http.ResponseWriter, a sched.Answer) {
	switch a {
	case sched.AnswerOK:
		writeJSON(w, http.StatusOK, map[string]int{"clock_ms": 0})
	case sched.AnswerFenced:
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fence"})
	case sched.AnswerStaleRun:
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "old"})
	case sched.AnswerNone:
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// encodeReport returns the JSON document of a report. Every running task has a
// progress of 50 percent and a load of 0, since the fleet simulates neither.
func encodeReport(rep sched.Report) any {
	running, finished := [][]any{}, [][]any{}
	for _, x := range rep.Running {
		running = append(running, []any{x.Task.String(), x.Run, x.Checkpoint, 50, 0})
	}
	for _, x := range rep.Ended {
		finished = append(finished, []any{x.Number, x.Task.String(), x.Run, x.Kind.String(), x.Checkpoint})
	}
	return map[string]any{"born": rep.Incarnation, "clock_ms": rep.Clock.Milliseconds(), "running": running, "finished": finished}
}

// WorkerRecord returns the record that a worker writes about itself, with the
// address that it listens at.
func (p *Platform) WorkerRecord(info sched.WorkerInfo, addr string) ledger.Record {
	doc := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":8,"state":"ready","labels":["a",%q],"born":%d,"capacity":{"cpu":%d,"mem_mb":%d,"gpu":0}}`,
		p.Service, addr, info.Rack, info.Incarnation, info.Capacity.CPU, info.Capacity.Memory)
	return ledger.Record{Key: info.ID, Value: []byte(strings.TrimSpace(doc))}
}
