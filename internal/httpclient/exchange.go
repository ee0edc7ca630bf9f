package httpclient

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/drain"
	"github.com/granitebay/granitebay/internal/netdial"
	"github.com/granitebay/granitebay/internal/responsehead"
	"github.com/granitebay/granitebay/internal/standstill"
)

// maxSyncBodyBytes is the largest body that fits into socket buffers, so that writing it does not block on the peer.
// Larger requests are written concurrently with reading the response.
const maxSyncBodyBytes = 8 << 10

// maxSkippedResponses limits how many responses to other requests are discarded on one connection.
const maxSkippedResponses = 3

// maxDiscardedBytes bounds the body of a response that nobody needs.
const maxDiscardedBytes = 64 << 10

// errUnmatchedResponses is returned if every response received belongs to another request.
var errUnmatchedResponses = errors.New("received only responses to other requests")

// Response is the header of a response and its body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	// Earlier is the number of requests that the connection carried before this one.
	Earlier int
	// EndsWithConnection is set if only the end of the connection ends the body, which a crash of the peer ends, too.
	EndsWithConnection bool
	// Body returns an error of type *Error if the response is cut off.
	Body io.ReadCloser
}

// exchange is one request and its response on one connection.
type exchange struct {
	ctx        context.Context
	pool       *pool
	connection *connection
	request    *Request
	start      time.Time
	// stopWatch stops watching the context.
	stopWatch func() bool
	// reads is what the reader of the connection reads from during the exchange.
	reads countingReader
	// sent receives the result of a concurrent or failed write, once; nil if the request was written synchronously.
	sent chan error
	// onDiscard is that of the client; may be nil.
	onDiscard func(address string)
}

// newExchange prepares a request on a connection. From now on, the connection is closed when ctx ends.
func newExchange(ctx context.Context, pool *pool, connection *connection, request *Request) *exchange {
	e := &exchange{ctx: ctx, pool: pool, connection: connection, request: request, start: time.Now()}
	e.reads.conn = connection.Conn
	connection.provenance.requests++
	connection.reader.Reset(&e.reads)
	request.Arrivals.attach(&e.reads)
	e.stopWatch = context.AfterFunc(ctx, e.contextEnded)
	return e
}

// lateReadTime bounds how long a response that has arrived may still be read after the deadline of its request. It is short compared with the
// time within which workers have to stop.
const lateReadTime = 100 * time.Millisecond

// contextEnded closes the connection. It runs when the context ends.
func (e *exchange) contextEnded() {
	if e.mayHaveUnread() {
		e.awaitReader()
	}
	_ = e.connection.Close()
}

// mayHaveUnread reports whether the context ended, although somebody waits for the response and part of it has arrived, or its deadline was noticed
// late: this process has stood still then, and its reader may not have run since.
func (e *exchange) mayHaveUnread() bool {
	cause := context.Cause(e.ctx)
	if errors.Is(cause, context.Canceled) && !errors.Is(cause, drain.ErrGraceOver) {
		return false
	}
	return e.endedLate() || hasArrived(e.connection.Conn)
}

// endedLate reports whether the context, which has just ended, did so at a deadline that is noticed late.
func (e *exchange) endedLate() bool {
	deadline, found := e.ctx.Deadline()
	return found && errors.Is(e.ctx.Err(), context.DeadlineExceeded) && standstill.IsLate(time.Now(), deadline)
}

// awaitReader waits until the reader has taken what has arrived, for lateReadTime at most.
func (e *exchange) awaitReader() {
	arrivals := &Arrivals{}
	arrivals.attach(&e.reads)
	silence, end := NewSilence(arrivals), time.Now().Add(lateReadTime)
	for again := silence.Confirm(); again > 0 && time.Now().Before(end); again = silence.Confirm() {
		time.Sleep(again)
	}
}

