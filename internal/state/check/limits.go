package check

import (
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/limit"
)

const (
	// minJobBytes is the length of the shortest job, {"steps":[{"count":1}]}.
	minJobBytes = 23
	// maxAnywhere is the largest body that the smallest budget for bodies admits, half
	// of the 8 MiB of package limit.
	maxAnywhere = 4 << 20
	// ticketMarginMs is by how much package sched uses a ticket for a shorter time
	// than it is valid.
	ticketMarginMs = 120
	// minQueryWorkers is the least number of workers that package sched names in a
	// call of the placement service, if the step needs as many.
	minQueryWorkers = 4
)

// checkBounds reports bounds of a queue that contradict each other.
func (k *checker) checkBounds(q *Queue, report func(s Severity, field, format string, args ...any)) {
	if q.Stretch >= 0 && q.Stretch < 1 {
		report(Warning, "stretch", "is %v: below 1 the objective is shorter than the job's longest chain of steps, and only the slack makes up for it", q.Stretch)
		if q.SlackMs == 0 && q.Stretch == 0 {
			report(Error, "slack-ms", "is 0 like the stretch: the objective is 0, so every job is late")
		}
	}
	switch {
	case q.MaxAttempts < 0:
		report(Error, "max-attempts", "is %d, must not be negative", q.MaxAttempts)
	case q.MaxAttempts == 0:
		report(Warning, "max-attempts", "is 0 and counts as 1: the first failed run fails the job")
	}
	query := q.CallMs + minQueryWorkers*q.PerWorkerMs
	switch {
	case q.TicketValidMs < 0:
	case q.TicketValidMs < 1 && (q.CallMs > 0 || q.PerWorkerMs > 0):
		report(Warning, "valid-ms", "is %v: tasks start without tickets, and the placement service is not called", q.TicketValidMs)
	case q.TicketValidMs < 1:
	case q.TicketValidMs <= ticketMarginMs:
		report(Error, "valid-ms", "is %v: a ticket is not used in its last %d ms, so no task can start", q.TicketValidMs, ticketMarginMs)
	case q.TicketValidMs-ticketMarginMs <= query:
		report(Warning, "valid-ms", "is %v: a call about %d workers takes %v ms, so the tickets of one call expire before the next one ends", q.TicketValidMs, minQueryWorkers, query)
	}
}

func (k *checker) checkLimits() {
	report := func(s Severity, field, format string, args ...any) {
		k.add(s, LimitsOf, -1, "", field, format, args...)
	}
	if p := k.Limits.MaxBodyBytes; p != nil {
		switch n := *p; {
		case n < 0:
			report(Error, "max-body-bytes", "is %d, must not be negative", n)
		case n == 0:
			report(Warning, "max-body-bytes", "is 0, which counts as not given: the default applies")
		case n < minJobBytes:
			report(Error, "max-body-bytes", "is %d: the shortest job has %d bytes, so every job is answered 413", n, minJobBytes)
		case n < minJobBytes+flow.MaxPayloadBytes:
			report(Warning, "max-body-bytes", "is %d: a job may have a payload of %d bytes, but one with more than the limit leaves is answered 413", n, flow.MaxPayloadBytes)
		case n > maxAnywhere:
			report(Warning, "max-body-bytes", "is %d: instances on the smallest machines admit at most %d bytes of bodies and answer 503", n, maxAnywhere)
		}
	}
	if p := k.Limits.MaxHeadBytes; p != nil {
		switch n := *p; {
		case n < 0:
			report(Error, "max-head-bytes", "is %d, must not be negative", n)
		case n == 0:
			report(Warning, "max-head-bytes", "is 0, which no request is below; instances use %d", limit.MaxHeadBytes)
		case n > limit.MaxHeadBytes:
			report(Warning, "max-head-bytes", "is %d, but instances refuse heads above %d", n, limit.MaxHeadBytes)
		}
	}
	checkTimeout(report, "head-timeout-ms", k.Limits.HeadTimeoutMs, limit.HeadTimeout.Milliseconds())
	checkTimeout(report, "idle-timeout-ms", k.Limits.IdleTimeoutMs, limit.IdleTimeout.Milliseconds())
}

// checkTimeout checks a time-out against the fixed one of the instances.
func checkTimeout(report func(s Severity, field, format string, args ...any), field string, ms *float64, fixed int64) {
	switch {
	case ms == nil:
	case *ms < 0:
		report(Error, field, "is %v, must not be negative", *ms)
	case *ms == 0:
		report(Warning, field, "is 0, which no client can keep; instances use %d", fixed)
	case *ms > float64(fixed):
		report(Warning, field, "is %v, but instances close the connection after %d ms", *ms, fixed)
	}
}
