package core

import (
	"math"
	"sort"
	"time"

	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/state/sched"
)

const (
	// statsInterval is the time between two log lines on the leader's state.
	statsInterval = time.Second
	// maxQueueLines bounds the log lines on queues in each statsInterval. The
	// metrics cover all queues.
	maxQueueLines = 8
	// passAverageWeight is the weight of a pass in averagePass, as a divisor.
	passAverageWeight = 16
)

// latencyMetrics are the names of the histograms, by sched.Latency.
var latencyMetrics = [...]string{
	sched.LatencyFirstPlacement: "step_first_placed_ms",
	sched.LatencyLastPlacement:  "step_all_placed_ms",
	sched.LatencyConfirmation:   "start_confirmed_ms",
	sched.LatencyEndRecord:      "end_recorded_ms",
	sched.LatencyQuery:          "placement_query_ms",
}

// passStats are figures of scheduling passes.
type passStats struct {
	count    int
	longest  time.Duration
	maxDelay time.Duration // longest delay of the loop before a pass
}

// schedule makes a scheduling pass and returns how long it took. The delay of the loop is
// the time since the loop should have woken up at the latest.
func (c *Core) schedule(now time.Time) time.Duration {
	delay := time.Duration(0)
	if !c.wakeAt.IsZero() {
		delay = max(now.Sub(c.wakeAt), 0)
	}
	began := c.settings.Now()
	c.engine.Schedule(now)
	took := c.settings.Now().Sub(began)
	c.settings.Meter.Observe("pass_ms", "", "", took)
	c.settings.Meter.Observe("loop_delay_ms", "", "", delay)
	average := time.Duration(c.averagePass.Load())
	c.averagePass.Store(int64(average + (took-average)/passAverageWeight))
	c.passes.count++
	c.passes.longest = max(c.passes.longest, took)
	c.passes.maxDelay = max(c.passes.maxDelay, delay)
	return took
}

// logStats logs the leader's state and its activity since the last call, and
// updates the metrics.
func (c *Core) logStats(now time.Time) {
	elapsed := now.Sub(c.lastStatsAt)
	passes := c.passes
	c.lastStatsAt, c.passes = now, passStats{}
	s, a := c.engine.Stats(now), c.engine.TakeActivity()
	busyQuick, busyLong := busyShare(a.QuickQueryTime, elapsed, s.Clients), busyShare(a.LongQueryTime, elapsed, s.LongQueryClients)
	for name, v := range map[string]float64{
		"live_jobs": float64(s.LiveJobs), "runs": float64(s.Runs), "crashed_runs": float64(s.CrashedRuns), "cpu_used": s.CPU.Used, "cpu_unconfirmed": s.CPU.Unconfirmed, "cpu_stopping": s.CPU.Stopping,
		"cpu_reserved": s.CPU.Reserved, "cpu_reserved_idle": s.CPU.ReservedIdle, "reserving_steps": float64(s.ReservingSteps),
		"stranded_jobs": float64(s.Stranded), "placement_clients": float64(s.Clients), "placement_busy_quick": busyQuick, "placement_busy_long": busyLong,
	} {
		c.settings.Meter.Gauge(name, v)
	}
	usedIn := zerolog.Dict()
	for service, used := range s.UsedByService {
		c.settings.Meter.Gauge("service_cpu_used", used, "service", service)
		usedIn.Float64(service, roundShare(used))
	}
	waitingIn := map[string]int{}
	waitingBefore := c.waitingQueues
	c.waitingQueues = nil
	for queue, w := range s.Waiting {
		waitingIn[queue] = w.Steps
		c.waitingQueues = append(c.waitingQueues, queue)
	}
	c.settings.Logger.Info().Int("jobs", s.Jobs).Int("live", s.LiveJobs).Int("waiting", s.PendingSteps).Int("waiting-late", s.LatePendingSteps).Int("stranded", s.Stranded).Str("stranded-job", s.StrandedJob).Interface("waiting-in", waitingIn).
		Int("runs", s.Runs).Int("stopping", s.Stopping).Int("unsure", s.UnansweredStarts).Int("crashed", s.CrashedRuns).Int("workers", s.Workers).Int("usable", s.Usable).
		Float64("cpu-used", roundShare(s.CPU.Used)).Dict("cpu-used-in", usedIn).Float64("cpu-unconfirmed", roundShare(s.CPU.Unconfirmed)).Float64("cpu-stopping", roundShare(s.CPU.Stopping)).
		Float64("cpu-reserved", roundShare(s.CPU.Reserved)).Float64("cpu-reserved-idle", roundShare(s.CPU.ReservedIdle)).Int("reserving", s.ReservingSteps).
		Int("asking", s.QueriesInFlight).Int("clients", s.Clients).Float64("busy-quick", roundShare(busyQuick)).Float64("busy-long", roundShare(busyLong)).
		Int("passes", passes.count).Int64("pass-max-ms", passes.longest.Milliseconds()).Int64("delay-max-ms", passes.maxDelay.Milliseconds()).
		Int64("term", c.election.term).Msg("leader: state")
	if customers := c.engine.Customers(now); customers != nil {
		c.logCustomers(customers)
	}
	for _, sample := range a.Samples {
		c.settings.Meter.Observe(latencyMetrics[sample.Latency], "", sample.Queue, sample.Took)
	}
	c.reportInterference(s, a)
	for i, queue := range reportedQueues(s.Waiting, a.Queues, waitingBefore) {
		w, qa := s.Waiting[queue], a.Queues[queue]
		if w == nil {
			w = &sched.QueueWaiting{}
		}
		if qa == nil {
			qa = &sched.QueueActivity{}
		}
		c.updateQueueMetrics(queue, w, qa)
		if i < maxQueueLines {
			c.logQueue(queue, w, qa)
		}
	}
}

