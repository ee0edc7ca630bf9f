package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// cutResponse is a response that workers cut.
type cutResponse struct {
	desc, text, body string
	// endsWithConnection is set if nothing else ends the body.
	endsWithConnection bool
}

// cutResponses are responses with each kind of head and body.
var cutResponses = []cutResponse{
	{"length", headOfOwn + "Content-Length: 11\r\n\r\nhello world", "hello world", false},
	{"length of zero", headOfOwn + "Content-Length: 0\r\n\r\n", "", false},
	{"no content", "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n", "", false},
	{"length, then close", headOfOwn + "Connection: close\r\nContent-Length: 5\r\n\r\nhello", "hello", false},
	{"chunks", headOfOwn + chunked + "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n", "hello world", false},
	{"chunks with extensions", headOfOwn + chunked + "5;a=b\r\nhello\r\n0;c\r\n\r\n", "hello", false},
	{"chunk header of two digits", headOfOwn + chunked + chunk + "0\r\n\r\n", "0123456789abcdef", false},
	{"chunk header that begins with zero", headOfOwn + chunked + "005\r\nhello\r\n000\r\n\r\n", "hello", false},
	{"trailers", headOfOwn + "Trailer: A\r\n" + chunked + "5\r\nhello\r\n0\r\nA: b\r\nC: d\r\n\r\n", "hello", false},
	{"chunk that holds an end", headOfOwn + chunked + "9\r\n0\r\n\r\nabcd\r\n0\r\n\r\n", "0\r\n\r\nabcd", false},
	{"events", headOfOwn + "Content-Type: text/event-stream\r\n" + chunked + "11\r\nid: 1\ndata: abc\n\n\r\n11\r\nid: 2\ndata: def\n\n\r\n0\r\n\r\n",
		"id: 1\ndata: abc\n\nid: 2\ndata: def\n\n", false},
	{"informational heads", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + headOfOwn + "Content-Length: 5\r\n\r\nhello", "hello", false},
	{"response to another request", headOfOther + "Content-Length: 2\r\n\r\nno" + headOfOwn + "Content-Length: 5\r\n\r\nhello", "hello", false},
	{"no length", headOfOwn + "\r\nhello world", "hello world", true},
	{"no length, close", headOfOwn + "Connection: close\r\n\r\nhello world", "hello world", true},
}

// cutEnd is how a worker ends a connection.
type cutEnd struct {
	desc string
	// resets is set if the connection is reset before it was closed, and resetsAfter if that happens after it was. pause is the time before the reset.
	resets, resetsAfter bool
	pause               time.Duration
}

var cutEnds = []cutEnd{
	{desc: "close"}, {desc: "reset", resets: true}, {desc: "reset after a pause", resets: true, pause: 5 * time.Millisecond},
	{desc: "close, then reset", resetsAfter: true, pause: 5 * time.Millisecond},
}

// end ends a connection.
func (e cutEnd) end(connection *net.TCPConn) {
	if e.resetsAfter {
		_ = connection.CloseWrite()
	}
	time.Sleep(e.pause)
	if e.resets || e.resetsAfter {
		_ = connection.SetLinger(0)
		return
	}
	// A connection that is closed with unread bytes would be reset.
	_ = connection.CloseWrite()
	_, _ = io.Copy(io.Discard, connection)
}

// Sizes of requests: one that is written at once, and one that is still being written when the connection ends.
const (
	smallRequest    = 10
	unfinishedBytes = 4 << 20
)

// isWhole reports whether the first n bytes of the response are a whole one at this end.
func (c cutResponse) isWhole(n int, end cutEnd) bool {
	if c.endsWithConnection {
		return !end.resets && n >= strings.Index(c.text, "\r\n\r\n")+len("\r\n\r\n")
	}
	return n == len(c.text)
}

// TestCutResponseIsNotWhole guards against a response that is taken for a whole one although its worker ended the connection within its heads, its
// chunks, its trailers or its body, at any byte.
func TestCutResponseIsNotWhole(t *testing.T) {
	var cuts atomic.Int64
	t.Cleanup(func() { t.Logf("%d cuts were played", cuts.Load()) })
	for _, response := range cutResponses {
		for _, end := range cutEnds {
			for _, requestBytes := range []int{smallRequest, unfinishedBytes} {
				if !response.endsWithConnection && (end.resetsAfter || requestBytes == unfinishedBytes && end != cutEnds[1]) {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, request of %d bytes", response.desc, end.desc, requestBytes), func(t *testing.T) {
					t.Parallel()
					body := make([]byte, requestBytes)
					for n := 0; n <= len(response.text); n++ {
						cuts.Add(1)
						got, err := cutAt(t, response.text[:n], end, body)
						switch whole := response.isWhole(n, end); {
						case errors.Is(err, context.DeadlineExceeded):
							t.Errorf("cut after %d bytes: the request was held until its deadline", n)
						case err == nil && !whole:
							t.Errorf("cut after %d bytes, %q: taken for a whole response with body %q", n, response.text[:n], got)
						case err == nil && !strings.HasPrefix(response.body, got), err == nil && !response.endsWithConnection && got != response.body:
							t.Errorf("got body %q, want %q", got, response.body)
						case err != nil && whole && !end.resets:
							t.Errorf("the first %d bytes are a whole response: %v", n, err)
						}
					}
				})
			}
		}
	}
}

// cutAt sends a request to a worker that answers with a text and ends the connection, and returns the body of the response.
func cutAt(t *testing.T, text string, end cutEnd, body []byte) (string, error) {
	t.Helper()
	address := startOneConnection(t, func(connection *net.TCPConn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if len(body) <= maxSyncBodyBytes {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(connection, text)
		end.end(connection)
	})
	const maxTime = 5 * time.Second
	settings := DefaultSettings()
	settings.ConnectTimeout = maxTime
	ctx, cancel := context.WithTimeout(t.Context(), maxTime)
	defer cancel()
	response, err := New(settings).Do(ctx, address, &Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Id": {"1"}}, Body: body,
		Classify: func(_ int, header http.Header) ResponseKind {
			if header.Get("Id") == "1" {
				return KindResponse
			}
			return KindOther
		},
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// startOneConnection runs a server that handles one connection, and returns its address.
func startOneConnection(t *testing.T, handle func(connection *net.TCPConn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer listener.Close()
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		handle(connection.(*net.TCPConn), bufio.NewReader(connection))
	}()
	return listener.Addr().String()
}
