package flow

import (
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

// TestSpecCheckNamesEachInvalidField guards against invalid jobs that are
// accepted, and against errors that do not name the field.
func TestSpecCheckNamesEachInvalidField(t *testing.T) {
	good := func() *Spec {
		return &Spec{ID: "a1", Queue: "q", Steps: []Step{{Count: 1}, {Count: 2, After: []int{0}}}}
	}
	tests := []struct {
		name string
		edit func(s *Spec)
		want string // part of the error; empty if none is expected
	}{
		{"good", func(*Spec) {}, ""},
		{"no id", func(s *Spec) { s.ID = "" }, "id: allowed"},
		{"odd id", func(s *Spec) { s.ID = "A.b" }, `id: value "A.b"`},
		{"no steps", func(s *Spec) { s.Steps = nil }, `steps: value "0"`},
		{"count 0", func(s *Spec) { s.Steps[1].Count = 0 }, "steps[1].count"},
		{"too wide", func(s *Spec) { s.Steps[0].Count = MaxTasks + 1 }, "steps[0].count"},
		{"negative size", func(s *Spec) { s.Steps[0].Size.CPU = -1 }, "steps[0].size"},
		{"cycle", func(s *Spec) { s.Steps[0].After = []int{1} }, "steps[0].after"},
		{"unknown step", func(s *Spec) { s.Steps[1].After = []int{7} }, "steps[1].after"},
		{"long payload", func(s *Spec) { s.Payload = strings.Repeat("x", MaxPayloadBytes+1) }, "payload"},
		{"too many tasks together", func(s *Spec) { s.Steps = []Step{{Count: 2000}, {Count: 2000}, {Count: 1}} }, "at most 4000 tasks together"},
		{"long label", func(s *Spec) { s.Steps[0].Label = strings.Repeat("x", 300) }, "steps[0].label"},
		{"step named twice", func(s *Spec) { s.Steps[1].After = []int{0, 0} }, "steps[1].after"},
		{"too often", func(s *Spec) { s.Repeat.Times = MaxTimes + 1 }, "repeat"},
		{"negative repeat", func(s *Spec) { s.Repeat.IntervalMs = -1 }, "repeat"},
		{"two faults at once", func(s *Spec) { s.ID, s.Steps[1].Count = "", 0 }, "steps[1].count"},
		{"more faults than are named", func(s *Spec) { s.Steps = make([]Step, MaxSteps+1) }, "steps[8].count: value \"0\": allowed: 1 to 2000 tasks\ncheck job (peer caller): 56 further faults"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := good()
			tt.edit(s)
			err := s.Check()
			if tt.want == "" {
				if err != nil {
					t.Fatalf("Check: unexpected error: %v", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Fatalf("Check: got error %v, want one that contains %q", err, tt.want)
			}
		})
	}
}

func drawProgress(t *rapid.T) Progress {
	p := Progress{
		State: State(rapid.IntRange(0, int(Canceled)).Draw(t, "state")), EndedMs: rapid.Int64().Draw(t, "ended"),
		NextRound: rapid.IntRange(0, 1000).Draw(t, "next"),
	}
	names := rapid.SampledFrom([]string{"", "i-1", "i-22", "00000bb87a21d94b"})
	for range rapid.IntRange(0, 3).Draw(t, "rounds") {
		r := &Round{Number: rapid.IntRange(0, 100).Draw(t, "number")}
		for range rapid.IntRange(0, 4).Draw(t, "steps") {
			tasks := make([]Task, rapid.IntRange(0, 5).Draw(t, "tasks"))
			for i := range tasks {
				tasks[i] = Task{
					Phase: Phase(rapid.IntRange(0, int(Done)).Draw(t, "phase")), Run: rapid.IntRange(0, 99).Draw(t, "run"),
					FailedRuns: rapid.IntRange(0, 9).Draw(t, "fails"), LastFailedRun: rapid.IntRange(0, 9).Draw(t, "failed"), Saved: names.Draw(t, "saved"),
					CrashScore: max(rapid.IntRange(-3, 4).Draw(t, "crashes"), 0), LastCrashedRun: max(rapid.IntRange(-3, 9).Draw(t, "crashed"), 0),
				}
				if tasks[i].LastCrashedRun > 0 {
					tasks[i].LastCrashScore = rapid.IntRange(0, 2).Draw(t, "added")
				}
				if tasks[i].Phase == Placed {
					tasks[i].Worker, tasks[i].Incarnation = names.Draw(t, "worker"), rapid.Int64().Draw(t, "boot")
					tasks[i].WorkerAddr = rapid.SampledFrom([]string{"", "10.1.0.13:8166", "i-1"}).Draw(t, "address")
				}
				if tasks[i].Phase != Done {
					r.Unfinished++
				}
			}
			r.Steps = append(r.Steps, tasks)
		}
		p.Rounds = append(p.Rounds, r)
	}
	return p
}

// TestDecodeProgressRestoresEncodedProgress guards against progress that changes
// when it is stored and read back by a new leader.
func TestDecodeProgressRestoresEncodedProgress(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		got, err := DecodeProgress(EncodeProgress(nil, &p))
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, p) {
			t.Fatalf("got %+v, want %+v", got, p)
		}
	})
}

