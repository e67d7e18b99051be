package sched

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/pairs"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TaskID identifies a task of a job.
type TaskID struct {
	Job   string
	Round int
	Step  int
	Index int // within the step
}

// String returns the task's name in calls to workers: JOB.ROUND.STEP.INDEX.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Round, t.Step, t.Index)
}

// StepName returns the name of the task's step: JOB.ROUND.STEP.
func (t TaskID) StepName() string { return fmt.Sprintf("%s.%d.%d", t.Job, t.Round, t.Step) }

// ParseTaskID parses a task name as returned by TaskID.String. It returns an
// error if s is not of the form JOB.ROUND.STEP.INDEX, the last three being
// numbers of at least 0.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, errors.Errorf("task name %q is not JOB.ROUND.STEP.INDEX", s)
	}
	var numbers [3]int
	for i := range numbers {
		v, err := strconv.Atoi(parts[i+1])
		if err != nil || v < 0 {
			return TaskID{}, errors.Errorf("task name %q: %q is not a number of at least 0", s, parts[i+1])
		}
		numbers[i] = v
	}
	return TaskID{Job: parts[0], Round: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// Params are the limits that a site configures.
type Params struct {
	MaxLease time.Duration // length of a full lease, the longest that workers accept
	// LeaderLease is how long a leader may renew leases after it sent its last
	// record that was stored. A later leader relies on this limit.
	LeaderLease time.Duration
	Retention   time.Duration // how long the state of an ended job stays available
	// MaxListAge is the age of the list of workers beyond which nothing starts, 0 if
	// there is no limit. Workers may have shrunk since it was read.
	MaxListAge time.Duration
	// MaxConfigAge is the age of the configuration beyond which nothing starts for
	// customers with a quota, 0 if there is no limit. See Engine.SetConfigTime.
	MaxConfigAge time.Duration
	// ShareWindow is for how long a customer may save the jobs of its guaranteed rate,
	// which is its weight a second; 0 if no work counts as beyond the weight.
	ShareWindow time.Duration
}

// Engine holds the scheduling state of one leader. It is not safe for
// concurrent use.
type Engine struct {
	params               Params
	startedAt            time.Time
	config               *flow.Config
	jobs                 map[string]*job
	liveJobs             map[*job]bool // jobs that have not ended or still have runs
	pendingJobs          map[*job]bool // jobs that may have pending steps
	jobsWithFutureRounds map[*job]bool // jobs with rounds that are not open yet
	jobsAdded            int           // number of jobs added so far
	endedJobs            []*job        // roughly in the order in which they ended
	workers              map[string]*worker
	workersByID          []*worker // sorted by ID
	listedAt             time.Time // as of when the list of workers is
	checks               checkQueue
	index                *workerIndex
	clients              map[string]*placementClient
	clientsByName        []*placementClient // sorted by name
	demand               clientDemand
	unsavedJobs          map[*job]bool              // jobs whose progress goes into the next batch
	removedJobs          []string                   // IDs of jobs whose removal goes into the next batch
	queueEstimates       map[string]*QueueEstimates // estimates by queue name
	priorEstimates       map[string]WorkerEstimates // estimates of an earlier leader, by worker ID
	pollsSent            uint64
	output               Output
	unsavedStarts        []*run // in the next batch; ordered once it is stored
	unsavedAcks          map[*worker]ack
	unsavedEnds          []reportedEnd     // in the next batch
	scoredRuns           map[string][]*run // runs with a crash score whose worker has not answered since, by its ID
	crashedRuns          int               // runs under which a worker has certainly crashed
	activity             Activity          // since it was last taken
	nextTick             time.Time
	nextCleanup          time.Time
	partialReservations  map[TaskID]partialReservation // by step
	load                 loadSums                      // for summaries of the load
	pairs                *pairs.Table                  // how images slow each other down
	nextInTurn           int                           // among the pending steps evaluated in turn, the one with which the next pass begins
	accounts             map[string]*account           // by customer
	totalWeight          float64                       // of the customers in the configuration
	configAt             time.Time                     // as of when the configuration is known
	capacity             work.Size                     // of the listed workers
}

// job is a job with the state that the engine derives from it.
type job struct {
	*flow.Job
	publishedState flow.State                     // newest state included in a Batch
	addedAt        time.Time                      // when the job was added to this engine
	seq            int                            // position in the order of arrival
	placements     map[int]map[int]*stepPlacement // by round and step
	runs           map[TaskID]*run                // runs that are not known to have ended
	objectiveMs    int64
	remainingMs    []int64                  // by step, the longest chain of estimates from it on
	blockedUntil   time.Time                // no start before; the retry pause after a refused start
	startable      map[stepKey]stepProgress // steps of open rounds that have become startable
	idleSince      map[stepKey]time.Time    // since when steps of open rounds have had idle tasks again, see noteTaskIdle
	account        *account                 // of its customer
	beyond         bool                     // exceeds the rate that its customer's weight guarantees
}

// New returns the engine of a leader whose term begins now. The engine has no
// jobs, workers or configuration yet.
func New(p Params, now time.Time) *Engine {
	return &Engine{
		pairs:  pairs.New(),
		params: p, startedAt: now, index: newWorkerIndex(), jobs: map[string]*job{}, workers: map[string]*worker{}, clients: map[string]*placementClient{}, demand: clientDemand{deniedAt: map[string]time.Time{}},
		liveJobs: map[*job]bool{}, pendingJobs: map[*job]bool{}, jobsWithFutureRounds: map[*job]bool{}, unsavedJobs: map[*job]bool{}, queueEstimates: map[string]*QueueEstimates{}, unsavedAcks: map[*worker]ack{}, scoredRuns: map[string][]*run{}, partialReservations: map[TaskID]partialReservation{},
		load: newLoadSums(), accounts: map[string]*account{},
	}
}

// SetConfig sets the configuration in force. Nothing is scheduled before the
// first call. cfg must not be changed afterwards.
func (e *Engine) SetConfig(cfg *flow.Config) {
	e.config = cfg
	e.setCustomers()
}

// policy returns the policy in force for a job: that of its queue, or the one
// under which the job was accepted if the queue no longer exists.
func (e *Engine) policy(j *job) flow.Policy {
	if e.config != nil {
		if q := e.config.Queue(j.Queue); q != nil {
			return q.Policy
		}
	}
	return j.Policy
}

// AddJob adds an accepted job with its stored progress and adopts the runs that
// the progress lists as placed. It does nothing if the job was added before.
// The engine retains fj and modifies its progress.
func (e *Engine) AddJob(now time.Time, fj *flow.Job) {
	if _, ok := e.jobs[fj.ID]; ok {
		return
	}
	j := &job{Job: fj, publishedState: fj.State, addedAt: now, seq: e.jobsAdded, placements: map[int]map[int]*stepPlacement{}, runs: map[TaskID]*run{}}
	j.objectiveMs, j.remainingMs = fj.ObjectiveMs(), remainingWork(fj.Spec)
	j.account = e.account(fj.Customer)
	if j.beyond = e.isBeyond(j); j.beyond {
		j.account.activity.jobsBeyond++
	}
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
		e.noteStartableSteps(now, j, r)
	}
	if !j.State.Final() || len(j.runs) > 0 {
		e.liveJobs[j] = true
	}
	if j.State.Final() {
		e.endedJobs = append(e.endedJobs, j)
	} else {
		e.pendingJobs[j] = true
		e.jobsWithFutureRounds[j] = j.NextRound < j.Spec.RoundCount()
		e.openDueRounds(now, j)
	}
	if fj.Canceled {
		e.cancelJob(now, j)
	}
}

