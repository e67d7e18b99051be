package sched

import (
	"sort"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/pairs"
	"github.com/tamaracklink/tamaracklink/internal/state/share"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Stats are figures of the leader's state, for logs and metrics.
type Stats struct {
	Jobs             int // known jobs
	LiveJobs         int // jobs that have not ended or still have runs
	PendingSteps     int // steps with tasks that may start, without those of jobs in a pause after a refused start
	LatePendingSteps int // pending steps that are past their objective
	// Stranded is the number of jobs that have not ended and have neither a pending
	// step, nor a run, nor a round to come, and StrandedJob the ID of the oldest.
	// There are none unless the engine has lost track of a job.
	Stranded    int
	StrandedJob string
	// Waiting describes the pending steps by queue, without queues that have
	// none, and includes jobs in a pause after a refused start.
	Waiting          map[string]*QueueWaiting
	Runs             int // runs that are not known to have ended
	Stopping         int // runs that are being stopped
	Workers          int // listed workers
	Usable           int // workers on which tasks may start
	CPU              CPUShares
	UsedByService    map[string]float64 // share of the usable workers' CPU that runs use, by service
	ReservingSteps   int                // steps with unexpired reservations
	QueriesInFlight  int                // queries to the placement service that are not answered yet
	Clients          int                // healthy placement clients
	LongQueryClients int                // those of them that get long queries
	UnansweredStarts int                // runs whose start was not answered
	Pairs            []pairs.Pair       // the pairs of images with the largest known interference
	PairsKnown       int                // pairs of images of which observations are held
	CrashedRuns      int                // runs of this term under which a worker has certainly crashed
}

// CPUShares are shares of the usable workers' CPU.
type CPUShares struct {
	Used        float64 // used by runs
	Unconfirmed float64 // used by runs that are placed and whose workers have not confirmed them
	Stopping    float64 // used by runs that are being stopped
	Reserved    float64 // reserved for pending steps, also where runs still use it
	// ReservedIdle is the part of Reserved that no run uses.
	ReservedIdle float64
}

// Stats returns the figures as of now.
func (e *Engine) Stats(now time.Time) Stats {
	s := Stats{Jobs: len(e.jobs), LiveJobs: len(e.liveJobs), CrashedRuns: e.crashedRuns, Pairs: e.pairs.Top(now, topPairs), PairsKnown: e.pairs.Len()}
	pending := e.pendingSteps(now)
	s.PendingSteps = len(pending)
	for _, ps := range pending {
		if ps.lateness > 0 {
			s.LatePendingSteps++
		}
	}
	s.Waiting = e.waitingByQueue(now, pending)
	s.Stranded, s.StrandedJob = e.strandedJobs()
	var sums cpuSums
	reserving := map[TaskID]bool{}
	for _, w := range e.workersByID {
		s.Runs += len(w.runs)
		for _, r := range w.runs {
			if r.stopReason != "" {
				s.Stopping++
			}
			if r.startUnanswered {
				s.UnansweredStarts++
			}
		}
		if w.listed {
			s.Workers++
		}
		if w.usable(now) {
			s.Usable++
			sums.add(now, w, reserving)
		}
	}
	s.CPU, s.ReservingSteps = sums.shares(), len(reserving)
	s.UsedByService = map[string]float64{}
	for name, u := range e.findServices(now) {
		s.UsedByService[name] = share.Fraction(u.usedCPU, u.cpu)
	}
	for _, c := range e.clients {
		s.QueriesInFlight += len(c.inFlight)
		if c.healthy {
			s.Clients++
		}
	}
	s.LongQueryClients = s.Clients - e.quickOnlyClients(now, s.Clients)
	return s
}

// strandedJobs returns the number of stranded jobs and the ID of the oldest. It
// must be called after pendingSteps.
func (e *Engine) strandedJobs() (n int, oldest string) {
	seq := 0
	for j := range e.liveJobs {
		if j.State.Final() || len(j.runs) > 0 || e.pendingJobs[j] || e.jobsWithFutureRounds[j] {
			continue
		}
		if n == 0 || j.seq < seq {
			seq, oldest = j.seq, j.ID
		}
		n++
	}
	return n, oldest
}

// cpuSums are amounts of CPU of usable workers, in thousandths of a core.
type cpuSums struct{ capacity, used, unconfirmed, stopping, reserved, reservedIdle int64 }

// add adds the amounts of a worker, and the steps with reservations on it to
// reserving.
func (s *cpuSums) add(now time.Time, w *worker, reserving map[TaskID]bool) {
	s.capacity += w.Capacity.CPU
	s.used += w.used.CPU
	for _, r := range w.runs {
		switch {
		case r.stopReason != "":
			s.stopping += r.size.CPU
		case !r.confirmed:
			s.unconfirmed += r.size.CPU
		}
	}
	var reserved int64
	for _, res := range w.reservations {
		if now.Before(res.expires) {
			reserved += res.size.CPU
			reserving[res.step] = true
		}
	}
	s.reserved += reserved
	s.reservedIdle += min(reserved, max(w.Capacity.CPU-w.used.CPU, 0))
}

func (s *cpuSums) shares() CPUShares {
	if s.capacity == 0 {
		return CPUShares{}
	}
	share := func(amount int64) float64 { return float64(amount) / float64(s.capacity) }
	return CPUShares{Used: share(s.used), Unconfirmed: share(s.unconfirmed), Stopping: share(s.stopping), Reserved: share(s.reserved), ReservedIdle: share(s.reservedIdle)}
}

// CustomerStats are figures of one customer's work.
type CustomerStats struct {
	Name          string    // empty for the jobs without a customer
	Runs          int       // runs that are not known to have ended
	Running       work.Size // their declared sizes
	Quota         work.Size // bound on Running in the configuration; 0 in a resource if there is none
	Share         float64   // dominant share of all workers
	FairShare     float64   // share of all workers by the customer's weight
	WaitingSteps  int
	WaitingBeyond int // waiting steps of jobs beyond the customer's weight
	WaitingQuota  int // waiting steps of which the quota lets no task start
	JobsBeyond    int // jobs beyond the customer's weight that this term has added
	Preempted     int // runs preempted in this term
	Dropped       int // starts dropped in this term because the quota was lowered or not known
}

// Customers returns the figures of the customers that are in the configuration or
// have runs or waiting steps, by name. It returns nil if customers are off.
func (e *Engine) Customers(now time.Time) []CustomerStats {
	if !e.customersOn() {
		return nil
	}
	stats := map[*account]*CustomerStats{}
	for _, a := range e.accounts {
		stats[a] = &CustomerStats{
			Name: a.Name, Runs: a.runs, Running: a.used, Quota: a.MaxRunning, Share: share.Dominant(a.used, e.capacity), FairShare: e.fairShare(a),
			JobsBeyond: a.activity.jobsBeyond, Preempted: a.activity.preempted, Dropped: a.activity.dropped,
		}
	}
	for _, ps := range e.pendingSteps(now) {
		s := stats[ps.job.account]
		s.WaitingSteps++
		if ps.beyond {
			s.WaitingBeyond++
		}
		if e.quotaFit(now, ps, len(ps.idleTasks), work.Size{}) == 0 {
			s.WaitingQuota++
		}
	}
	var list []CustomerStats
	for a, s := range stats {
		if a.listed || s.Runs > 0 || s.WaitingSteps > 0 {
			list = append(list, *s)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	return list
}
