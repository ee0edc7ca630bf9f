package fleet

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// CallerConn is a client connection to a gateway, with one request at a time. It never repeats a request.
type CallerConn struct {
	net.Conn
	reader  *bufio.Reader
	gateway string
	// halfClosedAt is when the client closed the sending half; zero if it did not.
	halfClosedAt time.Time
}

// OpenCallerConn opens a connection to a gateway.
func OpenCallerConn(ctx context.Context, gateway string, dial func(ctx context.Context, gateway string) (net.Conn, error)) (*CallerConn, error) {
	opened, err := dial(ctx, gateway)
	if err != nil {
		return nil, errors.Mark(err, ErrNotConnected)
	}
	return &CallerConn{Conn: opened, reader: bufio.NewReader(opened), gateway: gateway}, nil
}

// NoHalfClose keeps the sending half of a connection open.
const NoHalfClose time.Duration = -1

// Do sends a request and reads the whole response. The client closes the sending half of the connection at a time after the request unless
// that is NoHalfClose. The connection is closed if the context ends.
func (c *CallerConn) Do(ctx context.Context, call Request, halfCloseAfter time.Duration) (response Response, reusable bool) {
	request, err := call.httpRequest(ctx, c.gateway)
	if err != nil {
		return Response{Err: err}, false
	}
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	response, reusable = c.exchange(request, call, halfCloseAfter)
	if !release() {
		response.Err = errors.CombineErrors(ctx.Err(), response.Err)
		return response, false
	}
	return response, reusable && response.Err == nil
}

// HalfClosedAt returns when the client closed the sending half; zero if it did not.
func (c *CallerConn) HalfClosedAt() time.Time { return c.halfClosedAt }

// exchange sends a request, reads the response, and reports whether the connection may be reused.
func (c *CallerConn) exchange(request *http.Request, call Request, halfCloseAfter time.Duration) (Response, bool) {
	if err := request.Write(c); err != nil {
		return Response{Err: err}, false
	}
	if halfCloseAfter >= 0 {
		time.Sleep(halfCloseAfter)
		if err := c.closeWrite(); err != nil {
			return Response{Err: err}, false
		}
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		isEnd := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		return Response{Err: err, ReadByGateway: isEnd && readByPeer(c.Conn, !c.halfClosedAt.IsZero())}, false
	}
	defer response.Body.Close()
	result := call.readResponse(response)
	if errors.Is(result.Err, ErrAborted) {
		// Closing the body of an open connection would read the rest of the response.
		_ = c.Close()
	}
	return result, !response.Close && c.halfClosedAt.IsZero()
}

// closeWrite closes the sending half.
func (c *CallerConn) closeWrite() error {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Newf("close the sending half of a %T: not supported", c.Conn)
	}
	c.halfClosedAt = time.Now()
	return halfCloser.CloseWrite()
}
