package oper

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limits of the log writer.
const (
	// logBufferBytes is the size of the buffer. Lines that do not fit are dropped
	// and counted.
	logBufferBytes = 80 << 10
	// logReservedBytes is the part of the buffer that frequent lines leave to all
	// others. It holds some 60 lines.
	logReservedBytes = 16 << 10
	// logWriteBytes bounds a single write, unless one line is longer. It is half
	// of the 8 KB from which on a collector cuts writes.
	logWriteBytes    = 4 << 10
	logFlushInterval = 100 * time.Millisecond
)

// frequentFields are the starts of fields that mark a line as frequent: lines
// about single jobs and decisions of the leader, whose number grows with the
// load and the number of workers.
var frequentFields = [][]byte{[]byte(`"job":"`), []byte(`"what":"`)}

// logWriter buffers log lines and writes them from a goroutine of its own, so
// that a slow reader of the log never delays a decision. Frequent lines below
// the level warn are dropped first.
type logWriter struct {
	mu              sync.Mutex
	buf             []byte
	spare           []byte
	dropped         int // lines dropped since the last flush
	droppedFrequent int // frequent ones among them
	out             io.Writer
	stop            chan struct{}
	stopped         chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line of unknown level.
func (w *logWriter) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.NoLevel, line)
}

// WriteLevel buffers a line. It does not wait for the output and never returns
// an error. It implements zerolog.LevelWriter.
func (w *logWriter) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	frequent := level < zerolog.WarnLevel && isFrequent(line)
	limit := logBufferBytes
	if frequent {
		limit -= logReservedBytes
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > limit {
		w.dropped++
		if frequent {
			w.droppedFrequent++
		}
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

func isFrequent(line []byte) bool {
	for _, f := range frequentFields {
		if bytes.Contains(line, f) {
			return true
		}
	}
	return false
}

// Close writes the buffered lines and stops the goroutine. It must be called
// once.
func (w *logWriter) Close() {
	close(w.stop)
	<-w.stopped
}

func (w *logWriter) run() {
	defer close(w.stopped)
	t := time.NewTicker(logFlushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *logWriter) flush() {
	w.mu.Lock()
	lines, dropped, droppedFrequent := w.buf, w.dropped, w.droppedFrequent
	w.buf, w.dropped, w.droppedFrequent = w.spare[:0], 0, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"dropped\":%d,\"dropped-frequent\":%d,\"message\":\"log: lines dropped\"}\n", dropped, droppedFrequent)
	}
	for rest := lines; len(rest) > 0; {
		n := wholeLines(rest, logWriteBytes)
		// The error is ignored: there is no other place to report it.
		_, _ = w.out.Write(rest[:n])
		rest = rest[n:]
	}
	w.spare = lines[:0]
}

// wholeLines returns the length of the longest prefix of b that consists of
// whole lines and has at most maxBytes, or that of the first line if this is
// longer.
func wholeLines(b []byte, maxBytes int) int {
	if len(b) <= maxBytes {
		return len(b)
	}
	if n := bytes.LastIndexByte(b[:maxBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(b, '\n'); n >= 0 {
		return n + 1
	}
	return len(b)
}
