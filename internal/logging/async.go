package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter passes lines to a slow output without blocking the caller. If the output does not keep up, lines are
// dropped and counted.
type AsyncWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that buffers at most capacity lines.
func NewAsyncWriter(output io.Writer, capacity int) *AsyncWriter {
	writer := &AsyncWriter{output: output, lines: make(chan []byte, capacity), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write implements io.Writer. It copies the line and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer. Write must not be called afterwards.
func (w *AsyncWriter) Close() error {
	w.once.Do(func() { close(w.lines) })
	<-w.done
	return nil
}

// run writes buffered lines, and a line about dropped ones.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var reported int64
	for line := range w.lines {
		if dropped := w.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(w.output, "logging: %d lines were dropped because the output did not keep up.\n", dropped-reported)
			reported = dropped
		}
		_, _ = w.output.Write(line)
	}
}
