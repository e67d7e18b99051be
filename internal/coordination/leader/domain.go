package leader

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
	"github.com/tamaracklink/tamaracklink/internal/coordination/stream"
	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/state/lease"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Timing of a domain's loop and of its stream.
const (
	tickInterval    = 20 * time.Millisecond
	maxReadWait     = 400 * time.Millisecond // of a read for new records
	readRetryDelay  = 100 * time.Millisecond // after a failed read
	logDownAfter    = 3 * maxReadWait        // time since the last read that reached the end, after which the log counts as down
	snapshotRecords = 5000                   // records after which a snapshot is due
	appendInterval  = 10 * time.Millisecond  // between two appends; the records in between share one
)

// StreamName returns the name of a failure domain's stream.
func StreamName(domain string) string { return "domain." + domain }

// Config configures a Domain. The functions, other than those that do I/O, may
// be called with the Domain's lock held and must not call the Domain.
type Config struct {
	Instance       string
	Member         string // unique to this incarnation of the instance
	Addr           string
	Domain         string
	LeaseDurations lease.Durations // the same for all instances of the domain
	BatchInterval  time.Duration   // shortest time between two batches
	RenewInterval  time.Duration   // longest time between two batches; at most half of the leader lease
	SnapshotAge    time.Duration   // age at which a snapshot is due; at most a quarter of the log's retention
	Log            ledger.Log
	Fetch          func(ctx context.Context) ([]byte, error) // returns a peer's snapshot; may be nil
	Instances      func(kind string) []member.Instance       // the platform's list of instances of a kind
	Peers          func() []member.Peer                      // the last heartbeats of other instances
	Model          func() (config.Model, uint64)             // the configuration and its version
	ConfigReady    func() bool                               // reports whether a version of the configuration is known
	Workers        WorkerCalls
	// OnTaskStart is called for each task whose assignment has taken effect, with
	// the time since its job was queued. It may be nil.
	OnTaskStart func(spec work.JobSpec, waited time.Duration)
	Now         func() time.Time
	Logger      zerolog.Logger
}

// Domain is one instance's replica of its failure domain's state and its part
// in leader election. It is safe for concurrent use.
type Domain struct {
	cfg    Config
	stream *stream.Stream
	done   chan struct{}
	wake   chan struct{}

	mu                 sync.Mutex // guards the fields below, except wg
	state              *work.State
	leadership         *leadership // nil unless this instance is the leader
	lastLeaderRecord   time.Time   // when the leader's last record was received
	formerLeaderRecord time.Time   // when the last record of the leader before the present one was received
	joinedAt           time.Time   // when this member's join record was read
	peerDiedAt         time.Time   // when a record was last read that marked a peer dead
	joinSentAt         time.Time   // when the last join record was sent
	noClaimBefore      time.Time   // promised to the leader: no claim before this time
	lastClaim          sentClaim
	startedAt          map[work.TaskRef]time.Time // start of each assigned task, of those that this instance has seen
	ownershipUntil     time.Time                  // promised by the leader: this member's minions are not assigned to others before
	leaving            bool
	wg                 *parts.Group // all goroutines of the domain
	ctx                context.Context
}

// New returns a domain without any state. Run must be called to read it.
func New(cfg Config) *Domain {
	d := &Domain{cfg: cfg, state: work.NewState(cfg.Domain), startedAt: map[work.TaskRef]time.Time{}, done: make(chan struct{}), wake: make(chan struct{}, 1), wg: parts.New()}
	sm := stream.StateMachine{Apply: d.apply, Snapshot: d.Snapshot, Load: d.load, Offset: d.offset, Fetch: cfg.Fetch}
	name := StreamName(cfg.Domain)
	d.stream = stream.New(stream.FollowerConfig{
		Stream: name, MaxReadWait: maxReadWait, RetryDelay: readRetryDelay, SnapshotRecords: snapshotRecords,
		SnapshotAge: cfg.SnapshotAge, Now: cfg.Now, Logger: cfg.Logger,
	}, appendInterval, cfg.Log, sm)
	return d
}

// Done returns a channel that is closed when Run has returned.
func (d *Domain) Done() <-chan struct{} { return d.done }

// Run follows the stream and takes part in leader election until ctx ends. It
// must be called once.
func (d *Domain) Run(ctx context.Context) {
	defer close(d.done)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	d.wg.Go(func() { d.takePart(ctx) })
	d.wg.Wait()
}

func (d *Domain) takePart(ctx context.Context) {
	wg := parts.New()
	wg.Go(func() { d.stream.Run(ctx) })
	wg.Go(func() { d.loop(ctx) })
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endTerm("the instance stops")
}

func (d *Domain) loop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
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
		d.leaderTick(now)
		return
	}
	d.join(now)
	d.tryClaim(now)
}

func (d *Domain) wakeLoop() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// apply applies one record of the domain's stream to the state.
func (d *Domain) apply(offset int64, content []byte, received time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var r work.Record
	if len(content) == 0 || json.Unmarshal(content, &r) != nil {
		d.state.Skip(offset)
		return
	}
	deadPeers := d.state.Membership().DeadPeers
	effective := d.state.Apply(offset, r)
	if d.state.Membership().DeadPeers > deadPeers {
		d.peerDiedAt = received
	}
	if effective {
		d.handleRecord(r, received)
	}
	d.afterApply(received)
}

