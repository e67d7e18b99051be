package worker

import "github.com/tamaracklink/tamaracklink/internal/state/work"

// These types are the messages of the workers' protocol. The client in this
// package and the stand-in worker use them.

// StartedTask is a task that the worker is to start.
type StartedTask struct {
	Job     string    `json:"job"`
	Index   int       `json:"index"`
	Attempt int       `json:"attempt"`
	Size    work.Size `json:"size"`
	LeaseMS int64     `json:"lease-ms"`
	Command string    `json:"command"`
	RunMS   int64     `json:"run-ms"`
}

// Attempt identifies one attempt of a task.
type Attempt struct {
	Job     string `json:"job"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// SyncRequest renews leases, acknowledges ends and asks for the inventory, which
// is all that the worker runs and all ends that are not acknowledged.
type SyncRequest struct {
	AckedEnd     uint64 `json:"ack"`     // acknowledges ends up to this number
	KnownVersion uint64 `json:"seen"`    // version that the leader has, 0 to get all of the inventory
	Renew        bool   `json:"renew"`   // renew the leases of all that runs
	WaitMS       int64  `json:"wait-ms"` // longest wait for a change of the inventory
}

// RunningTask is an attempt that the worker runs.
type RunningTask struct {
	Attempt
	Size work.Size `json:"size"`
}

// EndedTask is an attempt that has ended on the worker.
type EndedTask struct {
	Attempt
	EndNumber uint64 `json:"number"` // number of the end, for its acknowledgement
	Outcome   string `json:"outcome"`
}

// SyncReply is the worker's inventory.
type SyncReply struct {
	Unchanged bool          `json:"same"`    // the leader's version is current; Running and Ended are empty
	Boot      string        `json:"boot"`    // incarnation of the worker
	Version   uint64        `json:"version"` // of the inventory
	Running   []RunningTask `json:"running"`
	Ended     []EndedTask   `json:"ended"`
	Usage     work.Size     `json:"usage"` // measured
}
