package sched

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TaskID names a task of a job.
type TaskID struct {
	Job   string
	Round int
	Step  int
	Index int
}

// String gives the name that workers know a task by.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index)
}

// StepName gives the name of the task's step.
func (t TaskID) StepName() string { return fmt.Sprintf("%s.%d.%d", t.Job, t.Round, t.Step) }

// ParseTaskID reads what String gives.
func ParseTaskID(s string) (TaskID, error) {
	part := strings.Split(s, ".")
	if len(part) != 4 || part[0] == "" {
		return TaskID{}, errors.Errorf("task name %q is not JOB.ROUND.STEP.INDEX", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(part[i+1])
		if err != nil || v < 0 {
			return TaskID{}, errors.Errorf("task name %q: %q is not a number", s, part[i+1])
		}
		n[i] = v
	}
	return TaskID{Job: part[0], Round: n[0], Step: n[1], Index: n[2]}, nil
}

// Params are the bounds that a site sets.
type Params struct {
	LeaseMax  time.Duration // longest lease that workers grant
	LeaderMax time.Duration // how long a leader renews leases after its last confirmed record
	KeepFor   time.Duration // how long the state of an ended job is told
}

// Engine is the leader's state. Its methods are called from one goroutine.
type Engine struct {
	params               Params
	startedAt            time.Time
	config               *flow.Config
	jobs                 map[string]*job
	liveJobs             map[*job]bool // jobs that are not final or still have runs
	pendingJobs          map[*job]bool // jobs of which tasks may wait for a start
	jobsWithFutureRounds map[*job]bool // jobs with rounds that have not begun
	jobsAdded            int           // jobs added so far
	endedJobs            []*job        // about in the order of their ends
	workers              map[string]*worker
	workersByID          []*worker // by id
	checks               checkQueue
	index                *workerIndex
	clients              map[string]*placementClient
	clientsByName        []*placementClient // by name
	unsavedJobs          map[*job]bool
	removedJobs          []string
	queues               map[string]*QueueStats
	priorStats           map[string]WorkerStats // by worker; what an earlier leader learned
	pollsSent            uint64
	out                  Output
	unsavedStarts        []*run // recorded in the batch to come, not yet ordered
	unsavedAcks          map[*worker]ack
	nextTick             time.Time
	nextCleanup          time.Time
	partialReservations  map[TaskID]time.Time // steps for which room is kept that does not suffice yet
}

// job is a job with what the engine derives from it.
type job struct {
	*flow.Job
	publishedState flow.State
	addedAt        time.Time
	seq            int // order of arrival
	placements     map[int]map[int]*stepPlacement
	runs           map[TaskID]*run // that are not known to have ended
	objectiveMs    int64
	blockedUntil   time.Time // retry pause after refused starts
}

// New gives the engine of a leader that takes over now.
func New(p Params, now time.Time) *Engine {
	return &Engine{
		params: p, startedAt: now, index: newWorkerIndex(), jobs: map[string]*job{}, workers: map[string]*worker{}, clients: map[string]*placementClient{},
		liveJobs: map[*job]bool{}, pendingJobs: map[*job]bool{}, jobsWithFutureRounds: map[*job]bool{}, unsavedJobs: map[*job]bool{}, queues: map[string]*QueueStats{}, unsavedAcks: map[*worker]ack{}, partialReservations: map[TaskID]time.Time{},
	}
}

// SetConfig takes a new version of the configuration.
func (e *Engine) SetConfig(c *flow.Config) { e.config = c }

// policy gives the policy in force for a job: its queue's, or the one it was
// accepted under if the queue is gone.
func (e *Engine) policy(j *job) flow.Policy {
	if e.config != nil {
		if q := e.config.Queue(j.Queue); q != nil {
			return q.Policy
		}
	}
	return j.Policy
}

// AddJob takes an accepted job with its stored progress.
func (e *Engine) AddJob(now time.Time, fj *flow.Job) {
	if _, ok := e.jobs[fj.ID]; ok {
		return
	}
	j := &job{Job: fj, publishedState: fj.State, addedAt: now, seq: e.jobsAdded, placements: map[int]map[int]*stepPlacement{}, runs: map[TaskID]*run{}}
	j.objectiveMs = objective(fj.Spec)
	e.jobsAdded++
	e.jobs[fj.ID] = j
	for _, r := range fj.Progress.Rounds {
		for step := range r.Steps {
			for i := range r.Steps[step] {
				if t := &r.Steps[step][i]; t.Phase == flow.Placed {
					e.adoptRun(j, TaskID{j.ID, r.Number, step, i}, t)
				}
			}
		}
	}
	if !j.State.Final() || len(j.runs) > 0 {
		e.liveJobs[j] = true
	}
	if j.State.Final() {
		e.endedJobs = append(e.endedJobs, j)
	} else {
		e.pendingJobs[j] = true
		e.jobsWithFutureRounds[j] = j.NextRound < j.Spec.Rounds()
		e.openDueRounds(now, j)
	}
	if fj.Canceled {
		e.cancelJob(now, j)
	}
}

// objective estimates the time in which the job should be complete, in ms.
func objective(s *flow.Spec) int64 {
	longestTo := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		for _, dependency := range s.Steps[i].After {
			longestTo[i] = max(longestTo[i], longestTo[dependency])
		}
		longestTo[i] += s.Steps[i].EstimateMs
		longest = max(longest, longestTo[i])
	}
	return int64(s.Policy.Stretch*float64(longest)) + s.Policy.SlackMs
}

// Cancel notes that a caller cancelled a job.
func (e *Engine) Cancel(now time.Time, id string) {
	if j := e.jobs[id]; j != nil {
		e.cancelJob(now, j)
	}
}