// handleRecord acts on a record that has taken effect.
func (d *Domain) handleRecord(r work.Record, received time.Time) {
	switch {
	case r.Claim != nil:
		d.formerLeaderRecord, d.lastLeaderRecord = d.lastLeaderRecord, received
		d.handleClaim(*r.Claim, received)
	case r.Batch != nil:
		d.lastLeaderRecord = received
		d.recordStarts(r.Batch, received)
		d.handleBatch(r.Batch, received)
	case r.Join != nil && r.Join.ID == d.cfg.Member:
		d.joinedAt = received
	case r.Cancel != nil:
		d.stopUnwantedTasks(r.Cancel.Job)
	case r.Release != nil:
		d.lastLeaderRecord = received
	}
}

func (d *Domain) afterApply(now time.Time) {
	if d.leadership != nil && (d.state.Leader != d.cfg.Member || d.state.Term != d.leadership.term) {
		d.endTerm("another instance leads")
	}
	newlyPending := d.state.TakeNewlyPending()
	if d.leadership == nil {
		return
	}
	for _, ref := range newlyPending {
		d.enqueue(ref, now)
	}
	if len(newlyPending) > 0 {
		d.wakeLoop()
	}
}

func (d *Domain) load(data []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.state.Load(data); err != nil {
		return err
	}
	now := d.cfg.Now()
	clear(d.startedAt)
	d.lastLeaderRecord, d.peerDiedAt = now, now
	if _, ok := d.state.Members[d.cfg.Member]; ok {
		d.joinedAt = now
	}
	d.endTerm("the state was loaded anew")
	return nil
}

// Snapshot returns the encoded state of the domain, for a peer or for the log.
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

// logDown reports whether the last read that reached the end of the log is
// older than logDownAfter.
func (d *Domain) logDown(now time.Time) bool { return now.Sub(d.stream.CaughtUpAt()) > logDownAfter }

// Status is the state of the domain in this instance's replica.
type Status struct {
	Domain            string         `json:"domain"`
	Leader            string         `json:"leader"`
	Term              uint64         `json:"term"`
	Leading           bool           `json:"leading"`
	LeaderLeaseMS     int64          `json:"right-ms"` // remaining leader lease of this instance; 0 if it is not the leader
	LogReadAgeMS      int64          `json:"log-read-age-ms"`
	Offset            int64          `json:"offset"`
	PendingTasks      int            `json:"waiting-tasks"`
	RunningTasks      int            `json:"running-tasks"`
	Jobs              map[string]int `json:"jobs"`
	Workers           []WorkerStatus `json:"workers"`
	MinionsByInstance map[string]int `json:"minions-of"`
	ConfigVersion     uint64         `json:"config-version-acted-on"`
}

// WorkerStatus is the state of one worker. Unless this instance is the leader,
// State is the one in the platform's list.
type WorkerStatus struct {
	Name     string    `json:"name"`
	State    string    `json:"state"`
	Capacity work.Size `json:"capacity"`
	Used     work.Size `json:"used"`
	Tasks    int       `json:"tasks"`
}

// Status returns the status of the domain at now.
func (d *Domain) Status(now time.Time) Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := Status{
		Domain: d.cfg.Domain, Leader: d.state.LeaderInstance, Term: d.state.Term, Leading: d.leadership != nil,
		LogReadAgeMS: now.Sub(d.stream.CaughtUpAt()).Milliseconds(), Offset: d.state.Offset,
		Jobs: map[string]int{}, MinionsByInstance: map[string]int{}, ConfigVersion: d.state.ConfigVersion,
	}
	if d.leadership != nil {
		s.LeaderLeaseMS = max(d.leadership.leaderLease.Expiry(d.cfg.LeaseDurations).Sub(now).Milliseconds(), 0)
	}
	for _, j := range d.state.Jobs {
		s.Jobs[j.State()]++
		s.RunningTasks += j.Assigned
		if j.FinalState == "" {
			s.PendingTasks += j.Unfinished - j.Assigned
		}
	}
	for _, o := range d.state.MinionOwners {
		s.MinionsByInstance[o.Instance]++
	}
	s.Workers = d.workerStatus()
	return s
}

func (d *Domain) workerStatus() []WorkerStatus {
	var out []WorkerStatus
	for _, inst := range d.cfg.Instances(member.KindWorker) {
		w := WorkerStatus{Name: inst.Name, State: inst.State, Capacity: inst.Capacity, Used: d.state.UsedByWorker[inst.Name], Tasks: len(d.state.TasksByWorker[inst.Name])}
		if d.leadership != nil {
			w.State = d.leadership.workerState(inst)
		}
		out = append(out, w)
	}
	return out
}

// Jobs returns copies of all jobs in the state, including recently finished
// ones, oldest first.
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
		if out[i].CreatedOffset != out[k].CreatedOffset {
			return out[i].CreatedOffset < out[k].CreatedOffset
		}
		return out[i].Spec.ID < out[k].Spec.ID
	})
	return out
}

// Job returns a copy of one job, and false if the domain does not have it.
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

// Ready reports whether the domain holds a state that it has read from the log
// or from a peer.
func (d *Domain) Ready() bool { return d.stream.Ready() }
