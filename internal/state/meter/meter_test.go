package meter

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestGaugeLabels(t *testing.T) {
	is := is.New(t)
	s := New()
	s.Gauge("runs", 3)
	s.Gauge("waiting", 5, "queue", "a", "reason", "no-room")
	s.Gauge("waiting", 7, "queue", "a", "reason", "querying")
	s.Gauge("waiting", 6, "queue", "a", "reason", "no-room")
	var out strings.Builder
	s.Write(&out)
	is.Equal(out.String(), `runs{} 3
waiting{queue="a",reason="no-room"} 6
waiting{queue="a",reason="querying"} 7
`)
}
