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

// baseLatency is the duration of a call while the latency factor is 1.
const baseLatency = 3 * time.Millisecond

// snapshotPageRecords is the largest number of records in a page of a snapshot.
// It is small so that tests read several pages.
const snapshotPageRecords = 20

// Fault is a fault that the store injects into the calls of one client, or of
// all clients.
type Fault uint8

// Faults of the store.
const (
	NoFault         Fault = iota // no fault
	Unresponsive                 // carries out no call and answers none
	Refusing                     // refuses every call
	LosingAnswers                // carries out appends, but never answers about 40% of them
	DelayingAppends              // carries out about 40% of appends 1 to 6 s later and never answers them
)

// ErrNoAnswer is returned to a client that gets no answer to a call. The
// outcome of an append is then unknown.
var ErrNoAnswer = errors.New("no answer")

// Store is a keyed log. Its zero value is not usable; see New.
type Store struct {
	mu            sync.Mutex // guards the fields below
	rnd           *rand.Rand
	records       []ledger.Record      // all records that the log has had, by offset
	first         int64                // offset of the first record that a read may return
	newestOffset  map[string]int64     // offset of the newest record, by key
	producers     map[string]*producer // by name
	changed       chan struct{}        // closed and replaced to wake up readers
	faults        map[string]Fault     // by client; "" for all
	latencyFactor int                  // multiplies baseLatency
	retention     int64                // number of records retained, 0 for all
	answersToLose int                  // number of appends to come whose answers are lost
	appends       int                  // number of appends carried out
	appendedBytes int                  // bytes of the records of these appends
	readBytes     int                  // bytes of the records that reads and pages of snapshots have returned
	bandwidths    map[string]int       // bytes of records per second that a client can read, by client; 0 for no limit
}

// producer is the state of one producer.
type producer struct {
	epoch, seq int64           // newest epoch, and the last sequence number in it
	answers    map[int64]int64 // answers to the last appends, by sequence number
}

// New returns an empty store. The seed determines which appends the injected
// faults affect.
func New(seed uint64) *Store {
	return &Store{
		rnd: rand.New(rand.NewPCG(seed, 2)), newestOffset: map[string]int64{}, producers: map[string]*producer{},
		changed: make(chan struct{}), faults: map[string]Fault{}, latencyFactor: 1, bandwidths: map[string]int{},
	}
}

// SetFault sets the fault of a client's calls. The empty name means all
// clients; while it has a fault, the faults of single clients are ignored.
func (s *Store) SetFault(client string, fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[client] = fault
	s.notifyReaders()
}

// SetLatencyFactor makes calls take factor times as long as baseLatency.
func (s *Store) SetLatencyFactor(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencyFactor = factor
}

// SetBandwidth limits the bytes of records per second that a client can read. A
// value of 0 removes the limit.
func (s *Store) SetBandwidth(client string, bytesPerSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bandwidths[client] = bytesPerSecond
}

// SetRetention makes the log retain the newest n records and the newest record
// of each key. With n = 0 it retains all records.
func (s *Store) SetRetention(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retention = int64(n)
}

// LoseAnswers makes the store carry out the next n appends without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// RecordCount returns the number of records that the log has had, including
// expired ones.
func (s *Store) RecordCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// AppendCount returns the number of appends carried out. Repeated appends of a
// producer are not counted.
func (s *Store) AppendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// BytesAppended returns the size of all records appended.
func (s *Store) BytesAppended() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendedBytes
}

// BytesRead returns the size of all records that calls have returned.
func (s *Store) BytesRead() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readBytes
}

// size returns the size of records in bytes.
func size(records []ledger.Record) int {
	n := 0
	for _, r := range records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// ExpireRecords expires all records of the log except the newest one of each
// key.
func (s *Store) ExpireRecords() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = int64(len(s.records))
}

// NewestValue returns the newest value of a key, or nil if it has none.
func (s *Store) NewestValue(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset, ok := s.newestOffset[key]; ok {
		return s.records[offset].Value
	}
	return nil
}

