package guard

import "context"

// Slots limits how many callers do something at a time. A nil Slots limits
// nothing.
type Slots chan struct{}

// Take waits for a slot. The error is that of ctx.
func (s Slots) Take(ctx context.Context) error {
	if s == nil {
		return nil
	}
	select {
	case s <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release gives back a slot that Take has returned.
func (s Slots) Release() {
	if s != nil {
		<-s
	}
}
