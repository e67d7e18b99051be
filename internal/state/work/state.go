package work

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Limits on the finished jobs that the state retains.
const (
	maxFinishedJobs = 2000  // finished jobs retained with their tasks
	maxRetiredIDs   = 20000 // IDs of older jobs, retained so that a late resend does not run again
)

// State is the state of a domain after the record at Offset: its jobs, members,
// leadership and minion owners. It is not safe for concurrent use.
type State struct {
	Domain           string            `json:"domain"`
	Offset           int64             `json:"offset"` // of the last record applied; -1 before the first
	Term             uint64            `json:"term"`
	Leader           string            `json:"leader"` // member ID; empty when the domain has no leader
	LeaderInstance   string            `json:"leader-instance"`
	LastLeaderOffset int64             `json:"last-leader"` // offset of the last valid record of a leader; -1 before the first
	LastSeq          uint64            `json:"last-seq"`    // of the last valid batch in Term; 0 before the first
	ConfigVersion    uint64            `json:"config"`      // newest configuration version that a leader has applied
	Members          map[string]Member `json:"members"`     // by member ID
	Jobs             map[string]*Job   `json:"jobs"`        // by job ID; finished jobs too while retained
	Finished         []string          `json:"finished"`    // IDs of retained jobs with a final state, oldest first
	RetiredIDs       []string          `json:"spent"`       // IDs of jobs no longer retained, oldest first
	MinionOwners     map[string]Owner  `json:"grants"`      // owner by minion

	// The fields below are derived and not part of snapshots.
	UsedByWorker  map[string]Size                   `json:"-"` // resources of assigned tasks, by worker
	UsedByTenant  map[string]Size                   `json:"-"` // resources of assigned tasks, by tenant
	TasksByWorker map[string]map[TaskRef]PlacedTask `json:"-"` // assigned tasks, by worker
	NewlyPending  []TaskRef                         `json:"-"` // tasks that became pending since the last call of TakeNewlyPending
	retired       map[string]bool                   // the IDs in RetiredIDs
}

// Owner is the member that may dispatch requests to a minion. If Member is
// empty, no member may. Released then means that the previous owner has released
// the minion or is known to be dead, so the next owner need not wait for that
// owner's right to dispatch to expire.
type Owner struct {
	Member   string `json:"member"`
	Instance string `json:"instance"`
	Released bool   `json:"clean,omitempty"`
}

// PlacedTask is the attempt of a task that is assigned to a worker.
type PlacedTask struct {
	Attempt int
	Size    Size
}

// NewState returns the empty state of a domain.
func NewState(domain string) *State {
	s := &State{Domain: domain, Offset: -1, LastLeaderOffset: -1}
	s.rebuildDerived()
	return s
}

// Snapshot returns the state encoded as JSON.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s) }

// Load replaces the state by the snapshot in data. It returns an error and
// leaves the state unchanged if data can't be decoded, belongs to another domain
// or has a lower offset than the state.
func (s *State) Load(data []byte) error {
	n := NewState("")
	if err := json.Unmarshal(data, n); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	if n.Domain != s.Domain {
		return errors.Errorf("snapshot is of domain %q, want %q", n.Domain, s.Domain)
	}
	if n.Offset < s.Offset {
		return errors.Errorf("snapshot at offset %d is older than the state at offset %d", n.Offset, s.Offset)
	}
	n.rebuildDerived()
	*s = *n
	return nil
}

// rebuildDerived initializes nil maps and recomputes the derived fields, except
// NewlyPending.
func (s *State) rebuildDerived() {
	if s.Members == nil {
		s.Members = map[string]Member{}
	}
	if s.Jobs == nil {
		s.Jobs = map[string]*Job{}
	}
	if s.MinionOwners == nil {
		s.MinionOwners = map[string]Owner{}
	}
	s.UsedByWorker = map[string]Size{}
	s.UsedByTenant = map[string]Size{}
	s.TasksByWorker = map[string]map[TaskRef]PlacedTask{}
	s.retired = map[string]bool{}
	for _, id := range s.RetiredIDs {
		s.retired[id] = true
	}
	for id, j := range s.Jobs {
		for i, t := range j.Tasks {
			if t.State == TaskAssigned {
				s.addUsage(j, TaskRef{id, i}, t)
			}
		}
	}
}

