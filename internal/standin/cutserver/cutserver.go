// Package cutserver ends connections within the responses of a handler.
package cutserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"
)

// Cut is a response that is cut.
type Cut struct {
	// Address is that of the server. It answers one request.
	Address string
	// Framing describes how the response is framed. Missing is the number of bytes that it lacks, and Resets is set if the connection is reset.
	Framing string
	Missing int
	Resets  bool
}

// String describes the cut.
func (c Cut) String() string {
	return fmt.Sprintf("%s, without the last %d bytes, reset %t", c.Framing, c.Missing, c.Resets)
}

// EndsRegularly reports whether a close ends the response where nothing but a close ends any. Its reader can't tell what it lacks.
func (c Cut) EndsRegularly() bool { return c.Framing == noLength && !c.Resets }

// MayBeWhole reports whether the response lacks nothing, unless a reset behind it has destroyed it.
func (c Cut) MayBeWhole() bool { return c.Missing == 0 && (c.Framing != noLength || !c.Resets) }

// IsWhole reports whether the response lacks nothing, and its connection is closed.
func (c Cut) IsWhole() bool { return c.Missing == 0 && !c.Resets }

// noLength is the framing of a response that ends with its connection.
const noLength = "no length"

// framings frame the body of a response.
var framings = []struct {
	name  string
	frame func(body string) string
}{
	{"length", func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) }},
	{"chunks", func(body string) string {
		half := len(body) / 2
		return "Transfer-Encoding: chunked\r\n\r\n" + chunk(body[:half]) + chunk(body[half:]) + "0\r\nTrailer: a\r\n\r\n"
	}},
	{noLength, func(body string) string { return "\r\n" + body }},
}

// chunk returns a text as a chunk, or nothing if it is empty.
func chunk(text string) string {
	if text == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// maxNotServed is the number of cuts in a row that may get no request.
const maxNotServed = 20

// Play calls a function for each cut of the responses of a handler: after each byte, in each framing, by a close and by a reset. The function makes
// one request to the address. Play returns the number of cuts, and an error if requests have stopped to arrive.
func Play(handler http.Handler, request func(cut Cut)) (int, error) {
	cuts, unserved := 0, 0
	for _, framing := range framings {
		for _, resets := range []bool{false, true} {
			for missing, left := 0, true; left; missing++ {
				cuts++
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					return cuts, err
				}
				sent := make(chan int, 1)
				go func() {
					defer listener.Close()
					sent <- serve(listener, handler, framing.frame, missing, resets)
				}()
				request(Cut{listener.Addr().String(), framing.name, missing, resets})
				bytesSent := <-sent
				left = bytesSent != 0
				if unserved++; bytesSent != notServed {
					unserved = 0
				}
				if unserved > maxNotServed {
					return cuts, fmt.Errorf("no request reached the last %d cuts of the framing %q", unserved, framing.name)
				}
			}
		}
	}
	return cuts, nil
}

// notServed is returned by serve if there was no request.
const notServed = -1

// serve answers one request, and returns the number of bytes that were left of the response.
func serve(listener net.Listener, handler http.Handler, frame func(body string) string, missing int, resets bool) int {
	const maxWait = 2 * time.Second
	_ = listener.(*net.TCPListener).SetDeadline(time.Now().Add(maxWait))
	conn, err := listener.Accept()
	if err != nil {
		return notServed
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(maxWait))
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return notServed
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	var head strings.Builder
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d Status\r\n", recorder.Code)
	header := recorder.Header()
	header.Del("Content-Length")
	_ = header.Write(&head)
	response := head.String() + frame(recorder.Body.String())
	sent := max(len(response)-missing, 0)
	_, _ = io.WriteString(conn, response[:sent])
	if resets {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	return sent
}
