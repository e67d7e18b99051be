package sched

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/pairs"
)

// imageRig runs an engine with workers of which each reports once a second. The
// response times of tasks with a latency target depend on what runs beside them.
type imageRig struct {
	t       *testing.T
	e       *Engine
	ms      int
	running map[TaskID]*run
	polls   []Order            // to answer at the next full second
	effects map[string]float64 // log of the factor of response times per share of CPU, by image
	rng     *rand.Rand
}

func newImageRig(t *testing.T, workers int) *imageRig {
	return &imageRig{t: t, e: readyEngine(t, workers, flow.PlacementService{}), running: map[TaskID]*run{}, rng: rand.New(rand.NewPCG(1, 1)), effects: map[string]float64{"thrash": 4, "stream": 3}}
}

// imageStep returns a step with n tasks of an image: long-running ones with a
// latency target, or filling ones.
func imageStep(n int, image string, filling bool) flow.Step {
	st := taskStep(n, 6000, 3_600_000)
	st.Image, st.Filling = image, filling
	if !filling {
		st.EstimateMs, st.LongRunning, st.LatencyTargetMs, st.MaxPerWorker = 0, true, 100, 1
	}
	return st
}

func (rig *imageRig) submit(id string, st flow.Step) {
	rig.e.AddJob(testTime(rig.ms), &flow.Job{Spec: newJobSpec(id, "q", st)})
}

// workerOf returns the worker of the first task of a job.
func (rig *imageRig) workerOf(id string) string {
	return rig.e.jobs[id].Progress.Rounds[0].Steps[0][0].Worker
}

func (rig *imageRig) report(worker string) Report {
	report := Report{Incarnation: 1, Clock: time.Second + time.Duration(rig.ms)*time.Millisecond}
	for id, r := range rig.running {
		if r.worker.ID != worker {
			continue
		}
		entry := Running{Task: id, Run: r.number, Load: 6}
		if st := &r.job.Steps[id.Step]; st.LatencyTargetMs > 0 {
			log := -1.2 + 0.15*rig.rng.NormFloat64()
			for other, o := range rig.running {
				if o.worker.ID == worker {
					log += rig.effects[o.job.Steps[other.Step].Image] * 6 / 32
				}
			}
			entry.Load = float64(st.LatencyTargetMs) * math.Exp(log)
		}
		report.Running = append(report.Running, entry)
	}
	return report
}

// run advances the engine by whole seconds.
func (rig *imageRig) run(seconds int) {
	for end := rig.ms + 1000*seconds; rig.ms < end; rig.ms += 100 {
		now := testTime(rig.ms)
		rig.e.Tick(now)
		rig.e.Schedule(now)
		rig.e.HandleCommit(now, rig.e.Batch())
		for _, o := range rig.e.TakeOutput().Orders {
			switch o.Kind {
			case OrderStart:
				rig.running[o.Task] = rig.e.findRun(o)
				rig.e.HandleStartAnswer(now, o, AnswerOK, 0)
			case OrderStop:
				delete(rig.running, o.Task)
				rig.e.HandleStopAnswer(now, o, AnswerOK, 0)
			case OrderThrottle:
				rig.e.HandleThrottleAnswer(o, AnswerOK)
			case OrderPoll:
				rig.polls = append(rig.polls, o)
			}
		}
		if rig.ms%1000 == 0 {
			for _, o := range rig.polls {
				rig.e.HandlePollReport(now, o, rig.report(o.Worker))
			}
			rig.polls = nil
		}
	}
}

// learn runs servers on all of 4 workers beside changing filling tasks, until
// each worker has reported 47 times.
func (rig *imageRig) learn() {
	rig.submit("servers", imageStep(4, "server", false))
	rig.run(2)
	images := []string{"thrash", "stream", "calm"}
	for i := range 15 {
		rig.submit(fmt.Sprintf("fill%d", i), imageStep(1, images[i%3], true))
		rig.e.Cancel(testTime(rig.ms), fmt.Sprintf("fill%d", i-4))
		rig.run(3)
	}
}

