package place

import (
	"time"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// Bounds of the attribution of failures.
const (
	jobsToQuarantineWorker = 3 // distinct jobs that fail on a worker, without a success between, before it is quarantined
	workersToExcludeJob    = 3 // distinct workers on which a job fails, without a success between, before it is excluded
	firstProbeDelay        = 5 * time.Second
	maxProbeDelay          = 5 * time.Minute
	maxCounterparts        = 64 // distinct jobs or workers remembered in one failureRecord
)

// FailureAttribution attributes the failures of tasks to workers or to jobs. It
// distinguishes a worker on which tasks of every job fail from a job whose tasks
// fail on every worker: it counts the distinct jobs that fail on one worker and
// the distinct workers on which one job fails. A worker at fault is quarantined
// and a job at fault is excluded from placement; both are probed with growing
// delays and return after a success. FailureAttribution is not safe for
// concurrent use.
type FailureAttribution struct {
	workers map[string]*failureRecord
	jobs    map[string]*failureRecord
}

// failureRecord counts the failures of one worker or one job since its last
// success.
type failureRecord struct {
	counterparts map[string]bool // jobs that failed on the worker, or workers on which the job failed
	atFault      bool
	nextProbe    time.Time // earliest time of the next probe
	probeDelay   time.Duration
	probeTask    string // task that probes the worker, as JOB#INDEX; "" when none does
}

// NewFailureAttribution returns a FailureAttribution without failures.
func NewFailureAttribution() *FailureAttribution {
	return &FailureAttribution{workers: map[string]*failureRecord{}, jobs: map[string]*failureRecord{}}
}

// TaskSucceeded records that a task of the job succeeded on the worker. It
// removes the failures of both and ends a quarantine of the worker and an
// exclusion of the job.
func (a *FailureAttribution) TaskSucceeded(worker, job string) {
	delete(a.workers, worker)
	delete(a.jobs, job)
}

// TaskFailed records that a task of the job failed on the worker. A failure of a
// job that is at fault itself does not count against the worker, and a failure on
// a worker that is at fault does not count against the job.
func (a *FailureAttribution) TaskFailed(worker, job string, now time.Time) {
	w := recordFor(a.workers, worker)
	j := recordFor(a.jobs, job)
	w.probeTask = ""
	wasAtFault := w.atFault
	if !j.atFault {
		w.addFailure(job, jobsToQuarantineWorker, now)
	}
	if wasAtFault {
		w.scheduleProbe(now) // the probe has failed, also if the job is at fault
	}
	if !wasAtFault && !w.atFault {
		j.addFailure(worker, workersToExcludeJob, now)
	}
	if j.atFault {
		a.discountJob(job)
	}
	if w.atFault && !wasAtFault {
		a.discountWorker(worker)
	}
}

// ForgetJob drops the failures of a job that has ended.
func (a *FailureAttribution) ForgetJob(job string) { delete(a.jobs, job) }

// WorkerQuarantined reports whether the worker is quarantined.
func (a *FailureAttribution) WorkerQuarantined(worker string) bool {
	w := a.workers[worker]
	return w != nil && w.atFault
}

// JobExcluded reports whether the job is excluded because it fails on whichever
// worker it is tried, and from when on it may be tried again.
func (a *FailureAttribution) JobExcluded(job string) (time.Time, bool) {
	j := a.jobs[job]
	if j == nil || !j.atFault {
		return time.Time{}, false
	}
	return j.nextProbe, true
}

// ProbeDue reports whether a quarantined worker may get one task that probes
// whether it has recovered: no probe runs there and its delay has passed.
func (a *FailureAttribution) ProbeDue(worker string, now time.Time) bool {
	w := a.workers[worker]
	return w != nil && w.atFault && w.probeTask == "" && !now.Before(w.nextProbe)
}

// ProbeStarted records which task probes the worker.
func (a *FailureAttribution) ProbeStarted(worker string, ref work.TaskRef) {
	if w := a.workers[worker]; w != nil {
		w.probeTask = ref.String()
	}
}

// ProbeInconclusive records that the worker's probe ended neither in success nor
// in failure. The worker may be probed again at once.
func (a *FailureAttribution) ProbeInconclusive(worker string) {
	if w := a.workers[worker]; w != nil {
		w.probeTask = ""
	}
}

func recordFor(m map[string]*failureRecord, name string) *failureRecord {
	r := m[name]
	if r == nil {
		r = &failureRecord{counterparts: map[string]bool{}}
		m[name] = r
	}
	return r
}

// addFailure counts a failure with the counterpart. The record's owner is at
// fault from limit distinct counterparts on.
func (r *failureRecord) addFailure(counterpart string, limit int, now time.Time) {
	if len(r.counterparts) < maxCounterparts {
		r.counterparts[counterpart] = true
	}
	if len(r.counterparts) < limit || r.atFault && now.Before(r.nextProbe) {
		return // tasks that fail at the same time must double the delay only once
	}
	r.atFault = true
	r.scheduleProbe(now)
}

// scheduleProbe sets the time of the next probe. The delay doubles each time up
// to maxProbeDelay. A probe that is not due yet stays as it is.
func (r *failureRecord) scheduleProbe(now time.Time) {
	if now.Before(r.nextProbe) {
		return
	}
	r.probeDelay = min(max(2*r.probeDelay, firstProbeDelay), maxProbeDelay)
	r.nextProbe = now.Add(r.probeDelay)
}

// discountJob removes the failures of a job at fault from the workers' records.
// A worker whose remaining failures are too few leaves quarantine.
func (a *FailureAttribution) discountJob(job string) {
	for _, w := range a.workers {
		delete(w.counterparts, job)
		if w.atFault && len(w.counterparts) < jobsToQuarantineWorker {
			w.atFault = false
		}
	}
}

// discountWorker removes the failures on a worker at fault from the jobs'
// records.
func (a *FailureAttribution) discountWorker(worker string) {
	for _, j := range a.jobs {
		delete(j.counterparts, worker)
	}
}
