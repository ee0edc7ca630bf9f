package callers

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/granitebay/granitebay/internal/forward"
)

// headerReader follows the header of a request as it arrives, and keeps it until it is complete: net/http parses what it gets, and a parsed header
// takes many times its size.
//
// Invariant: net/http gets a header whole, unless the caller ended the connection within it, or its first bytes arrived together with the request before.
type headerReader struct {
	// size and lines count the header of the current request as it arrived, and isComplete is set once its end has arrived. What arrived with the request
	// before is not part of size.
	size, lines int
	isComplete  bool
	// held is what has arrived of an incomplete header, and ready what net/http has yet to read.
	held, ready []byte
	// lineBytes is the number of bytes of the current line, and last the byte that arrived last. recentLines counts the lines that ended in the last small
	// read, which may belong to the next request.
	lineBytes   int
	last        byte
	recentLines int
}

// next prepares for the next request.
func (h *headerReader) next() { h.size, h.lines, h.isComplete = 0, 0, false }

// resume accounts for the lines of a header that arrived with the request before. Its bytes are not counted, as they can't be told from that request's.
func (h *headerReader) resume() {
	if h.size == 0 {
		h.lines = h.recentLines
	}
}

// note follows bytes that net/http gets, other than those of a header that is not complete.
func (h *headerReader) note(content []byte) {
	switch lines := bytes.Count(content[:min(len(content), readerBytes)], newline); {
	case len(content) == backgroundReadBytes:
		h.recentLines += lines
	case len(content) <= readerBytes:
		h.recentLines = lines
	}
	if end := bytes.LastIndexByte(content, '\n'); end >= 0 {
		h.lineBytes = len(content) - end - 1
	} else {
		h.lineBytes += len(content)
	}
	h.last = content[len(content)-1]
}

// newline ends a line.
var newline = []byte("\n")

// scan follows bytes of a header up to its end, the first empty line.
func (h *headerReader) scan(content []byte) {
	start := 0
	for !h.isComplete {
		length := bytes.IndexByte(content[start:], '\n')
		if length < 0 {
			h.size += len(content) - start
			h.lineBytes += len(content) - start
			break
		}
		before := h.last
		if length > 0 {
			before = content[start+length-1]
		}
		h.lineBytes += length
		h.isComplete = h.lineBytes == 0 || (h.lineBytes == 1 && before == '\r')
		h.lineBytes, h.last = 0, '\n'
		h.lines++
		h.size += length + 1
		start += length + 1
	}
	if !h.isComplete && start < len(content) {
		h.last = content[len(content)-1]
	}
}

// take reads from what is ready.
func (h *headerReader) take(buffer []byte) int {
	n := copy(buffer, h.ready)
	if h.ready = h.ready[n:]; len(h.ready) == 0 {
		h.ready = nil
	}
	return n
}

// complete makes what was held ready, followed by the n bytes of the buffer that arrived last, and reads the first of it into the buffer.
func (h *headerReader) complete(buffer []byte, n int) int {
	h.ready, h.held = append(append(h.held, buffer[:n]...), h.ready...), nil
	h.isComplete = true
	n = h.take(buffer)
	h.note(buffer[:n])
	return n
}

// HeaderRefusal is why a request was refused whose header was not parsed.
type HeaderRefusal string

// The refusals: of a header that exceeds its limit, and of one for which there is no room beside the requests of others.
const (
	HeaderTooLarge  HeaderRefusal = "the header exceeds its limit"
	HeaderLacksRoom HeaderRefusal = HeaderRefusal(forward.ReasonOverload)
)

// readHeader passes on bytes of a header that were read into a buffer. It keeps an incomplete header and reads on, until it is complete or refused.
func (c *connection) readHeader(buffer []byte, n int, err error) (int, error) {
	if len(buffer) < readerBytes {
		c.header.resume()
	}
	for {
		c.header.scan(buffer[:n])
		limit := int(c.server.maxHeaderBytes.Load())
		switch {
		case c.header.size > limit:
			return 0, c.refuse(HeaderTooLarge)
		case !c.holdHeader():
			return 0, c.refuse(HeaderLacksRoom)
		case c.header.isComplete && len(c.header.held) == 0:
			c.header.note(buffer[:n])
			return n, err
		case c.header.isComplete || (err != nil && n > 0):
			return c.header.complete(buffer, n), nil
		}
		c.header.held = append(c.header.held, buffer[:n]...)
		if n, err = c.receive(buffer); n == 0 {
			if err == io.EOF && len(c.header.held) > 0 {
				// net/http tells the caller what is wrong with the part that has arrived.
				return c.header.complete(buffer, 0), nil
			}
			return 0, err
		}
	}
}

