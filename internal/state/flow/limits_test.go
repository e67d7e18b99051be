package flow

import (
	"math"
	"math/bits"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/state/work"
)

// TestLimitsFitWhatIsComputedWithThem checks the products for which the limits
// were chosen.
func TestLimitsFitWhatIsComputedWithThem(t *testing.T) {
	fits := func(a, b uint64) bool {
		high, low := bits.Mul64(a, b)
		return high == 0 && low <= math.MaxInt64/2 // half, for what is added
	}
	is := is.New(t)
	is.True(fits(MaxTimes, MaxTimeMs))
	is.True(fits(MaxTimeMs, uint64(time.Millisecond)))
	is.True(fits(MaxEstimateMs*uint64(time.Millisecond), 40)) // e to the power of 1.6 and of 2.0
	is.True(fits(MaxAmount, MaxOpenTasks))
	is.True(3*MaxStretch*MaxSteps*MaxEstimateMs < math.MaxInt64)
}

// TestDecodeSpecKeepsNumbersWithinLimits guards against a stored job, from an
// earlier version or another writer, whose numbers overflow.
func TestDecodeSpecKeepsNumbersWithinLimits(t *testing.T) {
	is := is.New(t)
	s, err := DecodeSpec([]byte(`{"id":"a","policy":{"stretch":1e300,"slack-ms":9223372036854775807,"advice":{"call-ms":1e300,"worker-ms":1e300,"valid-ms":9223372036854775807}},
		"steps":[{"count":1,"estimate-ms":9223372036854775807,"tail-ms":9223372036854775807,"size":{"cpu-milli":9223372036854775807,"memory-mib":9223372036854775807,"accelerators":9223372036854775807}}],
		"repeat":{"times":3,"first-ms":9223372036854775807,"every-ms":9223372036854775807}}`))
	is.NoErr(err)
	st := s.Steps[0]
	is.Equal([]int64{st.EstimateMs, st.LatencyTargetMs, s.Repeat.FirstStartMs, s.Repeat.IntervalMs, s.Policy.SlackMs, s.Policy.PlacementService.TicketValidMs},
		[]int64{MaxEstimateMs, MaxTimeMs, MaxTimeMs, MaxTimeMs, MaxTimeMs, MaxTimeMs})
	is.Equal([]int64{st.Size.CPU, st.Size.Memory, st.Size.Accelerators}, []int64{MaxAmount, MaxAmount, MaxAmount})
	is.Equal([]float64{s.Policy.Stretch, s.Policy.PlacementService.CallMs, s.Policy.PlacementService.PerWorkerMs}, []float64{MaxStretch, MaxEstimateMs, MaxEstimateMs})
}

// TestCheckQuotaRejectsWhatNeverFits guards against jobs that are accepted and can
// never start within their customer's quota, and against the rejection of steps that
// start in part.
func TestCheckQuotaRejectsWhatNeverFits(t *testing.T) {
	step := func(n int, cpu int64, gang bool) Step {
		return Step{Count: n, Size: work.Size{CPU: cpu, Memory: 1}, Gang: gang}
	}
	s := Spec{MaxRunning: work.Size{CPU: 1000}, Steps: []Step{step(9, 1000, false), step(2, 500, true), step(3, 400, true), step(1, 1001, false)}}
	err := s.CheckQuota()
	if err == nil || strings.Contains(err.Error(), "steps[1]") || !strings.Contains(err.Error(), "steps[2]") || !strings.Contains(err.Error(), "steps[3]") {
		t.Errorf("got error %v; want one about steps 2 and 3", err)
	}
	s.MaxRunning = work.Size{}
	if err := s.CheckQuota(); err != nil {
		t.Errorf("got error %v without a quota", err)
	}
}