// reportInterference logs the images that slow each other down most, if any are
// known, and updates the metrics of interference.
func (c *Core) reportInterference(s sched.Stats, a sched.Activity) {
	if s.PairsKnown == 0 {
		return
	}
	c.settings.Meter.Gauge("interference_pairs", float64(s.PairsKnown))
	c.settings.Meter.Count("interference_tasks_moved", "instance", c.settings.Instance, int64(a.TasksMoved))
	if len(s.Pairs) == 0 {
		return
	}
	top := zerolog.Arr()
	for _, p := range s.Pairs {
		top.Dict(zerolog.Dict().Str("image", p.Victim.Image).Str("beside", p.Other).Bool("batch", p.Victim.Batch).Float64("coefficient", roundShare(p.Coefficient)).Int("count", p.Count))
	}
	c.settings.Logger.Info().Array("top", top).Int("known", s.PairsKnown).Int("moved", a.TasksMoved).Int64("term", c.election.term).Msg("leader: interference")
}

// busyShare returns the share of the time of n clients that queries take.
func busyShare(queries, elapsed time.Duration, n int) float64 {
	if n == 0 || elapsed <= 0 {
		return 0
	}
	return float64(queries) / float64(elapsed) / float64(n)
}

func roundShare(x float64) float64 { return math.Round(x*100) / 100 }

// reportedQueues returns the names of the queues with pending steps, with
// activity, or with pending steps at the last report, the longest first.
func reportedQueues(waiting map[string]*sched.QueueWaiting, activity map[string]*sched.QueueActivity, before []string) []string {
	steps := map[string]int{}
	for _, q := range before {
		steps[q] = 0
	}
	for q := range activity {
		steps[q] = 0
	}
	for q, w := range waiting {
		steps[q] = w.Steps
	}
	names := make([]string, 0, len(steps))
	for q := range steps {
		names = append(names, q)
	}
	sort.Slice(names, func(i, k int) bool {
		if steps[names[i]] != steps[names[k]] {
			return steps[names[i]] > steps[names[k]]
		}
		return names[i] < names[k]
	})
	return names
}

