package flow

// Largest numbers with which jobs and policies are computed. Larger ones, which a
// caller or another writer may name, mean the same: longer than anything lasts,
// and more than any worker has.
const (
	// MaxEstimateMs is the largest estimate of a run time, a year. A task may take
	// some 40 times as long before it counts as stalled, which must fit into a
	// time.Duration.
	MaxEstimateMs = 366 * 24 * 3600 * 1000
	// MaxTimeMs is the largest other time, 139 years. As an interval it must fit
	// into an int64 MaxTimes times.
	MaxTimeMs = 1 << 42
	// MaxAmount is the largest amount of a resource that a task may request. It
	// must fit into an int64 as often as a job may have tasks.
	MaxAmount = 1 << 41
	// MaxStretch is the largest multiple of the longest chain of steps, which has
	// MaxSteps steps of MaxEstimateMs at most. Three times the objective must fit
	// into an int64.
	MaxStretch = 1e6
)

// Limit reduces each number of the job above the largest one of its kind to that.
func (s *Spec) Limit() {
	s.Policy.Limit()
	s.Repeat.FirstStartMs = min(s.Repeat.FirstStartMs, MaxTimeMs)
	s.Repeat.IntervalMs = min(s.Repeat.IntervalMs, MaxTimeMs)
	for i := range s.Steps {
		st := &s.Steps[i]
		st.EstimateMs = min(st.EstimateMs, MaxEstimateMs)
		st.LatencyTargetMs = min(st.LatencyTargetMs, MaxTimeMs)
		st.Size.CPU = min(st.Size.CPU, MaxAmount)
		st.Size.Memory = min(st.Size.Memory, MaxAmount)
		st.Size.Accelerators = min(st.Size.Accelerators, MaxAmount)
	}
}

// Limit reduces each number of the policy above the largest one of its kind to
// that.
func (p *Policy) Limit() {
	p.Stretch = min(p.Stretch, MaxStretch)
	p.SlackMs = min(p.SlackMs, MaxTimeMs)
	service := &p.PlacementService
	service.CallMs = min(service.CallMs, MaxEstimateMs)
	service.PerWorkerMs = min(service.PerWorkerMs, MaxEstimateMs)
	service.TicketValidMs = min(service.TicketValidMs, MaxTimeMs)
}