// Log returns the calls of one client.
func (s *Store) Log(client string) ledger.Log {
	return ledger.Log{
		Append: func(ctx context.Context, p ledger.Producer, seq int64, records []ledger.Record) (int64, error) {
			return s.append(ctx, client, p, seq, records)
		},
		Read: func(ctx context.Context, from int64, maxBytes int, wait time.Duration) (ledger.Page, error) {
			return s.read(ctx, client, from, maxBytes, wait)
		},
		ReadNewest: func(ctx context.Context, after string) (ledger.NewestPage, error) {
			return s.snapshotPage(ctx, client, after)
		},
	}
}

func (s *Store) fault(client string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault := s.faults[""]; fault != NoFault {
		return fault
	}
	return s.faults[client]
}

// beginCall waits for the latency of a call. It returns an error if the
// client's fault makes the call fail, or if ctx ends before.
func (s *Store) beginCall(ctx context.Context, client string) error {
	switch s.fault(client) {
	case Unresponsive:
		<-ctx.Done()
		return ErrNoAnswer
	case Refusing:
		return &ledger.RefusedError{Reason: "busy"}
	}
	s.mu.Lock()
	d := baseLatency * time.Duration(s.latencyFactor)
	s.mu.Unlock()
	return sleep(ctx, d)
}

// sleep waits for d and returns ErrNoAnswer if ctx ends before.
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
	if fault == DelayingAppends && affected {
		go func() {
			time.Sleep(delay)
			// The caller gets no answer; only the log shows the outcome.
			_, _ = s.apply(p, seq, records)
		}()
		<-ctx.Done()
		return 0, ErrNoAnswer
	}
	end, err := s.apply(p, seq, records)
	if fault == LosingAnswers && affected {
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

// rememberedAnswers is the number of a producer's last appends whose answers
// the store returns again if the append is repeated.
const rememberedAnswers = 5

// apply carries out an append: it fences producers of older epochs, checks the
// sequence number and returns the former answer to a repeated append.
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

// add appends records and returns the offset after them. The caller must hold
// s.mu.
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
	s.appendedBytes += size(records)
	end := int64(len(s.records))
	if s.retention > 0 {
		s.first = max(s.first, end-s.retention)
	}
	s.notifyReaders()
	return end
}

// notifyReaders wakes up the readers that wait for records. The caller must
// hold s.mu.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) read(ctx context.Context, client string, from int64, maxBytes int, wait time.Duration) (ledger.Page, error) {
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
			return ledger.Page{}, &ledger.ExpiredError{OldestOffset: first}
		}
		if end > from {
			page, n := ledger.Page{FirstOffset: from, LogEnd: end}, 0
			for _, r := range s.records[from:end] {
				if n += len(r.Key) + len(r.Value); n > maxBytes && len(page.Records) > 0 {
					break
				}
				page.Records = append(page.Records, r)
			}
			s.readBytes += size(page.Records)
			bandwidth := s.bandwidths[client]
			s.mu.Unlock()
			if bandwidth > 0 {
				if err := sleep(ctx, time.Duration(n)*time.Second/time.Duration(bandwidth)); err != nil {
					return ledger.Page{}, err
				}
			}
			return page, s.finishCall(ctx, client)
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			return ledger.Page{FirstOffset: from, LogEnd: end}, s.finishCall(ctx, client)
		case <-ctx.Done():
			return ledger.Page{}, ErrNoAnswer
		}
	}
}

// finishCall withholds the answer to a read if the store has stopped answering
// the client meanwhile.
func (s *Store) finishCall(ctx context.Context, client string) error {
	if s.fault(client) == Unresponsive {
		<-ctx.Done()
		return ErrNoAnswer
	}
	return nil
}

func (s *Store) snapshotPage(ctx context.Context, client, after string) (ledger.NewestPage, error) {
	if err := s.beginCall(ctx, client); err != nil {
		return ledger.NewestPage{}, err
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
	out := ledger.NewestPage{LogEnd: int64(len(s.records)), More: len(keys) > snapshotPageRecords}
	for _, k := range keys[:min(snapshotPageRecords, len(keys))] {
		out.Records = append(out.Records, s.records[s.newestOffset[k]])
		out.LastKey = k
	}
	s.readBytes += size(out.Records)
	return out, nil
}
