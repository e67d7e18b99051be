package cell_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/world"
	"github.com/tamaracklink/tamaracklink/internal/transport/server"
)

var oneDomain = world.Config{Domains: []string{"sfax"}, Instances: 3, Workers: 4, Minions: 0}

// batch returns a batch job whose tasks take runTime each.
func batch(id string, tasks int, runTime time.Duration) work.JobSpec {
	return work.JobSpec{ID: id, Kind: work.KindBatch, Tasks: tasks, RunMs: runTime.Milliseconds(), Retries: 3, Size: work.Size{CPU: 4000, Memory: 1024}}
}

// TestJobsCompleteDespiteLeaderFaults guards against faults of the leader, or
// of its access to the platform, that make a task run twice, lose a job or
// overfill a worker. Each fault hits the leader while batch tasks and a gang
// run. All jobs must complete; the oracle checks the rest.
func TestJobsCompleteDespiteLeaderFaults(t *testing.T) {
	faults := []struct {
		name   string
		inject func(w *world.Simulation)
	}{
		{"killed", func(w *world.Simulation) { w.Kill(w.Leader("sfax")) }},
		{"stopped-as-planned", func(w *world.Simulation) { w.Stop(w.Leader("sfax")) }},
		{"log-answers-lost", func(w *world.Simulation) { w.Platform.LoseAnswers(20) }},
		{"log-slow", func(w *world.Simulation) {
			w.Platform.CallFaults.SetDelay(700 * time.Millisecond)
			time.Sleep(20 * time.Second)
			w.Platform.CallFaults.SetDelay(0)
		}},
		{"cut-from-the-platform", func(w *world.Simulation) {
			w.Net.Partition("sfax", "platform")
			time.Sleep(40 * time.Second)
			w.Net.Heal("sfax", "platform")
		}},
		{"killed-during-an-outage", func(w *world.Simulation) {
			w.Platform.CallFaults.SetDown(true)
			time.Sleep(10 * time.Second)
			w.Kill(w.Leader("sfax"))
			time.Sleep(30 * time.Second)
			w.Platform.CallFaults.SetDown(false)
		}},
		{"two-killed", func(w *world.Simulation) {
			w.Kill(w.Leader("sfax"))
			time.Sleep(500 * time.Millisecond)
			w.Kill(w.Instances()[0].Name)
		}},
	}
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			world.Run(t, oneDomain, func(w *world.Simulation) {
				is := is.NewRelaxed(w.T)
				first := w.Instances()[0].Name
				for n := range 6 {
					is.Equal(w.Submit(first, batch(fmt.Sprintf("b%d", n), 12, 7*time.Second)), 200)
				}
				gang := work.JobSpec{ID: "g", Kind: work.KindGang, Tasks: 8, RunMs: 5000, Retries: 5, Size: work.Size{CPU: 8000, Memory: 1024}}
				is.Equal(w.Submit(first, gang), 200)
				time.Sleep(3 * time.Second)
				fault.inject(w)
				w.WaitUntil(4*time.Minute, "every job is done", func() bool {
					at := w.Instances()[0].Name
					done := w.JobState(at, "g") == work.JobDone
					for n := range 6 {
						done = done && w.JobState(at, fmt.Sprintf("b%d", n)) == work.JobDone
					}
					return done
				})
			})
		})
	}
}

// TestNewInstancesCompleteAcceptedJobs guards against the loss of accepted jobs
// when all instances of a domain are killed at once. New instances, at the same
// addresses or at others, must complete them.
func TestNewInstancesCompleteAcceptedJobs(t *testing.T) {
	for _, sameAddress := range []bool{true, false} {
		t.Run(fmt.Sprintf("same-addresses-%v", sameAddress), func(t *testing.T) {
			cfg := oneDomain
			cfg.Instances = 2
			cfg.ChangeSettings = func(s *server.Settings) { s.MaxPromised = 3 * time.Minute }
			world.Run(t, cfg, func(w *world.Simulation) {
				is := is.NewRelaxed(w.T)
				is.Equal(w.Submit("sfax-e1", batch("b", 40, 6*time.Second)), 200)
				time.Sleep(3 * time.Second)
				addrs := map[string]string{}
				for _, inst := range w.Instances() {
					addrs[inst.Name] = inst.Addr
				}
				w.Kill("sfax-e1")
				w.Kill("sfax-e2")
				time.Sleep(time.Second)
				limit := 5 * time.Minute
				for name, addr := range addrs {
					if !sameAddress {
						addr = "127.0.0.1:0"
						limit = 8 * time.Minute // promises alone may extend the dead leader's lease by 3 minutes
					}
					_, err := w.StartInstance(name, "sfax", addr)
					is.NoErr(err)
				}
				w.WaitUntil(limit, "the accepted job is done", func() bool { return w.JobState("sfax-e1", "b") == work.JobDone })
			})
		})
	}
}

