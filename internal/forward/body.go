package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/intake"
)

// writeGrace is how long after the deadline of its request a response may still be written. It limits how long a caller that has
// stopped reading occupies a request.
const writeGrace = 2 * time.Second

// extendWriteDeadline gives a response that is ready only after the request deadline time to be written. Otherwise the server would close
// the connection without a response, for example after the process was suspended.
func extendWriteDeadline(writer http.ResponseWriter, deadline time.Time) {
	if now := time.Now(); now.After(deadline) {
		// Writers without a connection return an error, which is ignored.
		_ = http.NewResponseController(writer).SetWriteDeadline(now.Add(writeGrace))
	}
}

// unreadBodyTime is how long the response to a request whose body was not read may be held back for the rest of the body. A body that is
// already on its way arrives within it, and its connection can be kept.
const unreadBodyTime = 50 * time.Millisecond

// boundUnreadBody limits how long net/http waits for the rest of a body before it sends the response. It closes the connection after that.
func boundUnreadBody(writer http.ResponseWriter) {
	// Writers without a connection return an error, which is ignored.
	_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(unreadBodyTime))
}

// OverloadRetryAfter is when a caller may come back whose request was refused because there was no room for it.
const OverloadRetryAfter = 500 * time.Millisecond

// EvictedError says that a request lost its place before all of it had arrived.
type EvictedError struct{}

// Error implements error.
func (*EvictedError) Error() string {
	return "the request lost its place to another one before all of it had arrived"
}

// errNoRoom is returned for a body for which there is no room beside those of other requests.
var errNoRoom = errors.New("the requests that arrive hold all the bytes that they may")

// bodyReader reads the body of a request.
type bodyReader struct {
	writer   http.ResponseWriter
	incoming *http.Request
	request  *Request
	limit    int64
	deadline time.Time
	// share is what the connection holds; nil if that is not bounded.
	share *intake.Conn
}

// readByDeadline reads the body before the deadline, and sets the deadline for writing the response. On error it returns the status to respond with.
func (b *bodyReader) readByDeadline() (int, error) {
	connection := http.NewResponseController(b.writer)
	// Writers without a connection return errors, which are ignored.
	_ = connection.SetWriteDeadline(b.deadline.Add(writeGrace))
	if b.incoming.ContentLength == 0 {
		return 0, nil
	}
	_ = connection.SetReadDeadline(b.deadline)
	status, err := b.read()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Closing the connection keeps the unread rest of the body from being parsed as the next request.
		closeBehind(b.writer.Header())
		return http.StatusRequestTimeout, err
	}
	if status == http.StatusServiceUnavailable {
		closeBehind(b.writer.Header())
		return status, err
	}
	// net/http keeps reading from the connection and would treat an expired read deadline as a disconnect.
	_ = connection.SetReadDeadline(time.Time{})
	return status, err
}

// bodyErrorReason returns the report's reason for a body that could not be read.
func bodyErrorReason(status int) Reason {
	switch status {
	case http.StatusRequestTimeout:
		return ReasonTimeout
	case http.StatusServiceUnavailable:
		return ReasonOverload
	default:
		return ReasonInvalid
	}
}

// read buffers the body, which retries need.
func (b *bodyReader) read() (int, error) {
	if b.incoming.ContentLength > b.limit {
		return http.StatusRequestEntityTooLarge, errors.Newf("read the body: %d bytes exceed the limit of %d", b.incoming.ContentLength, b.limit)
	}
	var err error
	b.request.Body, err = b.readAll(http.MaxBytesReader(b.writer, b.incoming.Body, b.limit))
	var tooLarge *http.MaxBytesError
	var evicted *EvictedError
	switch {
	case err == nil:
		return 0, nil
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, errors.Wrapf(err, "read the body, limited to %d bytes", b.limit)
	case errors.Is(err, errNoRoom), errors.As(err, &evicted):
		return http.StatusServiceUnavailable, errors.Wrap(err, "read the body")
	default:
		return http.StatusBadRequest, errors.Wrap(err, "read the body")
	}
}

// holdParsed reports whether there is room for what a protocol makes of the body. One with labels copies it.
func (b *bodyReader) holdParsed(protocol Protocol) bool {
	if _, isLabelled := protocol.(LabelledProtocol); !isLabelled {
		return true
	}
	return b.share.Hold(b.share.Size() + len(b.request.Body))
}

// Sizes of the buffer for a body, which grows as the body arrives: at first, for a body of unknown length, and for one with a length.
const (
	minBodyBuffer  = 512
	maxFirstBuffer = 64 << 10
)

// readAll reads the body into a buffer for which there is room beside the header.
func (b *bodyReader) readAll(source io.Reader) ([]byte, error) {
	header := b.share.Size()
	// A body of unknown length ends with a read that finds nothing.
	most, size := int(b.limit)+1, minBodyBuffer
	if length := int(b.incoming.ContentLength); length > 0 {
		most, size = length, min(length, maxFirstBuffer)
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			if len(content) > 0 {
				size = min(2*len(content), most)
			}
			if !b.share.Hold(header + size) {
				return nil, errNoRoom
			}
			content = append(make([]byte, 0, size), content...)
		}
		n, err := source.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case b.incoming.ContentLength == int64(len(content)), err == io.EOF && b.incoming.ContentLength < 0:
			return content, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}
