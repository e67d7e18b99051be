package leader

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/member"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Timing of the calls to a worker.
const (
	maxInventoryWait      = 15 * time.Second // for the inventory to change
	fullInventoryInterval = 2 * time.Minute  // longest time between two full inventories
	syncTimeoutMargin     = 2 * time.Second  // beyond the wait that the request asks for
	syncRetryDelay        = 200 * time.Millisecond
	serviceReplaceDelay   = 3 * time.Second // time without an answer after which services are started elsewhere
)

// workerSession is the leader's state of one worker and of its sync loop.
type workerSession struct {
	name             string
	addr             string
	live             bool      // by the platform's list
	leaving          bool      // by the platform's list
	synced           bool      // it has reported to this leader what it runs, and has answered since
	unreachableSince time.Time // since when synced is unset; not used while it is set
	incarnation      string
	ackedEnd         uint64          // ends up to this number are in the log
	inventoryVersion uint64          // 0 asks for the full inventory
	fullInventoryAt  time.Time       // when the last full inventory was received
	answeredAt       time.Time       // when it last answered; at first the time of the former leader's last record
	expiredEarly     map[string]bool // jobs with attempts that expired early since it last answered
	leasesRenewedAt  time.Time       // when the last renewal or start was sent; at first the start of the term
	lastDeclared     work.Size       // declared sizes of what ran on it at the last inventory
	starts           map[work.TaskRef]*startStatus
	cancel           context.CancelFunc
}

// startStatus is the state of one attempt's start.
type startStatus struct {
	attempt    int
	inFlight   bool      // a call is in progress
	answered   bool      // the worker has acknowledged the start or has reported the attempt
	returnedAt time.Time // when the last call returned
}

// trackStart returns the start status of the attempt. It replaces that of an
// earlier attempt.
func (ws *workerSession) trackStart(ref work.TaskRef, attempt int) *startStatus {
	s := ws.starts[ref]
	if s == nil || s.attempt != attempt {
		s = &startStatus{attempt: attempt}
		ws.starts[ref] = s
	}
	return s
}

func (d *Domain) newSession(inst member.Instance, now time.Time) *workerSession {
	l := d.leadership
	ctx, cancel := context.WithCancel(l.ctx)
	ws := &workerSession{name: inst.Name, addr: inst.Addr, unreachableSince: now, answeredAt: d.formerLeaderRecord, expiredEarly: map[string]bool{}, leasesRenewedAt: l.startedAt, starts: map[work.TaskRef]*startStatus{}, cancel: cancel}
	for ref, p := range d.state.TasksByWorker[inst.Name] {
		// An earlier leader may have sent the start; the worker's inventory shows it.
		ws.trackStart(ref, p.Attempt)
	}
	l.sessions[inst.Name] = ws
	d.wg.Go(func() { d.syncLoop(ctx, l, ws) })
	return ws
}