// TestInterferingImagesAreKeptApart guards against interference that is not
// found within 50 reports of each worker, that does not change placement, that
// makes work wait or that a new leader has to learn again.
func TestInterferingImagesAreKeptApart(t *testing.T) {
	is := is.New(t)
	rig := newImageRig(t, 4)
	rig.learn()
	top := rig.e.Stats(testTime(rig.ms)).Pairs
	is.Equal(len(top), 2) // thrash and stream
	for _, p := range top {
		is.True(p.Victim == pairs.Victim{Image: "server"} && p.Other != "calm")
	}

	// Servers fill half of 8 workers under a new leader, which has what is stored.
	data, err := json.Marshal(rig.e.Estimates())
	is.NoErr(err)
	for _, known := range []bool{true, false} {
		next := newImageRig(t, 8)
		next.ms = rig.ms
		var estimates Estimates
		if known {
			is.NoErr(json.Unmarshal(data, &estimates))
		}
		next.e.RestoreEstimates(estimates)
		next.submit("servers", imageStep(4, "server", false))
		next.run(1)
		serves := map[string]bool{}
		for _, task := range next.e.jobs["servers"].Progress.Rounds[0].Steps[0] {
			serves[task.Worker] = true
		}
		next.submit("thrash", imageStep(1, "thrash", true))
		next.submit("calm", imageStep(1, "calm", true))
		next.run(1)
		is.Equal(serves[next.workerOf("thrash")], !known) // the fullest worker is preferred otherwise
		is.True(serves[next.workerOf("calm")])
		is.Equal(next.e.TakeActivity().TasksMoved > 0, known)

		// The other direction: a server keeps away from what hurts it.
		hurt := next.workerOf("thrash")
		another := imageStep(1, "server", false)
		another.Size.CPU = 30_000 // fits only where no server runs
		next.submit("another", another)
		next.run(1)
		is.True(next.workerOf("another") != hurt || !known)
	}

	// With servers on all workers it is placed beside one at once.
	rig.submit("late", imageStep(1, "thrash", true))
	rig.run(1)
	is.True(rig.workerOf("late") != "")

	// When the disturbance has ended, it is forgotten.
	rig.effects = nil
	rig.run(90)
	for _, p := range rig.e.Stats(testTime(rig.ms)).Pairs {
		is.True(p.Other != "thrash")
	}
}

// TestCauseIsThrottledFirst guards against harmless filling tasks that are slowed
// down for the effect of another image.
func TestCauseIsThrottledFirst(t *testing.T) {
	is := is.New(t)
	rig := newImageRig(t, 1)
	rig.e.pairs.Restore(&pairs.State{Images: []string{"server", "thrash", "calm"}, Pairs: []pairs.StoredPair{
		{Victim: 0, Other: 1, Coefficient: 4, Deviation: 0.3, Count: 50, SeenMs: testTime(rig.ms).UnixMilli()},
		{Victim: 0, Other: 2, Deviation: 0.3, Count: 50, SeenMs: testTime(rig.ms).UnixMilli()},
	}})
	rig.submit("server", imageStep(1, "server", false))
	rig.submit("calm", imageStep(1, "calm", true))
	rig.run(2)
	rig.effects["thrash"] = 10
	rig.submit("thrash", imageStep(1, "thrash", true))
	rig.run(2)
	thrash, calm := rig.running[TaskID{Job: "thrash"}], rig.running[TaskID{Job: "calm"}]
	is.True(thrash.speedPercent < fullSpeedPercent)
	is.Equal(calm.speedPercent, fullSpeedPercent)
	rig.run(4) // the load stays high in this rig, whatever the speed
	is.Equal(thrash.speedPercent, 0)
	is.Equal(calm.speedPercent, 0)
}

// playBatch runs short tasks of two images for a minute on workers that are a
// third to half full, one of them slow, with estimates that are off by a factor
// of up to two. A task takes effect times as long if the other image runs beside
// it when it starts. It returns the mean run time in ms in the second half.
func playBatch(t *testing.T, effect float64, withImages bool) (meanMs float64, e *Engine) {
	s := newSim(t, 3, 6)
	s.workers["w00"].speed = 0.4
	sum, n := 0.0, 0.0
	s.stretch = func(w *simWorker, r *simRun, runTime time.Duration) time.Duration {
		for id := range w.runs {
			if id.Job[0] != r.id.Job[0] {
				runTime = time.Duration(float64(runTime) * effect)
				break
			}
		}
		if s.now.Sub(s.engine.startedAt) > 30*time.Second {
			sum, n = sum+float64(runTime.Milliseconds()), n+1
		}
		return runTime
	}
	s.run(time.Second)
	for i := range 240 {
		for _, image := range []string{"x", "y"} {
			st := taskStep(4, 4000, 500)
			if withImages {
				st.Image = image
			}
			spec := newJobSpec(fmt.Sprintf("%s%d", image, i), "q2", st)
			s.stepWork[spec.ID] = jobWork{steps: []time.Duration{time.Duration(500*math.Exp(0.4*s.rng.NormFloat64())) * time.Millisecond}, uneven: 0.1}
			s.submit(spec)
		}
		s.run(250 * time.Millisecond)
	}
	is.New(t).Equal(s.violations, nil)
	return sum / n, s.engine
}

// TestInterferingBatchTasksRunFaster guards against batch tasks that go on to
// slow each other down although there is room to keep them apart, against slow
// workers and wrong estimates that are learned as interference, and against
// images in the stored estimates where no job has one.
func TestInterferingBatchTasksRunFaster(t *testing.T) {
	is := is.New(t)
	without, plain := playBatch(t, 1.6, false)
	with, learned := playBatch(t, 1.6, true)
	_, harmless := playBatch(t, 1, true)
	t.Logf("mean run time %.0f ms without images, %.0f ms with", without, with)
	is.True(with < 0.9*without)
	is.True(len(learned.Stats(testTime(0)).Pairs) > 0)
	is.Equal(len(harmless.Stats(testTime(0)).Pairs), 0)
	data, err := json.Marshal(plain.Estimates())
	is.NoErr(err)
	is.True(!strings.Contains(string(data), "pairs"))
}
