package logging

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// TestWriteAfterClose guards against a panic, and so an end of the process, because a goroutine logs while the process stops.
func TestWriteAfterClose(t *testing.T) {
	var output bytes.Buffer
	writer := NewAsyncWriter(&output, 4)
	_, _ = io.WriteString(writer, "before\n")
	_ = writer.Close()
	_, _ = io.WriteString(writer, "after\n")
	_ = writer.Close()
	if output.String() != "before\n" {
		t.Errorf("got %q", output.String())
	}
}

// blockedOutput blocks until it is closed.
type blockedOutput chan struct{}

// Write implements io.Writer.
func (b blockedOutput) Write(line []byte) (int, error) {
	<-b
	return len(line), nil
}

// TestCloseWithBlockedOutput guards against a process that can't end because nobody reads its log, and against callers that wait for it.
func TestCloseWithBlockedOutput(t *testing.T) {
	output := make(blockedOutput)
	defer close(output)
	writer := NewAsyncWriter(output, 4)
	for range 10 {
		_, _ = io.WriteString(writer, "line\n")
	}
	if writer.Dropped() < 5 {
		t.Errorf("%d lines were dropped, want 5 or more", writer.Dropped())
	}
	closed := make(chan struct{})
	go func() {
		_ = writer.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * closeTimeout):
		t.Error("Close waits for the output")
	}
}
