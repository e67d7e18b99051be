package oper

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits of the log writer.
const (
	logBufferBytes   = 64 << 10 // lines that do not fit are dropped and counted
	logFlushInterval = 100 * time.Millisecond
)

// logWriter buffers log lines and writes them from a goroutine of its own, so
// that a slow reader of the log never delays a decision.
type logWriter struct {
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped int
	out     io.Writer
	stop    chan struct{}
	stopped chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line. It does not wait for the output and never returns an
// error.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > logBufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
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
	lines, dropped := w.buf, w.dropped
	w.buf, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"dropped\":%d,\"message\":\"log: lines dropped\"}\n", dropped)
	}
	if len(lines) > 0 {
		// The error is ignored: there is no other place to report it.
		_, _ = w.out.Write(lines)
	}
	w.spare = lines[:0]
}
