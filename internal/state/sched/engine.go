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
	p           Params
	began       time.Time
	conf        *flow.Config
	jobs        map[string]*job
	live        map[*job]bool // jobs that are not final or still have runs
	open        map[*job]bool // jobs of which tasks may wait for a start
	timed       map[*job]bool // jobs with rounds that have not begun
	arrivals    int           // jobs added so far
	ended       []*job        // about in the order of their ends
	workers     map[string]*worker
	order       []*worker // by id
	due         dueWorkers
	index       *index
	callers     map[string]*caller
	callerOrder []*caller // by name
	dirty       map[*job]bool
	drops       []string
	queues      map[string]*QueueStats
	taught      map[string]WorkerStats // by worker; what an earlier leader learned
	holds       uint64
	out         Output
	starts      []*run // recorded in the batch to come, not yet ordered
	acks        map[*worker]ack
	tickAt      time.Time
	expireAt    time.Time
	holders     map[TaskID]time.Time // steps for which room is kept that does not suffice yet
}

// job is a job with what the engine derives from it.
type job struct {
	*flow.Job
	shown    flow.State
	seenAt   time.Time
	seq      int // order of arrival
	advice   map[int]map[int]*stepAdvice
	runs     map[TaskID]*run // that are not known to have ended
	objMs    int64
	blockTil time.Time // retry pause after refused starts
}

// New gives the engine of a leader that takes over now.
func New(p Params, now time.Time) *Engine {
	return &Engine{
		p: p, began: now, index: newIndex(), jobs: map[string]*job{}, workers: map[string]*worker{}, callers: map[string]*caller{},
		live: map[*job]bool{}, open: map[*job]bool{}, timed: map[*job]bool{}, dirty: map[*job]bool{}, queues: map[string]*QueueStats{}, acks: map[*worker]ack{}, holders: map[TaskID]time.Time{},
	}
}

// SetConfig takes a new version of the configuration.
func (e *Engine) SetConfig(c *flow.Config) { e.conf = c }

// policy gives the policy in force for a job: its queue's, or the one it was
// accepted under if the queue is gone.
func (e *Engine) policy(j *job) flow.Policy {
	if e.conf != nil {
		if q := e.conf.Queue(j.Queue); q != nil {
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
	j := &job{Job: fj, shown: fj.State, seenAt: now, seq: e.arrivals, advice: map[int]map[int]*stepAdvice{}, runs: map[TaskID]*run{}}
	j.objMs = objective(fj.Spec)
	e.arrivals++
	e.jobs[fj.ID] = j
	for _, r := range fj.Progress.Rounds {
		for s := range r.Steps {
			for i := range r.Steps[s] {
				if t := &r.Steps[s][i]; t.Phase == flow.Placed {
					e.inherit(j, TaskID{j.ID, r.Number, s, i}, t)
				}
			}
		}
	}
	if !j.State.Final() || len(j.runs) > 0 {
		e.live[j] = true
	}
	if j.State.Final() {
		e.ended = append(e.ended, j)
	} else {
		e.open[j] = true
		e.timed[j] = j.NextRound < j.Spec.Rounds()
		e.beginRounds(now, j)
	}
	if fj.Canceled {
		e.cancel(now, j)
	}
}

// objective estimates the time in which the job should be complete, in ms.
func objective(s *flow.Spec) int64 {
	chain := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		for _, a := range s.Steps[i].After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += s.Steps[i].EstimateMs
		longest = max(longest, chain[i])
	}
	return int64(s.Policy.Stretch*float64(longest)) + s.Policy.SlackMs
}

// Cancel notes that a caller cancelled a job.
func (e *Engine) Cancel(now time.Time, id string) {
	if j := e.jobs[id]; j != nil {
		e.cancel(now, j)
	}
}

func (e *Engine) cancel(now time.Time, j *job) {
	j.Canceled = true
	if j.State.Final() {
		return
	}
	e.event("cancelled", TaskID{Job: j.ID}, 0, "", j.State.String(), now.Sub(j.seenAt))
	e.finish(now, j, flow.Canceled)
}

// finish gives a job its final state and stops what still runs of it.
func (e *Engine) finish(now time.Time, j *job, st flow.State) {
	j.State, j.EndedMs = st, now.UnixMilli()
	e.ended = append(e.ended, j)
	e.dirty[j] = true
	delete(e.open, j)
	delete(e.timed, j)
	e.event("job-ended", TaskID{Job: j.ID}, 0, "", st.String(), now.Sub(j.seenAt))
	if st != flow.Complete {
		for _, r := range j.listRuns() {
			e.stop(now, r, st.String())
		}
	}
	if len(j.runs) == 0 {
		e.retire(j)
	}
}

// listRuns gives the job's runs in the order of their tasks.
func (j *job) listRuns() []*run {
	runs := make([]*run, 0, len(j.runs))
	for _, r := range j.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, k int) bool { return runs[i].id.less(runs[k].id) })
	return runs
}

