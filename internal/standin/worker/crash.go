package worker

import "time"

// CommandCrash is the command of tasks that crash the worker soon after their
// start.
const CommandCrash = "crash"

const (
	crashDelay      = 300 * time.Millisecond // from the start of such a task to the crash
	defaultDowntime = 4 * time.Second        // from a crash until the worker answers again
)

// SetDowntime sets how long the worker is down after a crash.
func (w *Worker) SetDowntime(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.downtime = d
}

// Crashes returns how many times a task has crashed the worker.
func (w *Worker) Crashes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// crashIfDue crashes the worker if a task is due to crash it, and ends its
// downtime after a crash.
func (w *Worker) crashIfDue(now time.Time) {
	w.mu.Lock()
	crash := false
	for _, t := range w.tasks {
		crash = crash || !t.crashesAt.IsZero() && !now.Before(t.crashesAt)
	}
	restarted := !crash && !w.downUntil.IsZero() && !now.Before(w.downUntil)
	switch {
	case crash:
		w.crashes++
		w.downUntil = now.Add(w.downtime)
	case restarted:
		w.downUntil = time.Time{}
	}
	w.mu.Unlock()
	if crash {
		w.CallFaults.SetDown(true)
		w.Restart()
	}
	if restarted {
		w.CallFaults.SetDown(false)
	}
}