func (e *Engine) cancelJob(now time.Time, j *job) {
	j.Canceled = true
	if j.State.Final() {
		return
	}
	e.addEvent("cancelled", TaskID{Job: j.ID}, 0, "", j.State.String(), now.Sub(j.addedAt))
	e.finishJob(now, j, flow.Canceled)
}

// finishJob gives a job its final state and stops what still runs of it.
func (e *Engine) finishJob(now time.Time, j *job, st flow.State) {
	j.State, j.EndedMs = st, now.UnixMilli()
	e.endedJobs = append(e.endedJobs, j)
	e.unsavedJobs[j] = true
	delete(e.pendingJobs, j)
	delete(e.jobsWithFutureRounds, j)
	e.addEvent("job-ended", TaskID{Job: j.ID}, 0, "", st.String(), now.Sub(j.addedAt))
	if st != flow.Complete {
		for _, r := range j.sortedRuns() {
			e.stopRun(now, r, st.String())
		}
	}
	if len(j.runs) == 0 {
		e.discardProgress(j)
	}
}

// sortedRuns gives the job's runs in the order of their tasks.
func (j *job) sortedRuns() []*run {
	runs := make([]*run, 0, len(j.runs))
	for _, r := range j.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, k int) bool { return runs[i].id.less(runs[k].id) })
	return runs
}

// discardProgress forgets the tasks of a final job of which nothing runs.
func (e *Engine) discardProgress(j *job) {
	j.Progress.Rounds = nil
	j.placements = nil
	e.unsavedJobs[j] = true
	delete(e.liveJobs, j)
}

// Tick starts rounds that are due, forgets jobs whose time is over, and acts on
// what has waited too long. It gives the time by which it wants to be called
// again; a call that comes too soon does nothing else.
func (e *Engine) Tick(now time.Time) time.Time {
	if now.Before(e.nextTick) {
		return e.nextTick
	}
	e.nextTick = now.Add(minTickInterval)
	for j := range e.jobsWithFutureRounds {
		e.openDueRounds(now, j)
	}
	e.checkDueWorkers(now)
	e.probeClients(now)
	e.removeExpiredJobs(now)
	return now.Add(maxTickInterval)
}

// maxTickInterval is the longest time between two looks at time-outs.
const maxTickInterval = 40 * time.Millisecond

// minTickInterval is the shortest time between two looks at time-outs; the holds that
// renew leases and acknowledge ends wait for them.
const minTickInterval = 8 * time.Millisecond

func (e *Engine) openDueRounds(now time.Time, j *job) {
	for j.NextRound < j.Spec.Rounds() && now.UnixMilli() >= j.DueMs(j.NextRound) && j.MayOpen(len(j.Progress.Rounds)) {
		j.Progress.Rounds = append(j.Progress.Rounds, flow.NewRound(j.Spec, j.NextRound))
		j.NextRound++
		e.pendingJobs[j] = true
	}
	if j.NextRound >= j.Spec.Rounds() {
		delete(e.jobsWithFutureRounds, j)
	}
}

// cleanupInterval is the time between two looks for jobs to forget.
const cleanupInterval = time.Second

// retentionSlack is added to the time for which ended jobs are told, for clocks that differ.
const retentionSlack = 30 * time.Second

func (e *Engine) removeExpiredJobs(now time.Time) {
	if now.Before(e.nextCleanup) || len(e.removedJobs) > 0 {
		return
	}
	e.nextCleanup = now.Add(cleanupInterval)
	limit := now.Add(-e.params.KeepFor - retentionSlack).UnixMilli()
	for n := len(e.endedJobs); n > 0 && e.endedJobs[0].EndedMs < limit; n-- {
		j := e.endedJobs[0]
		e.endedJobs = e.endedJobs[1:]
		if len(j.runs) > 0 || e.unsavedJobs[j] {
			e.endedJobs = append(e.endedJobs, j)
			continue
		}
		e.removedJobs = append(e.removedJobs, j.ID)
		delete(e.jobs, j.ID)
	}
	sort.Strings(e.removedJobs)
}

// Batch gives what has to be stored now.
func (e *Engine) Batch() *Batch {
	b := &Batch{starts: e.unsavedStarts, acks: e.unsavedAcks}
	e.unsavedStarts, e.unsavedAcks = nil, map[*worker]ack{}
	for j := range e.unsavedJobs {
		b.Changes = append(b.Changes, Change{Job: j.ID, Data: flow.EncodeProgress(nil, &j.Progress)})
		if j.publishedState != j.State {
			j.publishedState = j.State
			b.stateChanges = append(b.stateChanges, stateChange{id: j.ID, state: j.State, queue: j.Queue})
		}
	}
	sort.Slice(b.Changes, func(i, k int) bool { return b.Changes[i].Job < b.Changes[k].Job })
	clear(e.unsavedJobs)
	for _, id := range e.removedJobs {
		b.Changes = append(b.Changes, Change{Job: id, Drop: true})
	}
	e.removedJobs = nil
	return b
}

// Committed says that a batch is stored.
func (e *Engine) Committed(now time.Time, b *Batch) {
	for w, a := range b.acks {
		if w.lastIncarnation == a.incarnation {
			w.ackedEnd = max(w.ackedEnd, a.lastEnd)
		}
		w.nextPoll = now
		e.checkNow(w)
	}
	for _, r := range b.starts {
		e.sendSavedStart(now, r)
	}
}

// Jobs gives the number of jobs known and of those not yet ended.
func (e *Engine) Jobs() (known, live int) { return len(e.jobs), len(e.liveJobs) }

// Workers gives the number of workers known.
func (e *Engine) Workers() int { return len(e.workersByID) }