func (d *Domain) syncLoop(ctx context.Context, l *leadership, ws *workerSession) {
	for ctx.Err() == nil {
		req, addr, sentAt := d.nextSyncRequest(l, ws)
		if addr == "" {
			sleep(ctx, syncRetryDelay)
			continue
		}
		c, cancel := context.WithTimeout(ctx, req.Wait+syncTimeoutMargin)
		reply, err := d.cfg.Workers.Sync(c, addr, req)
		cancel()
		d.mu.Lock()
		if d.leadership == l {
			d.handleSyncReply(ws, reply, err, sentAt)
		}
		d.mu.Unlock()
		if err != nil {
			sleep(ctx, syncRetryDelay)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// nextSyncRequest returns the next request to a worker, its address and the
// sending time. Leases are renewed and ends acknowledged only under the leader
// lease: without it another leader may have assigned attempts that this one does
// not know, whose ends it would take for recorded. Leases are not renewed on a
// worker that does not answer, so that they expire.
func (d *Domain) nextSyncRequest(l *leadership, ws *workerSession) (SyncRequest, string, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	req := SyncRequest{KnownVersion: ws.inventoryVersion}
	mayAct := d.mayAct(l, now)
	if mayAct {
		req.AckedEnd = ws.ackedEnd
	}
	if !ws.synced {
		req.KnownVersion = 0
		return req, ws.addr, now // no wait: the full inventory is needed at once
	}
	req.Wait = min(maxInventoryWait, d.cfg.LeaseDurations.TaskLease/4)
	if d.hasEarlyAttempts(ws) {
		req.Wait = min(req.Wait, earlySyncWait)
	}
	if now.Sub(ws.fullInventoryAt) > fullInventoryInterval {
		req.KnownVersion = 0
	}
	if !mayAct {
		return req, ws.addr, now
	}
	req.Renew = len(d.state.TasksByWorker[ws.name]) > 0
	if req.Renew {
		ws.leasesRenewedAt = now
	}
	return req, ws.addr, now
}

// handleSyncReply processes a worker's reply to the request that was sent at
// sentAt. After an error the worker must report its full inventory before it
// gets new work.
func (d *Domain) handleSyncReply(ws *workerSession, reply SyncReply, err error, sentAt time.Time) {
	now := d.cfg.Now()
	if err != nil {
		if ws.synced {
			d.cfg.Logger.Warn().Err(err).Str("worker", ws.name).Msg("leader: worker does not answer")
			ws.unreachableSince = now
		}
		ws.synced = false
		return
	}
	first := ws.incarnation == ""
	restarted := !first && ws.incarnation != reply.Incarnation
	if restarted {
		ws.ackedEnd = 0
	}
	if reply.Unchanged {
		ws.synced = true
		ws.answeredAt = now
		return
	}
	ws.fullInventoryAt = now
	ws.incarnation = reply.Incarnation
	ws.inventoryVersion = reply.Version
	ws.synced = true
	d.handleEnded(ws, reply, now)
	d.reconcileInventory(ws, reply, sentAt, func(ref work.TaskRef) bool {
		return restarted || first && d.assignedToFormer(ref, reply.Incarnation)
	})
	ws.answeredAt = now
	clear(ws.expiredEarly)
	d.wakeLoop()
}

// handleEnded queues the ends that the log does not have yet, and acknowledges
// those that it has. Acknowledgements are cumulative, so an end is acknowledged
// only after all ends before it.
func (d *Domain) handleEnded(ws *workerSession, reply SyncReply, now time.Time) {
	allRecorded := true
	for _, e := range reply.Ended {
		a := work.Assign{Task: e.Task, Attempt: e.Attempt.Attempt, Worker: ws.name}
		if !d.state.IsCurrent(a) {
			if allRecorded {
				ws.ackedEnd = max(ws.ackedEnd, e.EndNumber)
			}
			continue
		}
		// The attempt is current until its end has taken effect. A later reply
		// that lists the end again leads to the acknowledgement.
		allRecorded = false
		d.queueEnd(ws, e, now)
	}
}

// queueEnd queues the end of an attempt for the next batch and attributes a
// failure to the worker or to the job.
func (d *Domain) queueEnd(ws *workerSession, e EndedTask, now time.Time) {
	l := d.leadership
	if _, queued := l.unrecordedEnds[e.Task]; queued || d.pendingBatchEnds(e.Attempt) {
		return
	}
	j := d.state.Jobs[e.Task.Job]
	outcome := e.Outcome
	switch outcome {
	case work.OutcomeDone:
		l.attribution.TaskSucceeded(ws.name, e.Task.Job)
	case work.OutcomeFailed:
		l.attribution.TaskFailed(ws.name, e.Task.Job, now)
		if l.attribution.WorkerQuarantined(ws.name) {
			outcome = work.OutcomeLost // a failure caused by the worker does not use up the job's retries
		}
	default:
		l.attribution.ProbeInconclusive(ws.name)
	}
	if j.Spec.Kind == work.KindService && outcome == work.OutcomeDone {
		outcome = work.OutcomeFailed
	}
	l.unrecordedEnds[e.Task] = work.End{Task: e.Task, Attempt: e.Attempt.Attempt, Outcome: outcome}
}

// pendingBatchEnds reports whether the pending batch contains the attempt's
// end.
func (d *Domain) pendingBatchEnds(a Attempt) bool {
	p := d.leadership.pendingBatch
	if p == nil {
		return false
	}
	for _, e := range p.batch.End {
		if e.Task == a.Task && e.Attempt == a.Attempt {
			return true
		}
	}
	return false
}

// reconcileInventory compares a worker's inventory with the tasks assigned to
// it. It starts and stops tasks so that they match, and reports to the engine
// what the worker uses. It also stops the services on a worker that is leaving;
// exclusive tasks continue there.
func (d *Domain) reconcileInventory(ws *workerSession, reply SyncReply, sentAt time.Time, restarted func(work.TaskRef) bool) {
	assigned := d.state.TasksByWorker[ws.name]
	reported := map[work.TaskRef]bool{}
	var unrecorded work.Size
	var unwanted []Attempt
	for _, t := range reply.Running {
		p, ok := assigned[t.Task]
		if !ok || p.Attempt != t.Attempt.Attempt {
			unrecorded = unrecorded.Add(t.Size)
			unwanted = append(unwanted, t.Attempt)
			continue
		}
		reported[t.Task] = true
		j := d.state.Jobs[t.Task.Job]
		s := ws.trackStart(t.Task, p.Attempt)
		s.answered = true
		if !j.ShouldRun(t.Task.Index) || ws.leaving && !j.Exclusive() {
			unwanted = append(unwanted, t.Attempt)
		}
	}
	for _, t := range reply.Ended {
		reported[t.Task] = true
	}
	toStart, toStop := d.classifyMissing(ws, reported, sentAt, restarted)
	unwanted = append(unwanted, toStop...)
	w := d.leadership.engine.Worker(ws.name)
	declared := w.Allocated.Add(unrecorded)
	d.leadership.engine.ReportUsage(ws.name, unrecorded, reply.Usage, declared.Max(ws.lastDeclared))
	ws.lastDeclared = declared
	if len(toStart) > 0 {
		d.startTasks(ws, toStart, d.cfg.Now())
	}
	if len(unwanted) > 0 {
		d.stopAttempts(ws, unwanted)
	}
}

// classifyMissing decides about the tasks that are assigned to the worker but
// not in its inventory. An attempt is lost if the worker has restarted under it, or if
// its start was acknowledged before the request was sent. Otherwise it is
// started again, or stopped if it is no longer wanted, so that a start that
// arrives late has no effect. Nothing is done yet about a start in flight, nor
// about a wanted attempt whose start was acknowledged after the request was
// sent.
func (d *Domain) classifyMissing(ws *workerSession, reported map[work.TaskRef]bool, sentAt time.Time, restarted func(work.TaskRef) bool) (toStart []work.TaskRef, toStop []Attempt) {
	soleJob := d.soleEarlyJob(ws, restarted)
	for ref, p := range d.state.TasksByWorker[ws.name] {
		if reported[ref] {
			continue
		}
		j := d.state.Jobs[ref.Job]
		s := ws.trackStart(ref, p.Attempt)
		switch {
		case s.inFlight:
		case restarted(ref):
			early := d.isEarly(ws, ref)
			d.queueLost(ws, work.End{Task: ref, Attempt: p.Attempt, Early: early, Crashed: early && ref.Job == soleJob})
		case s.answered && sentAt.After(s.returnedAt):
			d.queueLost(ws, work.End{Task: ref, Attempt: p.Attempt})
		case !j.ShouldRun(ref.Index):
			toStop = append(toStop, Attempt{ref, p.Attempt})
		case !s.answered:
			toStart = append(toStart, ref)
		}
	}
	return toStart, toStop
}

// queueLost queues the end of an attempt as lost. The attempt must certainly
// have ended, or belong to a service.
func (d *Domain) queueLost(ws *workerSession, e work.End) {
	l := d.leadership
	if _, queued := l.unrecordedEnds[e.Task]; queued || d.pendingBatchEnds(Attempt{e.Task, e.Attempt}) {
		return
	}
	e.Outcome = work.OutcomeLost
	l.unrecordedEnds[e.Task] = e
	if e.Early {
		d.logEarlyLoss(ws, e)
	}
}

// expireAttempts ends the attempts on workers that don't answer: those of
// exclusive jobs once their leases have certainly expired, those of services
// already after serviceReplaceDelay, because a second copy of a service does
// little harm.
func (d *Domain) expireAttempts(now time.Time) {
	for _, ws := range d.leadership.sessions {
		if ws.synced {
			continue
		}
		leasesExpired := !now.Before(ws.leasesRenewedAt.Add(d.cfg.LeaseDurations.TaskLease + d.cfg.LeaseDurations.Margin))
		unresponsive := now.Sub(ws.unreachableSince) > serviceReplaceDelay
		if !leasesExpired && !unresponsive {
			continue
		}
		for ref, p := range d.state.TasksByWorker[ws.name] {
			exclusive := d.state.Jobs[ref.Job].Exclusive()
			if exclusive && leasesExpired || !exclusive && unresponsive {
				early := d.isEarly(ws, ref)
				if early {
					ws.expiredEarly[ref.Job] = true
				}
				d.queueLost(ws, work.End{Task: ref, Attempt: p.Attempt, Early: early})
			}
		}
	}
}
