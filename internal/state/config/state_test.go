package config_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/tools/txtar"
	"pgregory.net/rapid"

	"github.com/tamaracklink/tamaracklink/internal/state/config"
	"github.com/tamaracklink/tamaracklink/internal/testing/check"
)

// TestPatchVerdictsMatchGoldenFiles applies the patches of each archive, one
// JSON record per line, and compares every verdict and the final configuration
// with the expected output.
func TestPatchVerdictsMatchGoldenFiles(t *testing.T) {
	check.Golden(t, func(t *testing.T, a *txtar.Archive) string {
		s := config.NewState()
		var out strings.Builder
		for n, line := range strings.Split(strings.TrimSpace(check.ArchiveFile(a, "patches")), "\n") {
			var p config.Patch
			if err := json.Unmarshal([]byte(line), &p); err != nil {
				t.Fatal(err)
			}
			v, err := json.Marshal(s.Apply(int64(n), p))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "%s\n", v)
		}
		fmt.Fprintf(&out, "version %d: %s\n", s.Version, s.Doc)
		return out.String()
	})
}

// oracle implements the conflict rule in the simplest way: a patch is accepted if
// no patch accepted after its base changed one of its paths, or an ancestor or a
// descendant of one.
type oracle struct {
	accepted [][]string        // changed paths, by version from 1
	verdicts map[string]string // results by patch ID
}

func (o *oracle) evaluate(p config.Patch) string {
	if v, ok := o.verdicts[p.ID]; ok {
		return v
	}
	result := config.ResultAccepted
	var change map[string]any
	if json.Unmarshal(p.Change, &change) != nil || p.Base > uint64(len(o.accepted)) {
		result = config.ResultInvalid
	}
	paths := config.ChangedPaths(change)
	if result == config.ResultAccepted {
		for _, earlier := range o.accepted[p.Base:] {
			if overlap(paths, earlier) {
				result = config.ResultConflict
			}
		}
	}
	if result == config.ResultAccepted {
		o.accepted = append(o.accepted, paths)
	}
	o.verdicts[p.ID] = result
	return result
}

// overlap reports whether a path in a equals, contains or lies below one in b.
func overlap(a, b []string) bool {
	for _, p := range a {
		for _, q := range b {
			if p == q || strings.HasPrefix(p, q+"\x1f") || strings.HasPrefix(q, p+"\x1f") {
				return true
			}
		}
	}
	return false
}

// TestReadersAgreeOnVerdictsAndDocuments lets three readers of one log read at
// different speeds, restart from each other's snapshots and see resends. It
// checks that their verdicts match the oracle, that equal versions have equal
// documents and that no reader's version decreases. It guards against instances
// that disagree about the configuration in force.
func TestReadersAgreeOnVerdictsAndDocuments(t *testing.T) {
	check.FixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		var log []config.Patch
		o := &oracle{verdicts: map[string]string{}}
		readers := []*config.State{config.NewState(), config.NewState(), config.NewState()}
		docs := map[uint64]string{0: "{}"}
		read := func(r *config.State) {
			for at := r.Offset + 1; at < int64(len(log)); at++ {
				before := r.Version
				v := r.Apply(at, log[at])
				if v.Result != o.verdicts[log[at].ID] {
					t.Fatalf("patch %+v: got verdict %v, want result %s", log[at], v, o.verdicts[log[at].ID])
				}
				if r.Version < before {
					t.Fatalf("version decreased from %d to %d", before, r.Version)
				}
				if doc, ok := docs[r.Version]; ok && doc != string(r.Doc) {
					t.Fatalf("version %d has two documents: %s and %s", r.Version, doc, r.Doc)
				}
				docs[r.Version] = string(r.Doc)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) {
				p := drawPatch(t, uint64(len(o.accepted)))
				log = append(log, p)
				o.evaluate(p)
			},
			"resend": func(t *rapid.T) {
				if len(log) > 0 {
					log = append(log, log[rapid.IntRange(0, len(log)-1).Draw(t, "which")])
				}
			},
			"read": func(t *rapid.T) { read(readers[rapid.IntRange(0, 2).Draw(t, "reader")]) },
			"restart": func(t *rapid.T) {
				from := readers[rapid.IntRange(0, 2).Draw(t, "from")]
				to := rapid.IntRange(0, 2).Draw(t, "to")
				data, err := from.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				older := from.Offset < readers[to].Offset
				if err := readers[to].Load(data); (err != nil) != older {
					t.Fatalf("load version %d into a reader at version %d: unexpected result: %v", from.Version, readers[to].Version, err)
				}
				if fresh := config.NewState(); fresh.Load(data) == nil {
					again, _ := fresh.Snapshot()
					if string(again) != string(data) {
						t.Fatalf("snapshot after loading a snapshot: want %s, got %s", data, again)
					}
				}
			},
			"": func(t *rapid.T) {
				for _, r := range readers {
					if doc, err := r.DocumentAt(0); err != nil || string(doc) != "{}" {
						t.Fatalf("document of version 0: got %s, error %v; want {}", doc, err)
					}
				}
			},
		})
		for _, r := range readers {
			read(r)
			if r.Version != uint64(len(o.accepted)) || !reflect.DeepEqual(r.Doc, readers[0].Doc) {
				t.Fatalf("reader differs at the end of the log: version %d, document %s", r.Version, r.Doc)
			}
		}
	})
}