func (c *Core) updateQueueMetrics(queue string, w *sched.QueueWaiting, a *sched.QueueActivity) {
	m := c.settings.Meter
	for r, n := range w.ByReason {
		m.Gauge("waiting_steps", float64(n), "queue", queue, "reason", sched.WaitReason(r).String())
	}
	m.Gauge("waiting_oldest_ms", float64(w.Oldest.Age.Milliseconds()), "queue", queue)
	for p, n := range a.Queries {
		m.Count("placement_queries_"+sched.QueryPurpose(p).String(), "queue", queue, int64(n))
	}
	for name, n := range map[string]int{
		"placement_workers_named": a.WorkersNamed, "placement_full_named": a.NamedFull, "placement_answers": a.Answers, "placement_failures": a.FailedQueries,
		"tickets_received": a.Tickets, "tickets_no_room": a.TicketsNoRoom, "tickets_reserved": a.TicketsReserved, "tickets_taken": a.TicketsTaken, "tickets_used": a.TicketsUsed, "tasks_placed": a.TasksPlaced,
	} {
		m.Count(name, "queue", queue, int64(n))
	}
}

func (c *Core) logQueue(queue string, w *sched.QueueWaiting, a *sched.QueueActivity) {
	waiting, queries, oldest := zerolog.Dict(), zerolog.Dict(), zerolog.Dict()
	if o := w.Oldest; o.Name != "" {
		oldest.Str("step", o.Name).Str("for", o.Reason.String()).Int64("age-ms", o.Age.Milliseconds()).Int("tasks", o.IdleTasks).Int("allowed", o.Permitted).Int("rejected", o.Rejected).Int("fit", o.Fit).Int("fit-valid", o.ValidFit)
	}
	w.EachReason(func(r sched.WaitReason, steps int) { waiting.Int(r.String(), steps) })
	for p, n := range a.Queries {
		queries.Int(sched.QueryPurpose(p).String(), n)
	}
	meanMs := func(l sched.Latency) int64 { return a.Latencies[l].Mean().Milliseconds() }
	c.settings.Logger.Info().Str("queue", queue).Int("waiting", w.Steps).Dict("for", waiting).Dict("oldest", oldest).
		Dict("queries", queries).Int("named", a.WorkersNamed).Int("named-full", a.NamedFull).Int("answers", a.Answers).Int("failed", a.FailedQueries).Int64("query-ms", meanMs(sched.LatencyQuery)).
		Int("tickets", a.Tickets).Int("no-room", a.TicketsNoRoom).Int("reserved", a.TicketsReserved).Int("taken", a.TicketsTaken).Int("used", a.TicketsUsed).
		Int("placed", a.TasksPlaced).Int64("first-placed-ms", meanMs(sched.LatencyFirstPlacement)).Int64("all-placed-ms", meanMs(sched.LatencyLastPlacement)).
		Int64("confirmed-ms", meanMs(sched.LatencyConfirmation)).Int64("recorded-ms", meanMs(sched.LatencyEndRecord)).Int64("term", c.election.term).Msg("leader: queue")
}

// logCustomers logs one line with the customers that have work, and updates their
// metrics.
func (c *Core) logCustomers(customers []sched.CustomerStats) {
	all := zerolog.Dict()
	for i := range customers {
		s := &customers[i]
		for name, v := range map[string]float64{
			"customer_runs": float64(s.Runs), "customer_share": s.Share, "customer_waiting": float64(s.WaitingSteps), "customer_waiting_beyond": float64(s.WaitingBeyond),
			"customer_waiting_quota": float64(s.WaitingQuota), "customer_jobs_beyond": float64(s.JobsBeyond), "customer_preempted": float64(s.Preempted), "customer_starts_dropped": float64(s.Dropped),
		} {
			c.settings.Meter.Gauge(name, v, "customer", s.Name)
		}
		if s.Runs == 0 && s.WaitingSteps == 0 {
			continue
		}
		all.Dict(s.Name, zerolog.Dict().Int("runs", s.Runs).Int("waiting", s.WaitingSteps).Int("waiting-beyond", s.WaitingBeyond).Int("waiting-quota", s.WaitingQuota).
			Stringer("running", s.Running).Stringer("quota", s.Quota).Float64("share", roundShare(s.Share)).Float64("fair", roundShare(s.FairShare)).
			Int("beyond", s.JobsBeyond).Int("preempted", s.Preempted).Int("dropped", s.Dropped))
	}
	c.settings.Logger.Info().Dict("customers", all).Int64("term", c.election.term).Msg("leader: customers")
}
