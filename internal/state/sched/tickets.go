package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Bounds of questions to the placement service.
const (
	maxQueryWorkers = 30 // workers named in one call; the objective of a job counts one such call a step
	minQueryWorkers = 4
	// maxNamingCostShare is the share of a call's fixed time that naming further workers
	// may add: a second call would cost all of it.
	maxNamingCostShare = 0.25
	// queryTimeoutSlack is what a call may take beyond its computed time.
	queryTimeoutSlack = 400 * time.Millisecond
	// slowQueryThreshold is the time beyond which an answer is logged.
	slowQueryThreshold = 200 * time.Millisecond
	// ticketExpiryMargin is left of a ticket's validity for the start to travel.
	ticketExpiryMargin = 120 * time.Millisecond
	// maxShortCall tells short calls, for which a third of the callers is kept free,
	// from long ones.
	maxShortCall = 30 * time.Millisecond
	// maxShortCallWait and maxLongCallWait are the longest waits at a caller that short and
	// long calls join: a ticket that comes late is of no use.
	maxShortCallWait = 300 * time.Millisecond
	maxLongCallWait  = 60 * time.Millisecond
	// queryRetryPause follows a call that failed, for its step.
	queryRetryPause = 100 * time.Millisecond
	// probeRetryPause is the pause between two probes of a caller that failed, doubled
	// with each further failure up to maxProbeRetryPause.
	probeRetryPause    = 200 * time.Millisecond
	maxProbeRetryPause = time.Second
)

// stepPlacement is what is known of the placement of one step.
type stepPlacement struct {
	tickets        map[string]ticket
	rejected       map[string]bool
	querying       bool
	queriedAt      time.Time
	queriedBy      *placementClient
	nextQuery      time.Time
	reservedOn     []*worker // room is kept there for the step
	nextPreemption time.Time // tasks of lower priority may be stopped again
}

type ticket struct {
	value       string
	incarnation int64
	expires     time.Time
}

// placementClient is an instance that asks the placement service for the leader.
type placementClient struct {
	name      string
	busyUntil time.Time               // when its calls under way should be answered
	inFlight  map[*stepPlacement]bool // under way
	// healthy says that its newest call or probe was answered. Steps wait only for
	// callers that are well; the others are probed.
	healthy   bool
	failures  int // in a row
	probing   bool
	nextProbe time.Time
}

// SetCallers names the instances that can ask the placement service; own is the
// leader's.
func (e *Engine) SetCallers(own string, names []string) {
	present := map[string]bool{}
	for _, n := range names {
		present[n] = true
		if e.clients[n] == nil {
			e.clients[n] = &placementClient{name: n, inFlight: map[*stepPlacement]bool{}, healthy: n == own}
		}
	}
	e.clientsByName = e.clientsByName[:0]
	for n, c := range e.clients {
		if !present[n] {
			delete(e.clients, n)
			continue
		}
		e.clientsByName = append(e.clientsByName, c)
	}
	sort.Slice(e.clientsByName, func(i, k int) bool { return e.clientsByName[i].name < e.clientsByName[k].name })
}

func (j *job) stepPlacement(round, step int) *stepPlacement {
	if j.placements[round] == nil {
		j.placements[round] = map[int]*stepPlacement{}
	}
	sp := j.placements[round][step]
	if sp == nil {
		sp = &stepPlacement{tickets: map[string]ticket{}, rejected: map[string]bool{}}
		j.placements[round][step] = sp
	}
	return sp
}

// pickClient picks the instance whose answer to a call of that length comes first,
// or nil if none is worth waiting for. Some are kept free of long calls.
func (e *Engine) pickClient(now time.Time, duration time.Duration) *placementClient {
	healthy := make([]*placementClient, 0, len(e.clientsByName))
	for _, c := range e.clientsByName {
		if c.healthy {
			healthy = append(healthy, c)
		}
	}
	wait := maxShortCallWait
	if duration > maxShortCall {
		healthy, wait = healthy[(len(healthy)+1)/3:], maxLongCallWait
	}
	var best *placementClient
	for _, c := range healthy {
		if best == nil || c.busyUntil.Before(best.busyUntil) {
			best = c
		}
	}
	if best == nil || best.busyUntil.Sub(now) > wait {
		return nil
	}
	return best
}

// query sends a question about a step and reports whether it could.
func (e *Engine) query(now time.Time, j *job, round, step int, advice flow.Advice, workers []string) bool {
	sp := j.stepPlacement(round, step)
	if sp.querying || now.Before(sp.nextQuery) || len(workers) == 0 {
		return false
	}
	duration := callDuration(advice, len(workers))
	c := e.pickClient(now, duration)
	if c == nil {
		return false
	}
	if c.busyUntil.Before(now) {
		c.busyUntil = now
	}
	c.busyUntil = c.busyUntil.Add(duration)
	c.inFlight[sp] = true
	sp.querying, sp.queriedAt, sp.queriedBy = true, now, c
	e.out.Asks = append(e.out.Asks, Ask{
		Caller: c.name, Job: j.ID, Round: round, Step: step, Workers: workers, Wait: c.busyUntil.Sub(now) + queryTimeoutSlack,
		Quick: duration <= maxShortCall,
	})
	return true
}

