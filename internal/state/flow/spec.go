package flow

import (
	"encoding/json"
	"fmt"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/share"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Limits on a job.
const (
	MaxSteps        = 64
	MaxTasks        = 2000 // tasks of one step
	MaxOpenTasks    = 4000 // tasks of all open rounds of a job; their progress must fit into one record of the store
	MaxPayloadBytes = 4000
	MaxTextBytes    = 256       // length of a label, rack or image
	MaxTimes        = 1_000_000 // rounds of a job
)

// maxFaults is the number of faults that the error of Check names.
const maxFaults = 10

// Step is a set of identical tasks. Tasks of a filling step run on spare CPU:
// their CPU is not reserved on the worker, and they are throttled while a
// long-running task on the same worker is near its response time objective
// (LatencyTargetMs) or over it.
type Step struct {
	Count           int       `json:"count"`                    // number of tasks
	Size            work.Size `json:"size"`                     // request of each task
	EstimateMs      int64     `json:"estimate-ms,omitempty"`    // estimated run time of each task; 0 if unknown
	After           Indexes   `json:"after,omitempty"`          // indexes of the earlier steps that must be done first
	Checkpointing   bool      `json:"checkpoints,omitempty"`    // a task can resume from its last checkpoint
	Gang            bool      `json:"gang,omitempty"`           // all tasks start together or none does
	PreferOneRack   bool      `json:"one-rack,omitempty"`       // prefer one rack: slower when spread over racks
	Label           string    `json:"label,omitempty"`          // a worker must have this label, kind or rack
	DataRack        string    `json:"data-rack,omitempty"`      // preferred rack, which holds the input data
	MaxPerWorker    int       `json:"max-per-worker,omitempty"` // tasks of the step; 0 means unlimited
	Speculative     bool      `json:"copies,omitempty"`         // duplicates of a task may run in parallel; not used yet
	LongRunning     bool      `json:"lasting,omitempty"`        // tasks run until the job is cancelled
	Image           string    `json:"image,omitempty"`          // what a task runs; images that slow each other down are kept apart where there is room
	LatencyTargetMs int64     `json:"tail-ms,omitempty"`        // response time objective of a long-running task
	Filling         bool      `json:"filling,omitempty"`        // tasks run on spare CPU
	MaxAway         int       `json:"max-away,omitempty"`       // not used yet
}

// Repeat describes the rounds of a job. With Times 0 the job has one round without
// an earliest start.
type Repeat struct {
	Times        int   `json:"times,omitempty"`    // number of rounds
	FirstStartMs int64 `json:"first-ms,omitempty"` // earliest start of the first round
	IntervalMs   int64 `json:"every-ms,omitempty"` // milliseconds between the earliest starts of two rounds
}

// Spec is a job as accepted. It includes the policy of its queue, so that the job
// can finish after the queue is removed.
type Spec struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	Policy     Policy `json:"policy"`
	Payload    string `json:"payload,omitempty"` // passed to the tasks unchanged
	Steps      []Step `json:"steps"`
	Repeat     Repeat `json:"repeat"`
	AcceptedMs int64  `json:"accepted-ms"`
	// ConfigVersion is the version of the configuration that Policy is from; 0 if
	// it is not known.
	ConfigVersion int64 `json:"config-version,omitempty"`
	// Customer is the name of the customer that submitted the job, empty if there
	// is none.
	Customer string `json:"customer,omitempty"`
	// MaxRunning is the customer's bound when the job was accepted. It applies
	// once the configuration no longer has the customer.
	MaxRunning work.Size `json:"customer-max,omitzero"`
}

// Policy is the scheduling policy of a queue for its jobs. The objective for the
// completion of a job is Stretch times the estimated run time of its longest
// chain of dependent steps, plus SlackMs.
type Policy struct {
	Service          string           `json:"service"`            // only workers of this service run the tasks
	Priority         int              `json:"priority"`           // 0 is the highest
	MaxAttempts      int              `json:"max-attempts"`       // failed runs of a task that fail the job; 0 counts as 1
	Stretch          float64          `json:"stretch,omitempty"`  // multiple of the longest chain
	SlackMs          int64            `json:"slack-ms,omitempty"` // milliseconds
	PlacementService PlacementService `json:"advice"`
}

// PlacementService describes the placement service of a queue. The zero value
// means that starts need no ticket.
type PlacementService struct {
	CallMs        float64 `json:"call-ms,omitempty"`   // expected duration of a call, without the part for each worker
	PerWorkerMs   float64 `json:"worker-ms,omitempty"` // expected additional duration for each worker in the call
	TicketValidMs int64   `json:"valid-ms,omitempty"`  // validity of a ticket in milliseconds
}