// remainingWork returns, for each step, the longest chain of estimates from the
// step on, in ms.
func remainingWork(spec *flow.Spec) []int64 {
	remaining := make([]int64, len(spec.Steps))
	for i := len(spec.Steps) - 1; i >= 0; i-- {
		remaining[i] += spec.Steps[i].EstimateMs
		for _, dependency := range spec.Steps[i].After {
			remaining[dependency] = max(remaining[dependency], remaining[i])
		}
	}
	return remaining
}

// Cancel marks a job as cancelled on request and, unless it has ended, ends it
// and stops its runs. It does nothing if the job is unknown.
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

// finishJob sets a job's final state and, unless the job is complete, stops its
// remaining runs.
func (e *Engine) finishJob(now time.Time, j *job, state flow.State) {
	j.State, j.EndedMs = state, now.UnixMilli()
	e.endedJobs = append(e.endedJobs, j)
	e.unsavedJobs[j] = true
	delete(e.pendingJobs, j)
	delete(e.jobsWithFutureRounds, j)
	e.addEvent("job-ended", TaskID{Job: j.ID}, 0, "", state.String(), now.Sub(j.addedAt))
	if state != flow.Complete {
		for _, r := range j.sortedRuns() {
			e.stopRun(now, r, state.String())
		}
	}
	if len(j.runs) == 0 {
		e.discardProgress(j)
	}
}

