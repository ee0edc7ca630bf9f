// Package eventstream splits a stream of server-sent events into complete events without changing their bytes, so that a
// stream that is cut off within an event can be resumed after the last complete one.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLong is returned for an event that exceeds the limit of the reader.
var ErrTooLong = errors.New("event exceeds the size limit")

// ErrPartial is returned if a stream ends within an event.
var ErrPartial = errors.New("stream ended within an event")

// Event is one complete event.
type Event struct {
	// Raw is the event including the empty line that ends it. It is valid until the next call of Next.
	Raw []byte
	// ID is the value of the id field, or empty.
	ID string
}

// Reader reads events from a stream.
type Reader struct {
	source *bufio.Reader
	// limit is the maximum size of an event in bytes.
	limit int
	// Hold reports whether an event may take so many bytes of memory; nil for any number up to the limit.
	Hold func(size int) bool
	// buffer holds the bytes of the current event.
	buffer []byte
}

// NewReader returns a Reader for events of at most limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferSize), limit: limit}
}

// bufferSize holds several events of typical size.
const bufferSize = 2048

// HasEvent reports whether Next returns an event without waiting for the source.
func (r *Reader) HasEvent() bool {
	// Peek does not fail for bytes that are buffered.
	received, _ := r.source.Peek(r.source.Buffered())
	received = bytes.TrimLeft(received, "\r\n")
	return bytes.Contains(received, []byte("\n\n")) || bytes.Contains(received, []byte("\n\r\n"))
}

var idField = []byte("id:")

// Next returns the next event. The error is io.EOF if the stream ends after a complete event.
func (r *Reader) Next() (Event, error) {
	r.buffer = r.buffer[:0]
	var event Event
	for {
		lineStart := len(r.buffer)
		if err := r.readLine(); err != nil {
			return Event{}, r.classifyEnd(err)
		}
		line := bytes.TrimRight(r.buffer[lineStart:], "\r\n")
		if len(line) == 0 {
			if lineStart == 0 {
				// An empty line before any field belongs to no event and is prepended to the next one.
				continue
			}
			event.Raw = r.buffer
			return event, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			event.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// readLine appends one line with its line ending to the buffer.
func (r *Reader) readLine() error {
	for {
		chunk, err := r.source.ReadSlice('\n')
		r.buffer = append(r.buffer, chunk...)
		if len(r.buffer) > r.limit || r.Hold != nil && !r.Hold(cap(r.buffer)) {
			return ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// classifyEnd returns ErrPartial for a stream that ended within an event, and err otherwise.
func (r *Reader) classifyEnd(err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.buffer)) > 0 {
		return ErrPartial
	}
	return err
}
