package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter hands lines to a slow output without ever making the caller wait: when the output does not keep up, lines are
// dropped and counted.
type AsyncWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that holds at most so many lines.
func NewAsyncWriter(output io.Writer, capacity int) *AsyncWriter {
	writer := &AsyncWriter{output: output, lines: make(chan []byte, capacity), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write is part of io.Writer. It takes a copy of the line and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is held and stops. Nothing may be written afterwards.
func (w *AsyncWriter) Close() error {
	w.once.Do(func() { close(w.lines) })
	<-w.done
	return nil
}

// run writes lines, and a line about those that were dropped.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var reported int64
	for line := range w.lines {
		if dropped := w.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(w.output, "logging: %d lines were dropped, because the output did not keep up.\n", dropped-reported)
			reported = dropped
		}
		_, _ = w.output.Write(line)
	}
}
