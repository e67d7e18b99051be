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

// answerTime is how long the store takes for a call.
const answerTime = 3 * time.Millisecond

// newestPage is the number of records of one page; small, so that tests see many.
const newestPage = 20

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
	mu       sync.Mutex
	rnd      *rand.Rand
	records  []ledger.Record
	first    int64
	newest   map[string]int64 // by key: offset
	last     map[string]*producer
	changed  chan struct{}
	troubles map[string]Trouble // by client; "" for all
	slow     int                // how many times longer answers take
	keep     int64              // records kept, 0 for all
	lose     int                // appends to come whose answer is lost
	appends  int
}

type producer struct {
	epoch, seq int64
	ends       map[int64]int64 // answers to the last appends, by sequence number
}

// New gives an empty store.
func New(seed uint64) *Store {
	return &Store{
		rnd: rand.New(rand.NewPCG(seed, 2)), newest: map[string]int64{}, last: map[string]*producer{},
		changed: make(chan struct{}), troubles: map[string]Trouble{}, slow: 1,
	}
}

// Set makes the store treat a client so; the empty name means all clients.
func (s *Store) Set(client string, t Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.troubles[client] = t
	s.wake()
}

// Slow makes answers take x times as long.
func (s *Store) Slow(x int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
}

// Keep makes the log keep the newest n records and the newest of each key.
func (s *Store) Keep(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = int64(n)
}

// LoseAnswers makes the next n appends take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
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
	if o, ok := s.newest[key]; ok {
		return s.records[o].Value
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
			return s.page(ctx, client, after)
		},
	}
}

func (s *Store) trouble(client string) Trouble {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.troubles[""]; t != Fine {
		return t
	}
	return s.troubles[client]
}

// enter lets a call in, or says how it fails.
func (s *Store) enter(ctx context.Context, client string) error {
	switch s.trouble(client) {
	case Silent:
		<-ctx.Done()
		return ErrNoAnswer
	case Busy:
		return &ledger.RefusedError{Reason: "busy"}
	}
	s.mu.Lock()
	d := answerTime * time.Duration(s.slow)
	s.mu.Unlock()
	return pause(ctx, d)
}

func pause(ctx context.Context, d time.Duration) error {
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
	if err := s.enter(ctx, client); err != nil {
		return 0, err
	}
	t := s.trouble(client)
	s.mu.Lock()
	unlucky := s.rnd.Float64() < 0.4
	delay := time.Duration(1+5*s.rnd.Float64()) * time.Second
	s.mu.Unlock()
	if t == Late && unlucky {
		go func() {
			time.Sleep(delay)
			// The caller has long gone; the outcome shows in the log only.
			_, _ = s.apply(p, seq, records)
		}()
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	end, err := s.apply(p, seq, records)
	if t == Lossy && unlucky {
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose > 0 {
		s.lose--
		return 0, ErrNoAnswer
	}
	return end, err
}

// keptAnswers is the number of appends whose answers are repeated.
const keptAnswers = 5

func (s *Store) apply(p ledger.Producer, seq int64, records []ledger.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.Name == "" {
		return s.add(records), nil
	}
	l := s.last[p.Name]
	if l == nil {
		l = &producer{epoch: -1}
		s.last[p.Name] = l
	}
	switch {
	case p.Epoch < l.epoch:
		return 0, &ledger.FencedError{Epoch: l.epoch}
	case p.Epoch > l.epoch:
		*l = producer{epoch: p.Epoch, seq: seq - 1, ends: map[int64]int64{}}
	}
	if end, ok := l.ends[seq]; ok {
		return end, nil
	}
	if seq != l.seq+1 {
		return 0, &ledger.SequenceError{Expected: l.seq + 1}
	}
	l.seq = seq
	l.ends[seq] = s.add(records)
	delete(l.ends, seq-keptAnswers)
	return l.ends[seq], nil
}

// add appends records and gives the offset after them. The lock is held.
func (s *Store) add(records []ledger.Record) int64 {
	for _, r := range records {
		s.records = append(s.records, r)
		if len(r.Value) == 0 {
			delete(s.newest, r.Key)
			continue
		}
		s.newest[r.Key] = int64(len(s.records) - 1)
	}
	s.appends++
	end := int64(len(s.records))
	if s.keep > 0 {
		s.first = max(s.first, end-s.keep)
	}
	s.wake()
	return end
}

// wake tells readers that something has changed. The lock is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) read(ctx context.Context, client string, from int64, wait time.Duration) (ledger.Page, error) {
	if err := s.enter(ctx, client); err != nil {
		return ledger.Page{}, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	for {
		s.mu.Lock()
		end, ch := int64(len(s.records)), s.changed
		if from < s.first {
			first := s.first
			s.mu.Unlock()
			return ledger.Page{}, &ledger.ExpiredError{First: first}
		}
		if end > from {
			page := ledger.Page{From: from, End: end, Records: append([]ledger.Record(nil), s.records[from:end]...)}
			s.mu.Unlock()
			return page, s.leave(ctx, client)
		}
		s.mu.Unlock()
		select {
		case <-ch:
		case <-until.C:
			return ledger.Page{From: from, End: end}, s.leave(ctx, client)
		case <-ctx.Done():
			return ledger.Page{}, ErrNoAnswer
		}
	}
}

// leave lets an answer out, unless the client has been cut off meanwhile.
func (s *Store) leave(ctx context.Context, client string) error {
	if s.trouble(client) == Silent {
		<-ctx.Done()
		return ErrNoAnswer
	}
	return nil
}

func (s *Store) page(ctx context.Context, client, after string) (ledger.Snapshot, error) {
	if err := s.enter(ctx, client); err != nil {
		return ledger.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	out := ledger.Snapshot{End: int64(len(s.records)), More: len(keys) > newestPage}
	for _, k := range keys[:min(newestPage, len(keys))] {
		out.Records = append(out.Records, s.records[s.newest[k]])
		out.LastKey = k
	}
	return out, nil
}
