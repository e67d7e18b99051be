package store

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// baseLatency is how long the store takes for a call.
const baseLatency = 3 * time.Millisecond

// snapshotPageRecords is the number of records of one page; small, so that tests see many.
const snapshotPageRecords = 20

// Trouble is how the store treats one client, or all.
type Trouble uint8

// The troubles.
const (
	Fine   Trouble = iota
	Silent         // takes nothing and answers nothing
	Busy           // refuses everything
	Lossy          // carries appends out and answers some of them never
	Late           // carries some appends out seconds later and never answers them
)

// ErrNoAnswer is what a client sees when no answer comes.
var ErrNoAnswer = errors.New("no answer")

// Store is the log. Its zero value is not usable; see New.
type Store struct {
	mu            sync.Mutex
	rnd           *rand.Rand
	records       []ledger.Record
	first         int64
	newestOffset  map[string]int64 // by key: offset
	producers     map[string]*producer
	changed       chan struct{}
	faults        map[string]Trouble // by client; "" for all
	latencyFactor int                // how many times longer answers take
	retention     int64              // records kept, 0 for all
	answersToLose int                // appends to come whose answer is lost
	appends       int
}

type producer struct {
	epoch, seq int64
	answers    map[int64]int64 // answers to the last appends, by sequence number
}

// New gives an empty store.
func New(seed uint64) *Store {
	return &Store{
		rnd: rand.New(rand.NewPCG(seed, 2)), newestOffset: map[string]int64{}, producers: map[string]*producer{},
		changed: make(chan struct{}), faults: map[string]Trouble{}, latencyFactor: 1,
	}
}

// Set makes the store treat a client so; the empty name means all clients.
func (s *Store) Set(client string, fault Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[client] = fault
	s.notifyReaders()
}

// Slow makes answers take x times as long.
func (s *Store) Slow(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencyFactor = factor
}

// Keep makes the log keep the newest n records and the newest of each key.
func (s *Store) Keep(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = int64(n)
}

// LoseAnswers makes the next n appends take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// Records gives the number of records that the log has had.
func (s *Store) Records() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// Appends gives the number of appends taken.
func (s *Store) Appends() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// Expire drops the log's records but the newest of each key.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = int64(len(s.records))
}

// Get gives the newest value of a key.
func (s *Store) Get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset, ok := s.newestOffset[key]; ok {
		return s.records[offset].Value
	}
	return nil
}

// Log gives the calls of one client.
func (s *Store) Log(client string) ledger.Log {
	return ledger.Log{
		Append: func(ctx context.Context, p ledger.Producer, seq int64, records []ledger.Record) (int64, error) {
			return s.append(ctx, client, p, seq, records)
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) (ledger.Page, error) {
			return s.read(ctx, client, from, wait)
		},
		Newest: func(ctx context.Context, after string) (ledger.Snapshot, error) {
			return s.snapshotPage(ctx, client, after)
		},
	}
}

func (s *Store) fault(client string) Trouble {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault := s.faults[""]; fault != Fine {
		return fault
	}
	return s.faults[client]
}

// beginCall lets a call in, or says how it fails.
func (s *Store) beginCall(ctx context.Context, client string) error {
	switch s.fault(client) {
	case Silent:
		<-ctx.Done()
		return ErrNoAnswer
	case Busy:
		return &ledger.RefusedError{Reason: "busy"}
	}
	s.mu.Lock()
	d := baseLatency * time.Duration(s.latencyFactor)
	s.mu.Unlock()
	return sleep(ctx, d)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ErrNoAnswer
	}
}

func (s *Store) append(ctx context.Context, client string, p ledger.Producer, seq int64, records []ledger.Record) (int64, error) {
	if err := s.beginCall(ctx, client); err != nil {
		return 0, err
	}
	fault := s.fault(client)
	s.mu.Lock()
	affected := s.rnd.Float64() < 0.4
	delay := time.Duration(1+5*s.rnd.Float64()) * time.Second
	s.mu.Unlock()
	if fault == Late && affected {
		go func() {
			time.Sleep(delay)
			// The caller has long gone; the outcome shows in the log only.
			_, _ = s.apply(p, seq, records)
		}()
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	end, err := s.apply(p, seq, records)
	if fault == Lossy && affected {
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answersToLose > 0 {
		s.answersToLose--
		return 0, ErrNoAnswer
	}
	return end, err
}

// rememberedAnswers is the number of appends whose answers are repeated.
const rememberedAnswers = 5

func (s *Store) apply(p ledger.Producer, seq int64, records []ledger.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Name == "" {
		return s.add(records), nil
	}
	prod := s.producers[p.Name]
	if prod == nil {
		prod = &producer{epoch: -1}
		s.producers[p.Name] = prod
	}
	switch {
	case p.Epoch < prod.epoch:
		return 0, &ledger.FencedError{Epoch: prod.epoch}
	case p.Epoch > prod.epoch:
		*prod = producer{epoch: p.Epoch, seq: seq - 1, answers: map[int64]int64{}}
	}
	if end, ok := prod.answers[seq]; ok {
		return end, nil
	}
	if seq != prod.seq+1 {
		return 0, &ledger.SequenceError{Expected: prod.seq + 1}
	}
	prod.seq = seq
	prod.answers[seq] = s.add(records)
	delete(prod.answers, seq-rememberedAnswers)
	return prod.answers[seq], nil
}

// add appends records and gives the offset after them. The lock is held.
func (s *Store) add(records []ledger.Record) int64 {
	for _, r := range records {
		s.records = append(s.records, r)
		if len(r.Value) == 0 {
			delete(s.newestOffset, r.Key)
			continue
		}
		s.newestOffset[r.Key] = int64(len(s.records) - 1)
	}
	s.appends++
	end := int64(len(s.records))
	if s.retention > 0 {
		s.first = max(s.first, end-s.retention)
	}
	s.notifyReaders()
	return end
}

// notifyReaders tells readers that something has changed. The lock is held.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) read(ctx context.Context, client string, from int64, wait time.Duration) (ledger.Page, error) {
	if err := s.beginCall(ctx, client); err != nil {
		return ledger.Page{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		end, changed := int64(len(s.records)), s.changed
		if from < s.first {
			first := s.first
			s.mu.Unlock()
			return ledger.Page{}, &ledger.ExpiredError{First: first}
		}
		if end > from {
			page := ledger.Page{From: from, End: end, Records: append([]ledger.Record(nil), s.records[from:end]...)}
			s.mu.Unlock()
			return page, s.sendAnswer(ctx, client)
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			return ledger.Page{From: from, End: end}, s.sendAnswer(ctx, client)
		case <-ctx.Done():
			return ledger.Page{}, ErrNoAnswer
		}
	}
}

// sendAnswer lets an answer out, unless the client has been cut off meanwhile.
func (s *Store) sendAnswer(ctx context.Context, client string) error {
	if s.fault(client) == Silent {
		<-ctx.Done()
		return ErrNoAnswer
	}
	return nil
}

func (s *Store) snapshotPage(ctx context.Context, client, after string) (ledger.Snapshot, error) {
	if err := s.beginCall(ctx, client); err != nil {
		return ledger.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.newestOffset {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := ledger.Snapshot{End: int64(len(s.records)), More: len(keys) > snapshotPageRecords}
	for _, k := range keys[:min(snapshotPageRecords, len(keys))] {
		out.Records = append(out.Records, s.records[s.newestOffset[k]])
		out.LastKey = k
	}
	return out, nil
}