// TestDecodeProgressRejectsTruncatedRecord truncates a record at every byte. Each
// prefix must give an error, not a panic or partial progress.
func TestDecodeProgressRejectsTruncatedRecord(t *testing.T) {
	is := is.New(t)
	p := Progress{State: Active, NextRound: 1, Rounds: []*Round{{Steps: [][]Task{{{Phase: Placed, Run: 2, Worker: "i-1", Incarnation: 5}, {Phase: Done}}}, Unfinished: 1}}}
	data := EncodeProgress(nil, &p)
	for n := range data {
		_, err := DecodeProgress(data[:n])
		is.True(err != nil)
	}
}

// TestCrashScoresDoNotChangeEarlierForm guards against progress that instances of
// the version before the crash scores can't read, or whose progress can't be read:
// they ignore what follows the rounds.
func TestCrashScoresDoNotChangeEarlierForm(t *testing.T) {
	is := is.New(t)
	// Version 1, state active, round 0 with two tasks: placed in run 2, and done.
	earlier := []byte{2, 2, 0, 2, 2, 0, 2, 4, 2, 4, 0, 0, 0, 6, 'i', '-', '1', 10, 4, 2, 0, 0, 1}
	p, err := DecodeProgress(earlier)
	is.NoErr(err)
	is.Equal(p, Progress{State: Active, NextRound: 1, Rounds: []*Round{{Steps: [][]Task{{{Phase: Placed, Run: 2, Worker: "i-1", Incarnation: 5}, {Phase: Done, Run: 1}}}, Unfinished: 1}}})
	is.Equal(EncodeProgress(nil, &p), earlier)
	p.Rounds[0].Steps[0][0].CrashScore = 2
	data := EncodeProgress(nil, &p)
	is.True(len(data) > len(earlier))
	is.Equal(data[:len(earlier)], earlier)
	got, err := DecodeProgress(data)
	is.NoErr(err)
	is.Equal(got, p)
	for n := len(earlier) + 1; n < len(data); n++ {
		_, err := DecodeProgress(data[:n])
		is.True(err != nil)
	}
	for _, tail := range [][]byte{{2, 2, 2, 0, 0, 4}, {2, 2, 0, 2, 0, 4}, {2, 2, 0, 0, 4, 4}, {2, 2, 0, 0, 0, 1}, {2, 0xff, 0xff, 0x7f}} {
		_, err := DecodeProgress(append(slices.Clone(earlier), tail...))
		is.True(err != nil) // index, score or count out of range
	}
	p.Rounds[0].Steps[0][0].CrashScore = 0
	got, err = DecodeProgress(append(slices.Clone(earlier), 8, 7, 7)) // a section of a later version
	is.NoErr(err)
	is.Equal(got, p)
}

// TestNewSectionsFollowCrashScores guards against progress whose crash scores
// instances of the version before the crashed runs can't read: they ignore what
// follows the section of scores.
func TestNewSectionsFollowCrashScores(t *testing.T) {
	is := is.New(t)
	p := Progress{State: Active, NextRound: 1, Rounds: []*Round{{Steps: [][]Task{{{Phase: Placed, Run: 2, Worker: "i-1", Incarnation: 5, CrashScore: 2}}}, Unfinished: 1}}}
	earlier := EncodeProgress(nil, &p)
	p.Rounds[0].Steps[0][0].LastCrashedRun, p.Rounds[0].Steps[0][0].LastCrashScore = 2, 1
	data := EncodeProgress(nil, &p)
	is.True(len(data) > len(earlier))
	is.Equal(data[:len(earlier)], earlier)
	got, err := DecodeProgress(data)
	is.NoErr(err)
	is.Equal(got, p)
	for n := len(earlier) + 1; n < len(data); n++ {
		_, err := DecodeProgress(data[:n])
		is.True(err != nil)
	}
	for _, tail := range [][]byte{{4, 2, 2, 0, 0, 4, 2}, {4, 2, 0, 2, 0, 4, 2}, {4, 2, 0, 0, 2, 4, 2}, {4, 2, 0, 0, 0, 1, 2}, {4, 2, 0, 0, 0, 4, 1}} {
		_, err := DecodeProgress(append(slices.Clone(earlier), tail...))
		is.True(err != nil) // index, run or score out of range
	}
	p.Rounds[0].Steps[0][0].WorkerAddr = "10.1.0.13:8166"
	withAddress := EncodeProgress(nil, &p)
	is.True(len(withAddress) > len(data))
	is.Equal(withAddress[:len(data)], data)
	got, err = DecodeProgress(withAddress)
	is.NoErr(err)
	is.Equal(got, p)
	for n := len(data) + 1; n < len(withAddress); n++ {
		_, err := DecodeProgress(withAddress[:n])
		is.True(err != nil)
	}
	_, err = DecodeProgress(append(slices.Clone(data), 6, 2, 0, 0, 2, 1))
	is.True(err != nil) // index out of range
}

