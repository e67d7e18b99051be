package flow

import "github.com/go-faster/errors"

// State is the state of a job as callers see it.
type State uint8

// States of a job. The numbers are stored.
const (
	Queued State = iota
	Active
	Complete
	Failed
	Canceled
)

var stateNames = [...]string{"queued", "active", "complete", "failed", "canceled"}

// String returns the name of the state, or "unknown".
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Final reports whether s is a final state: no task of the job is meant to run any
// more.
func (s State) Final() bool { return s >= Complete }

// Phase is the phase of a task.
type Phase uint8

// Phases of a task. The numbers are stored. A task in phase Placed may be running
// on its worker, because the record is written before the order is sent.
const (
	Idle Phase = iota
	Placed
	Done
)

// Task is the progress of one task of one round.
type Task struct {
	Phase       Phase
	Run         int    // number of the newest run, from 1; 0 before the first
	FailedRuns  int    // failed runs that count; see LastFailedRun
	Worker      string // worker of the newest run; stored only in phase Placed
	Incarnation int64  // incarnation of Worker; stored only in phase Placed
	// WorkerAddr is the address at which Worker had answered when the newest run was
	// placed, empty if it is not known. It is stored only in phase Placed.
	WorkerAddr string
	Saved      string // newest checkpoint; empty if there is none
	// LastFailedRun is the number of the newest run counted in FailedRuns. A gang
	// whose tasks fail together in one run thereby counts one failure.
	LastFailedRun int
	// CrashScore is the weight of what speaks for that the task crashes the workers
	// that start it.
	CrashScore int
	// LastCrashedRun is the number of the newest run whose crash CrashScore
	// includes, 0 if there is none, and LastCrashScore what that crash added. A
	// later leader finds the crash of the same run counted, and can withdraw it.
	LastCrashedRun int
	LastCrashScore int
}

// Round is one pass over the job's steps.
type Round struct {
	Number     int
	Steps      [][]Task // tasks by step, then by index
	Unfinished int      // tasks that are not done
}

// NewRound returns a round of the job in which no task has started.
func NewRound(s *Spec, number int) *Round {
	r := &Round{Number: number, Steps: make([][]Task, len(s.Steps))}
	for i := range s.Steps {
		r.Steps[i] = make([]Task, s.Steps[i].Count)
		r.Unfinished += s.Steps[i].Count
	}
	return r
}

// Ready reports whether all steps that step depends on are done.
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

// Progress is the progress of a job.
type Progress struct {
	State     State
	EndedMs   int64    // when the state became final
	NextRound int      // number of the next round; all rounds before it have begun
	Rounds    []*Round // open rounds
}

// Job is a specification with its progress.
type Job struct {
	*Spec
	Progress
	Canceled bool // a caller has cancelled the job
}

// RoundCount returns the number of rounds of the job, at least 1.
func (s *Spec) RoundCount() int { return max(s.Repeat.Times, 1) }

// EarliestStartMs returns the earliest start of the round, or 0 if the job has no
// times.
func (s *Spec) EarliestStartMs(round int) int64 {
	if s.Repeat.Times <= 0 {
		return 0
	}
	return s.Repeat.FirstStartMs + int64(round)*s.Repeat.IntervalMs
}

// CheckShape returns an error unless every round has the steps and the numbers of
// tasks that s describes.
func (p *Progress) CheckShape(s *Spec) error {
	for _, r := range p.Rounds {
		if len(r.Steps) != len(s.Steps) {
			return errors.Errorf("round %d has %d steps, the job has %d", r.Number, len(r.Steps), len(s.Steps))
		}
		for i := range r.Steps {
			if len(r.Steps[i]) != s.Steps[i].Count {
				return errors.Errorf("step %d of round %d has %d tasks, the job's step has %d", i, r.Number, len(r.Steps[i]), s.Steps[i].Count)
			}
		}
	}
	return nil
}
