package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// OrderKind is the kind of an order to a worker.
type OrderKind uint8

// The kinds of orders to workers.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPoll     // polls the worker: renews its lease, acknowledges ends, requests a report
	OrderThrottle // sets the speed of a run
)

// Order is a call to a worker.
type Order struct {
	Kind         OrderKind
	Worker       string
	Addr         string
	Task         TaskID
	Run          int
	Payload      string        // start: the job's payload
	Checkpoint   string        // start: the checkpoint to resume from, empty for none
	Ticket       string        // start: the ticket of the placement service, empty if none is needed
	LeaseExpiry  int64         // start and poll: expiry of the lease in ms on the worker's clock, 0 for none
	AckedEnd     int64         // poll: ends up to this number are stored and acknowledged
	Wait         time.Duration // poll: how long the worker may wait for an end before it answers
	Serial       uint64        // poll: increases with each poll of the engine, to any worker
	SpeedPercent int           // throttle: percentage of the full speed
}

// PlacementQuery is a query to the placement service: which of the named
// workers may run the step.
type PlacementQuery struct {
	Client       string // the instance that sends the query
	Job          string
	Round        int
	Step         int
	Workers      []string
	ReplyTimeout time.Duration  // timeout of the call, including its wait at the instance
	Quick        bool           // a quick query, which is sent before waiting long ones
	Queue        string         // of the job
	SentAt       time.Time      // when the engine emitted it
	full         []string       // named workers on which no task of the step fitted then
	placement    *stepPlacement // of the step, which may have ended when the answer comes
}

// Change is the new progress of a job to store, or the removal of the job.
type Change struct {
	Job    string
	Remove bool   // remove everything stored of the job
	Data   []byte // encoded by flow.EncodeProgress
}

// EventJobStarted is the Kind of the event that the first task of a job has
// started. The event's Age is the time since the job was added to this engine.
const EventJobStarted = "begun"

// Event is a decision or an observation of the engine, for the log.
type Event struct {
	Kind   string
	Task   TaskID
	Run    int
	Worker string
	Detail string
	// Age is the time since the cause of the event, such as the placement of the
	// run, or the duration of the call that led to it.
	Age time.Duration
}

// Output is what the engine has to send and to log. Orders, queries and probes
// are sent at once; a start is among them only after its batch is stored.
type Output struct {
	Orders  []Order
	Queries []PlacementQuery
	Probes  []string // placement clients to probe
	Events  []Event
	Fenced  bool // a worker refused an order because it has seen a later term
}

// Batch is a set of changes that must be stored before the starts in it are
// ordered and the ends in it are acknowledged.
type Batch struct {
	Changes      []Change
	starts       []*run
	acks         map[*worker]ack
	ends         []reportedEnd
	stateChanges []stateChange
}

// ack is the newest end to acknowledge to an incarnation of a worker.
type ack struct {
	incarnation int64
	lastEnd     int64
}

type stateChange struct {
	id    string
	state flow.State
	queue string
}

// Empty reports whether the batch has neither changes to store nor ends to
// acknowledge.
func (b *Batch) Empty() bool { return len(b.Changes) == 0 && len(b.acks) == 0 }

// EachStateChange calls f for each job whose state the batch changes. It must
// be called only after the batch is stored: the states may be published from
// then on.
func (b *Batch) EachStateChange(f func(id string, st flow.Status)) {
	for _, s := range b.stateChanges {
		f(s.id, flow.Status{Queue: s.queue, State: s.state})
	}
}

// TakeOutput returns the output gathered since the last call and clears it.
func (e *Engine) TakeOutput() Output {
	o := e.output
	e.output = Output{}
	return o
}

func (e *Engine) addEvent(kind string, t TaskID, run int, worker, detail string, age time.Duration) {
	e.output.Events = append(e.output.Events, Event{Kind: kind, Task: t, Run: run, Worker: worker, Detail: detail, Age: age})
}
