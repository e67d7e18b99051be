package stream

import (
	"context"
	"time"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/parts"
)

// Stream follows one stream and appends to it.
type Stream struct {
	*Follower
	appender *Appender
}

// New returns a Stream that applies the stream's records to the state machine
// sm and appends at most once per interval. Run must be called to start it.
func New(cfg FollowerConfig, interval time.Duration, log ledger.Log, sm StateMachine) *Stream {
	return &Stream{Follower: NewFollower(cfg, log, sm), appender: NewAppender(log, cfg.Stream, interval)}
}

// Append appends one record with the content, in one batch with those of other
// callers. After an error the record may have been appended all the same.
func (s *Stream) Append(ctx context.Context, content []byte) error {
	return s.appender.Append(ctx, content)
}

// Run follows the stream and appends to it until ctx ends. It must be called
// once.
func (s *Stream) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	wg := parts.New()
	wg.Go(func() { s.appender.Run(ctx) })
	wg.Go(func() { s.Follower.Run(ctx) })
	wg.Wait()
}
