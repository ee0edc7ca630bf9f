// Package eventstream splits a stream of server-sent events into whole events, so that a stream which breaks off in the
// middle of an event can be taken up after the last whole one. The bytes of events stay as they are.
package eventstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrTooLong is returned for an event above the limit of the reader.
var ErrTooLong = errors.New("an event of a stream is too long")

// ErrPartial is returned when a stream ends in the middle of an event.
var ErrPartial = errors.New("the stream ended in the middle of an event")

// Event is one whole event.
type Event struct {
	// Raw are the bytes of the event with the empty line at its end. They are valid until the next call of Next.
	Raw []byte
	// ID is the value of the id field, or empty.
	ID string
}

// Reader reads events one after another.
type Reader struct {
	source *bufio.Reader
	limit  int
	event  []byte
}

// NewReader reads events of at most limit bytes.
func NewReader(source io.Reader, limit int) *Reader {
	return &Reader{source: bufio.NewReaderSize(source, bufferSize), limit: limit}
}

// bufferBytes holds some events of the usual size.
const bufferSize = 2048

// Buffered tells whether more bytes have arrived already.
func (r *Reader) Buffered() bool { return r.source.Buffered() > 0 }

var idField = []byte("id:")

// Next returns the next event. At the end of a stream that ends after a whole event the error is io.EOF.
func (r *Reader) Next() (Event, error) {
	r.event = r.event[:0]
	var event Event
	for {
		lineStart := len(r.event)
		if err := r.readLine(); err != nil {
			return Event{}, r.classifyEnd(err)
		}
		line := bytes.TrimRight(r.event[lineStart:], "\r\n")
		if len(line) == 0 {
			if lineStart == 0 {
				// An empty line before any field belongs to no event and is passed on with the next one.
				continue
			}
			event.Raw = r.event
			return event, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			event.ID = string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
}

// readLine adds one line with its end to the event.
func (r *Reader) readLine() error {
	for {
		chunk, err := r.source.ReadSlice('\n')
		r.event = append(r.event, chunk...)
		if len(r.event) > r.limit {
			return ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// endError tells a clean end from one in the middle of an event.
func (r *Reader) classifyEnd(err error) error {
	if errors.Is(err, io.EOF) && len(bytes.TrimSpace(r.event)) > 0 {
		return ErrPartial
	}
	return err
}
