package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/flow"
)

// TestBatchJobsTakeTheRoomOfWaitingGangs guards against gangs that wait while the
// tasks of batch jobs, which have a lower priority and time to spare, fill the
// room that the gangs need. Two gangs wait for the last of their workers; only
// one of them has a partial reservation.
func TestBatchJobsTakeTheRoomOfWaitingGangs(t *testing.T) {
	tests := []struct {
		name        string
		batchSlack  int64 // of the batch jobs, in ms
		batchCPU    int64 // of a task, in thousandths of a core
		gangsInTime int
		batchStarts time.Duration // by then the first batch job has started, from its arrival
	}{
		{"time to spare", 60_000, 6000, 2, 20 * time.Second},
		{"time to spare, in what gangs can't use", 60_000, 1500, 2, 200 * time.Millisecond},
		{"no time to spare", 100, 6000, 1, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newSim(t, 1, 8)
			for i, id := range s.workerNames {
				s.workers[id].speed = 1
				s.workers[id].info.Labels = []string{id, []string{"x", "y"}[i/4]}
			}
			s.config = &flow.Config{Version: 2}
			queue := func(name string, priority int, slackMs int64) flow.Policy {
				p := flow.Policy{Service: simService, Priority: priority, MaxAttempts: 3, Stretch: 1, SlackMs: slackMs}
				s.config.Queues = append(s.config.Queues, flow.Queue{Name: name, Policy: p})
				return p
			}
			gangs, batch, filler := queue("gangs", 1, 4000), queue("batch", 2, tt.batchSlack), queue("filler", 0, 1000)
			s.startLeader()
			s.run(time.Second)
			// Three workers of each gang have room for one of its tasks, the fourth
			// gets it after three seconds.
			for i, id := range s.workerNames {
				st := taskStep(1, 16000, 60_000)
				if i%4 == 3 {
					st = taskStep(1, 32000, 3000)
				}
				st.Label = id
				spec := newJobSpec("filler"+id, "filler", st)
				spec.Policy = filler
				s.submit(spec)
			}
			s.run(200 * time.Millisecond)
			for _, label := range []string{"x", "y"} {
				st := gangStep(4, 14000, 1000)
				st.Label = label
				spec := newJobSpec("gang"+label, "gangs", st)
				spec.Policy = gangs
				s.submit(spec)
			}
			s.run(100 * time.Millisecond)
			for i := range 40 {
				s.after(time.Duration(i)*250*time.Millisecond, func() {
					spec := newJobSpec(fmt.Sprintf("batch%02d", i), "batch", taskStep(2, tt.batchCPU, 2000))
					spec.Policy = batch
					s.submit(spec)
				})
			}
			s.run(tt.batchStarts)
			is.True(s.started[TaskID{Job: "batch00"}])
			s.run(30 * time.Second)
			inTime := 0
			for _, id := range []string{"gangx", "gangy"} {
				if p := s.progress(id); p.State == flow.Complete && p.EndedMs-s.jobs[id].spec.AcceptedMs <= s.jobs[id].spec.ObjectiveMs() {
					inTime++
				}
			}
			if inTime < tt.gangsInTime {
				t.Errorf("%d of 2 gangs were complete in time; want at least %d", inTime, tt.gangsInTime)
			}
			is.Equal(s.violations, nil)
		})
	}
}
