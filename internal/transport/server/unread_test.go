package server_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/tamaracklink/tamaracklink/internal/coordination/ledger"
	"github.com/tamaracklink/tamaracklink/internal/standin/pipes"
	"github.com/tamaracklink/tamaracklink/internal/transport/server"
)

// TestUnreadAnswersDoNotFailShutdown guards against clients that make a graceful
// shutdown end with an error by not reading their answers.
func TestUnreadAnswersDoNotFailShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		settings := server.Defaults()
		settings.Instance, settings.Domain, settings.Listen, settings.Platform = "e1", "sfax", "10.0.0.1:1", "10.0.0.9:1"
		network := pipes.New(time.Millisecond)
		i, err := server.NewInstance(settings, server.Env{
			Listen: func(addr string) (net.Listener, error) { return network.Listen(addr, "sfax") },
			Dial:   func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("unreachable") },
			OpenStore: func(string, *http.Client) func(string) ledger.Log {
				return func(string) ledger.Log { return emptyLog() }
			},
			Logger: zerolog.Nop(),
		})
		is.NoErr(err)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		ended := make(chan error, 1)
		go func() { ended <- i.Run(ctx) }()
		conn, err := network.Dialer("sfax")(t.Context(), "tcp", settings.Listen)
		is.NoErr(err)
		go func() {
			_, _ = io.WriteString(conn, strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 10_000)) // ends when the connection is closed
		}()
		time.Sleep(time.Second)
		stop()
		is.NoErr(<-ended)
	})
}
