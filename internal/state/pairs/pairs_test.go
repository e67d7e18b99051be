package pairs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start  = time.UnixMilli(1_700_000_000_000)
	server = Victim{Image: "server"}
)

// observe adds reports of the servers on 4 workers, one of each worker per
// second: the effects are the true coefficients, and the log of the speed of w0
// differs by slow. Which images run beside a server changes every 5 s.
func observe(t *Table, rng *rand.Rand, now *time.Time, seconds int, effects map[string]float64, slow float64) {
	beside := make([][]Use, 4)
	for s := range seconds {
		for w := range beside {
			if s%5 == 0 {
				beside[w] = nil
				for _, image := range []string{"hurts", "hurts2", "harmless"} {
					if rng.IntN(2) == 0 {
						beside[w] = append(beside[w], Use{image, 0.1 + 0.15*rng.Float64()})
					}
				}
			}
			y := -0.8 + 0.2*rng.NormFloat64()
			if w == 0 {
				y += slow
			}
			for _, u := range beside[w] {
				y += effects[u.Image] * u.Share
			}
			others := append([]Use{{"server", 0.2}}, beside[w]...)
			t.Observe(*now, Sample{Victim: server, LogRatio: y, Group: fmt.Sprint("w", w), GroupVariance: 0.16, Noise: 0.04, Others: others})
		}
		*now = now.Add(time.Second)
	}
}

// TestCoefficientsAreLearnedAndFade guards against interference that is found
// too late or named wrongly, and that stays known when it has ended.
func TestCoefficientsAreLearnedAndFade(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		table, now, rng := New(), start, rand.New(rand.NewPCG(seed, 1))
		observe(table, rng, &now, 50, map[string]float64{"hurts": 4, "hurts2": 3}, 0.7)
		for image, want := range map[string]float64{"hurts": 4, "hurts2": 3} {
			if c := table.Coefficient(now, server, image); math.Abs(c-want) > 1.5 {
				t.Errorf("seed %d: coefficient of %s after 50 reports of each worker: %.2f, want %.1f +- 1.5", seed, image, c, want)
			}
		}
		is.Equal(table.Coefficient(now, server, "harmless"), 0.0)
		is.Equal(table.Coefficient(now, server, "server"), 0.0)
		// Kept apart, a pair is remembered for a while.
		is.True(table.Coefficient(now.Add(time.Minute), server, "hurts") > 1)
		is.Equal(table.Coefficient(now.Add(20*time.Minute), server, "hurts"), 0.0)
		observe(table, rng, &now, 60, nil, 0.7)
		is.Equal(len(table.Top(now, 5)), 0) // seen together without harm
	}
}

// TestSlowWorkerIsNotInterference guards against a worker that is slow, or a job
// whose estimate is wrong, being taken for the effect of what runs beside it.
func TestSlowWorkerIsNotInterference(t *testing.T) {
	is := is.New(t)
	table, rng := New(), rand.New(rand.NewPCG(1, 1))
	for s := range 300 {
		now := start.Add(time.Duration(s) * time.Second)
		for w := range 4 {
			y, others := 0.2*rng.NormFloat64(), []Use(nil)
			if w == 0 {
				y, others = y+0.9, []Use{{"innocent", 0.25}}
			}
			for _, v := range []Victim{server, {Image: "batch", Batch: true}} {
				table.Observe(now, Sample{Victim: v, LogRatio: y, Group: fmt.Sprint("w", w), GroupVariance: 0.16, Noise: 0.05, Others: others})
			}
		}
	}
	is.Equal(len(table.Top(start, 5)), 0)
}

// TestTableIsBounded guards against images that are sent in ever new names: the
// table and its stored form must stay small, and keep what is seen.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table, now, rng := New(), start, rand.New(rand.NewPCG(1, 1))
	for i := range 600 {
		now = now.Add(10 * time.Millisecond)
		v := Victim{Image: fmt.Sprintf("%0250d", i%100), Batch: i%2 == 0}
		table.Observe(now, Sample{Victim: v, Group: "w0", GroupVariance: 0.1, Noise: 0.1, Others: []Use{{fmt.Sprint("o", i), 0.2}, {fmt.Sprint("p", i%7), 0.2}}})
		is.True(table.Len() <= MaxPairs && len(table.fits) <= maxFits)
	}
	is.Equal(table.Len(), MaxPairs)
	observe(table, rng, &now, 50, map[string]float64{"hurts": 4}, 0)
	is.Equal(table.Len(), MaxPairs)
	s := table.State()
	is.True(len(strings.Join(s.Images, "")) <= maxStateText)

	next := New()
	s.Pairs = append(s.Pairs, StoredPair{Victim: -1}, StoredPair{Other: len(s.Images)}, StoredPair{Coefficient: 1e9, Other: 1})
	next.Restore(s)
	is.Equal(next.Len(), len(s.Pairs)-3)
	is.True(math.Abs(next.Coefficient(now, server, "hurts")-table.Coefficient(now, server, "hurts")) < 0.02)
	is.True(next.Coefficient(now, server, "hurts") > 2)
	next.Restore(nil)

	// A pair comes into use by its count alone, before the next fit.
	next = New()
	next.Restore(&State{Images: []string{"server", "hurts"}, Pairs: []StoredPair{{Other: 1, Coefficient: 4, Deviation: 0.1, Count: minObservations - 1, SeenMs: start.UnixMilli()}}})
	is.True(!next.Involves("hurts"))
	next.Observe(start, Sample{Victim: server, Group: "w0", GroupVariance: 0.1, Noise: 0.1, Others: []Use{{"hurts", 0.2}}})
	is.True(next.Involves("hurts"))
	is.Equal(New().State(), nil)
}