// holdHeader reports whether there is room for what net/http makes of the header that has arrived, or for the part that has arrived.
func (c *connection) holdHeader() bool {
	if !c.header.isComplete && c.header.size > 0 {
		return c.share.Hold(c.header.size)
	}
	return c.share.Hold(HeaderCost(c.header.size, c.header.lines))
}

// holdResumedHeader reports whether there is room for a header all of which arrived with the request before.
func (c *connection) holdResumedHeader() bool {
	c.header.resume()
	return c.holdHeader()
}

// respondOverload refuses a request for which there is no room.
func respondOverload(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Connection", "close")
	header.Del("Keep-Alive")
	header.Set("Content-Type", "application/json")
	header.Set("Retry-After", formatSeconds(overloadRetryAfter))
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, refusalBody(HeaderLacksRoom))
}

// refusalBody returns the body of the response to a refused request.
func refusalBody(refusal HeaderRefusal) string {
	return `{"error":` + strconv.Quote(string(refusal)) + `}`
}

// formatSeconds returns a duration in seconds, as Retry-After has it.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}

// refusalWriteTime bounds the time for writing a refusal, which fits into the buffer of the socket.
const refusalWriteTime = time.Second

// refuse responds to a request whose header is not parsed. It returns the error that makes net/http close the connection without a response of its own.
func (c *connection) refuse(refusal HeaderRefusal) error {
	c.header.held, c.header.isComplete = nil, true
	status, retryAfter := c.server.statusOf(refusal)
	c.server.observer.HeaderRefused(refusal, status, c.RemoteAddr().String())
	// These calls fail only if the connection is closed.
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = c.Write(refusalResponse(refusal, status, retryAfter))
	c.closingSide.Store(int32(forward.CloserRefusal))
	return io.EOF
}

// refusalResponse returns the response to a request that is refused before its header is parsed.
func refusalResponse(refusal HeaderRefusal, status int, retryAfter time.Duration) []byte {
	body := refusalBody(refusal)
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if status == http.StatusServiceUnavailable {
		fmt.Fprintf(&response, "Retry-After: %s\r\n", formatSeconds(retryAfter))
	}
	response.WriteString("\r\n" + body)
	return response.Bytes()
}

// overloadRetryAfter is when a caller may come back whose request was refused for lack of room.
const overloadRetryAfter = forward.OverloadRetryAfter

// SetHeaderTooLarge sets the function that returns the status of the response to a request whose header exceeds its limit, and when its caller may come
// back if that is 503. Without it, the status is 431. It must be called before Serve.
func (s *Server) SetHeaderTooLarge(status func() (status int, retryAfter time.Duration)) {
	s.headerTooLarge = status
}

// statusOf returns the status of a refusal, and when its caller may come back.
func (s *Server) statusOf(refusal HeaderRefusal) (status int, retryAfter time.Duration) {
	switch {
	case refusal != HeaderTooLarge:
		return http.StatusServiceUnavailable, overloadRetryAfter
	case s.headerTooLarge != nil:
		return s.headerTooLarge()
	default:
		return http.StatusRequestHeaderFieldsTooLarge, 0
	}
}

// Limits of request headers.
const (
	// defaultMaxHeaderBytes applies until SetMaxHeaderBytes changes it.
	defaultMaxHeaderBytes = 64 << 10
	// maxInternalHeaderBytes is the limit of servers for other gateways, operators and discovery.
	maxInternalHeaderBytes = 16 << 10
	// maxParsedBytes is the limit of net/http, which can't be changed while it serves. No header that passes its own limit reaches it.
	maxParsedBytes = 1 << 30
)

// SetMaxHeaderBytes changes the limit on headers as they arrive, with the request line; zero stands for the default. It applies to headers that are
// arriving.
func (s *Server) SetMaxHeaderBytes(limit int) {
	if limit <= 0 {
		limit = defaultMaxHeaderBytes
	}
	s.maxHeaderBytes.Store(int64(limit))
}
