package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRequestIsToldAgeOfItsConnection guards against a connection that is taken for one of a worker which was started after it had been opened: each
// request is told when its connection was opened, also one that uses it again, and before it is sent.
func TestRequestIsToldAgeOfItsConnection(t *testing.T) {
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := New(DefaultSettings())
	before := time.Now()
	var first time.Time
	for number := range 2 {
		var openedAt time.Time
		response, err := client.Do(t.Context(), address, &Request{
			Method: http.MethodGet, Target: "/", Host: address, Header: http.Header{}, OnConnection: func(at time.Time) { openedAt = at },
		})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if number == 0 {
			first = openedAt
		}
		if openedAt.Before(before) || !openedAt.Equal(first) {
			t.Errorf("request %d: the connection was opened at %v, want %v, after %v", number, openedAt, first, before)
		}
	}
}

// TestEndWithConnectionIsReported guards against a cut response that passes for a whole one, and against whole ones that are held for cut: only the end
// of the connection ends a response without a length and without chunks.
func TestEndWithConnectionIsReported(t *testing.T) {
	for head, want := range map[string]bool{
		"Content-Length: 2\r\n\r\nok": false, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n": false, "Connection: close\r\n\r\nok": true,
	} {
		address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
			if _, _, err := readRequest(reader); err == nil {
				_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n"+head)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		response, err := New(DefaultSettings()).Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: address, Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		cancel()
		if err != nil || string(body) != "ok" || response.EndsWithConnection != want {
			t.Errorf("%q: got %q, %v, ends with its connection: %t, want %t", head, body, err, response.EndsWithConnection, want)
		}
	}
}
