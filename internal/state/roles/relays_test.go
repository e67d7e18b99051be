package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEveryInstanceIsARelay guards against a leader that sends each order in a
// call of its own, because it has as many relays as there are instances: at
// 1,100 workers and 146 relays the calls took its whole processor.
func TestEveryInstanceIsARelay(t *testing.T) {
	tests := []struct {
		domains, perDomain, workers, want int
	}{
		{1, 3, 120, 3},
		{1, 9, 350, 9},
		{5, 100, 16000, 500},
		{3, 10, 350, 6},
		{5, 30, 1100, 13},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d workers, %d instances", tt.workers, tt.domains*tt.perDomain), func(t *testing.T) {
			is := is.New(t)
			relays := Relays(site(tt.domains, tt.perDomain), tt.workers)
			is.Equal(len(relays), tt.want)
			is.True(relays[0].Cores > 0.5)
		})
	}
}

// TestWorkersShareRelaysByProcessor checks that each relay gets its share of
// the workers, and that the loss of a relay moves no worker of another one.
func TestWorkersShareRelaysByProcessor(t *testing.T) {
	is := is.New(t)
	relays := Relays(site(5, 30), 1100)
	count := func(relays []Instance) map[string][]string {
		of := map[string][]string{}
		for w := range 1100 {
			worker := fmt.Sprintf("w%d", w)
			name := RelayFor(worker, "0", "", relays)
			of[name] = append(of[name], worker)
		}
		return of
	}
	before := count(relays)
	large, small := 0, 0
	for _, r := range relays {
		if r.Cores > 0.5 {
			large += len(before[r.Name])
		} else {
			small += len(before[r.Name])
		}
	}
	is.True(large > 1000) // 8 of 8.3 cores
	is.Equal(large+small, 1100)
	after := count(relays[1:])
	for _, r := range relays[1:] {
		is.True(len(after[r.Name]) >= len(before[r.Name]))
	}
	is.True(RelayFor("w1", "0", relays[0].Name, relays[:1]) == relays[0].Name)
	is.Equal(RelayFor("w1", "0", "", nil), "")
}

// TestAllRelaysAreExcludedAtOnce guards against a leader that takes its own
// fault for that of all its relays, and sends no more orders. Each relay fails a
// call of 300 ms, again and again, from the moment at which all answered last.
func TestAllRelaysAreExcludedAtOnce(t *testing.T) {
	for _, tt := range []struct {
		sinceAnswer time.Duration // of other relays
		want        bool
	}{
		{0, true}, // others answer
		{100 * time.Millisecond, true},
		{300 * time.Millisecond, false}, // the first calls since then have failed
		{900 * time.Millisecond, false},
		{1200 * time.Millisecond, true}, // they may all have ended
	} {
		if got := MayExclude(tt.sinceAnswer); got != tt.want {
			t.Errorf("exclude a relay %v after the last answer of any: got %v, want %v", tt.sinceAnswer, got, tt.want)
		}
	}
}
