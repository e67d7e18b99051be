package core

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/state/flow"
	"github.com/tamaracklink/tamaracklink/internal/state/keys"
	"github.com/tamaracklink/tamaracklink/internal/state/meter"
)

// TestProofOfConfig guards against a proof from a read that does not show that the
// configuration in force is the newest one.
func TestProofOfConfig(t *testing.T) {
	uptime := 100 * time.Second
	c := New(Settings{
		Now: time.Now, Uptime: func() time.Duration { return uptime }, Logger: zerolog.Nop(), Meter: meter.New(),
		Keys: keys.Bounds{Strict: true, Revoke: 5 * time.Second},
		DecodeConfig: func(r ledger.Record) (*flow.Config, error) {
			if len(r.Value) == 0 {
				return nil, errors.New("odd")
			}
			return &flow.Config{Version: int64(r.Value[0]), CustomersOn: true, Queues: []flow.Queue{{Name: "q"}}}, nil
		},
	})
	config := func(version byte) []ledger.Record { return []ledger.Record{{Value: []byte{version}}} }
	odd := []ledger.Record{{}}
	const none = 0
	c.loopedAt.Store(int64(uptime))
	for _, tt := range []struct {
		name    string
		batch   ledger.Batch
		want    time.Duration // time of the proof
		version int64
	}{
		{"load", ledger.Batch{Reset: true, Records: config(2)}, none, 2},
		{"end of the log", ledger.Batch{CaughtUp: true, SentUptime: 98 * time.Second}, 98 * time.Second, 2},
		{"failed read", ledger.Batch{Err: errors.New("no answer")}, 98 * time.Second, 2},
		{"not at the end", ledger.Batch{Records: config(3), SentUptime: 99 * time.Second}, 98 * time.Second, 3},
		{"can't be decoded", ledger.Batch{Records: odd, CaughtUp: true, SentUptime: 99 * time.Second}, none, 3},
		{"older version", ledger.Batch{Records: config(2), CaughtUp: true, SentUptime: 99 * time.Second}, none, 3},
		{"decoded again", ledger.Batch{Records: config(4), CaughtUp: true, SentUptime: 99 * time.Second}, 99 * time.Second, 4},
		{"newest of two can't be decoded", ledger.Batch{Records: append(config(5), odd...), CaughtUp: true, SentUptime: 99 * time.Second}, none, 5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c.applyConfig(tt.batch)
			is.Equal(c.Keys().Proof, keys.Proof{Valid: tt.want != none, SentAt: tt.want})
			is.Equal(c.Keys().Config.Version, tt.version)
			is.Equal(c.NotReadyReason(t.Context()) == "no replica has answered lately", tt.want != none)
		})
	}
}
