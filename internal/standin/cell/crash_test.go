package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/standin/worker"
	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/world"
)

// crashes returns how many times tasks have crashed workers.
func crashes(w *world.Simulation) int {
	n := 0
	for _, v := range w.Workers {
		n += v.Crashes()
	}
	return n
}

// TestTaskThatCrashesItsWorkersIsGivenUp guards against a task that crashes one
// worker after the other, since a crash leaves no result that counts against the
// job's retries.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	cases := []struct {
		name     string
		kind     string
		tasks    int
		downtime time.Duration
		limit    int // of crashes
		after    func(w *world.Simulation)
	}{
		{"batch", work.KindBatch, 1, 4 * time.Second, 2, nil},
		{"gang", work.KindGang, 4, 4 * time.Second, 2, nil},
		{"down-beyond-the-lease", work.KindBatch, 1, 40 * time.Second, 5, nil},
		{"leader-killed-between", work.KindBatch, 1, 4 * time.Second, 2, func(w *world.Simulation) {
			w.Kill(w.Leader("sfax"))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			world.Run(t, oneDomain, func(w *world.Simulation) {
				is := is.NewRelaxed(w.T)
				for _, v := range w.Workers {
					v.SetDowntime(c.downtime)
				}
				job := work.JobSpec{ID: "deadly", Kind: c.kind, Tasks: c.tasks, RunMs: 20000, Retries: 100, Size: work.Size{CPU: 16000, Memory: 1024}, Command: worker.CommandCrash}
				is.Equal(w.Submit("sfax-e1", job), 200)
				if c.after != nil {
					w.WaitUntil(10*time.Second, "a worker has crashed", func() bool { return crashes(w) > 0 })
					time.Sleep(7 * time.Second) // the crash is recorded
					c.after(w)
				}
				w.WaitUntil(5*time.Minute, "the job has failed", func() bool { return w.JobState(w.Instances()[0].Name, "deadly") == work.JobFailed })
				perStart := 1
				if c.kind == work.KindGang {
					perStart = 2 // the tasks of a gang occupy two workers
				}
				is.True(crashes(w) <= c.limit*perStart) // crashes
				w.T.Logf("%d crashes", crashes(w))
			})
		})
	}
}

// TestServiceThatCrashesItsWorkersBacksOff guards against a replica that crashes
// worker after worker as fast as they return.
func TestServiceThatCrashesItsWorkersBacksOff(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		service := `{"services":{"desk":{"tenant":"red","domain":"sfax","class":"normal","replicas":1,"size":{"cpu-milli":1000,"memory-mib":64,"accelerators":0},"command":%q}}}`
		code, _ := w.Patch("sfax-e1", "p1", 1, fmt.Sprintf(service, worker.CommandCrash))
		is.Equal(code, 200)
		time.Sleep(11 * time.Minute)
		w.T.Logf("%d crashes", crashes(w))
		is.True(crashes(w) >= 4) // it is tried again
		is.True(crashes(w) <= 8) // pauses of 10 s, doubled up to 5 minutes
	})
}

// TestTasksBesideCrashingOnesAreDone guards against tasks that are given up
// because other tasks crashed the workers under them.
func TestTasksBesideCrashingOnesAreDone(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		deadly := batch("deadly", 2, 20*time.Second)
		deadly.Command = worker.CommandCrash
		gang := work.JobSpec{ID: "gang", Kind: work.KindGang, Tasks: 4, RunMs: 5000, Retries: 3, Size: work.Size{CPU: 4000, Memory: 1024}}
		is.Equal(w.Submit("sfax-e1", batch("before", 4, 5*time.Second)), 200)
		is.Equal(w.Submit("sfax-e1", deadly), 200)
		is.Equal(w.Submit("sfax-e1", batch("after", 12, 5*time.Second)), 200)
		is.Equal(w.Submit("sfax-e1", gang), 200)
		w.WaitUntil(5*time.Minute, "the deadly job has failed and the others are done", func() bool {
			done := w.JobState("sfax-e1", "deadly") == work.JobFailed
			for _, id := range []string{"before", "after", "gang"} {
				done = done && w.JobState("sfax-e1", id) == work.JobDone
			}
			return done
		})
		w.T.Logf("%d crashes", crashes(w))
		is.True(crashes(w) <= 4) // two for each of the two deadly tasks
	})
}

// TestCrashesLongAfterTheStartDontCount guards against tasks that are given up
// because their workers restarted for other reasons.
func TestCrashesLongAfterTheStartDontCount(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		is.Equal(w.Submit("sfax-e1", batch("b", 8, 40*time.Second)), 200)
		for range 8 {
			time.Sleep(20 * time.Second)
			for _, v := range w.Workers {
				v.Restart()
			}
		}
		w.WaitUntil(2*time.Minute, "the job is done", func() bool { return w.JobState("sfax-e1", "b") == work.JobDone })
	})
}
