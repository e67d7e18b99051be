package flow

import "github.com/go-faster/errors"

// State is what callers see of a job.
type State uint8

// The states of a job.
const (
	Queued State = iota
	Active
	Complete
	Failed
	Canceled
)

var stateNames = [...]string{"queued", "active", "complete", "failed", "canceled"}

// String gives the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Final reports whether nothing of the job runs any more by intent.
func (s State) Final() bool { return s >= Complete }

// Phase is how far a task is.
type Phase uint8

// The phases of a task. A task in phase Placed may run on its worker: the record
// is written before the order is sent.
const (
	Idle Phase = iota
	Placed
	Done
)

// Task is the progress of one task of one round.
type Task struct {
	Phase  Phase
	Run    int    // number of the newest run, 0 before the first
	Fails  int    // runs that ended as failed
	Worker string // of the run, in phase Placed
	Boot   int64  // incarnation of that worker
	Saved  string // newest checkpoint
	// FailedRun is the newest run counted in Fails, so that a gang whose members
	// fail together counts once.
	FailedRun int
}

// Round is one pass over the job's steps.
type Round struct {
	Number int
	Steps  [][]Task // by step, then by index
	Open   int      // tasks that are not done
}

// NewRound gives a round in which nothing has started.
func NewRound(s *Spec, number int) *Round {
	r := &Round{Number: number, Steps: make([][]Task, len(s.Steps))}
	for i := range s.Steps {
		r.Steps[i] = make([]Task, s.Steps[i].Count)
		r.Open += s.Steps[i].Count
	}
	return r
}

// Ready reports whether every step that step depends on is done.
func (r *Round) Ready(s *Spec, step int) bool {
	for _, a := range s.Steps[step].After {
		for i := range r.Steps[a] {
			if r.Steps[a][i].Phase != Done {
				return false
			}
		}
	}
	return true
}

// Progress is how far a job is.
type Progress struct {
	State     State
	EndedMs   int64 // when the state became final
	NextRound int   // rounds below it have begun
	Rounds    []*Round
}

// Job is a spec with its progress.
type Job struct {
	*Spec
	Progress
	Canceled bool // a caller asked for it
}

// Rounds gives the number of passes over the steps.
func (s *Spec) Rounds() int { return max(s.Repeat.Times, 1) }

// DueMs gives the time before which the round must not start.
func (s *Spec) DueMs(round int) int64 {
	if s.Repeat.Times <= 0 {
		return 0
	}
	return s.Repeat.FirstMs + int64(round)*s.Repeat.EveryMs
}

// Match reports an error unless the progress has the shape of the spec.
func (p *Progress) Match(s *Spec) error {
	for _, r := range p.Rounds {
		if len(r.Steps) != len(s.Steps) {
			return errors.Errorf("round %d has %d steps, the job %d", r.Number, len(r.Steps), len(s.Steps))
		}
		for i := range r.Steps {
			if len(r.Steps[i]) != s.Steps[i].Count {
				return errors.Errorf("step %d of round %d has %d tasks, the job's %d", i, r.Number, len(r.Steps[i]), s.Steps[i].Count)
			}
		}
	}
	return nil
}
