package sched

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowdownIsLearnedFromWrongEstimates guards against speeds of workers that
// are learned from what is wrong with the estimates in jobs: short jobs were
// placed on slow workers, of which a few overestimated steps had told that they
// are fast.
func TestSlowdownIsLearnedFromWrongEstimates(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 2, 30)
	s.run(time.Second)
	rng := rand.New(rand.NewPCG(2, 2))
	class := loadClass{estimateOff: 0.9, uneven: 0.15}
	for i := range 150 {
		spec := newJobSpec(fmt.Sprintf("a%d", i), "q2", taskStep(16, 14000, 600))
		s.misestimate(&class, rng, spec)
		s.submit(spec)
		s.run(350 * time.Millisecond) // so that all workers are used
	}
	s.run(3 * time.Second)
	var logSpeeds, errors []float64 // of the workers of which enough is known
	for _, id := range s.workerNames {
		if w := s.engine.workers[id]; w.Samples >= minSlowdownSamples {
			logSpeed := math.Log(s.workers[id].speed)
			logSpeeds, errors = append(logSpeeds, logSpeed), append(errors, w.LogSlowdown+logSpeed)
		}
	}
	// Estimates that are off by as much as the speeds differ are useless.
	if speed, off := deviation(logSpeeds), deviation(errors); off > speed/2 {
		t.Errorf("the estimates deviate by %.3f from the speeds of %d workers, which differ by %.3f; want at most half of that", off, len(errors), speed)
	}
	is.Equal(s.violations, nil)
}

// deviation returns the standard deviation of xs.
func deviation(xs []float64) float64 {
	mean, variance, n := 0.0, 0.0, float64(len(xs))
	for _, x := range xs {
		mean += x / n
	}
	for _, x := range xs {
		variance += (x - mean) * (x - mean) / n
	}
	return math.Sqrt(variance)
}