// run sends the request and reads the response header.
func (e *exchange) run() (*Response, error) {
	sendErr := e.send()
	for range maxSkippedResponses {
		head, err := e.readHead()
		if err != nil && sendErr != nil {
			return nil, e.fail(StepSend, sendErr)
		}
		if err != nil {
			return nil, e.fail(StepAwait, err)
		}
		if e.accept(head) {
			return e.response(head), nil
		}
		if e.onDiscard != nil {
			e.onDiscard(e.connection.address)
		}
		if err := discardBody(head.Body); err != nil {
			return nil, e.fail(StepAwait, err)
		}
		if head.Close {
			return nil, e.fail(StepAwait, io.ErrUnexpectedEOF)
		}
	}
	return nil, e.fail(StepAwait, errUnmatchedResponses)
}

// accept reports whether a response belongs to the request.
func (e *exchange) accept(head *http.Response) bool {
	kind := KindResponse
	if e.request.Classify != nil {
		kind = e.request.Classify(head.StatusCode, head.Header)
	}
	if kind == KindUnnamedRefusal {
		e.pool.isolate(e.connection.address)
	}
	return e.connection.provenance.accept(e.request.Key, kind)
}

// send writes the request. Large requests are written concurrently with reading the response. After an error, there may be a response to read:
// a worker may refuse a request and close the connection before all of it has arrived.
func (e *exchange) send() error {
	if len(e.request.Body) > maxSyncBodyBytes {
		e.sent = make(chan error, 1)
		go func() { e.sent <- e.write() }()
		return nil
	}
	err := e.write()
	if err != nil {
		e.sent = make(chan error, 1)
		e.sent <- err
	}
	return err
}

// write writes the header and the body.
func (e *exchange) write() error {
	writer := bufio.NewWriterSize(e.connection, 4096)
	writer.WriteString(e.request.Method + " " + e.request.Target + " HTTP/1.1\r\nHost: " + e.request.Host + "\r\n")
	if err := e.request.Header.Write(writer); err != nil {
		return err
	}
	if len(e.request.Body) > 0 || e.request.Method != http.MethodGet {
		writer.WriteString("Content-Length: " + strconv.Itoa(len(e.request.Body)) + "\r\n")
	}
	writer.WriteString("\r\n")
	writer.Write(e.request.Body)
	return writer.Flush()
}

// errBodyTooLong is returned for a body that nobody needs and that is not worth to be read to its end.
var errBodyTooLong = errors.Newf("the body to discard exceeds %d bytes", maxDiscardedBytes)

// discardBody reads a body of at most maxDiscardedBytes to its end.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	if err == nil && n > maxDiscardedBytes {
		return errBodyTooLong
	}
	return err
}

// readHead reads the next response header that is not informational (1xx).
func (e *exchange) readHead() (*http.Response, error) {
	e.reads.limit(responsehead.MaxBytes)
	defer e.reads.unlimit()
	return responsehead.Read(e.connection.reader, &http.Request{Method: e.request.Method})
}

// response returns the Response for a header.
func (e *exchange) response(head *http.Response) *Response {
	return &Response{
		Status:             head.StatusCode,
		Header:             head.Header,
		ContentLength:      head.ContentLength,
		Earlier:            e.connection.provenance.requests - 1,
		EndsWithConnection: endsWithConnection(head),
		Body:               &body{exchange: e, head: head},
	}
}

// endsWithConnection reports whether only the end of the connection ends the body.
func endsWithConnection(head *http.Response) bool {
	return head.ContentLength < 0 && len(head.TransferEncoding) == 0
}

// resetCause returns the error by which the connection ended a body, or nil if the peer closed it. The reader doesn't see an error that the writer
// of the request has taken.
func (e *exchange) resetCause(head *http.Response) error {
	if e.sent == nil || !endsWithConnection(head) {
		return nil
	}
	// The peer has ended its response, so the rest of the request is not written.
	_ = e.connection.SetWriteDeadline(time.Now())
	if err := <-e.sent; netdial.TookEnd(err) {
		return err
	}
	return nil
}

