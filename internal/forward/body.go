package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
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

// readBodyByDeadline reads the request body before the deadline, and sets the deadline for writing the response.
func readBodyByDeadline(writer http.ResponseWriter, incoming *http.Request, request *Request, limit int64, deadline time.Time) (int, error) {
	connection := http.NewResponseController(writer)
	// Writers without a connection return errors, which are ignored.
	_ = connection.SetWriteDeadline(deadline.Add(writeGrace))
	if incoming.ContentLength == 0 {
		return 0, nil
	}
	_ = connection.SetReadDeadline(deadline)
	status, err := readBody(writer, incoming, request, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// Closing the connection keeps the unread rest of the body from being parsed as the next request.
		closeBehind(writer.Header())
		return http.StatusRequestTimeout, err
	}
	// net/http keeps reading from the connection and would treat an expired read deadline as a disconnect.
	_ = connection.SetReadDeadline(time.Time{})
	return status, err
}

// bodyErrorReason returns the report's reason for a body that could not be read.
func bodyErrorReason(status int) Reason {
	if status == http.StatusRequestTimeout {
		return ReasonTimeout
	}
	return ReasonInvalid
}

// readBody buffers the request body, which retries need. On error it returns the status to respond with.
func readBody(writer http.ResponseWriter, incoming *http.Request, request *Request, limit int64) (int, error) {
	if incoming.ContentLength == 0 {
		return 0, nil
	}
	if incoming.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, errors.Newf("read the body: %d bytes exceed the limit of %d",
			incoming.ContentLength, limit)
	}
	var err error
	source := http.MaxBytesReader(writer, incoming.Body, limit)
	if incoming.ContentLength > 0 {
		request.Body = make([]byte, incoming.ContentLength)
		_, err = io.ReadFull(source, request.Body)
	} else {
		request.Body, err = io.ReadAll(source)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge, errors.Wrapf(err, "read the body, limited to %d bytes", limit)
	}
	return http.StatusBadRequest, errors.Wrap(err, "read the body")
}
