package pairs

import (
	"math"
	"sort"
	"time"
)

// maxStateText bounds the names of images in a State, so that the record with it
// stays small: names may be 256 bytes long.
const maxStateText = 16 << 10

// State is the stored form of a table: its pairs, without the observations.
type State struct {
	Images []string     `json:"images"` // that the pairs refer to by their index
	Pairs  []StoredPair `json:"pairs"`
}

// StoredPair is the stored form of a pair.
type StoredPair struct {
	Victim      int     `json:"v"`
	Batch       bool    `json:"b,omitempty"`
	Other       int     `json:"o"`
	Coefficient float64 `json:"c"`
	Deviation   float64 `json:"d"`
	Count       int     `json:"n"`
	SeenMs      int64   `json:"t"` // ms since 1970
}

// State returns the pairs to store, nil if there are none. Those in use come
// first, then those seen last; pairs beyond maxStateText are left out.
func (t *Table) State() *State {
	if len(t.pairs) == 0 {
		return nil
	}
	list := make([]*Pair, 0, len(t.pairs))
	for _, p := range t.pairs {
		list = append(list, p)
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i], list[k]
		switch {
		case a.inUse() != b.inUse():
			return a.inUse()
		case !a.Seen.Equal(b.Seen):
			return a.Seen.After(b.Seen)
		}
		return a.less(b)
	})
	s, index, text := &State{}, map[string]int{}, 0
	indexOf := func(image string) int {
		i, ok := index[image]
		if !ok {
			i = len(s.Images)
			index[image] = i
			s.Images = append(s.Images, image)
			text += len(image)
		}
		return i
	}
	for _, p := range list {
		if text+len(p.Victim.Image)+len(p.Other) > maxStateText {
			break
		}
		s.Pairs = append(s.Pairs, StoredPair{
			Victim: indexOf(p.Victim.Image), Batch: p.Victim.Batch, Other: indexOf(p.Other),
			Coefficient: math.Round(p.Coefficient*100) / 100, Deviation: math.Ceil(p.Deviation*100) / 100, Count: p.Count, SeenMs: p.Seen.UnixMilli(),
		})
	}
	return s
}

// Restore adds the pairs of a state, nil for none. It ignores entries that no
// table stores. Pairs that are known already stay as they are.
func (t *Table) Restore(s *State) {
	if s == nil {
		return
	}
	valid := func(i int) bool { return i >= 0 && i < len(s.Images) && s.Images[i] != "" }
	for _, e := range s.Pairs {
		if !valid(e.Victim) || !valid(e.Other) || e.Victim == e.Other || e.Deviation < 0 || e.Count < 0 || math.Abs(e.Coefficient) > maxCoefficient || len(t.pairs) >= MaxPairs {
			continue
		}
		k := pairKey{Victim{Image: s.Images[e.Victim], Batch: e.Batch}, s.Images[e.Other]}
		if t.pairs[k] != nil {
			continue
		}
		p := &Pair{Victim: k.victim, Other: k.other, Coefficient: e.Coefficient, Deviation: max(e.Deviation, 0.01), Count: e.Count, Seen: time.UnixMilli(e.SeenMs)}
		t.pairs[k] = p
		t.countUse(p, 1)
	}
}
