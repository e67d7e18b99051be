package sched

import (
	"slices"
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// Bounds of queries to the placement service.
const (
	// maxQueryWorkers bounds the number of workers named in one query. The
	// objective of a job allows for one query of this size per step.
	// minQueryWorkers is the least number of new workers that a query names, if
	// as many with free capacity are left.
	maxQueryWorkers = 30
	minQueryWorkers = 4
	// minGangQueries and clientsPerGangQuery bound the queries about a gang that
	// are in flight at the same time: to one for each clientsPerGangQuery clients
	// that get long queries, and minGangQueries at least. All workers of a gang need
	// valid tickets at the same time, and consecutive queries may take longer than a
	// ticket is valid.
	minGangQueries      = 3
	clientsPerGangQuery = 8
	// gangFitMargin is how many times the tasks of a gang are expected to fit on the
	// workers that are queried for it. A gang needs room for all its tasks, and
	// about every second query finds less than the mean; another one takes as long
	// again.
	gangFitMargin = 1.6
	// maxNamingCostShare is the share of a query's fixed time that naming more
	// workers than needed may add to it. A second query would cost the whole
	// fixed time.
	maxNamingCostShare = 0.25
	// queryTimeoutSlack is the time that a query may last beyond its computed
	// duration.
	queryTimeoutSlack = 400 * time.Millisecond
	// slowQueryThreshold is the time beyond which an answered query is reported
	// as an event.
	slowQueryThreshold = 200 * time.Millisecond
	// ticketExpiryMargin is subtracted from the validity of a ticket, so that
	// the start reaches the worker in time.
	ticketExpiryMargin = 120 * time.Millisecond
	// maxQuickQuery is the longest computed duration of a quick query. Some of the
	// clients get no longer ones; see quickOnlyClients.
	maxQuickQuery = 30 * time.Millisecond
	// maxQuickQueryWait and maxLongQueryWait are the longest waits for a client's
	// earlier queries that a quick or a long query accepts: a ticket that comes
	// late is of no use.
	maxQuickQueryWait = 300 * time.Millisecond
	maxLongQueryWait  = 60 * time.Millisecond
	// queryRetryPause is the pause after a failed query until its step is
	// queried again.
	queryRetryPause = 100 * time.Millisecond
	// minSearchPause is the shortest pause after a search for workers to query that
	// found none, because a search may look at all workers. Each pending step adds
	// searchPausePerStep, so that the searches of a backlog take no more of the
	// leader's processor than those of a few steps.
	minSearchPause     = 100 * time.Millisecond
	searchPausePerStep = 5 * time.Millisecond
	// probeRetryPause is the pause before a client that failed is probed. It
	// doubles with each further failure up to maxProbeRetryPause.
	probeRetryPause    = 200 * time.Millisecond
	maxProbeRetryPause = time.Second
)

// stepPlacement is the state of the placement of one step of a round.
type stepPlacement struct {
	tickets           map[string]ticket         // by ID of the worker, expired ones included
	rejected          map[string]bool           // IDs of workers that may not run the step
	queriedBy         map[*placementClient]bool // clients with a query about the step in flight, one each
	queriedAt         time.Time                 // when the newest queries were sent
	purpose           QueryPurpose              // of the newest queries
	lackedRoomAt      time.Time                 // when a pass last found no room for the step, a gang that may get some
	nextQuery         time.Time                 // earliest time of the next query
	nextSearch        time.Time                 // earliest time of the next search for workers to query
	nextEvaluation    time.Time                 // earliest time of the next evaluation, see reevaluationPause
	softReservedOn    []*worker                 // workers with a soft reservation for the step
	reservedOn        []*worker                 // workers with a reservation for the step
	reservedUntil     time.Time                 // when these expire
	reservedPartially bool                      // the step is a gang, and they were too few for it
	firmUntil         time.Time                 // until when they keep capacity also from steps that have waited long
	nextFirm          time.Time                 // earliest time of the next check whether a partial reservation may be firm
	nextPreemption    time.Time                 // earliest time of the next preemption for the step
	lastFailure       time.Time                 // when the end of a failed run of the step was last reported
	runTimes          []runTime                 // of first runs that ended as done
}

// ticket permits a step to run on one worker.
type ticket struct {
	value       string
	incarnation int64 // of the worker when the ticket arrived
	expires     time.Time
	used        bool // a task has been placed with it
}

// placementClient is an instance that queries the placement service for the
// leader.
type placementClient struct {
	name      string
	busyUntil time.Time                        // when its queries in flight should be answered
	inFlight  map[*stepPlacement]queryInFlight // its queries in flight, by step
	// healthy means that its newest query or probe was answered. Only healthy
	// clients get queries; the others are probed.
	healthy   bool
	failures  int // failed queries and probes in a row
	probing   bool
	nextProbe time.Time
}

// queryInFlight is a query that a placement client has not answered yet.
type queryInFlight struct {
	queue string
	quick bool
}

// SetPlacementClients sets the instances that can query the placement service.
// own is the leader's instance, the only one that counts as healthy before it
// has answered.
func (e *Engine) SetPlacementClients(own string, names []string) {
	present := map[string]bool{}
	for _, n := range names {
		present[n] = true
		if e.clients[n] == nil {
			e.clients[n] = &placementClient{name: n, inFlight: map[*stepPlacement]queryInFlight{}, healthy: n == own}
		}
	}
	e.clientsByName = e.clientsByName[:0]
	for n, c := range e.clients {
		if !present[n] {
			for sp := range c.inFlight {
				delete(sp.queriedBy, c)
			}
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
		sp = &stepPlacement{tickets: map[string]ticket{}, rejected: map[string]bool{}, queriedBy: map[*placementClient]bool{}}
		j.placements[round][step] = sp
	}
	return sp
}

// pickClient returns the client that should answer a query of that duration
// first, or nil if the wait would be too long at every healthy client. Long
// queries use only a part of the clients, so that quick ones find a free one,
// and no more than the queue's share while other queues need clients. The
// clients in exclude are not picked.
func (e *Engine) pickClient(now time.Time, queue string, duration time.Duration, exclude map[*placementClient]bool) *placementClient {
	healthy := make([]*placementClient, 0, len(e.clientsByName))
	for _, c := range e.clientsByName {
		if c.healthy {
			healthy = append(healthy, c)
		}
	}
	wait := maxQuickQueryWait
	long := duration > maxQuickQuery
	if long {
		healthy, wait = healthy[e.quickOnlyClients(now, len(healthy)):], maxLongQueryWait
	}
	var best *placementClient
	for _, c := range healthy {
		if !exclude[c] && (best == nil || c.busyUntil.Before(best.busyUntil)) {
			best = c
		}
	}
	if best == nil || best.busyUntil.Sub(now) > wait || (long && e.exceedsClientShare(now, queue, len(healthy))) {
		return nil
	}
	return best
}

// query emits queries about a step and the named workers, each about up to
// maxQueryWorkers of them through another client, and returns the workers that
// are named in a query. It emits none while a query about the step is in flight
// or during the pause after a failed one, and no more than there are clients
// that answer soon.
func (e *Engine) query(now time.Time, j *job, round, step int, service flow.PlacementService, workers []string) (named []string) {
	sp := j.stepPlacement(round, step)
	if len(sp.queriedBy) > 0 || now.Before(sp.nextQuery) {
		return nil
	}
	for part := range slices.Chunk(workers, maxQueryWorkers) {
		duration := queryDuration(service, len(part))
		c := e.pickClient(now, j.Queue, duration, sp.queriedBy)
		if c == nil {
			if len(named) == 0 && duration > maxQuickQuery {
				e.noteClientDenied(now, j.Queue)
			}
			break
		}
		if c.busyUntil.Before(now) {
			c.busyUntil = now
		}
		c.busyUntil = c.busyUntil.Add(duration)
		quick := duration <= maxQuickQuery
		if quick {
			e.demand.addQuickQuery(now, duration)
		}
		c.inFlight[sp] = queryInFlight{queue: j.Queue, quick: quick}
		sp.queriedBy[c], sp.queriedAt = true, now
		var full []string
		sp.purpose, full = e.recordQuery(now, j, TaskID{Job: j.ID, Round: round, Step: step}, sp, part, duration)
		e.output.Queries = append(e.output.Queries, PlacementQuery{
			Client: c.name, Job: j.ID, Round: round, Step: step, Workers: part, ReplyTimeout: c.busyUntil.Sub(now) + queryTimeoutSlack,
			Quick: quick, Queue: j.Queue, SentAt: now, full: full, placement: sp,
		})
		named = append(named, part...)
	}
	return named
}

// affordableQueryWorkers returns how many workers a query should name even if
// fewer suffice: as many as add little to its duration, and minQueryWorkers at
// least.
func affordableQueryWorkers(service flow.PlacementService) int {
	if service.PerWorkerMs <= 0 {
		return maxQueryWorkers
	}
	return max(minQueryWorkers, int(min(maxQueryWorkers, maxNamingCostShare*service.CallMs/service.PerWorkerMs)))
}

// queryDuration returns the computed duration of a query about n workers.
func queryDuration(service flow.PlacementService, n int) time.Duration {
	return time.Duration((service.CallMs + service.PerWorkerMs*float64(n)) * float64(time.Millisecond))
}

// HandleQueryResult handles the answer of the placement service to query q: a
// ticket, by the worker's ID, for each named worker that may run the step.
// valid is how long the tickets are valid from now. ok is false if there was no
// answer.
func (e *Engine) HandleQueryResult(now time.Time, q PlacementQuery, tickets map[string]string, valid time.Duration, ok bool) {
	e.recordQueryResult(now, &q, tickets, ok)
	sp := q.placement
	e.recordClientResult(now, q.Client, sp, ok)
	id := TaskID{Job: q.Job, Round: q.Round, Step: q.Step}
	if len(sp.queriedBy) == 0 {
		sp.releaseSoftReservations(id)
	}
	j := e.jobs[q.Job]
	if j == nil || j.placements[q.Round][q.Step] != sp {
		return // the step is done or its job has ended
	}
	sp.nextEvaluation = time.Time{}
	if !ok {
		sp.nextQuery = now.Add(queryRetryPause)
		e.addEvent("advice-failed", id, 0, q.Client, "", now.Sub(sp.queriedAt))
		return
	}
	estimates := e.ensureQueueEstimates(j.Queue)
	for _, w := range q.Workers {
		e.recordWorkerPermission(sp, estimates, w, tickets, now.Add(valid-ticketExpiryMargin))
	}
	if age := now.Sub(sp.queriedAt); age > slowQueryThreshold {
		e.addEvent("advised", id, 0, q.Client, "", age)
	}
}

// recordClientResult records whether a client answered its query about a step.
// If it did not, all steps for which it has queries in flight may be queried
// through other clients.
func (e *Engine) recordClientResult(now time.Time, name string, sp *stepPlacement, ok bool) {
	c := e.clients[name]
	if c == nil {
		return
	}
	delete(c.inFlight, sp)
	delete(sp.queriedBy, c)
	if ok {
		c.healthy, c.failures = true, 0
		if len(c.inFlight) == 0 {
			c.busyUntil = now
		}
		return
	}
	e.handleClientFailure(now, c)
}

// handleClientFailure marks a client as unhealthy, schedules its next probe and
// releases the steps of its queries in flight, so that they are queried
// elsewhere.
func (e *Engine) handleClientFailure(now time.Time, c *placementClient) {
	c.healthy = false
	c.nextProbe = now.Add(min(probeRetryPause<<min(c.failures, 4), maxProbeRetryPause))
	c.failures++
	for sp := range c.inFlight {
		delete(sp.queriedBy, c)
	}
	clear(c.inFlight)
	c.busyUntil = now
}

// probeClients emits probes of the unhealthy clients for which one is due.
func (e *Engine) probeClients(now time.Time) {
	for _, c := range e.clientsByName {
		if !c.healthy && !c.probing && !now.Before(c.nextProbe) {
			c.probing = true
			e.output.Probes = append(e.output.Probes, c.name)
		}
	}
}

// HandleProbeResult handles the result of a probe of the named client. ok is
// false if the client did not answer.
func (e *Engine) HandleProbeResult(now time.Time, name string, ok bool) {
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

// recordWorkerPermission records the answer about one worker. Only the first
// answer about a worker counts for the queue's estimated share of allowed
// workers.
func (e *Engine) recordWorkerPermission(sp *stepPlacement, estimates *QueueEstimates, id string, tickets map[string]string, expires time.Time) {
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
	estimates.AllowedShare += queueSampleWeight * (share - estimates.AllowedShare)
}

// invalidateTicket marks the ticket of a run as expired. Its worker still
// counts as allowed, and a new ticket is requested before the next start there.
func (e *Engine) invalidateTicket(r *run) {
	if m := r.job.placements[r.id.Round]; m != nil && m[r.id.Step] != nil {
		if t, ok := m[r.id.Step].tickets[r.worker.ID]; ok {
			t.expires = time.Time{}
			m[r.id.Step].tickets[r.worker.ID] = t
		}
	}
}