func drawPatch(t *rapid.T, newest uint64) config.Patch {
	name := rapid.SampledFrom([]string{"a", "b", "c"})
	tenant := map[string]any{}
	if rapid.Bool().Draw(t, "share") {
		tenant["share"] = rapid.IntRange(0, 9).Draw(t, "n")
	}
	if rapid.Bool().Draw(t, "limit") {
		tenant["max-requests"] = rapid.IntRange(1, 9).Draw(t, "m")
	}
	var value any = tenant
	if rapid.IntRange(0, 5).Draw(t, "drop") == 0 {
		value = nil
	}
	change, _ := json.Marshal(map[string]any{"tenants": map[string]any{name.Draw(t, "tenant"): value}})
	base := newest - min(newest, uint64(rapid.IntRange(0, 4).Draw(t, "behind")))
	id := rapid.StringMatching(`[a-z]{6}`).Draw(t, "id")
	return config.Patch{ID: id, Operator: "op", Base: base, Change: change}
}

// TestBaseOlderThanHistoryIsRejected bases a patch on a version that is no longer
// retained. It must be rejected, because conflicts with the dropped versions can't
// be found. The index must not keep the paths of dropped versions either.
func TestBaseOlderThanHistoryIsRejected(t *testing.T) {
	is := is.New(t)
	s := config.NewState()
	for n := range config.HistoryVersions + 10 {
		change := fmt.Sprintf(`{"tenants":{"t%d":{"share":1}}}`, n%50)
		v := s.Apply(int64(n), config.Patch{ID: fmt.Sprint(n), Operator: "op", Base: uint64(n), Change: json.RawMessage(change)})
		is.Equal(v.Result, config.ResultAccepted)
	}
	v := s.Apply(1<<20, config.Patch{ID: "old", Operator: "op", Base: 1, Change: json.RawMessage(`{"tenants":{"z":{}}}`)})
	is.Equal(v.Result, config.ResultTooOld)
	is.Equal(len(s.History), config.HistoryVersions)
	is.True(len(s.Index.Changed) <= 50) // paths of dropped versions are removed from the index
}

// FuzzApply applies arbitrary changes. It guards against a panic, a rejected
// patch that leaves a change behind, an invalid configuration in force
// and a change that can't be reverted.
func FuzzApply(f *testing.F) {
	f.Add(uint64(0), `{"tenants":{"a":{"share":1}}}`)
	f.Add(uint64(1), `{"tenants":null}`)
	f.Add(uint64(0), `{"tenants":{"a":{"share":1,"share":2}}}`)
	f.Add(uint64(0), `{"services":{"x":{"tenant":"a"}}}`)
	f.Add(uint64(9), `[1]`)
	f.Add(uint64(0), `{"tenants":{"a":{"sh`)
	f.Fuzz(func(t *testing.T, base uint64, change string) {
		s := config.NewState()
		s.Apply(0, config.Patch{ID: "first", Operator: "op", Change: json.RawMessage(`{"tenants":{"a":{"share":1}}}`)})
		before := string(s.Doc)
		v := s.Apply(1, config.Patch{ID: "fuzzed", Operator: "op", Base: base, Change: json.RawMessage(change)})
		if v.Result != config.ResultAccepted && (string(s.Doc) != before || s.Version != 1) {
			t.Fatalf("rejected patch changed the configuration to %s", s.Doc)
		}
		if _, err := config.ParseModel(s.Doc, "test"); err != nil {
			t.Fatalf("configuration in force is invalid: %v", err)
		}
		if doc, err := s.DocumentAt(1); err != nil || string(doc) != before {
			t.Fatalf("document of version 1 after the patch: got %s, error %v", doc, err)
		}
	})
}
