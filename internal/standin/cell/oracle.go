package cell

import (
	"fmt"
	"strings"
	"sync"

	"github.com/tamaracklink/tamaracklink/internal/standin/worker"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Oracle checks from the outside what must always hold. It sees what workers
// and minions really do, not what the system believes.
type Oracle struct {
	mu            sync.Mutex
	capacities    map[string]work.Size
	used          map[string]work.Size
	running       map[string]map[string]int // exclusive task -> worker -> attempts running there
	starts        int
	keyExecutions map[string]int
	violations    []string
}

// NewOracle gives an oracle that has seen nothing.
func NewOracle() *Oracle {
	return &Oracle{
		capacities: map[string]work.Size{}, used: map[string]work.Size{}, running: map[string]map[string]int{}, keyExecutions: map[string]int{},
	}
}

// AddWorker tells a worker's capacity.
func (o *Oracle) AddWorker(name string, capacity work.Size) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.capacities[name] = capacity
}

// Task notes a start or an end on a worker.
func (o *Oracle) Task(e worker.Event) {
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
	if !o.used[e.Worker].Within(o.capacities[e.Worker]) {
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

// Ran notes that a minion started a request with a key.
func (o *Oracle) Ran(_, key, path string) {
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

// Faults gives all that was seen and must not be.
func (o *Oracle) Faults() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]string(nil), o.violations...)
}

// Starts counts the task starts seen.
func (o *Oracle) Starts() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts
}

// KeyRuns counts how often a request with the key ran at the path.
func (o *Oracle) KeyRuns(path, key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.keyExecutions[path+" "+key]
}
