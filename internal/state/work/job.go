package work

import (
	"fmt"
	"regexp"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
)

// Kinds of jobs.
const (
	KindService = "service" // long-running replicas; availability over at-most-once execution
	KindBatch   = "batch"   // independent tasks, each running on at most one worker at a time
	KindGang    = "gang"    // all tasks start together or none does
)

// Priority classes of jobs, most urgent first.
const (
	ClassUrgent  = "urgent"
	ClassNormal  = "normal"
	ClassPatient = "patient"
)

// States of a job.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobFailed    = "failed"
	JobCancelled = "cancelled"
	JobNotRun    = "not-run" // no task of the job was ever assigned, so none can have started
)

// States of a task.
const (
	TaskPending  = "pending"
	TaskAssigned = "assigned"
	TaskDone     = "done"
	TaskFailed   = "failed"
	TaskStopped  = "stopped"
)

// Outcomes of an attempt. An attempt is one assignment of a task to a worker.
const (
	OutcomeDone    = "done"
	OutcomeFailed  = "failed"
	OutcomeStopped = "stopped" // stopped on request and confirmed by the worker
	OutcomeLost    = "lost"    // the task's lease has certainly expired, or the worker has restarted
)

// Limits on the fields of a JobSpec.
const (
	MaxTasks        = 5000
	MaxRetries      = 100
	MaxRunMs        = 366 * 24 * 3600 * 1000
	MaxNameBytes    = 64
	MaxCPUMilli     = 1_000_000
	MaxMemoryMiB    = 64 << 20
	MaxAccelerators = 1024
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._/-]*$`)

// ValidName reports whether s is a valid name of a job, tenant, instance or
// domain: 1 to MaxNameBytes of a-z 0-9 . _ / - that begin with a letter or digit.
func ValidName(s string) bool {
	return len(s) <= MaxNameBytes && namePattern.MatchString(s)
}

// JobSpec describes a job as an operator or a caller submits it.
type JobSpec struct {
	ID      string `json:"id"`
	Tenant  string `json:"tenant"`
	Kind    string `json:"kind"`
	Class   string `json:"class"`
	Tasks   int    `json:"tasks"`
	Size    Size   `json:"size"`    // declared request of each task
	RunMs   int64  `json:"run-ms"`  // declared run time of each task in milliseconds; 0 for services
	Retries int    `json:"retries"` // failed attempts of each task that are retried; not used for services
	Command string `json:"command,omitempty"`
}

// Check returns an error that lists every invalid field, or nil. Step and peer
// are repeated in each entry; see errs.Error.
func (s JobSpec) Check(step, peer string) error {
	var l errs.List
	s.CheckInto(&l, step, peer, "")
	return l.Err()
}

// CheckInto adds an error to l for every invalid field, with prefix put before the
// path of the field. The state of the configuration holds these texts as the
// reasons of verdicts, so instances whose texts differ hold different states.
func (s JobSpec) CheckInto(l *errs.List, step, peer, prefix string) {
	bad := func(path, value, allowed string) {
		l.Add(errs.Error{Step: step, Peer: peer, Path: prefix + path, Value: value, Allowed: allowed})
	}
	if !ValidName(s.ID) {
		bad("id", s.ID, fmt.Sprintf("1 to %d of a-z 0-9 . _ / -", MaxNameBytes))
	}
	if !ValidName(s.Tenant) {
		bad("tenant", s.Tenant, "the name of a tenant in the configuration")
	}
	if s.Kind != KindService && s.Kind != KindBatch && s.Kind != KindGang {
		bad("kind", s.Kind, "service, batch or gang")
	}
	if s.Class != ClassUrgent && s.Class != ClassNormal && s.Class != ClassPatient {
		bad("class", s.Class, "urgent, normal or patient")
	}
	s.checkNumbers(bad)
}

func (s JobSpec) checkNumbers(bad func(path, value, allowed string)) {
	check := func(path string, n, low, high int64) {
		if n < low || n > high {
			bad(path, fmt.Sprint(n), fmt.Sprintf("%d to %d", low, high))
		}
	}
	check("tasks", int64(s.Tasks), 1, MaxTasks)
	check("retries", int64(s.Retries), 0, MaxRetries)
	check("run-ms", s.RunMs, 0, MaxRunMs)
	check("size.cpu-milli", s.Size.CPU, 1, MaxCPUMilli)
	check("size.memory-mib", s.Size.Memory, 1, MaxMemoryMiB)
	check("size.accelerators", s.Size.Accelerators, 0, MaxAccelerators)
}

// Task is the state of one task of a job.
type Task struct {
	State          string `json:"state"`
	Worker         string `json:"worker,omitempty"`      // of the current attempt; empty unless the task is assigned
	Incarnation    string `json:"incarnation,omitempty"` // see Assign
	Attempt        int    `json:"attempt"`               // number of the latest attempt, from 1; 0 before the first
	FailedAttempts int    `json:"fails,omitempty"`       // attempts that ended as failed
	EarlyLosses    int    `json:"early,omitempty"`       // attempts whose worker was lost right after their start; a service's since its last other end
	Crashes        int    `json:"crashes,omitempty"`     // those of EarlyLosses that certainly were crashes under this job
}

// Job is a job and its state after the records applied so far. Times are Unix
// milliseconds, taken from the records.
type Job struct {
	Spec          JobSpec `json:"spec"`
	CreatedOffset int64   `json:"order"` // offset of the record that created it
	QueuedMs      int64   `json:"queued-unix-ms"`
	EndedMs       int64   `json:"ended-unix-ms,omitempty"`
	Tasks         []Task  `json:"tasks"`
	Cancelled     bool    `json:"cancelled,omitempty"`
	Reason        string  `json:"reason,omitempty"` // why the job was rejected or does not start, for people
	FinalState    string  `json:"final,omitempty"`  // final state; empty while the job has none
	Unfinished    int     `json:"left"`             // tasks that are pending or assigned
	Assigned      int     `json:"assigned"`         // tasks that are assigned
	EverAssigned  bool    `json:"ran,omitempty"`    // a task was assigned at least once
}

// State returns the job's state, one of JobQueued to JobNotRun.
func (j *Job) State() string {
	if j.FinalState != "" {
		return j.FinalState
	}
	if j.Assigned > 0 {
		return JobRunning
	}
	return JobQueued
}

// Exclusive reports whether a task of the job must never run on two workers at
// once.
func (j *Job) Exclusive() bool { return j.Spec.Kind != KindService }

// TaskRef identifies a task by its job's ID and its index in the job, from 0.
type TaskRef struct {
	Job   string `json:"job"`
	Index int    `json:"index"`
}

// String returns the reference as JOB#INDEX.
func (r TaskRef) String() string { return fmt.Sprintf("%s#%d", r.Job, r.Index) }
