package worker

import "github.com/tamaracklink/tamaracklink/internal/state/work"

// The wire types of the workers' protocol serve its client and its stand-in.

// StartedTask is a task to start.
type StartedTask struct {
	Job     string    `json:"job"`
	Index   int       `json:"index"`
	Attempt int       `json:"attempt"`
	Size    work.Size `json:"size"`
	LeaseMS int64     `json:"lease-ms"`
	Command string    `json:"command"`
	RunMS   int64     `json:"run-ms"`
}

// Attempt names one attempt of a task.
type Attempt struct {
	Job     string `json:"job"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// SyncRequest renews leases, acknowledges ends and asks for the inventory.
type SyncRequest struct {
	Ack    uint64 `json:"ack"`
	Seen   uint64 `json:"seen"`
	Renew  bool   `json:"renew"`
	WaitMS int64  `json:"wait-ms"`
}

// RunningTask is a task that the worker runs.
type RunningTask struct {
	Attempt
	Size work.Size `json:"size"`
}

// EndedTask is an attempt that has ended.
type EndedTask struct {
	Attempt
	Number  uint64 `json:"number"`
	Outcome string `json:"outcome"`
}

// SyncReply is the worker's inventory.
type SyncReply struct {
	Same    bool          `json:"same"`
	Boot    string        `json:"boot"`
	Version uint64        `json:"version"`
	Running []RunningTask `json:"running"`
	Ended   []EndedTask   `json:"ended"`
	Usage   work.Size     `json:"usage"`
}
