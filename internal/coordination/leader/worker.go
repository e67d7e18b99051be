package leader

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// WorkerCalls holds the calls from a leader to the workers.
type WorkerCalls struct {
	// Start starts tasks. An attempt that the worker already has is not changed.
	Start func(ctx context.Context, addr string, tasks []StartTask) error
	// Stop stops attempts. The worker remembers an attempt that it does not have
	// as stopped, so that a start that arrives later has no effect.
	Stop func(ctx context.Context, addr string, attempts []Attempt) error
	// Sync renews leases, acknowledges ends and returns the worker's inventory. It
	// waits for the inventory to change, as long as the request allows.
	Sync func(ctx context.Context, addr string, q SyncRequest) (SyncReply, error)
}

// Attempt identifies one attempt of a task.
type Attempt struct {
	Task    work.TaskRef
	Attempt int // counts from 1
}

// StartTask is a task to start.
type StartTask struct {
	Attempt
	Size    work.Size
	Lease   time.Duration // the worker stops the task this long after the last renewal
	Command string
	RunTime time.Duration // declared run time
}

// SyncRequest is a leader's request to a worker.
type SyncRequest struct {
	AckedEnd     uint64        // ends up to this number are in the log and may be forgotten
	KnownVersion uint64        // version of the inventory that the leader has; 0 asks for the full inventory
	Renew        bool          // renew the leases of all running tasks, each by the length given at its start
	Wait         time.Duration // longest wait for a change
}

// SyncReply is a worker's reply to a leader's request.
type SyncReply struct {
	Unchanged   bool   // the inventory has not changed since the leader's version; the lists are left out
	Incarnation string // incarnation of the worker; changes when it has restarted and lost its tasks
	Version     uint64 // of the inventory, from 1 on
	Running     []RunningTask
	Ended       []EndedTask
	Usage       work.Size // measured; lags behind the list of running tasks
}

// RunningTask is an attempt that runs on a worker.
type RunningTask struct {
	Attempt
	Size work.Size // declared when it was started
}

// EndedTask is an attempt that has ended on a worker.
type EndedTask struct {
	Attempt
	EndNumber uint64 // counts the ends of the worker's incarnation; acknowledged by the leader's requests
	Outcome   string // one of the outcomes in package work
}
