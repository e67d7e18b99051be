package sched

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// OrderKind tells orders to workers apart.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderHold
	OrderPace // sets the share of its speed at which a run works
)

// Order is a call to a worker.
type Order struct {
	Kind    OrderKind
	Worker  string
	Addr    string
	Task    TaskID
	Run     int
	Payload string
	Saved   string
	Ticket  string
	Until   int64         // end of the lease on the worker's clock, 0 for none
	Acked   int64         // hold: ends up to this number are recorded
	Wait    time.Duration // hold: how long the worker may wait for an end
	Serial  uint64        // hold: rises with each hold of the engine
	Percent int           // pace: the share
}

// Ask is a question to the placement service.
type Ask struct {
	Caller  string // the instance that makes the call
	Job     string
	Round   int
	Step    int
	Workers []string
	Wait    time.Duration // the answer is expected within it
	Quick   bool          // a short call, which goes before long ones
}

// Change is the new stored progress of a job, or its removal.
type Change struct {
	Job  string
	Drop bool
	Data []byte
}

// EventBegun says that the first task of a job has started; its age is the time
// since the leader learned of the job.
const EventBegun = "begun"

// Event is a decision or a finding for the log.
type Event struct {
	What   string
	Task   TaskID
	Run    int
	Worker string
	Detail string
	Age    time.Duration // of the input that decided, or how long it took
}

// Output is what the runtime has to do. Orders and questions go out at once.
type Output struct {
	Orders []Order
	Asks   []Ask
	Probes []string // callers of the placement service that should be probed
	Events []Event
	Fenced bool // a worker has seen a later leader
}

// Batch is what must be stored before its starts are ordered and its ends are
// acknowledged.
type Batch struct {
	Changes      []Change
	starts       []*run
	acks         map[*worker]ack
	stateChanges []stateChange
}

type ack struct {
	incarnation int64
	lastEnd     int64
}

type stateChange struct {
	id    string
	state flow.State
	queue string
}

// Empty reports whether there is nothing to store and nothing waits for it.
func (b *Batch) Empty() bool { return len(b.Changes) == 0 && len(b.acks) == 0 }

// Shown calls f for each job whose state callers may now be told.
func (b *Batch) Shown(f func(id string, st flow.Status)) {
	for _, s := range b.stateChanges {
		f(s.id, flow.Status{Queue: s.queue, State: s.state})
	}
}

// Take gives what has gathered since the last call.
func (e *Engine) Take() Output {
	o := e.out
	e.out = Output{}
	return o
}

func (e *Engine) addEvent(what string, t TaskID, run int, worker, detail string, age time.Duration) {
	e.out.Events = append(e.out.Events, Event{What: what, Task: t, Run: run, Worker: worker, Detail: detail, Age: age})
}
