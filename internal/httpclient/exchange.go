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
)

// inlineBodyBytes is the size of bodies up to which a request fits the buffers of a link, so that sending it can't wait for
// the peer. Larger requests are sent while the answer is awaited.
const maxSyncBodyBytes = 8 << 10

// maxSkippedAnswers bounds the answers of other requests that are dropped on one connection.
const maxSkippedResponses = 3

// errForeignAnswers is returned when nothing but answers to other requests came.
var errUnmatchedResponses = errors.New("only answers to other requests came")

// Response is the head of an answer and its body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 when the length is not told beforehand.
	ContentLength int64
	// Body returns an error of type *Error when the answer breaks off.
	Body io.ReadCloser
}

// exchange is one request on one connection.
type exchange struct {
	ctx        context.Context
	pool       *pool
	connection *connection
	request    *Request
	start      time.Time
	// release stops the watch of the context.
	stopWatch func() bool
	// sent gets the outcome of sending; only the sender writes to it, once.
	sent chan error
}

// newExchange prepares a request on a connection. From here on the end of the context closes the connection.
func newExchange(ctx context.Context, pool *pool, connection *connection, request *Request) *exchange {
	stopWatch := context.AfterFunc(ctx, func() { _ = connection.Close() })
	return &exchange{ctx: ctx, pool: pool, connection: connection, request: request, start: time.Now(), stopWatch: stopWatch}
}

// run sends the request and reads the head of the answer.
func (e *exchange) run() (*Response, error) {
	if err := e.send(); err != nil {
		return nil, e.fail(StepSend, err)
	}
	for range maxSkippedResponses {
		head, err := e.readHead()
		if err != nil {
			return nil, e.fail(StepAwait, err)
		}
		if e.request.Belongs == nil || e.request.Belongs(head.StatusCode, head.Header) {
			return e.response(head), nil
		}
		if _, err := io.Copy(io.Discard, head.Body); err != nil {
			return nil, e.fail(StepAwait, err)
		}
		if head.Close {
			return nil, e.fail(StepAwait, io.ErrUnexpectedEOF)
		}
	}
	return nil, e.fail(StepAwait, errUnmatchedResponses)
}

// send writes the request, a large one beside the awaiting of the answer.
func (e *exchange) send() error {
	if len(e.request.Body) <= maxSyncBodyBytes {
		return e.write()
	}
	e.sent = make(chan error, 1)
	go func() { e.sent <- e.write() }()
	return nil
}

// write writes head and body.
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

// readHead reads the next head that is not an interim one.
func (e *exchange) readHead() (*http.Response, error) {
	for {
		head, err := http.ReadResponse(e.connection.reader, &http.Request{Method: e.request.Method})
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
	}
}

// response wraps a head.
func (e *exchange) response(head *http.Response) *Response {
	return &Response{
		Status:        head.StatusCode,
		Header:        head.Header,
		ContentLength: head.ContentLength,
		Body:          &body{exchange: e, head: head},
	}
}

// fail closes the connection and wraps the cause.
func (e *exchange) fail(step Step, cause error) error {
	e.stopWatch()
	_ = e.connection.Close()
	if ctxErr := context.Cause(e.ctx); ctxErr != nil {
		cause = ctxErr
		e.dropSuspectConnections(step, ctxErr)
	}
	return &Error{Step: step, Peer: e.connection.address, Cause: cause}
}

// doubtOthers gives up the connections that rested beside one on which nothing came until the request was given up: whatever lost the one,
// for example a machine on the way that has forgotten its connections, may have lost them all, and each would cost a request its time.
// A caller that has left shows nothing, and nor does a connection that was new: then it is the worker that is silent.
func (e *exchange) dropSuspectConnections(step Step, cause error) {
	if step != StepAwait || e.connection.idleSince.IsZero() || errors.Is(cause, context.Canceled) {
		return
	}
	e.pool.closeIdleBefore(e.connection.address, e.start)
}

// finish ends an exchange whose answer was read whole and keeps the connection if it may be used again.
func (e *exchange) finish(head *http.Response) {
	if !e.stopWatch() || head.Close || !e.fullySent() {
		_ = e.connection.Close()
		return
	}
	e.pool.put(e.connection, e.idleTimeout(head.Header))
}

// sentWhole tells whether the request has left. An answer may come before; what the worker would read later must be the rest
// of this request, so that the connection can't serve another one.
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

// rest returns how long the connection may rest.
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

// body is the body of an answer.
type body struct {
	exchange *exchange
	head     *http.Response
	ended    bool
}

// Read is part of io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	count, err := b.head.Body.Read(buffer)
	if err == nil || b.ended {
		return count, err
	}
	b.ended = true
	if errors.Is(err, io.EOF) {
		b.exchange.finish(b.head)
		return count, io.EOF
	}
	return count, b.exchange.fail(StepReceive, err)
}

// Close gives up what was not read.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.exchange.stopWatch()
	return b.exchange.connection.Close()
}
