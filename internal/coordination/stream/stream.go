package stream

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
)

// Stream is a stream as a part of an instance uses it: followed into a fold, and
// appended to.
type Stream struct {
	*Follower
	appender *Appender
}

// New gives a stream that has read nothing and appends at most once in each pause.
func New(cfg FollowConfig, pause time.Duration, log ledger.Log, fold Fold) *Stream {
	return &Stream{Follower: NewFollower(cfg, log, fold), appender: NewAppender(log, cfg.Stream, pause)}
}

// Append adds one record's content. An error leaves open whether it took effect.
func (s *Stream) Append(ctx context.Context, content []byte) error {
	return s.appender.Append(ctx, content)
}

// Run follows and appends until ctx ends.
func (s *Stream) Run(ctx context.Context) {
	parts := conc.NewWaitGroup()
	parts.Go(func() { s.appender.Run(ctx) })
	parts.Go(func() { s.Follower.Run(ctx) })
	parts.Wait()
}
