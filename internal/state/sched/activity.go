package sched

import (
	"slices"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// QueryPurpose is why a query to the placement service names the workers that
// it does.
type QueryPurpose uint8

// The purposes of queries.
const (
	QueryFirst   QueryPurpose = iota // the step has no answer yet
	QueryFurther                     // workers on which the step has no answer yet; it has answers on others
	QueryRenewal                     // workers that may run the step and whose tickets have expired
	queryPurposes
)

var queryPurposeNames = [...]string{"first", "further", "renewal"}

// String returns the purpose's name.
func (p QueryPurpose) String() string { return queryPurposeNames[p] }

// Latency is a kind of duration that the engine measures by queue.
type Latency uint8

// The kinds of durations.
const (
	LatencyFirstPlacement Latency = iota // from a step becoming startable to its first placement of a task
	LatencyLastPlacement                 // from a step becoming startable to the first time that none of its tasks is idle
	LatencyConfirmation                  // from the placement of a run to the first sign that its worker has it
	LatencyEndRecord                     // from the report of an end to its record in the store
	LatencyQuery                         // from a query to its answer
	latencies
)

// LatencySample is one measured duration.
type LatencySample struct {
	Latency Latency
	Queue   string
	Took    time.Duration
}

// LatencySum is the number and the sum of measured durations.
type LatencySum struct {
	Count int
	Sum   time.Duration
}

// Mean returns the mean duration, 0 without samples.
func (s LatencySum) Mean() time.Duration {
	if s.Count == 0 {
		return 0
	}
	return s.Sum / time.Duration(s.Count)
}

// QueueActivity counts what was done for one queue.
type QueueActivity struct {
	Queries         [queryPurposes]int // by purpose
	WorkersNamed    int                // workers named in queries
	NamedFull       int                // those of them on which no task of the step fitted at that time
	Answers         int                // queries that were answered
	FailedQueries   int                // queries that were not answered
	Tickets         int                // tickets in answers
	TicketsNoRoom   int                // tickets whose worker had too little free capacity for a task when the answer came
	TicketsReserved int                // tickets whose worker had room only in capacity reserved for other steps
	TicketsTaken    int                // tickets of the two kinds above whose worker had room when it was named
	TicketsUsed     int                // tickets with which at least one task was placed
	TasksPlaced     int
	Latencies       [latencies]LatencySum
}

// Activity counts what the engine did in an interval.
type Activity struct {
	Queues  map[string]*QueueActivity // queues without activity may be missing
	Samples []LatencySample
	// QuickQueryTime and LongQueryTime are the sums of the computed durations of
	// the queries sent.
	QuickQueryTime time.Duration
	LongQueryTime  time.Duration
	// TasksMoved is the number of tasks that were placed on another worker than
	// without regard to interference.
	TasksMoved int
}

// TakeActivity returns the activity since the last call and clears it.
func (e *Engine) TakeActivity() Activity {
	a := e.activity
	e.activity = Activity{}
	return a
}

func (e *Engine) queueActivity(queue string) *QueueActivity {
	if e.activity.Queues == nil {
		e.activity.Queues = map[string]*QueueActivity{}
	}
	a := e.activity.Queues[queue]
	if a == nil {
		a = &QueueActivity{}
		e.activity.Queues[queue] = a
	}
	return a
}

// maxLatencySamples bounds the samples of one interval. Further durations are
// only summed up.
const maxLatencySamples = 4096

func (e *Engine) recordLatency(queue string, l Latency, took time.Duration) {
	s := &e.queueActivity(queue).Latencies[l]
	s.Count++
	s.Sum += took
	if len(e.activity.Samples) < maxLatencySamples {
		e.activity.Samples = append(e.activity.Samples, LatencySample{Latency: l, Queue: queue, Took: took})
	}
}

// recordQuery counts a query about a step. It returns the purpose of the query
// and the named workers on which no task of the step fits.
func (e *Engine) recordQuery(now time.Time, j *job, id TaskID, sp *stepPlacement, workers []string, duration time.Duration) (p QueryPurpose, full []string) {
	purpose := QueryFirst
	if _, ok := sp.tickets[workers[0]]; ok {
		purpose = QueryRenewal
	} else if len(sp.tickets)+len(sp.rejected) > 0 {
		purpose = QueryFurther
	}
	for _, name := range workers {
		if fit, _ := e.fitForStep(now, j, id, e.workers[name], 1); fit == 0 {
			full = append(full, name)
		}
	}
	a := e.queueActivity(j.Queue)
	a.Queries[purpose]++
	a.WorkersNamed += len(workers)
	a.NamedFull += len(full)
	if duration <= maxQuickQuery {
		e.activity.QuickQueryTime += duration
	} else {
		e.activity.LongQueryTime += duration
	}
	return purpose, full
}

// recordQueryResult counts the result of a query and, for each ticket, whether
// a task of the step would fit on the worker now.
func (e *Engine) recordQueryResult(now time.Time, q *PlacementQuery, tickets map[string]string, ok bool) {
	a := e.queueActivity(q.Queue)
	if !ok {
		a.FailedQueries++
		return
	}
	a.Answers++
	a.Tickets += len(tickets)
	e.recordLatency(q.Queue, LatencyQuery, now.Sub(q.SentAt))
	j := e.jobs[q.Job]
	if j == nil {
		return
	}
	id := TaskID{Job: q.Job, Round: q.Round, Step: q.Step}
	for name := range tickets {
		fit, unreserved := e.fitForStep(now, j, id, e.workers[name], 1)
		switch {
		case fit > 0:
			continue
		case unreserved > 0:
			a.TicketsReserved++
		default:
			a.TicketsNoRoom++
		}
		if !slices.Contains(q.full, name) {
			a.TicketsTaken++
		}
	}
}

// fitForStep returns how many tasks of a step fit on a worker now, at most
// maxFit, and how many would fit without the reservations for other steps.
func (e *Engine) fitForStep(now time.Time, j *job, id TaskID, w *worker, maxFit int) (fit, unreserved int) {
	if w == nil || !w.usable(now) {
		return 0, 0
	}
	free, size, priority := w.Capacity.Sub(w.used), taskSize(&j.Steps[id.Step]), e.policy(j).Priority
	unreserved = fitCount(free, size, maxFit)
	for _, res := range w.reservations {
		if now.Before(res.expires) && res.step != id && res.priority <= priority {
			free = free.Sub(res.size)
		}
	}
	return fitCount(free, size, maxFit), unreserved
}

// stepKey identifies a step of a job.
type stepKey struct{ round, step int }

// stepProgress records since when a step has been startable and which of its
// placements have been measured.
type stepProgress struct {
	startableAt time.Time
	firstPlaced bool
	allPlaced   bool
}

// noteStartableSteps records the steps of an open round that have become
// startable. Steps without idle tasks don't count.
func (e *Engine) noteStartableSteps(now time.Time, j *job, r *flow.Round) {
	for step := range r.Steps {
		key := stepKey{r.Number, step}
		if _, ok := j.startable[key]; ok || len(e.startableTasks(j, r, step)) == 0 {
			continue
		}
		if j.startable == nil {
			j.startable = map[stepKey]stepProgress{}
		}
		j.startable[key] = stepProgress{startableAt: now}
	}
}

// noteTaskDone records the steps that have become startable because all tasks
// of a step are done.
func (e *Engine) noteTaskDone(now time.Time, j *job, r *flow.Round, step int) {
	if r.Unfinished == 0 {
		for step := range r.Steps {
			delete(j.startable, stepKey{r.Number, step})
			delete(j.idleSince, stepKey{r.Number, step})
		}
		return
	}
	if stepDone(r, step) {
		e.noteStartableSteps(now, j, r)
	}
}

// noteTaskIdle records that the task of an ended run is idle again, if its step had
// no idle tasks before, or if the step is a gang that may start again now.
func (r *run) noteTaskIdle(now time.Time) {
	round := r.job.round(r.id.Round)
	if round == nil {
		return
	}
	tasks, gang, idle := round.Steps[r.id.Step], r.job.Steps[r.id.Step].Gang, 0
	for i := range tasks {
		if tasks[i].Phase == flow.Idle {
			if idle++; idle > 1 && !gang {
				return
			}
		}
	}
	if gang && idle < len(tasks) {
		return
	}
	if r.job.idleSince == nil {
		r.job.idleSince = map[stepKey]time.Time{}
	}
	r.job.idleSince[stepKey{r.id.Round, r.id.Step}] = now
}

// recordPlacement measures the placement of some of the idle tasks of a step.
// Tasks that start again don't count once all tasks have been placed.
func (e *Engine) recordPlacement(now time.Time, ps pendingStep, placed int) {
	e.queueActivity(ps.job.Queue).TasksPlaced += placed
	key := stepKey{ps.round.Number, ps.step}
	p, ok := ps.job.startable[key]
	if !ok || p.allPlaced {
		return
	}
	if !p.firstPlaced {
		e.recordLatency(ps.job.Queue, LatencyFirstPlacement, now.Sub(p.startableAt))
		p.firstPlaced = true
	}
	if placed == len(ps.idleTasks) && !ps.cut {
		e.recordLatency(ps.job.Queue, LatencyLastPlacement, now.Sub(p.startableAt))
		p.allPlaced = true
	}
	ps.job.startable[key] = p
}

// recordTicketUse counts the ticket of a step for a worker when the first task
// is placed with it.
func (e *Engine) recordTicketUse(queue string, sp *stepPlacement, w *worker) {
	if t := sp.tickets[w.ID]; !t.used {
		t.used = true
		sp.tickets[w.ID] = t
		e.queueActivity(queue).TicketsUsed++
	}
}

// reportedEnd is when a report with ends of a queue's runs was handled.
type reportedEnd struct {
	queue string
	at    time.Time
}

// noteEnd records a reported end that the next batch stores. The ends of one
// report and queue count as one.
func (e *Engine) noteEnd(now time.Time, queue string) {
	end := reportedEnd{queue, now}
	if n := len(e.unsavedEnds); n == 0 || e.unsavedEnds[n-1] != end {
		e.unsavedEnds = append(e.unsavedEnds, end)
	}
}

// recordCommittedEnds measures the time to the record of a batch's ends.
func (e *Engine) recordCommittedEnds(now time.Time, b *Batch) {
	for _, end := range b.ends {
		e.recordLatency(end.queue, LatencyEndRecord, now.Sub(end.at))
	}
}
