package forward

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/bytebudget"
	"github.com/granitebay/granitebay/internal/eventstream"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// maxBufferedBytes bounds the size of responses that are not streams.
const maxBufferedBytes = 16 << 20

// Bounds of the memory that the responses of all requests hold together: what goes beyond the first smallResponseBytes of each.
const (
	maxHeldBytes       = 20 << 20
	smallResponseBytes = 64 << 10
)

// bufferedResponse is a complete response that is not a stream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// readBuffered reads a complete response, which a reservation holds, so that nothing has been forwarded if it is truncated and the request is retried.
func readBuffered(response *Response, held *bytebudget.Reservation) (*bufferedResponse, error) {
	body, err := held.ReadAll(response.Body, maxBufferedBytes)
	if errors.IsAny(err, bytebudget.ErrTooLong, bytebudget.ErrExhausted) {
		return nil, errors.Wrap(err, "receive the response")
	}
	if err != nil {
		return nil, err
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body}, nil
}

// write sends the response to the caller.
func (b *bufferedResponse) write(writer http.ResponseWriter) {
	copyHeaders(writer.Header(), b.header)
	writer.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	writer.WriteHeader(b.status)
	_, _ = writer.Write(b.body)
}

// copyHeaders copies the headers of a worker's response and keeps net/http from guessing a content type.
func copyHeaders(dst, src http.Header) {
	maps.Copy(dst, src)
	if _, present := dst["Content-Type"]; !present {
		dst["Content-Type"] = nil
	}
}

// relay forwards the events of a stream to the caller. Several workers may serve parts of one stream; the headers are those of the first.
//
// Invariant: the caller gets complete events, each once and in order.
type relay struct {
	writer http.ResponseWriter
	// deadline is that of the request. Events that are ready after it, for example after the process was suspended, are written as well.
	deadline time.Time
	// onResponse is called at the first event of each worker's response.
	onResponse func()
	// checkResponse is called at the first event of each worker's response, after onResponse, and returns why its events must not be forwarded; may
	// be nil.
	checkResponse func() error
	// onFirstEvent is called before the first event of the stream is written, unless an earlier request brought it; may be nil.
	onFirstEvent func()
	// onEvent is called for each event that a worker sends, in order, with the time that forwarding the one before took; may be nil.
	onEvent func(forwarding time.Duration)
	// eventArrived receives when the last event arrived; may be nil.
	eventArrived *time.Time
	// acceptResponse is called before onResponse. It marks the response as started and reports whether it may be forwarded.
	acceptResponse func() bool
	// held holds the memory of the events; nil for any.
	held *bytebudget.Reservation
	// watch is told when the relay waits for the worker and when something has arrived, and reports whether an event may be forwarded.
	watch interface {
		Wait()
		Received() bool
	}
	// started is set once the headers have been written, and onStart is called before that.
	started bool
	onStart func()
	// begun is set once the stream has its first event, from this request or an earlier one.
	begun bool
	// unflushed is set while events have been written that may not have been sent.
	unflushed bool
	// lastEvent is the id of the last event that was sent to the caller, or empty.
	lastEvent string
}

// stream forwards the events of one worker. It returns nil at the regular end of the stream.
func (r *relay) stream(response *Response) error {
	err := r.forwardEvents(response)
	if err != nil && r.unflushed {
		// The caller gets what was written, whatever follows. A write error means that it has disconnected.
		_ = r.flush()
	}
	return err
}

// forwardEvents is stream without the flush after an error.
func (r *relay) forwardEvents(response *Response) error {
	events := eventstream.NewReader(response.Body, maxEventBytes)
	events.Hold = r.held.Hold
	accepted := false
	var forwarding time.Duration
	for {
		r.watch.Wait()
		event, err := events.Next()
		current := r.watch.Received()
		if err == io.EOF {
			// The stream is whole, even if the response was just abandoned: all its events have been forwarded. A wrapped io.EOF is not its
			// end, but says why it broke off.
			r.writeHead(response)
			return nil
		}
		if !current {
			return errStalled
		}
		if err != nil {
			return err
		}
		if r.eventArrived != nil {
			*r.eventArrived = time.Now()
		}
		if !accepted {
			if !r.acceptResponse() {
				return errSilent
			}
			accepted = true
			r.onResponse()
			if err := r.check(); err != nil {
				return err
			}
		}
		if r.onEvent != nil {
			r.onEvent(forwarding)
			forwarding = 0
		}
		if r.isDuplicate(event) {
			continue
		}
		r.announceFirstEvent()
		r.writeHead(response)
		start := time.Now()
		if err := r.writeEvent(event, !events.HasEvent()); err != nil {
			return err
		}
		forwarding = time.Since(start)
	}
}

// check calls checkResponse.
func (r *relay) check() error {
	if r.checkResponse == nil {
		return nil
	}
	return r.checkResponse()
}

// announceFirstEvent calls onFirstEvent once.
func (r *relay) announceFirstEvent() {
	if r.begun {
		return
	}
	r.begun = true
	if r.onFirstEvent != nil {
		r.onFirstEvent()
	}
}

// writeHead writes the status and the headers once.
func (r *relay) writeHead(response *Response) {
	if r.started {
		return
	}
	r.started = true
	r.onStart()
	extendWriteDeadline(r.writer, r.deadline)
	copyHeaders(r.writer.Header(), response.Header)
	r.writer.WriteHeader(response.Status)
}

// writeEvent writes one event, and flushes it if asked to.
func (r *relay) writeEvent(event eventstream.Event, flush bool) error {
	extendWriteDeadline(r.writer, r.deadline)
	if _, err := r.writer.Write(event.Raw); err != nil {
		return &CallerError{Cause: err}
	}
	if event.ID != "" {
		r.lastEvent = event.ID
	}
	r.unflushed = true
	if !flush {
		return nil
	}
	return r.flush()
}

// flush sends what has been written.
func (r *relay) flush() error {
	r.unflushed = false
	if err := http.NewResponseController(r.writer).Flush(); err != nil {
		return &CallerError{Cause: err}
	}
	return nil
}

// isDuplicate reports whether the caller already has an event.
func (r *relay) isDuplicate(event eventstream.Event) bool {
	last, lastErr := strconv.ParseInt(r.lastEvent, 10, 64)
	current, currentErr := strconv.ParseInt(event.ID, 10, 64)
	return lastErr == nil && currentErr == nil && current <= last
}
