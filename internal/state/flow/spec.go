package flow

import (
	"encoding/json"
	"fmt"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of a job.
const (
	MaxSteps        = 64
	MaxTasks        = 2000 // of one step
	MaxOpenTasks    = 4000 // of one round; their progress must fit one record of the store
	MaxPayloadBytes = 4000
	MaxTextBytes    = 256 // of a label, rack or image
	MaxTimes        = 1_000_000
)

// Step is a set of alike tasks.
type Step struct {
	Count        int       `json:"count"`
	Size         work.Size `json:"size"`
	EstimateMs   int64     `json:"estimate-ms,omitempty"`
	After        []int     `json:"after,omitempty"` // earlier steps that must be done first
	Checkpoints  bool      `json:"checkpoints,omitempty"`
	Gang         bool      `json:"gang,omitempty"`
	OneRack      bool      `json:"one-rack,omitempty"` // slower when spread over racks
	Label        string    `json:"label,omitempty"`    // a worker must carry it
	DataRack     string    `json:"data-rack,omitempty"`
	MaxPerWorker int       `json:"max-per-worker,omitempty"`
	Copies       bool      `json:"copies,omitempty"`  // copies may run in parallel
	Lasting      bool      `json:"lasting,omitempty"` // runs until the job is cancelled
	Image        string    `json:"image,omitempty"`
	TailMs       int64     `json:"tail-ms,omitempty"` // bound of the response times of a lasting task
	Filling      bool      `json:"filling,omitempty"` // its cpu is not reserved on the worker
	MaxAway      int       `json:"max-away,omitempty"`
}

// Repeat says that the steps run several times.
type Repeat struct {
	Times   int   `json:"times,omitempty"`
	FirstMs int64 `json:"first-ms,omitempty"`
	EveryMs int64 `json:"every-ms,omitempty"`
}

// Spec is a job as it was accepted. The policy of its queue is kept with it, so
// that it can be finished after the queue is gone.
type Spec struct {
	ID         string `json:"id"`
	Queue      string `json:"queue"`
	Policy     Policy `json:"policy"`
	Payload    string `json:"payload,omitempty"`
	Steps      []Step `json:"steps"`
	Repeat     Repeat `json:"repeat"`
	AcceptedMs int64  `json:"accepted-ms"`
}

// Policy is what a queue asks for its jobs.
type Policy struct {
	Service     string  `json:"service"`
	Priority    int     `json:"priority"` // 0 goes first
	MaxAttempts int     `json:"max-attempts"`
	Stretch     float64 `json:"stretch,omitempty"` // objective, in lengths of the job's longest chain
	SlackMs     int64   `json:"slack-ms,omitempty"`
	Advice      Advice  `json:"advice"`
}

// Advice describes the placement service of a queue. The zero value means that
// the queue needs none.
type Advice struct {
	CallMs   float64 `json:"call-ms,omitempty"`   // of one call
	WorkerMs float64 `json:"worker-ms,omitempty"` // for each worker asked about
	ValidMs  int64   `json:"valid-ms,omitempty"`  // of a ticket
}

// Needed reports whether starts of the queue need a ticket.
func (a Advice) Needed() bool { return a.ValidMs > 0 }

// Check reports everything that is wrong with a submitted job.
func (s *Spec) Check() error {
	l := &errs.List{}
	bad := func(path string, value any, allowed string) {
		l.Add(errs.Error{Step: "check job", Peer: "caller", Path: path, Value: fmt.Sprint(value), Allowed: allowed})
	}
	if !ValidID(s.ID) {
		bad("id", s.ID, "1 to 64 of a-z 0-9")
	}
	if len(s.Payload) > MaxPayloadBytes {
		bad("payload", fmt.Sprintf("%d bytes", len(s.Payload)), fmt.Sprintf("at most %d bytes", MaxPayloadBytes))
	}
	if n := len(s.Steps); n < 1 || n > MaxSteps {
		bad("steps", n, fmt.Sprintf("1 to %d steps", MaxSteps))
	}
	if r := s.Repeat; r.Times < 0 || r.Times > MaxTimes || r.EveryMs < 0 || r.FirstMs < 0 {
		bad("repeat", r, fmt.Sprintf("no negative numbers, at most %d times", MaxTimes))
	}
	for i := range s.Steps {
		s.Steps[i].check(i, bad)
	}
	if n := s.tasks(); n > MaxOpenTasks {
		bad("steps", n, fmt.Sprintf("at most %d tasks together", MaxOpenTasks))
	}
	return l.Err()
}

// tasks gives the number of tasks of one round.
func (s *Spec) tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// MayOpen reports whether another round may begin beside n open ones.
func (s *Spec) MayOpen(n int) bool {
	return n == 0 || (n+1)*s.tasks() <= MaxOpenTasks
}

func (t *Step) check(i int, bad func(path string, value any, allowed string)) {
	at := func(name string) string { return fmt.Sprintf("steps[%d].%s", i, name) }
	if t.Count < 1 || t.Count > MaxTasks {
		bad(at("count"), t.Count, fmt.Sprintf("1 to %d tasks", MaxTasks))
	}
	if t.Size.CPU < 0 || t.Size.Memory < 0 || t.Size.Accelerators < 0 {
		bad(at("size"), t.Size, "no negative amounts")
	}
	if t.EstimateMs < 0 || t.MaxPerWorker < 0 || t.MaxAway < 0 || t.TailMs < 0 {
		bad(at("estimate-ms, max-per-worker, max-away, tail-ms"), "negative", "0 or more")
	}
	if len(t.Label) > MaxTextBytes || len(t.DataRack) > MaxTextBytes || len(t.Image) > MaxTextBytes {
		bad(at("label, data-rack, image"), "too long", fmt.Sprintf("at most %d bytes", MaxTextBytes))
	}
	if len(t.After) > i {
		bad(at("after"), len(t.After), "each earlier step once")
	}
	for _, a := range t.After {
		if a < 0 || a >= i {
			bad(at("after"), a, "numbers of earlier steps, counted from 0")
		}
	}
}

// ValidID reports whether id can name a job.
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

// EncodeSpec gives the stored form of a spec.
func EncodeSpec(s *Spec) ([]byte, error) { return json.Marshal(s) }

// DecodeSpec reads the stored form and checks it.
func DecodeSpec(data []byte) (*Spec, error) {
	s := &Spec{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	return s, s.Check()
}