// sortedRuns returns the job's runs in the order of their task IDs.
func (j *job) sortedRuns() []*run {
	runs := make([]*run, 0, len(j.runs))
	for _, r := range j.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, k int) bool { return runs[i].id.less(runs[k].id) })
	return runs
}

// discardProgress discards the rounds of an ended job that has no runs left.
func (e *Engine) discardProgress(j *job) {
	j.Progress.Rounds = nil
	j.placements = nil
	j.startable, j.idleSince = nil, nil
	e.unsavedJobs[j] = true
	delete(e.liveJobs, j)
}

// Tick opens rounds that are due, polls workers, handles expired timeouts and
// leases, probes unhealthy placement clients, and removes ended jobs past their
// retention. It returns the time by which it has to be called again. Until
// minTickInterval has passed since it last did this work, it does nothing but
// return the end of that interval.
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

// maxTickInterval is the longest time between two checks of timeouts.
const maxTickInterval = 40 * time.Millisecond

// minTickInterval is the shortest time between two checks of timeouts. It
// delays the polls that renew leases and acknowledge ends, which only Tick
// sends.
const minTickInterval = 8 * time.Millisecond

// openDueRounds opens the rounds of a job that are due, as many as may be open
// at once.
func (e *Engine) openDueRounds(now time.Time, j *job) {
	for j.NextRound < j.Spec.RoundCount() && now.UnixMilli() >= j.EarliestStartMs(j.NextRound) && j.MayBeginRound(len(j.Progress.Rounds)) {
		r := flow.NewRound(j.Spec, j.NextRound)
		j.Progress.Rounds = append(j.Progress.Rounds, r)
		e.noteStartableSteps(now, j, r)
		j.NextRound++
		e.pendingJobs[j] = true
	}
	if j.NextRound >= j.Spec.RoundCount() {
		delete(e.jobsWithFutureRounds, j)
	}
}

// cleanupInterval is the time between two searches for ended jobs to remove.
const cleanupInterval = time.Second

// retentionSlack is added to the retention of ended jobs, because the clocks of
// instances differ.
const retentionSlack = 30 * time.Second

func (e *Engine) removeExpiredJobs(now time.Time) {
	if now.Before(e.nextCleanup) || len(e.removedJobs) > 0 {
		return
	}
	e.nextCleanup = now.Add(cleanupInterval)
	cutoffMs := now.Add(-e.params.Retention - retentionSlack).UnixMilli()
	for n := len(e.endedJobs); n > 0 && e.endedJobs[0].EndedMs < cutoffMs; n-- {
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

// Batch returns the changes since the last call, which have to be stored. The
// batch must be passed to HandleCommit once it is stored; if it can't be
// stored, the engine must be discarded.
func (e *Engine) Batch() *Batch {
	b := &Batch{starts: e.unsavedStarts, acks: e.unsavedAcks, ends: e.unsavedEnds}
	e.unsavedStarts, e.unsavedAcks, e.unsavedEnds = nil, map[*worker]ack{}, nil
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
		b.Changes = append(b.Changes, Change{Job: id, Remove: true})
	}
	e.removedJobs = nil
	return b
}

// HandleCommit handles a batch that has been stored: its starts are sent, and
// its ends are acknowledged by polls that are due at once. Ends of workers that
// have been removed since are not acknowledged.
func (e *Engine) HandleCommit(now time.Time, b *Batch) {
	e.recordCommittedEnds(now, b)
	for w, a := range b.acks {
		if e.workers[w.ID] != w {
			continue // removed since
		}
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

// Jobs returns the number of known jobs, and how many of them have not ended or
// still have runs.
func (e *Engine) Jobs() (known, live int) { return len(e.jobs), len(e.liveJobs) }

// Workers returns the number of known workers, including those that are no
// longer listed but still have runs or a poll in flight.
func (e *Engine) Workers() int { return len(e.workersByID) }
