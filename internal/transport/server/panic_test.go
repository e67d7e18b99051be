package server_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/conf"
	"github.com/tamaracklink/tamaracklink/internal/coordination/leader"
	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/coordination/once"
	"github.com/tamaracklink/tamaracklink/internal/standin/pipes"
	"github.com/tamaracklink/tamaracklink/internal/transport/server"
)

// TestRunPanicsIfAPartPanics guards against an instance that goes on serving
// without one of its parts, with nothing in its log.
func TestRunPanicsIfAPartPanics(t *testing.T) {
	tests := []struct {
		name   string
		stream string
		spoil  func(l *ledger.Log)
	}{
		{"configuration reader", conf.Stream, spoilRead},
		{"reader of the idempotency keys", once.Stream, spoilRead},
		{"reader of the domain's stream", leader.StreamName("sfax"), spoilRead},
		{"appender of the domain's stream", leader.StreamName("sfax"), func(l *ledger.Log) {
			l.Append = func(context.Context, ledger.Producer, int64, []ledger.Record) (int64, error) { panic("spoiled") }
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				settings := server.Defaults()
				settings.Instance, settings.Domain, settings.Listen, settings.Platform = "e1", "sfax", "10.0.0.1:1", "10.0.0.9:1"
				network := pipes.New(time.Millisecond)
				i, err := server.NewInstance(settings, server.Env{
					Listen: func(addr string) (net.Listener, error) { return network.Listen(addr, "sfax") },
					Dial: func(context.Context, string, string) (net.Conn, error) {
						return nil, errors.New("unreachable")
					},
					OpenStore: func(string, *http.Client) func(string) ledger.Log {
						return func(stream string) ledger.Log {
							l := emptyLog()
							if stream == tt.stream {
								tt.spoil(&l)
							}
							return l
						}
					},
					Logger: zerolog.Nop(),
				})
				is.NoErr(err)
				ended := make(chan any, 1)
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go func() {
					defer func() { ended <- recover() }()
					_ = i.Run(ctx) // panics
				}()
				select {
				case v := <-ended:
					is.True(strings.Contains(fmt.Sprint(v), "spoiled")) // Run ends with the panic of the part
				case <-time.After(time.Minute):
					t.Error("the instance goes on serving after a part has panicked")
					stop()
					<-ended
				}
				_, err = network.Dialer("sfax")(t.Context(), "tcp", settings.Listen)
				is.True(err != nil) // it no longer listens
			})
		})
	}
}

func spoilRead(l *ledger.Log) {
	l.Read = func(context.Context, int64, int, time.Duration) (ledger.Page, error) { panic("spoiled") }
}

// emptyLog returns a log without records that takes none.
func emptyLog() ledger.Log {
	return ledger.Log{
		Append: func(context.Context, ledger.Producer, int64, []ledger.Record) (int64, error) {
			return 0, &ledger.RefusedError{Reason: "full"}
		},
		Read: func(ctx context.Context, from int64, _ int, wait time.Duration) (ledger.Page, error) {
			select {
			case <-ctx.Done():
				return ledger.Page{}, ctx.Err()
			case <-time.After(wait):
				return ledger.Page{FirstOffset: from, LogEnd: from}, nil
			}
		},
		ReadNewest: func(context.Context, string) (ledger.NewestPage, error) { return ledger.NewestPage{}, nil },
	}
}
