package forward

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/eventstream"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// maxWholeBytes bounds the answers that are not streams.
const maxBufferedBytes = 16 << 20

// wholeAnswer is an answer that is not a stream, read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// readWhole reads an answer to its end, so that one that breaks off can still be replaced by another.
func readBuffered(answer *Answer) (*bufferedAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBufferedBytes {
		return nil, errors.Newf("step receive the answer: it is above %d bytes", maxBufferedBytes)
	}
	return &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}, nil
}

// write gives the answer to the caller.
func (w *bufferedAnswer) write(writer http.ResponseWriter) {
	copyHeaders(writer.Header(), w.header)
	writer.Header().Set("Content-Length", strconv.Itoa(len(w.body)))
	writer.WriteHeader(w.status)
	_, _ = writer.Write(w.body)
}

// copyHeader copies the header of a worker and keeps net/http from guessing a type.
func copyHeaders(dst, src http.Header) {
	maps.Copy(dst, src)
	if _, present := dst["Content-Type"]; !present {
		dst["Content-Type"] = nil
	}
}

// relay passes the events of a stream on to a caller. Several workers may serve one stream after another; the head is that
// of the first one.
//
// Invariant: the caller gets whole events, each once and in order.
type relay struct {
	writer http.ResponseWriter
	// onAnswer is called at the first sign of an answer of each worker.
	onResponse func()
	// mayPass is called before that, and tells whether the answer may be passed on.
	acceptResponse func() bool
	// started is set once the head was passed on.
	started   bool
	firstByte time.Time
	// lastEvent is the id of the last event that the caller has, or empty.
	lastEvent string
}

// stream passes on the events of one worker. It returns nil at a clean end.
func (r *relay) stream(answer *Answer) error {
	events := eventstream.NewReader(answer.Body, maxEventBytes)
	accepted := false
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			r.writeHead(answer)
			return nil
		}
		if err != nil {
			return err
		}
		if !accepted {
			if !r.acceptResponse() {
				return errSilent
			}
			accepted = true
			r.onResponse()
		}
		if r.isDuplicate(event) {
			continue
		}
		r.writeHead(answer)
		if err := r.writeEvent(event, !events.Buffered()); err != nil {
			return err
		}
	}
}

// begin passes the head on, once.
func (r *relay) writeHead(answer *Answer) {
	if r.started {
		return
	}
	r.started = true
	r.firstByte = time.Now()
	copyHeaders(r.writer.Header(), answer.Header)
	r.writer.WriteHeader(answer.Status)
}

// pass writes one event, and sends it on its way unless more has arrived already.
func (r *relay) writeEvent(event eventstream.Event, flush bool) error {
	if _, err := r.writer.Write(event.Raw); err != nil {
		return &CallerError{Cause: err}
	}
	if event.ID != "" {
		r.lastEvent = event.ID
	}
	if !flush {
		return nil
	}
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// repeated tells whether the caller has an event already.
func (r *relay) isDuplicate(event eventstream.Event) bool {
	last, lastErr := strconv.ParseInt(r.lastEvent, 10, 64)
	current, currentErr := strconv.ParseInt(event.ID, 10, 64)
	return lastErr == nil && currentErr == nil && current <= last
}