// TestUnreachableWorkersTasksRunElsewhere guards against batch tasks that never
// end because their worker became unreachable, and against tasks that run in
// two places because they were started elsewhere before their leases expired on
// that worker. The oracle sees the starts and ends at the workers.
func TestUnreachableWorkersTasksRunElsewhere(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		is.Equal(w.Submit("sfax-e1", batch("b", 16, 20*time.Second)), 200)
		time.Sleep(2 * time.Second)
		unreachable := w.Workers["sfax-w1"] // the others have enough free capacity for its tasks
		for _, worker := range w.Workers {
			if worker.RunningTasks() > unreachable.RunningTasks() {
				unreachable = worker
			}
		}
		is.True(unreachable.RunningTasks() > 0)
		unreachable.CallFaults.SetDown(true)
		w.WaitUntil(2*time.Minute, "the job is done without the worker", func() bool { return w.JobState("sfax-e1", "b") == work.JobDone })
		unreachable.CallFaults.SetDown(false)
		time.Sleep(15 * time.Second)
		is.Equal(unreachable.RunningTasks(), 0)
	})
}

// TestTasksOfRestartedWorkersRunAgain guards against jobs that do not complete
// because their workers restarted, which loses the running tasks.
func TestTasksOfRestartedWorkersRunAgain(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		is.Equal(w.Submit("sfax-e1", batch("b", 16, 10*time.Second)), 200)
		time.Sleep(3 * time.Second)
		for _, worker := range w.Workers {
			worker.Restart()
		}
		w.WaitUntil(time.Minute, "the job is done", func() bool { return w.JobState("sfax-e1", "b") == work.JobDone })
	})
}

// TestTasksContinueDuringPlatformOutage guards against tasks that are stopped
// because the platform is down for longer than the lease of a batch task. The
// promises of its peers extend the leader's lease, so it must go on renewing
// the tasks' leases.
func TestTasksContinueDuringPlatformOutage(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		is.Equal(w.Submit("sfax-e1", batch("b", 8, 60*time.Second)), 200)
		time.Sleep(4 * time.Second)
		before := w.Oracle.TaskStarts()
		w.Platform.CallFaults.SetDown(true)
		time.Sleep(80 * time.Second)
		w.Platform.CallFaults.SetDown(false)
		w.WaitUntil(10*time.Second, "the job is done", func() bool { return w.JobState("sfax-e1", "b") == work.JobDone })
		is.Equal(w.Oracle.TaskStarts(), before) // no task was lost and restarted
	})
}

// TestFailingWorkerIsQuarantinedAndFailingJobEnds guards against wrong
// attribution of failures. One worker fails every task, and one job fails on
// every worker. The worker must be quarantined and become ready again after its
// fault ends, the good jobs must complete, and only the broken job may fail.
func TestFailingWorkerIsQuarantinedAndFailingJobEnds(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		bad := w.Workers["sfax-w1"]
		bad.SetFailAll(true)
		broken := batch("broken", 4, time.Second)
		broken.Command = "fail"
		broken.Retries = 6
		is.Equal(w.Submit("sfax-e1", broken), 200)
		for n := range 8 {
			is.Equal(w.Submit("sfax-e1", batch(fmt.Sprintf("b%d", n), 6, 2*time.Second)), 200)
		}
		state := func() string {
			s, _ := w.Status(w.Leader("sfax"))
			for _, worker := range s.Work.Workers {
				if worker.Name == "sfax-w1" {
					return worker.State
				}
			}
			return ""
		}
		w.WaitUntil(time.Minute, "the worker is set aside", func() bool { return state() == "set-aside" })
		w.WaitUntil(3*time.Minute, "the good jobs are done", func() bool {
			for n := range 8 {
				if w.JobState("sfax-e1", fmt.Sprintf("b%d", n)) != work.JobDone {
					return false
				}
			}
			return true
		})
		w.WaitUntil(30*time.Minute, "the broken job has failed", func() bool { return w.JobState("sfax-e1", "broken") == work.JobFailed })
		bad.SetFailAll(false)
		n := 0
		w.WaitUntil(30*time.Minute, "the worker is back", func() bool {
			n++
			w.Submit("sfax-e1", batch(fmt.Sprintf("later%d", n), 1, time.Second))
			time.Sleep(5 * time.Second)
			return state() == "ready"
		})
	})
}

