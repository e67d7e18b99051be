package oper

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// writes records each call to Write.
type writes struct{ calls []string }

func (w *writes) Write(b []byte) (int, error) {
	w.calls = append(w.calls, string(b))
	return len(b), nil
}

// unstartedLogWriter returns a log writer that is flushed by its test only.
func unstartedLogWriter() (*logWriter, *writes) {
	out := &writes{}
	return &logWriter{out: out}, out
}

func TestLogWriterWritesWholeLinesInBoundedPieces(t *testing.T) {
	tests := []struct {
		name      string
		lineBytes []int
		want      []int // bytes of each write
	}{
		{"nothing", nil, nil},
		{"one short line", []int{200}, []int{200}},
		{"exactly one write", []int{2048, 2048}, []int{4096}},
		{"one byte more", []int{2048, 2049}, []int{2048, 2049}},
		{"a line longer than a write", []int{100, 5000, 100}, []int{100, 5000, 100}},
		{"many lines", []int{1500, 1500, 1500, 1500, 1500}, []int{3000, 3000, 1500}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, out := unstartedLogWriter()
			all := ""
			for i, n := range tt.lineBytes {
				line := strings.Repeat(string(rune('a'+i)), n-1) + "\n"
				all += line
				_, err := w.Write([]byte(line))
				is.NoErr(err)
			}
			w.flush()
			var got []int
			for _, c := range out.calls {
				is.True(strings.HasSuffix(c, "\n"))
				got = append(got, len(c))
			}
			is.Equal(got, tt.want)
			is.Equal(strings.Join(out.calls, ""), all)
		})
	}
}

// TestLogWriterKeepsRoomBesideFrequentLines checks that lines about single jobs
// and workers don't displace warnings and the lines about the instance, and
// that the buffer is bounded for these too.
func TestLogWriterKeepsRoomBesideFrequentLines(t *testing.T) {
	is := is.New(t)
	w, out := unstartedLogWriter()
	logger := zerolog.New(w)
	for i := range 1000 {
		field := []string{"job", "what"}[i%2]
		logger.Info().Str(field, fmt.Sprint(i)).Str("pad", strings.Repeat("x", 200)).Msg("leader: decision")
	}
	is.True(len(w.buf) <= logBufferBytes-logReservedBytes)
	dropped := w.dropped
	is.True(dropped > 0)
	is.Equal(w.droppedFrequent, dropped)
	logger.Info().Int("runs", 3).Msg("leader: state")
	logger.Warn().Str("job", "a").Msg("leader: placement query failed")
	logger.Info().Msg("site: stopped")
	logger.Info().Str("job", "b").Str("pad", strings.Repeat("x", 200)).Msg("leader: decision")
	w.flush()
	text := strings.Join(out.calls, "")
	for _, want := range []string{"leader: state", "leader: placement query failed", "site: stopped", fmt.Sprintf(`"dropped":%d,"dropped-frequent":%d,`, dropped+1, dropped+1)} {
		is.True(strings.Contains(text, want))
	}
	is.Equal(strings.Count(text, "leader: decision")+dropped+1, 1001)

	for range 1000 {
		logger.Warn().Str("pad", strings.Repeat("x", 200)).Msg("other")
	}
	is.True(len(w.buf) <= logBufferBytes)
	is.True(w.dropped > 0)
	is.Equal(w.droppedFrequent, 0)
}

func TestLogWriterCloseWritesTheRest(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := newLogWriter(&out)
	_, err := w.Write([]byte("last\n"))
	is.NoErr(err)
	w.Close()
	is.Equal(out.String(), "last\n")
}