// fail closes the connection and wraps the cause.
func (e *exchange) fail(step Step, cause error) error {
	e.stopWatch()
	_ = e.connection.Close()
	timedOut := false
	if ctxErr := context.Cause(e.ctx); ctxErr != nil {
		cause = ctxErr
		timedOut = !errors.Is(ctxErr, context.Canceled)
		// A deadline that is noticed late says nothing about the connection.
		if timedOut && !e.endedLate() {
			e.dropSuspectConnections(step)
			e.pool.dialer.Suspect(e.connection.address)
		}
	}
	return &Error{Step: step, Peer: e.connection.address, Cause: cause, timedOut: timedOut}
}

// dropSuspectConnections closes the connections that were idle at the same time as one that got no response before the
// request was given up. Whatever lost that connection, such as a middlebox that lost its state, may have lost all of
// them, and each would delay a request. A cancelled request shows nothing, nor does a new connection: then it is the
// worker that does not respond.
func (e *exchange) dropSuspectConnections(step Step) {
	if step != StepAwait || e.connection.idleSince.IsZero() {
		return
	}
	e.pool.closeIdleBefore(e.connection.address, e.start)
}

// finish ends an exchange whose response was read completely, and keeps the connection if it can be reused.
func (e *exchange) finish(head *http.Response) {
	if !e.stopWatch() || head.Close || !e.fullySent() {
		_ = e.connection.Close()
		return
	}
	if e.connection.reader.Buffered() == 0 {
		// An idle connection must not hold the exchange and its request.
		e.connection.reader.Reset(e.connection.Conn)
	}
	e.pool.put(e.connection, e.idleTimeout(head.Header))
}

// fullySent reports whether the request was written completely. If the response came before that, the rest of the
// request is still to be written, and the connection can't carry another one.
func (e *exchange) fullySent() bool {
	if e.sent == nil {
		return true
	}
	select {
	case err := <-e.sent:
		return err == nil
	default:
		return false
	}
}

// idleTimeout returns how long the connection may be idle, from the Keep-Alive header if there is one.
func (e *exchange) idleTimeout(header http.Header) time.Duration {
	settings := e.pool.settings
	for _, param := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds)*time.Second - settings.IdleMargin
		}
	}
	return settings.IdleTimeout
}

// discardTimeout bounds how long the connection of a body that nobody needs waits for its end.
const discardTimeout = 200 * time.Millisecond

// Discard is Close for a body that nobody needs, and keeps the connection if the body ends soon. It doesn't wait for that.
func (r *Response) Discard() {
	b, ok := r.Body.(*body)
	if !ok || b.ended {
		return
	}
	if r.ContentLength >= 0 && int(r.ContentLength) <= b.exchange.connection.reader.Buffered() {
		_, _ = io.Copy(io.Discard, b)
		return
	}
	if !b.exchange.stopWatch() {
		_ = b.Close()
		return
	}
	// The request may end before its body does.
	b.exchange.stopWatch = func() bool { return true }
	go b.discard()
}

// discard reads the body to its end in discardTimeout, or closes the connection.
func (b *body) discard() {
	defer b.Close()
	conn := b.exchange.connection
	if conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil || discardBody(b.head.Body) != nil || conn.SetReadDeadline(time.Time{}) != nil {
		return
	}
	b.ended = true
	b.exchange.finish(b.head)
}

// body is a response body.
type body struct {
	exchange *exchange
	head     *http.Response
	ended    bool
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.head.Body.Read(buffer)
	if err == nil || b.ended {
		return count, err
	}
	b.ended = true
	if errors.Is(err, io.EOF) {
		if cause := b.exchange.resetCause(b.head); cause != nil {
			return count, b.exchange.fail(StepReceive, cause)
		}
		b.exchange.finish(b.head)
		return count, io.EOF
	}
	return count, b.exchange.fail(StepReceive, err)
}

// Close closes the connection if the body was not read to its end.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.exchange.stopWatch()
	return b.exchange.connection.Close()
}
