package leader

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/coordination/stream"
	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Pace of a domain's loop and its reading.
const (
	tickEvery    = 20 * time.Millisecond
	readWait     = 400 * time.Millisecond
	readRetry    = 100 * time.Millisecond
	downAfter    = 3 * readWait // age of the last full read at which the log counts as down
	snapshotEach = 5000         // records
	submitPause  = 10 * time.Millisecond
)

// StreamOf names the stream of a failure domain.
func StreamOf(domain string) string { return "domain." + domain }

// Config sets up a Domain.
type Config struct {
	Instance    string
	Member      string // unique to this life of the instance
	Addr        string
	Domain      string
	Terms       lease.Terms
	BatchEvery  time.Duration // shortest time between two batches
	RenewEvery  time.Duration // longest time between two batches
	SnapshotAge time.Duration
	Log         ledger.Log
	Fetch       func(ctx context.Context) ([]byte, error)
	Nodes       func(kind string) []member.Node
	Peers       func() []member.Peer
	Model       func() (config.Model, uint64)
	ConfigReady func() bool
	Workers     Workers
	// Started is told of each task start with its waiting time.
	Started func(spec work.JobSpec, waited time.Duration)
	Now     func() time.Time
	Logger  zerolog.Logger
}

// Domain is one instance's part in its failure domain.
type Domain struct {
	cfg    Config
	stream *stream.Stream
	done   chan struct{}
	wake   chan struct{}

	mu               sync.Mutex
	state            *work.State
	leadership       *leadership // nil unless this instance leads
	heard            time.Time   // when the leader's last record was received
	joined           time.Time   // when this member's own join was read
	joining          time.Time   // when a join was sent last
	promised         time.Time   // no claim before this time
	claim            claim
	minionsKeptUntil time.Time // until when the leader promised not to move this member's minions
	leaving          bool
	wg               conc.WaitGroup
	ctx              context.Context
}

// New gives a domain that has read nothing.
func New(cfg Config) *Domain {
	d := &Domain{cfg: cfg, state: work.NewState(cfg.Domain), done: make(chan struct{}), wake: make(chan struct{}, 1)}
	fold := stream.Fold{Apply: d.apply, Snapshot: d.Snapshot, Load: d.load, Offset: d.offset, Fetch: cfg.Fetch}
	name := StreamOf(cfg.Domain)
	d.stream = stream.New(stream.FollowConfig{
		Stream: name, Wait: readWait, Retry: readRetry, SnapshotCount: snapshotEach,
		SnapshotAge: cfg.SnapshotAge, Now: cfg.Now, Logger: cfg.Logger,
	}, submitPause, cfg.Log, fold)
	return d
}

// Done is closed when Run has ended.
func (d *Domain) Done() <-chan struct{} { return d.done }

// Run follows the stream and takes part in its leadership until ctx ends.
func (d *Domain) Run(ctx context.Context) {
	defer close(d.done)
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	var wg conc.WaitGroup
	wg.Go(func() { d.stream.Run(ctx) })
	wg.Go(func() { d.loop(ctx) })
	wg.Wait()
	d.mu.Lock()
	d.endTerm("the instance stops")
	d.mu.Unlock()
	d.wg.Wait()
}

func (d *Domain) loop(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-d.wake:
		}
		d.tick(d.cfg.Now())
	}
}

func (d *Domain) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leadership != nil {
		d.lead(now)
		return
	}
	d.join(now)
	d.maybeClaim(now)
}

func (d *Domain) rouse() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// apply folds one record of the domain's stream.
func (d *Domain) apply(offset int64, content []byte, received time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var r work.Record
	if len(content) == 0 || json.Unmarshal(content, &r) != nil {
		d.state.Skip(offset)
		return
	}
	counted := d.state.Apply(offset, r)
	if counted {
		d.counted(r, received)
	}
	d.afterApply(received)
}

func (d *Domain) counted(r work.Record, received time.Time) {
	switch {
	case r.Claim != nil:
		d.heard = received
		d.claimed(*r.Claim, received)
	case r.Batch != nil:
		d.heard = received
		d.committed(r.Batch, received)
	case r.Join != nil && r.Join.Member == d.cfg.Member:
		d.joined = received
	case r.Cancel != nil:
		d.stopJob(r.Cancel.Job)
	case r.Free != nil:
		d.heard = received
	}
}

