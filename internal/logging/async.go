package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter passes lines to a slow output without blocking the caller. If the output does not keep up, lines are
// dropped and counted.
type AsyncWriter struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, and done once the buffered lines are written. lines is never closed, because a line may
	// be written during or after Close.
	closing, done chan struct{}
	once          sync.Once
}

// NewAsyncWriter returns a writer that buffers at most capacity lines.
func NewAsyncWriter(output io.Writer, capacity int) *AsyncWriter {
	writer := &AsyncWriter{
		output: output, lines: make(chan []byte, capacity), closing: make(chan struct{}), done: make(chan struct{}),
	}
	go writer.run()
	return writer
}

// Write implements io.Writer. It copies the line and never fails. Lines written after Close are lost.
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

// closeTimeout is how long Close waits for an output that blocks.
const closeTimeout = 200 * time.Millisecond

// Close writes the buffered lines and stops the writer. It gives up the lines that a blocked output doesn't take.
func (w *AsyncWriter) Close() error {
	w.once.Do(func() { close(w.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
	return nil
}

// run writes lines until Close, and then those that are buffered.
func (w *AsyncWriter) run() {
	defer close(w.done)
	var reported int64
	for {
		select {
		case line := <-w.lines:
			reported = w.write(line, reported)
		case <-w.closing:
			for range len(w.lines) {
				reported = w.write(<-w.lines, reported)
			}
			return
		}
	}
}

// write writes a line, after one about the lines that were dropped since the last report. It returns the number reported.
func (w *AsyncWriter) write(line []byte, reported int64) int64 {
	dropped := w.dropped.Load()
	if dropped > reported {
		_, _ = fmt.Fprintf(w.output, "logging: %d lines were dropped because the output did not keep up.\n", dropped-reported)
	}
	_, _ = w.output.Write(line)
	return dropped
}
