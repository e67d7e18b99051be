package work_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

func spec(id, kind string, tasks, retries int) work.JobSpec {
	return work.JobSpec{ID: id, Tenant: "red", Kind: kind, Class: work.ClassNormal, Tasks: tasks, Retries: retries, Size: work.Size{CPU: 100, Memory: 10}}
}

// TestRandomRecordsKeepStateConsistent applies random records of two members
// that compete for the leadership and append stale, duplicate and wrong
// batches. It checks which records count and recomputes the derived state. It
// guards against two leaders in one term, a batch that counts twice and
// accounting that drifts from the tasks.
func TestRandomRecordsKeepStateConsistent(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		s := work.NewState("d")
		offset := int64(-1)
		apply := func(r work.Record) bool {
			offset++
			return s.Apply(offset, r)
		}
		apply(work.Record{Join: &work.Member{ID: "a", Addr: "1"}})
		apply(work.Record{Join: &work.Member{ID: "b", Addr: "2"}})
		member := rapid.SampledFrom([]string{"a", "b"})
		jobs := 0
		var counted []work.Record
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				seen := s.LastLeaderOffset - int64(rapid.IntRange(0, 1).Draw(t, "stale"))
				term := s.Term + uint64(rapid.IntRange(0, 2).Draw(t, "term"))
				// A claim counts only for the next term and only if the claimant has
				// read the last valid leader record.
				want := term == s.Term+1 && seen == s.LastLeaderOffset
				if apply(work.Record{Claim: &work.Claim{Term: term, Member: member.Draw(t, "m"), LastLeaderOffset: seen}}) != want {
					t.Fatalf("claim of term %d that has read up to leader record %d: got counted %v, want the opposite", term, seen, !want)
				}
			},
			"submit": func(t *rapid.T) {
				jobs++
				kind := rapid.SampledFrom([]string{work.KindBatch, work.KindGang, work.KindService}).Draw(t, "kind")
				apply(work.Record{Submit: &work.Submit{Spec: spec(fmt.Sprintf("j%d", jobs%8), kind, rapid.IntRange(1, 3).Draw(t, "n"), 1)}})
			},
			"cancel": func(t *rapid.T) {
				apply(work.Record{Cancel: &work.Cancel{Job: fmt.Sprintf("j%d", rapid.IntRange(0, 7).Draw(t, "j"))}})
			},
			"batch": func(t *rapid.T) {
				r := work.Record{Batch: drawBatch(t, s, member.Draw(t, "m"))}
				leads := s.Leader == r.Batch.Member && s.Term == r.Batch.Term && s.LastSeq+1 == r.Batch.Seq
				if apply(r) != leads {
					t.Fatalf("batch %+v: got counted %v, want the opposite", r.Batch, !leads)
				}
				if leads {
					counted = append(counted, r)
				}
			},
			"repeat": func(t *rapid.T) {
				if len(counted) > 0 && apply(counted[rapid.IntRange(0, len(counted)-1).Draw(t, "which")]) {
					t.Fatal("duplicate batch counted a second time")
				}
			},
			"": func(t *rapid.T) { checkInvariants(t, s) },
		})
		data, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		loaded := work.NewState("d")
		if err := loaded.Load(data); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(loaded.UsedByWorker) != fmt.Sprint(s.UsedByWorker) || len(loaded.Pending()) != len(s.Pending()) {
			t.Fatalf("usage or number of pending tasks differs after loading the snapshot: got usage %v, want %v", loaded.UsedByWorker, s.UsedByWorker)
		}
	})
}

func drawBatch(t *rapid.T, s *work.State, member string) *work.Batch {
	b := &work.Batch{Member: member, Term: s.Term, Seq: s.LastSeq + uint64(rapid.IntRange(0, 2).Draw(t, "seq"))}
	for n := range 8 {
		id := fmt.Sprintf("j%d", n)
		j := s.Jobs[id]
		if j == nil {
			continue
		}
		for i, task := range j.Tasks {
			ref := work.TaskRef{Job: id, Index: i}
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				b.Assign = append(b.Assign, work.Assign{Task: ref, Attempt: task.Attempt + rapid.IntRange(0, 2).Draw(t, "attempt"), Worker: "w"})
			case 1:
				outcome := rapid.SampledFrom([]string{work.OutcomeDone, work.OutcomeFailed, work.OutcomeLost, work.OutcomeStopped}).Draw(t, "outcome")
				early := outcome == work.OutcomeLost && rapid.Bool().Draw(t, "early")
				b.End = append(b.End, work.End{Task: ref, Attempt: task.Attempt, Outcome: outcome, Early: early, Crashed: early && rapid.Bool().Draw(t, "crashed")})
			case 2:
				if rapid.IntRange(0, 9).Draw(t, "give-up") == 0 {
					b.GiveUp = append(b.GiveUp, work.GiveUp{Task: ref, Reason: "crashes"})
				}
			}
		}
	}
	return b
}