func (d *Domain) afterApply(now time.Time) {
	if d.leadership != nil && (d.state.Leader != d.cfg.Member || d.state.Term != d.leadership.term) {
		d.endTerm("another instance leads")
	}
	fresh := d.state.TakeFresh()
	if d.leadership == nil {
		return
	}
	for _, ref := range fresh {
		d.enqueue(ref, now)
	}
	if len(fresh) > 0 {
		d.rouse()
	}
}

func (d *Domain) load(data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.state.Load(data); err != nil {
		return err
	}
	now := d.cfg.Now()
	d.heard = now
	if _, ok := d.state.Members[d.cfg.Member]; ok {
		d.joined = now
	}
	d.endTerm("the state was loaded anew")
	return nil
}

// Snapshot encodes the domain's state for a peer or the log.
func (d *Domain) Snapshot() ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Snapshot()
}

func (d *Domain) offset() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Offset
}

// logDown reports whether the log has not been read to its end for a while.
func (d *Domain) logDown(now time.Time) bool { return now.Sub(d.stream.Tail()) > downAfter }

// Status is the domain as this instance sees it.
type Status struct {
	Domain     string         `json:"domain"`
	Leader     string         `json:"leader"`
	Term       uint64         `json:"term"`
	Leading    bool           `json:"leading"`
	RightMS    int64          `json:"right-ms"` // how long this instance may still act as leader
	TailAgeMS  int64          `json:"log-read-age-ms"`
	Offset     int64          `json:"offset"`
	Waiting    int            `json:"waiting-tasks"`
	Running    int            `json:"running-tasks"`
	Jobs       map[string]int `json:"jobs"`
	Workers    []WorkerStatus `json:"workers"`
	MinionsOf  map[string]int `json:"minions-of"`
	ConfigSeen uint64         `json:"config-version-acted-on"`
}

// WorkerStatus is one worker as the leader sees it.
type WorkerStatus struct {
	Name  string    `json:"name"`
	State string    `json:"state"`
	Cap   work.Size `json:"capacity"`
	Used  work.Size `json:"used"`
	Tasks int       `json:"tasks"`
}

// Status gives the domain's figures at now.
func (d *Domain) Status(now time.Time) Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Status{
		Domain: d.cfg.Domain, Leader: d.state.LeaderName, Term: d.state.Term, Leading: d.leadership != nil,
		TailAgeMS: now.Sub(d.stream.Tail()).Milliseconds(), Offset: d.state.Offset,
		Jobs: map[string]int{}, MinionsOf: map[string]int{}, ConfigSeen: d.state.Config,
	}
	if d.leadership != nil {
		s.RightMS = max(d.leadership.right.End(d.cfg.Terms).Sub(now).Milliseconds(), 0)
	}
	for _, j := range d.state.Jobs {
		s.Jobs[j.State()]++
		s.Running += j.Assigned
		if j.Final == "" {
			s.Waiting += j.Left - j.Assigned
		}
	}
	for _, o := range d.state.Grants {
		s.MinionsOf[o.Instance]++
	}
	s.Workers = d.workerStatus()
	return s
}

func (d *Domain) workerStatus() []WorkerStatus {
	var out []WorkerStatus
	for _, n := range d.cfg.Nodes(member.KindWorker) {
		w := WorkerStatus{Name: n.Name, State: n.State, Cap: n.Cap, Used: d.state.Used[n.Name], Tasks: len(d.state.Placed[n.Name])}
		if d.leadership != nil {
			w.State = d.leadership.describe(n)
		}
		out = append(out, w)
	}
	return out
}

// Jobs gives copies of all remembered jobs, oldest first.
func (d *Domain) Jobs() []work.Job {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]work.Job, 0, len(d.state.Jobs))
	for _, j := range d.state.Jobs {
		c := *j
		c.Tasks = append([]work.Task(nil), j.Tasks...)
		out = append(out, c)
	}
	sort.Slice(out, func(i, k int) bool {
		if out[i].Order != out[k].Order {
			return out[i].Order < out[k].Order
		}
		return out[i].Spec.ID < out[k].Spec.ID
	})
	return out
}

// Job gives a copy of one job.
func (d *Domain) Job(id string) (work.Job, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j := d.state.Jobs[id]
	if j == nil {
		return work.Job{}, false
	}
	c := *j
	c.Tasks = append([]work.Task(nil), j.Tasks...)
	return c, true
}

// Ready reports whether the domain's state is known.
func (d *Domain) Ready() bool { return d.stream.Ready() }