// affordableQueryWorkers gives how many workers a call names at least.
func affordableQueryWorkers(advice flow.Advice) int {
	if advice.WorkerMs <= 0 {
		return maxQueryWorkers
	}
	return max(minQueryWorkers, min(maxQueryWorkers, int(maxNamingCostShare*advice.CallMs/advice.WorkerMs)))
}

// callDuration gives how long a call about n workers takes.
func callDuration(advice flow.Advice, n int) time.Duration {
	return time.Duration((advice.CallMs + advice.WorkerMs*float64(n)) * float64(time.Millisecond))
}

// Advised takes the answer of the placement service: a ticket for each worker
// that may run the step. ok is false if there was no answer.
func (e *Engine) Advised(now time.Time, q Ask, tickets map[string]string, valid time.Duration, ok bool) {
	j := e.jobs[q.Job]
	if j == nil || j.placements == nil || j.placements[q.Round] == nil || j.placements[q.Round][q.Step] == nil {
		e.handleCallResult(now, q.Caller, nil, ok)
		return
	}
	sp := j.stepPlacement(q.Round, q.Step)
	e.handleCallResult(now, q.Caller, sp, ok)
	id := TaskID{Job: q.Job, Round: q.Round, Step: q.Step}
	if !ok {
		sp.nextQuery = now.Add(queryRetryPause)
		e.addEvent("advice-failed", id, 0, q.Caller, "", now.Sub(sp.queriedAt))
		return
	}
	stats := e.queueStats(j.Queue)
	for _, w := range q.Workers {
		e.recordAdvice(sp, stats, w, tickets, now.Add(valid-ticketExpiryMargin))
	}
	if age := now.Sub(sp.queriedAt); age > slowQueryThreshold {
		e.addEvent("advised", id, 0, q.Caller, "", age)
	}
}

// handleCallResult notes whether a caller answered the call about a step. All steps
// that wait for a caller that does not are asked about elsewhere.
func (e *Engine) handleCallResult(now time.Time, name string, sp *stepPlacement, ok bool) {
	c := e.clients[name]
	if sp != nil && (sp.queriedBy == nil || sp.queriedBy == c || sp.queriedBy.name == name) {
		sp.querying, sp.queriedBy = false, nil
	}
	if c == nil {
		return
	}
	delete(c.inFlight, sp)
	if ok {
		c.healthy, c.failures = true, 0
		if len(c.inFlight) == 0 {
			c.busyUntil = now
		}
		return
	}
	e.handleClientFailure(now, c)
}

func (e *Engine) handleClientFailure(now time.Time, c *placementClient) {
	c.healthy = false
	c.nextProbe = now.Add(min(probeRetryPause<<min(c.failures, 4), maxProbeRetryPause))
	c.failures++
	for sp := range c.inFlight {
		if sp.queriedBy == c {
			sp.querying, sp.queriedBy = false, nil
		}
	}
	clear(c.inFlight)
	c.busyUntil = now
}

// probeClients asks how those callers are that are not known to be well.
func (e *Engine) probeClients(now time.Time) {
	for _, c := range e.clientsByName {
		if !c.healthy && !c.probing && !now.Before(c.nextProbe) {
			c.probing = true
			e.out.Probes = append(e.out.Probes, c.name)
		}
	}
}

// Probed takes the answer to a probe.
func (e *Engine) Probed(now time.Time, name string, ok bool) {
	c := e.clients[name]
	if c == nil {
		return
	}
	c.probing = false
	if !ok {
		e.handleClientFailure(now, c)
		return
	}
	if !c.healthy {
		e.addEvent("caller-well", TaskID{}, 0, name, "", 0)
	}
	c.healthy, c.failures = true, 0
}

// recordAdvice takes the answer about one worker; only the first one about it says
// something of the queue.
func (e *Engine) recordAdvice(sp *stepPlacement, stats *QueueStats, id string, tickets map[string]string, expires time.Time) {
	_, wasAllowed := sp.tickets[id]
	first := !wasAllowed && !sp.rejected[id]
	value, allowed := tickets[id]
	w := e.workers[id]
	switch {
	case allowed && w != nil:
		sp.tickets[id] = ticket{value: value, incarnation: w.lastIncarnation, expires: expires}
	case !allowed:
		sp.rejected[id] = true
	}
	if !first {
		return
	}
	share := 0.0
	if allowed {
		share = 1
	}
	stats.Allowed += queueSampleWeight * (share - stats.Allowed)
}

func (e *Engine) invalidateTicket(r *run) {
	if m := r.job.placements[r.id.Round]; m != nil && m[r.id.Step] != nil {
		if t, ok := m[r.id.Step].tickets[r.worker.ID]; ok {
			t.expires = time.Time{}
			m[r.id.Step].tickets[r.worker.ID] = t
		}
	}
}