// checkInvariants recomputes the counters and usage that the state maintains, and
// checks the final states.
func checkInvariants(t *rapid.T, s *work.State) {
	used := work.Size{}
	for id, j := range s.Jobs {
		unfinished, assigned := 0, 0
		for _, task := range j.Tasks {
			if task.State == work.TaskAssigned {
				assigned++
				used = used.Add(j.Spec.Size)
			}
			if task.State == work.TaskAssigned || task.State == work.TaskPending {
				unfinished++
			}
		}
		if j.FinalState == "" && (unfinished != j.Unfinished || assigned != j.Assigned) {
			t.Fatalf("job %s: want %d unfinished and %d assigned tasks, got %d and %d", id, unfinished, assigned, j.Unfinished, j.Assigned)
		}
		if j.FinalState != "" && assigned > 0 {
			t.Fatalf("job %s has final state %s, but a task is still assigned", id, j.FinalState)
		}
		if j.FinalState == work.JobNotRun && j.EverAssigned {
			t.Fatalf("job %s has final state not-run, but a task was assigned", id)
		}
		if j.FinalState == "" && unfinished == 0 {
			t.Fatalf("job %s has no unfinished task and no final state: %+v", id, j)
		}
	}
	if s.UsedByWorker["w"] != used {
		t.Fatalf("usage of worker w: want %v, got %v", used, s.UsedByWorker["w"])
	}
}

// TestGangIsRequeuedAfterItsLastTaskEnds loses one task of a running gang. The
// other task must stop, and the gang becomes pending as a whole only after it has
// stopped. Otherwise a gang could start while a task of its former attempt runs.
func TestGangIsRequeuedAfterItsLastTaskEnds(t *testing.T) {
	is := is.New(t)
	s := work.NewState("d")
	s.Apply(0, work.Record{Join: &work.Member{ID: "a", Addr: "1"}})
	is.True(s.Apply(1, work.Record{Claim: &work.Claim{Term: 1, Member: "a", LastLeaderOffset: -1}}))
	is.True(s.Apply(2, work.Record{Submit: &work.Submit{Spec: spec("g", work.KindGang, 2, 1)}}))
	assign := []work.Assign{{Task: work.TaskRef{Job: "g", Index: 0}, Attempt: 1, Worker: "w"}, {Task: work.TaskRef{Job: "g", Index: 1}, Attempt: 1, Worker: "v"}}
	is.True(s.Apply(3, work.Record{Batch: &work.Batch{Term: 1, Seq: 1, Member: "a", Assign: assign}}))
	is.Equal(len(s.TakeNewlyPending()), 1)
	is.True(s.Jobs["g"].ShouldRun(0))
	is.True(s.Apply(4, work.Record{Batch: &work.Batch{Term: 1, Seq: 2, Member: "a", End: []work.End{{Task: assign[0].Task, Attempt: 1, Outcome: work.OutcomeLost}}}}))
	is.True(!s.Jobs["g"].ShouldRun(1))     // the other task has to stop
	is.Equal(len(s.TakeNewlyPending()), 0) // the gang is not pending before it has stopped
	is.True(s.Apply(5, work.Record{Batch: &work.Batch{Term: 1, Seq: 3, Member: "a", End: []work.End{{Task: assign[1].Task, Attempt: 1, Outcome: work.OutcomeStopped}}}}))
	is.Equal(s.TakeNewlyPending(), []work.TaskRef{{Job: "g", Index: 0}})
}

// TestOnlyServiceIDsAreReusable submits more jobs than the state retains. A late
// resend of a job that is no longer retained must not run again. A service may be
// submitted again after it has ended.
func TestOnlyServiceIDsAreReusable(t *testing.T) {
	is := is.New(t)
	s := work.NewState("d")
	offset := int64(0)
	submit := func(sp work.JobSpec) bool {
		offset++
		return s.Apply(offset, work.Record{Submit: &work.Submit{Spec: sp}})
	}
	for n := range 2500 {
		id := fmt.Sprintf("b%d", n)
		is.True(submit(spec(id, work.KindBatch, 1, 0)))
		offset++
		s.Apply(offset, work.Record{Cancel: &work.Cancel{Job: id}})
	}
	is.True(s.Jobs["b1"] == nil)
	is.True(!submit(spec("b1", work.KindBatch, 1, 0)))
	is.True(submit(spec("service/x", work.KindService, 1, 0)))
	offset++
	s.Apply(offset, work.Record{Cancel: &work.Cancel{Job: "service/x"}})
	is.True(submit(spec("service/x", work.KindService, 2, 0)))
}
