package flow

// LongestChainMs returns the longest chain of estimates of dependent steps, in ms.
func (s *Spec) LongestChainMs() int64 {
	longestTo := make([]int64, len(s.Steps))
	longest := int64(0)
	for i := range s.Steps {
		for _, dependency := range s.Steps[i].After {
			longestTo[i] = max(longestTo[i], longestTo[dependency])
		}
		longestTo[i] += s.Steps[i].EstimateMs
		longest = max(longest, longestTo[i])
	}
	return longest
}

// ObjectiveMs returns the time in ms within which a round of the job should be
// complete: the policy's multiple of the longest chain of estimates, plus slack.
func (s *Spec) ObjectiveMs() int64 {
	return int64(s.Policy.Stretch*float64(s.LongestChainMs())) + s.Policy.SlackMs
}
