package sched

import "os"

// trace logs the engine's events of the job that the environment variable
// TRACE_JOB names, and those of no job. It does nothing if the variable is not
// set.
func (s *sim) trace(evs []Event) {
	job := os.Getenv("TRACE_JOB")
	if job == "" {
		return
	}
	for _, e := range evs {
		if e.Task.Job == job || e.Task.Job == "" {
			s.t.Logf("%.3f term %d %s %v run %d %s %s", float64(s.now.UnixMilli()-1_700_000_000_000)/1000, s.term, e.Kind, e.Task, e.Run, e.Worker, e.Detail)
		}
	}
}