// Required reports whether starts of the queue's tasks need a ticket.
func (p PlacementService) Required() bool { return p.TicketValidMs > 0 }

// Check returns an error that lists the first maxFaults invalid fields of a
// submitted job and the number of the others, or nil.
func (s *Spec) Check() error {
	l, others := &errs.List{}, 0
	invalid := func(path string, value any, allowed string) {
		if len(l.Errors) == maxFaults {
			others++
			return
		}
		l.Add(errs.Error{Step: "check job", Peer: "caller", Path: path, Value: fmt.Sprint(value), Allowed: allowed})
	}
	if !ValidID(s.ID) {
		invalid("id", s.ID, "1 to 64 of a-z 0-9")
	}
	if len(s.Payload) > MaxPayloadBytes {
		invalid("payload", fmt.Sprintf("%d bytes", len(s.Payload)), fmt.Sprintf("at most %d bytes", MaxPayloadBytes))
	}
	if n := len(s.Steps); n < 1 || n > MaxSteps {
		invalid("steps", n, fmt.Sprintf("1 to %d steps", MaxSteps))
	}
	if r := s.Repeat; r.Times < 0 || r.Times > MaxTimes || r.IntervalMs < 0 || r.FirstStartMs < 0 {
		invalid("repeat", r, fmt.Sprintf("no negative numbers, at most %d times", MaxTimes))
	}
	for i := range s.Steps {
		s.Steps[i].check(i, invalid)
	}
	if n := s.taskCount(); n > MaxOpenTasks {
		invalid("steps", n, fmt.Sprintf("at most %d tasks together", MaxOpenTasks))
	}
	if others > 0 {
		l.Add(errs.Error{Step: "check job", Peer: "caller", Path: fmt.Sprintf("%d further faults", others)})
	}
	return l.Err()
}

// CheckQuota returns an error that lists the steps that can never start within
// the customer's quota MaxRunning, or nil: gangs that exceed it as a whole, and
// steps of which one task does.
func (s *Spec) CheckQuota() error {
	l := &errs.List{}
	for i := range s.Steps {
		st, n := &s.Steps[i], 1
		if st.Gang {
			n = st.Count
		}
		if share.Fit(work.Size{}, st.Size, s.MaxRunning, n) < n {
			l.Add(errs.Error{Step: "check job", Peer: "caller", Path: fmt.Sprintf("steps[%d].size", i), Value: fmt.Sprintf("%d tasks at once of %v", n, st.Size), Allowed: fmt.Sprintf("the quota of customer %s, %v, where 0 means no limit", s.Customer, s.MaxRunning)})
		}
	}
	return l.Err()
}

// taskCount returns the number of tasks of one round.
func (s *Spec) taskCount() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// MayBeginRound reports whether another round may begin while n rounds are open.
// The first always may.
func (s *Spec) MayBeginRound(n int) bool {
	return n == 0 || (n+1)*s.taskCount() <= MaxOpenTasks
}

func (s *Step) check(i int, invalid func(path string, value any, allowed string)) {
	path := func(name string) string { return fmt.Sprintf("steps[%d].%s", i, name) }
	if s.Count < 1 || s.Count > MaxTasks {
		invalid(path("count"), s.Count, fmt.Sprintf("1 to %d tasks", MaxTasks))
	}
	if s.Size.CPU < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 {
		invalid(path("size"), s.Size, "no negative amounts")
	}
	if s.EstimateMs < 0 || s.MaxPerWorker < 0 || s.MaxAway < 0 || s.LatencyTargetMs < 0 {
		invalid(path("estimate-ms, max-per-worker, max-away, tail-ms"), "negative", "0 or more")
	}
	if len(s.Label) > MaxTextBytes || len(s.DataRack) > MaxTextBytes || len(s.Image) > MaxTextBytes {
		invalid(path("label, data-rack, image"), "too long", fmt.Sprintf("at most %d bytes", MaxTextBytes))
	}
	if len(s.After) > i {
		invalid(path("after"), len(s.After), "each earlier step once")
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			invalid(path("after"), a, "numbers of earlier steps, counted from 0")
		}
	}
}

// ValidID reports whether id is a valid job ID: 1 to 64 of a-z 0-9.
func ValidID(id string) bool {
	if len(id) < 1 || len(id) > 64 {
		return false
	}
	for _, c := range []byte(id) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// EncodeSpec returns the stored form of a spec.
func EncodeSpec(s *Spec) ([]byte, error) { return json.Marshal(s) }

// DecodeSpec decodes, limits and checks the stored form of a spec. If the check
// fails, it returns the spec together with the error.
func DecodeSpec(data []byte) (*Spec, error) {
	s := &Spec{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	s.Limit()
	return s, s.Check()
}
