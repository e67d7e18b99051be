package flow

import (
	"fmt"

	"github.com/tamaracklink/tamaracklink/internal/state/errs"
)

// CheckQuota returns an error that lists every gang step that exceeds MaxRunning
// as a whole and could therefore never start, or nil. The tasks of other steps
// can run one after another.
func (s *Spec) CheckQuota() error {
	l := &errs.List{}
	for i := range s.Steps {
		step := &s.Steps[i]
		if !step.Gang {
			continue
		}
		total := step.Size.Times(int64(step.Count))
		exceeds := func(amount, limit int64) bool { return limit > 0 && amount > limit }
		if exceeds(total.CPU, s.MaxRunning.CPU) || exceeds(total.Memory, s.MaxRunning.Memory) || exceeds(total.Accelerators, s.MaxRunning.Accelerators) {
			l.Add(errs.Error{
				Step: "check job", Peer: "caller", Path: fmt.Sprintf("steps[%d]", i), Value: fmt.Sprintf("a gang of %v", total),
				Allowed: fmt.Sprintf("the quota of customer %s, %v, where 0 means no limit", s.Customer, s.MaxRunning),
			})
		}
	}
	return l.Err()
}
