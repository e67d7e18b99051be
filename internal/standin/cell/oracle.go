package cell

import (
	"fmt"
	"strings"
	"sync"

	"github.com/tamaracklink/tamaracklink/internal/standin/worker"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Oracle checks the invariants of a cell from outside: no worker runs more than
// its capacity, no exclusive task runs in two places, and no request with an
// idempotency key runs twice. It is fed by the workers and minions themselves,
// so it does not depend on the records of the system under test.
type Oracle struct {
	mu            sync.Mutex // guards the fields below
	capacities    map[string]work.Size
	used          map[string]work.Size      // sum of the declared sizes of the running tasks, by worker
	running       map[string]map[string]int // number of running attempts, by task and worker
	starts        int
	keyExecutions map[string]int // number of executions, by path and idempotency key
	violations    []string
}

// NewOracle returns an oracle without workers and events.
func NewOracle() *Oracle {
	return &Oracle{
		capacities: map[string]work.Size{}, used: map[string]work.Size{}, running: map[string]map[string]int{}, keyExecutions: map[string]int{},
	}
}

// AddWorker registers a worker with its capacity.
func (o *Oracle) AddWorker(name string, capacity work.Size) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacities[name] = capacity
}

// RecordTaskEvent records the start or end of a task's attempt on a worker.
// Replicas of a service are not exclusive: their job names begin with
// "service/".
func (o *Oracle) RecordTaskEvent(e worker.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id := fmt.Sprintf("%s#%d", e.Job, e.Index)
	byWorker := o.running[id]
	if byWorker == nil {
		byWorker = map[string]int{}
		o.running[id] = byWorker
	}
	if !e.Started {
		o.used[e.Worker] = o.used[e.Worker].Sub(e.Size)
		byWorker[e.Worker]--
		if byWorker[e.Worker] <= 0 {
			delete(byWorker, e.Worker)
		}
		return
	}
	o.starts++
	o.used[e.Worker] = o.used[e.Worker].Add(e.Size)
	byWorker[e.Worker]++
	if !o.used[e.Worker].FitsIn(o.capacities[e.Worker]) {
		o.addViolation("worker %s holds %v, its capacity is %v", e.Worker, o.used[e.Worker], o.capacities[e.Worker])
	}
	if !strings.HasPrefix(e.Job, "service/") && total(byWorker) > 1 {
		o.addViolation("task %s runs in %d places", id, total(byWorker))
	}
}

func total(attempts map[string]int) int {
	n := 0
	for _, c := range attempts {
		n += c
	}
	return n
}

// RecordRequest records that a minion started a request. Requests without an
// idempotency key are ignored.
func (o *Oracle) RecordRequest(_, key, path string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if key == "" {
		return
	}
	k := path + " " + key
	o.keyExecutions[k]++
	if o.keyExecutions[k] > 1 {
		o.addViolation("request %s ran %d times", k, o.keyExecutions[k])
	}
}

func (o *Oracle) addViolation(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// Violations returns a description of each invariant violation so far, in
// order.
func (o *Oracle) Violations() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}

// TaskStarts returns the number of task starts on all workers.
func (o *Oracle) TaskStarts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts
}

// KeyExecutions returns how many times a request with the key was started at
// the path.
func (o *Oracle) KeyExecutions(path, key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keyExecutions[path+" "+key]
}