// retire forgets the tasks of a final job of which nothing runs.
func (e *Engine) retire(j *job) {
	j.Progress.Rounds = nil
	j.advice = nil
	e.dirty[j] = true
	delete(e.live, j)
}

// Tick starts rounds that are due, forgets jobs whose time is over, and acts on
// what has waited too long. It gives the time by which it wants to be called
// again; a call that comes too soon does nothing else.
func (e *Engine) Tick(now time.Time) time.Time {
	if now.Before(e.tickAt) {
		return e.tickAt
	}
	e.tickAt = now.Add(tickEvery)
	for j := range e.timed {
		e.beginRounds(now, j)
	}
	e.tickWorkers(now)
	e.probeCallers(now)
	e.expire(now)
	return now.Add(tickLatest)
}

// tickLatest is the longest time between two looks at time-outs.
const tickLatest = 40 * time.Millisecond

// tickEvery is the shortest time between two looks at time-outs; the holds that
// renew leases and acknowledge ends wait for them.
const tickEvery = 8 * time.Millisecond

func (e *Engine) beginRounds(now time.Time, j *job) {
	for j.NextRound < j.Spec.Rounds() && now.UnixMilli() >= j.DueMs(j.NextRound) && j.MayOpen(len(j.Progress.Rounds)) {
		j.Progress.Rounds = append(j.Progress.Rounds, flow.NewRound(j.Spec, j.NextRound))
		j.NextRound++
		e.open[j] = true
	}
	if j.NextRound >= j.Spec.Rounds() {
		delete(e.timed, j)
	}
}

// expireEvery is the time between two looks for jobs to forget.
const expireEvery = time.Second

// dropSlack is added to the time for which ended jobs are told, for clocks that differ.
const dropSlack = 30 * time.Second

func (e *Engine) expire(now time.Time) {
	if now.Before(e.expireAt) || len(e.drops) > 0 {
		return
	}
	e.expireAt = now.Add(expireEvery)
	limit := now.Add(-e.p.KeepFor - dropSlack).UnixMilli()
	for n := len(e.ended); n > 0 && e.ended[0].EndedMs < limit; n-- {
		j := e.ended[0]
		e.ended = e.ended[1:]
		if len(j.runs) > 0 || e.dirty[j] {
			e.ended = append(e.ended, j)
			continue
		}
		e.drops = append(e.drops, j.ID)
		delete(e.jobs, j.ID)
	}
	sort.Strings(e.drops)
}

// Batch gives what has to be stored now.
func (e *Engine) Batch() *Batch {
	b := &Batch{starts: e.starts, acks: e.acks}
	e.starts, e.acks = nil, map[*worker]ack{}
	for j := range e.dirty {
		b.Changes = append(b.Changes, Change{Job: j.ID, Data: flow.EncodeProgress(nil, &j.Progress)})
		if j.shown != j.State {
			j.shown = j.State
			b.shown = append(b.shown, shownState{id: j.ID, state: j.State, queue: j.Queue})
		}
	}
	sort.Slice(b.Changes, func(i, k int) bool { return b.Changes[i].Job < b.Changes[k].Job })
	clear(e.dirty)
	for _, id := range e.drops {
		b.Changes = append(b.Changes, Change{Job: id, Drop: true})
	}
	e.drops = nil
	return b
}

// Committed says that a batch is stored.
func (e *Engine) Committed(now time.Time, b *Batch) {
	for w, a := range b.acks {
		if w.boot == a.boot {
			w.acked = max(w.acked, a.to)
		}
		w.nextHold = now
		e.touch(w)
	}
	for _, r := range b.starts {
		e.sendRecorded(now, r)
	}
}

// Jobs gives the number of jobs known and of those not yet ended.
func (e *Engine) Jobs() (known, live int) { return len(e.jobs), len(e.live) }

// Workers gives the number of workers known.
func (e *Engine) Workers() int { return len(e.order) }
