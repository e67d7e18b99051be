package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestFillingTasksThrottledUnderLoad runs a long-running task with a latency
// target beside filling tasks that make it slower. The long-running task must
// not exceed its target for long, and the filling tasks must still make
// progress. A leader that takes over has no record of the speed of the filling
// tasks and must set it.
func TestFillingTasksThrottledUnderLoad(t *testing.T) {
	const targetMs, baseTailMs = 100.0, 40.0
	// maxOverTarget is how long a long-running task may exceed its latency target
	// at a time: the users of the platform tolerate no more.
	const maxOverTarget = 4 * time.Second
	is := is.New(t)
	e := readyEngine(t, 1, flow.PlacementService{})
	longRunning := taskStep(1, 4000, 0)
	longRunning.LongRunning, longRunning.LatencyTargetMs = true, targetMs
	filling := taskStep(3, 4000, 600_000)
	filling.Filling = true
	jobs := []*flow.Job{{Spec: newJobSpec("serves", "q", longRunning)}, {Spec: newJobSpec("fills", "q", filling)}}
	for _, j := range jobs {
		e.AddJob(testTime(0), j)
	}
	percent := map[TaskID]int{}
	running := map[TaskID]int{}
	tail := func(ms int) float64 {
		addedMs := 40.0
		if ms > 20_000 {
			addedMs = 12 // later on the same tasks add less to the response times
		}
		tailMs := baseTailMs
		for _, p := range percent {
			tailMs += addedMs * float64(p) / 100
		}
		return tailMs
	}
	var overSince time.Time
	workedSeconds := 0.0
	for ms := 0; ms < 60_000; ms += 50 {
		now := testTime(ms)
		if ms == 40_000 {
			// Another leader takes over.
			is.True(percent[TaskID{Job: "fills"}] > 0)
			newLeader := readyEngine(t, 1, flow.PlacementService{})
			for _, j := range jobs {
				newLeader.AddJob(now, &flow.Job{Spec: j.Spec, Progress: j.Progress})
			}
			e = newLeader
		}
		e.Tick(now)
		e.Schedule(now)
		e.HandleCommit(now, e.Batch())
		for _, o := range e.TakeOutput().Orders {
			switch o.Kind {
			case OrderStart:
				running[o.Task] = o.Run
				if o.Task.Job == "fills" {
					percent[o.Task] = fullSpeedPercent
				}
				e.HandleStartAnswer(now, o, AnswerOK, 0)
			case OrderThrottle:
				percent[o.Task] = o.SpeedPercent
				e.HandleThrottleAnswer(o, AnswerOK)
			case OrderPoll:
				report := Report{Incarnation: 1, Clock: time.Second + time.Duration(ms)*time.Millisecond}
				for id, n := range running {
					entry := Running{Task: id, Run: n}
					if id.Job == "serves" {
						entry.Load = tail(ms)
					}
					report.Running = append(report.Running, entry)
				}
				e.HandlePollReport(now, o, report)
			}
		}
		if tail(ms) <= targetMs {
			overSince = time.Time{}
		} else if overSince.IsZero() {
			overSince = now
		}
		if !overSince.IsZero() && now.Sub(overSince) > maxOverTarget {
			t.Fatalf("at %d ms: long-running task over its latency target for %v, want no longer than maxOverTarget; speed of filling tasks in percent: %v", ms, now.Sub(overSince), percent)
		}
		for _, p := range percent {
			workedSeconds += float64(p) / 100 * 0.05
		}
	}
	is.Equal(len(percent), 3)
	// Three tasks at full speed would work 180 s in all. In the first third of
	// the time the latency target permits at most half of their speed.
	if workedSeconds < 60 {
		t.Errorf("filling tasks worked for %.0f s at full speed in all, want at least 60 s", workedSeconds)
	}
}
