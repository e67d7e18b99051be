package oper

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of the log writer.
const (
	logBuffer = 64 << 10 // bytes; lines beyond are dropped and counted
	logFlush  = 100 * time.Millisecond
)

// logWriter gathers log lines and writes them from a goroutine of its own, so
// that a slow reader of the log never holds up a decision.
type logWriter struct {
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped int
	out     io.Writer
	done    chan struct{}
	ended   chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, done: make(chan struct{}), ended: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > logBuffer {
		w.dropped++
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

// Close writes what is left.
func (w *logWriter) Close() {
	close(w.done)
	<-w.ended
}

func (w *logWriter) run() {
	defer close(w.ended)
	t := time.NewTicker(logFlush)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-w.done:
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
		// There is nowhere else to say that the log can't be written.
		_, _ = w.out.Write(lines)
	}
	w.spare = lines[:0]
}