// FuzzDecodeProgress guards against a panic on arbitrary bytes, and against
// accepted progress that can't be stored and read again.
func FuzzDecodeProgress(f *testing.F) {
	p := Progress{State: Active, Rounds: []*Round{NewRound(&Spec{Steps: []Step{{Count: 3}}}, 0)}}
	f.Add(EncodeProgress(nil, &p))
	p.Rounds[0].Steps[0][1].CrashScore = 2
	f.Add(EncodeProgress(nil, &p))
	p.Rounds[0].Steps[0][1].LastCrashedRun = 1
	f.Add(EncodeProgress(nil, &p))
	p.Rounds[0].Steps[0][2] = Task{Phase: Placed, Run: 1, Worker: "i-1", WorkerAddr: "10.1.0.13:8166"}
	f.Add(EncodeProgress(nil, &p))
	f.Add([]byte{2, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := DecodeProgress(data)
		if err != nil {
			return
		}
		if _, err := DecodeProgress(EncodeProgress(nil, &p)); err != nil {
			t.Fatalf("decode progress that was decoded and encoded before: %v", err)
		}
	})
}

// FuzzDecodeSpec guards against a panic on arbitrary bytes, and against accepted
// jobs without steps or a valid ID.
func FuzzDecodeSpec(f *testing.F) {
	f.Add([]byte(`{"id":"a","steps":[{"count":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSpec(data)
		if err == nil && (len(s.Steps) == 0 || !ValidID(s.ID)) {
			t.Fatalf("accepted invalid job %q", data)
		}
	})
}

// TestIndexCountsPendingJobs guards against jobs that are counted twice, and
// against a final state that is replaced by an older record.
func TestIndexCountsPendingJobs(t *testing.T) {
	is := is.New(t)
	x := NewIndex()
	x.Add("a", Status{Queue: "q"})
	x.Add("b", Status{Queue: "q"})
	x.Add("a", Status{Queue: "q", State: Complete}) // ignored, because the job is known
	is.Equal(x.Pending("q"), 2)
	x.Put("a", Status{Queue: "q", State: Active})
	is.Equal(x.Pending("q"), 1)
	x.Put("a", Status{Queue: "q", State: Complete})
	x.Put("a", Status{Queue: "q", State: Active}) // ignored, because the final state is newer
	st, ok := x.Get("a")
	is.True(ok)
	is.Equal(st.State, Complete)
	x.Remove("b")
	is.Equal(x.Pending("q"), 0)
	_, ok = x.Get("b")
	is.True(!ok)
}

// TestFindReturnsLongestPrefix guards against requests that reach the queue of
// another host or a less specific prefix.
func TestFindReturnsLongestPrefix(t *testing.T) {
	is := is.New(t)
	c := &Config{Queues: []Queue{{Name: "a", Host: "h", Prefix: "/a/"}, {Name: "ab", Host: "h", Prefix: "/a/b/"}, {Name: "o", Host: "o", Prefix: "/a/"}}}
	is.Equal(c.FindQueue("h", "/a/x").Name, "a")
	is.Equal(c.FindQueue("h", "/a/b/x").Name, "ab")
	is.Equal(c.FindQueue("o", "/a/b/x").Name, "o")
	is.Equal(c.FindQueue("h", "/c/"), nil)
	is.Equal(c.Queue("o").Host, "o")
}

// TestReadyAfterAllEarlierTasksAreDone guards against a step that starts before
// the steps it depends on, and against progress whose shape differs from its
// job's.
func TestReadyAfterAllEarlierTasksAreDone(t *testing.T) {
	is := is.New(t)
	s := &Spec{Steps: []Step{{Count: 2, Size: work.Size{CPU: 1}}, {Count: 1, After: []int{0}}}}
	r := NewRound(s, 0)
	is.True(r.Ready(s, 0))
	is.True(!r.Ready(s, 1))
	r.Steps[0][0].Phase, r.Steps[0][1].Phase = Done, Done
	is.True(r.Ready(s, 1))
	p := Progress{Rounds: []*Round{r}}
	is.NoErr(p.CheckShape(s))
	is.True(p.CheckShape(&Spec{Steps: s.Steps[:1]}) != nil)
}
