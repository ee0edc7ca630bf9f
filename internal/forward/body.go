package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// writeSlack is how long after the time of its request an answer may still be written. A caller that does not read it, or is cut off,
// would otherwise hold its request in hand for as long as its connection stands.
const writeGrace = 2 * time.Second

// allowWriting has the time in which an answer may be written begin anew if it is ready after the time of its request: this process may have
// stood still for longer than the bound of before, and would close the connection in place of the answer. Most answers are written once
// their handler has returned.
func extendWriteDeadline(writer http.ResponseWriter, deadline time.Time) {
	if now := time.Now(); now.After(deadline) {
		// An error is that of a writer without a connection, which has nobody to wait for.
		_ = http.NewResponseController(writer).SetWriteDeadline(now.Add(writeGrace))
	}
}

// boundedReadBody reads the body of a request within the time of the request, and bounds the time in which its answer is written.
func readBodyByDeadline(writer http.ResponseWriter, incoming *http.Request, request *Request, limit int64, deadline time.Time) (int, error) {
	connection := http.NewResponseController(writer)
	// Errors are those of a writer without a connection, which has nobody to wait for.
	_ = connection.SetWriteDeadline(deadline.Add(writeGrace))
	if incoming.ContentLength == 0 {
		return 0, nil
	}
	_ = connection.SetReadDeadline(deadline)
	status, err := readBody(writer, incoming, request, limit)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		// What is left of the body must not be taken for the next request.
		writer.Header().Set("Connection", "close")
		return http.StatusRequestTimeout, err
	}
	// From here on the server reads beside the request, and takes the end of a time for the end of the caller.
	_ = connection.SetReadDeadline(time.Time{})
	return status, err
}

// reasonOfBody names the reason for which a body was not read.
func bodyErrorReason(status int) Reason {
	if status == http.StatusRequestTimeout {
		return ReasonTimeout
	}
	return ReasonInvalid
}

// readBody reads the body of a request, which a second try may need again. The status is that of a failed one.
func readBody(writer http.ResponseWriter, incoming *http.Request, request *Request, limit int64) (int, error) {
	if incoming.ContentLength == 0 {
		return 0, nil
	}
	if incoming.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, errors.Newf("step read the body: %d bytes are above the limit of %d",
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
		return http.StatusRequestEntityTooLarge, err
	}
	return http.StatusBadRequest, errors.Wrap(err, "step read the body")
}
