package work

// Format is the newest format of records. A leader appends what a format has
// added only while all living members apply that format, since the state of the
// others would differ. Format 1 adds Batch.GiveUp.
const Format = 1

// Record is one record of a domain's stream. Exactly one field is set.
type Record struct {
	Claim    *Claim    `json:"claim,omitempty"`
	Batch    *Batch    `json:"batch,omitempty"`
	Submit   *Submit   `json:"submit,omitempty"`
	Cancel   *Cancel   `json:"cancel,omitempty"`
	Join     *Member   `json:"join,omitempty"`
	Release  *Release  `json:"release,omitempty"`
	MarkDead *MarkDead `json:"bury,omitempty"`
}

// Claim is a member's claim to the leadership of the domain, the bid with which it
// stands for election.
type Claim struct {
	Term             uint64 `json:"term"`
	Member           string `json:"member"`   // member ID: one incarnation of an instance, not the instance's name
	Instance         string `json:"instance"` // name of the instance
	LastLeaderOffset int64  `json:"seen"`     // offset of the last valid leader record that the member had read
}

// Member is one incarnation of an instance that may lead the domain or own
// minions. Two processes can't listen on one address, so a new member proves that
// an older one with the same Addr is dead.
type Member struct {
	ID       string `json:"member"`           // member ID, unique for each incarnation
	Instance string `json:"instance"`         // name of the instance
	Addr     string `json:"addr"`             // address of the process
	Acked    bool   `json:"acked,omitempty"`  // the leader relies on its promises not to claim the leadership
	Dead     bool   `json:"dead,omitempty"`   // the process of this incarnation has certainly ended
	Format   int    `json:"format,omitempty"` // newest format of records that its program applies; see Format
	AtMs     int64  `json:"at-unix-ms"`
}

// Submit adds a job. A second record with the same job ID changes nothing, except
// that a service that has ended may be submitted again as a service.
type Submit struct {
	Spec JobSpec `json:"spec"`
	AtMs int64   `json:"at-unix-ms"`
}

// Cancel cancels a job.
type Cancel struct {
	Job  string `json:"job"`
	By   string `json:"by"`
	AtMs int64  `json:"at-unix-ms"`
}

// Release removes a member that releases its minions and, if it leads, resigns
// the leadership. It is the last record of a planned stop.
type Release struct {
	Member string `json:"member"`
}

// MarkDead records an operator's statement that the process of a member has ended.
type MarkDead struct {
	Member string `json:"member"`
	By     string `json:"by"`
	AtMs   int64  `json:"at-unix-ms"`
}

// Batch is the set of decisions that the leader has made since its previous
// batch. Seq counts from 1 in each term. A duplicate or late batch has no effect.
type Batch struct {
	Term          uint64      `json:"term"`
	Seq           uint64      `json:"seq"`
	Member        string      `json:"member"`
	AtMs          int64       `json:"at-unix-ms"`
	ConfigVersion uint64      `json:"config,omitempty"` // configuration version that the leader has applied
	Create        []JobSpec   `json:"create,omitempty"` // services and jobs described by the configuration
	Resize        []Resize    `json:"resize,omitempty"`
	Cancel        []string    `json:"cancel,omitempty"` // job IDs
	Assign        []Assign    `json:"assign,omitempty"`
	End           []End       `json:"end,omitempty"`
	Reject        []JobReason `json:"refuse,omitempty"`  // jobs that can never run
	SetReason     []JobReason `json:"explain,omitempty"` // why jobs are still pending
	GiveUp        []GiveUp    `json:"give-up,omitempty"` // pending tasks that are not started again
	Grant         []Grant     `json:"grant,omitempty"`
	Revoke        []string    `json:"revoke,omitempty"` // names of minions
	Ack           []string    `json:"ack,omitempty"`    // member IDs; see Member.Acked
	Remove        []string    `json:"remove,omitempty"` // member IDs
}

// Assign assigns a task to a worker.
type Assign struct {
	Task    TaskRef `json:"task"`
	Attempt int     `json:"attempt"`
	Worker  string  `json:"worker"`
	// Incarnation is that of the worker when the attempt was assigned. A leader
	// that takes over sees by it that the worker has restarted since.
	Incarnation string `json:"incarnation,omitempty"`
}

// End ends one attempt of a task.
type End struct {
	Task    TaskRef `json:"task"`
	Attempt int     `json:"attempt"`
	Outcome string  `json:"outcome"`
	Early   bool    `json:"early,omitempty"`   // the worker was lost right after it started the attempt
	Crashed bool    `json:"crashed,omitempty"` // the worker then restarted, and no other job had a task that it had just started
}

// GiveUp ends a pending task of a batch or gang job as failed.
type GiveUp struct {
	Task   TaskRef `json:"task"`
	Reason string  `json:"reason"`
}

// JobReason is a job with a reason: why it can never run, which ends the job (in
// Batch.Reject), or why it is still pending (in Batch.SetReason).
type JobReason struct {
	Job    string `json:"job"`
	Reason string `json:"reason"`
}

// Resize changes the number of a service's replicas.
type Resize struct {
	Job   string `json:"job"`
	Tasks int    `json:"tasks"`
}

// Grant makes a member the owner of a minion.
type Grant struct {
	Minion   string `json:"minion"`
	Member   string `json:"member"`
	Instance string `json:"instance"`
}
