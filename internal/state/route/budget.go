package route

// Bounds of the retry budget.
const (
	retriesPerRequest = 0.1 // tokens that each first attempt adds
	maxSavedRetries   = 20  // tokens that the budget holds at most
)

// Budget is a token bucket that limits retries to a fraction of the requests, so
// that retries can't multiply an overload. The zero value is an empty budget. It
// is not safe for concurrent use.
type Budget struct {
	tokens float64
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest() { b.tokens = min(b.tokens+retriesPerRequest, maxSavedRetries) }

// TakeRetry takes one retry from the budget. It reports whether one was left.
func (b *Budget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// NewBudget returns a half-full budget, so that requests can be retried in the
// first minutes, before many requests have added to it.
func NewBudget() *Budget { return &Budget{tokens: maxSavedRetries / 2} }