// TestCancelEndsQueuedAndRunningJobs guards against cancelled jobs that keep
// running or end in the wrong state. A job that never started must end as
// not-run, a running one as cancelled, and no task may remain.
func TestCancelEndsQueuedAndRunningJobs(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		is.Equal(w.Submit("sfax-e1", batch("running", 32, 10*time.Minute)), 200)
		time.Sleep(3 * time.Second)
		is.Equal(w.Submit("sfax-e1", batch("queued", 4, time.Minute)), 200)
		for _, id := range []string{"queued", "running"} {
			code, _ := w.Call("POST", "sfax-e2", "/v1/cancel", fmt.Sprintf(`{"id":%q,"by":"test"}`, id))
			is.Equal(code, 200)
		}
		is.Equal(w.JobState("sfax-e2", "queued"), work.JobNotRun)
		w.WaitUntil(10*time.Second, "the running job is cancelled", func() bool { return w.JobState("sfax-e1", "running") == work.JobCancelled })
		for _, worker := range w.Workers {
			is.Equal(worker.RunningTasks(), 0)
		}
	})
}

// TestServiceFollowsConfiguration guards against services that differ from the
// configuration in force. Patches start, resize, remove and restore a service,
// and its workers restart in between; each change must take effect within 8 s.
func TestServiceFollowsConfiguration(t *testing.T) {
	world.Run(t, oneDomain, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		running := func(n int) func() bool {
			return func() bool {
				sum := 0
				for _, worker := range w.Workers {
					sum += worker.RunningTasks()
				}
				return sum == n
			}
		}
		service := `{"services":{"desk":{"tenant":"red","domain":"sfax","class":"normal","replicas":%d,"size":{"cpu-milli":1000,"memory-mib":64,"accelerators":0},"command":"x"}}}`
		code, _ := w.Patch("sfax-e1", "p1", 1, fmt.Sprintf(service, 5))
		is.Equal(code, 200)
		w.WaitUntil(8*time.Second, "5 replicas run", running(5))
		code, _ = w.Patch("sfax-e2", "p2", 2, fmt.Sprintf(service, 2))
		is.Equal(code, 200)
		w.WaitUntil(8*time.Second, "2 replicas run", running(2))
		w.Workers["sfax-w1"].Restart()
		w.Workers["sfax-w2"].Restart()
		w.Workers["sfax-w3"].Restart()
		w.Workers["sfax-w4"].Restart()
		w.WaitUntil(8*time.Second, "2 replicas run again", running(2))
		code, _ = w.Patch("sfax-e2", "p3", 3, `{"services":{"desk":null}}`)
		is.Equal(code, 200)
		w.WaitUntil(8*time.Second, "no replica runs", running(0))
		code, _ = w.Patch("sfax-e2", "p4", 4, fmt.Sprintf(service, 1))
		is.Equal(code, 200)
		w.WaitUntil(8*time.Second, "the service is back", running(1))
	})
}

// TestReturningFullWorkerIsNotOverfilled guards against new tasks on a worker
// that still runs replicas which were replaced elsewhere while it was
// unreachable. By the records it is empty, but it is full. It must get no task
// before it has reported what it runs; the oracle checks its load.
func TestReturningFullWorkerIsNotOverfilled(t *testing.T) {
	cfg := oneDomain
	cfg.Workers = 2
	world.Run(t, cfg, func(w *world.Simulation) {
		is := is.NewRelaxed(w.T)
		service := `{"services":{"desk":{"tenant":"red","domain":"sfax","class":"normal","replicas":4,"size":{"cpu-milli":8000,"memory-mib":64,"accelerators":0},"command":"x"}}}`
		code, _ := w.Patch("sfax-e1", "p1", 1, service)
		is.Equal(code, 200)
		w.WaitUntil(8*time.Second, "one worker is full", func() bool { return w.Workers["sfax-w1"].RunningTasks()+w.Workers["sfax-w2"].RunningTasks() == 4 })
		full, other := w.Workers["sfax-w1"], w.Workers["sfax-w2"]
		if full.RunningTasks() < other.RunningTasks() {
			full, other = other, full
		}
		full.CallFaults.SetDown(true)
		w.WaitUntil(30*time.Second, "the replicas run elsewhere", func() bool { return other.RunningTasks() == 4 })
		is.Equal(w.Submit("sfax-e1", batch("b", 16, 4*time.Second)), 200)
		time.Sleep(5 * time.Second)
		full.CallFaults.SetDown(false)
		w.WaitUntil(2*time.Minute, "the job is done", func() bool { return w.JobState("sfax-e1", "b") == work.JobDone })
	})
}