// Apply applies the record at the offset and reports whether it was valid and
// counted. A record at or below Offset is ignored; any other advances Offset
// even if it does not count.
func (s *State) Apply(offset int64, r Record) bool {
	if offset <= s.Offset {
		return false
	}
	s.Offset = offset
	switch {
	case r.Claim != nil:
		return s.applyClaim(offset, *r.Claim)
	case r.Batch != nil:
		return s.applyBatch(offset, r.Batch)
	case r.Submit != nil:
		return s.createJob(offset, r.Submit.Spec, r.Submit.AtMs)
	case r.Cancel != nil:
		return s.cancelJob(r.Cancel.Job, r.Cancel.AtMs)
	case r.Join != nil:
		return s.addMember(*r.Join)
	case r.Release != nil:
		return s.removeMember(offset, r.Release.Member)
	case r.MarkDead != nil:
		return s.markDead(r.MarkDead.Member)
	}
	return false
}

func (s *State) applyBatch(offset int64, b *Batch) bool {
	if b.Term != s.Term || b.Member != s.Leader || b.Seq != s.LastSeq+1 {
		return false
	}
	s.LastSeq = b.Seq
	s.LastLeaderOffset = offset
	s.ConfigVersion = max(s.ConfigVersion, b.ConfigVersion)
	for _, e := range b.End {
		s.endAttempt(e, b.AtMs)
	}
	for _, spec := range b.Create {
		s.createJob(offset, spec, b.AtMs)
	}
	for _, r := range b.Resize {
		s.resizeService(r)
	}
	for _, id := range b.Cancel {
		s.cancelJob(id, b.AtMs)
	}
	for _, r := range b.Reject {
		s.rejectJob(r, b.AtMs)
	}
	for _, r := range b.SetReason {
		s.setReason(r)
	}
	for _, g := range b.GiveUp {
		s.giveUpTask(g, b.AtMs)
	}
	for _, a := range b.Assign {
		s.assignTask(a)
	}
	s.applyMembership(b)
	return true
}

// Known reports whether the domain has or had a job with this ID. IDs that were
// dropped from RetiredIDs are no longer known.
func (s *State) Known(id string) bool { return s.Jobs[id] != nil || s.retired[id] }

func (s *State) createJob(offset int64, spec JobSpec, atMs int64) bool {
	if spec.Tasks < 1 || spec.Tasks > MaxTasks {
		return false
	}
	if s.Known(spec.ID) && !s.idReusable(spec) {
		return false
	}
	if s.Jobs[spec.ID] != nil {
		s.removeFinished(spec.ID)
	}
	j := &Job{Spec: spec, CreatedOffset: offset, QueuedMs: atMs, Unfinished: spec.Tasks}
	j.Tasks = make([]Task, spec.Tasks)
	for i := range j.Tasks {
		j.Tasks[i].State = TaskPending
	}
	s.Jobs[spec.ID] = j
	s.markNewlyPending(j)
	return true
}

func (s *State) removeFinished(id string) {
	for i, f := range s.Finished {
		if f == id {
			s.Finished = append(s.Finished[:i:i], s.Finished[i+1:]...)
			return
		}
	}
}

// idReusable reports whether spec may reuse the ID of a known job: the retained
// job is a service that has ended, and spec is a service too. IDs of other kinds
// of jobs are never reused.
func (s *State) idReusable(spec JobSpec) bool {
	j := s.Jobs[spec.ID]
	return j != nil && j.FinalState != "" && j.Spec.Kind == KindService && spec.Kind == KindService
}

func (s *State) markNewlyPending(j *Job) {
	if j.Spec.Kind == KindGang {
		s.NewlyPending = append(s.NewlyPending, TaskRef{j.Spec.ID, 0})
		return
	}
	for i, t := range j.Tasks {
		if t.State == TaskPending {
			s.NewlyPending = append(s.NewlyPending, TaskRef{j.Spec.ID, i})
		}
	}
}

// TakeNewlyPending returns the tasks that became pending since the last call and
// clears the list. A gang is listed once, as its task 0.
func (s *State) TakeNewlyPending() []TaskRef {
	tasks := s.NewlyPending
	s.NewlyPending = nil
	return tasks
}

// Pending returns every pending task in the form of TakeNewlyPending and clears
// the list of TakeNewlyPending. The order is undefined.
func (s *State) Pending() []TaskRef {
	s.NewlyPending = nil
	for _, j := range s.Jobs {
		if j.FinalState == "" && !j.Cancelled && (j.Spec.Kind != KindGang || j.Assigned == 0) {
			s.markNewlyPending(j)
		}
	}
	return s.TakeNewlyPending()
}

// Skip advances Offset past a log entry that is not a record of the domain.
func (s *State) Skip(offset int64) { s.Offset = max(s.Offset, offset) }
