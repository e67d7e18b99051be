package minion

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tamaracklink/tamaracklink/internal/coordination/entry"
)

// TestOnlyConnectionsClosedBeforeTheAnswerAreBroken guards against incomplete
// answers and refused connections that count as the loss of a minion under a
// request.
func TestOnlyConnectionsClosedBeforeTheAnswerAreBroken(t *testing.T) {
	tests := []struct {
		name   string
		answer http.HandlerFunc
		sent   bool
		broken bool
	}{
		{"closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, true, true},
		{"incomplete", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, true, false},
		{"other request", func(http.ResponseWriter, *http.Request) {}, true, false},
		{"down", nil, false, false},
	}
	for _, tt := range tests {
		for _, newConn := range []bool{false, true} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				s := httptest.NewServer(tt.answer)
				defer s.Close()
				if tt.answer == nil {
					s.Close()
				}
				c := New("d", nil)
				defer c.Close()
				_, err := c.Send(context.Background(), strings.TrimPrefix(s.URL, "http://"), &entry.Request{Method: "POST", Path: "/x", AttemptID: "a"}, newConn)
				var sendErr *entry.SendError
				is.True(errors.As(err, &sendErr))
				is.Equal(sendErr.Sent, tt.sent)
				is.Equal(sendErr.Broken, tt.broken)
			})
		}
	}
}
