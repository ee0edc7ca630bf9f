package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxEndlessBytes bounds what a worker sends without end, for the memory of the machine.
const maxEndlessBytes = 128 << 20

// sendWithoutEnd repeats a text until the connection is closed.
func sendWithoutEnd(connection net.Conn, text string) {
	chunk := []byte(strings.Repeat(text, 1+16<<10/len(text)))
	for sent := 0; sent < maxEndlessBytes; sent += len(chunk) {
		if _, err := connection.Write(chunk); err != nil {
			return
		}
	}
	_, _ = io.Copy(io.Discard, connection)
}

// Parts of endless responses.
const (
	headOfOwn   = "HTTP/1.1 200 OK\r\nId: 1\r\n"
	headOfOther = "HTTP/1.1 200 OK\r\nId: other\r\n"
	chunked     = "Transfer-Encoding: chunked\r\n\r\n"
	chunk       = "10\r\n0123456789abcdef\r\n"
)

// TestEndlessBytesEndRequest guards against a request that is held, or memory that grows, while a worker sends bytes that are no response until its
// connection is closed.
func TestEndlessBytesEndRequest(t *testing.T) {
	const (
		maxTime  = time.Second
		maxAlloc = 8 << 20
		// bodyLimit is how much the reader of a response accepts.
		bodyLimit = 1 << 20
	)
	for _, c := range []struct {
		desc, begin, repeated string
	}{
		{"no head", "", "garbage"},
		{"lines that are no head", "", "garbage\r\n"},
		{"status line", "HTTP/1.1 200 ", "OK"},
		{"header", headOfOwn + "Long: ", "x"},
		{"headers", headOfOwn, "Another: x\r\n"},
		{"informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"chunks", headOfOwn + chunked, chunk},
		{"chunk header", headOfOwn + chunked + "1;", "x"},
		{"trailers", headOfOwn + chunked + "0\r\n", "Trailer: x\r\n"},
		{"no length", headOfOwn + "\r\n", "x"},
		{"length that lies", headOfOwn + "Content-Length: 9000000000000\r\n\r\n", "x"},
		{"chunks of a response to another request", headOfOther + chunked, chunk},
		{"responses to other requests", "", headOfOther + "Content-Length: 1\r\n\r\nx"},
	} {
		t.Run(c.desc, func(t *testing.T) {
			closed := make(chan struct{})
			address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
				_, _, _ = readRequest(reader)
				_, _ = io.WriteString(connection, c.begin)
				sendWithoutEnd(connection, c.repeated)
				close(closed)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			response, err := New(DefaultSettings()).Do(ctx, address, &Request{
				Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
				Classify: func(_ int, header http.Header) ResponseKind {
					if header.Get("Id") == "other" {
						return KindOther
					}
					return KindResponse
				},
			})
			if err == nil {
				_, err = io.CopyN(io.Discard, response.Body, bodyLimit)
				_ = response.Body.Close()
			}
			took := time.Since(start)
			runtime.ReadMemStats(&after)
			if took > maxTime {
				t.Errorf("took %s: %v", took, err)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAlloc {
				t.Errorf("%d bytes were allocated", allocated)
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection was not closed")
			}
		})
	}
}

// TestEndlessBytesCloseIdleConnection guards against an idle connection that stays open while its worker sends bytes after a whole response.
func TestEndlessBytesCloseIdleConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, headOfOwn+"Content-Length: 2\r\n\r\nok")
		time.Sleep(20 * time.Millisecond)
		sendWithoutEnd(connection, "x")
		close(closed)
	})
	if got, err := send(New(DefaultSettings()), address, "1", ""); err != nil || got != "ok" {
		t.Fatalf("got %q, %v", got, err)
	}
	const maxOpen = sweepInterval + 500*time.Millisecond
	select {
	case <-closed:
	case <-time.After(maxOpen):
		t.Errorf("the connection is still open after %s", maxOpen)
	}
}

// TestSurplusBytesDoNotShortenRest guards against connections to a worker that are no longer used again, because bytes that came after a response are
// taken for an early close.
func TestSurplusBytesDoNotShortenRest(t *testing.T) {
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, number int) {
		for {
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(connection, headOfOwn+"Content-Length: 2\r\n\r\nok")
			if number == 1 {
				time.Sleep(5 * time.Millisecond)
				_, _ = io.WriteString(connection, "surplus")
			}
		}
	})
	client := New(DefaultSettings())
	const pause = 30 * time.Millisecond
	for range 4 {
		if got, err := send(client, address, "1", ""); err != nil || got != "ok" {
			t.Fatalf("got %q, %v", got, err)
		}
		time.Sleep(pause)
	}
	if opened := client.ConnectionsOpened(); opened != 2 {
		t.Errorf("%d connections were opened, want 2", opened)
	}
}

// TestDiscardedBodyEnds guards against a caller that waits for a body which it does not need, and against a connection that stays open behind it.
func TestDiscardedBodyEnds(t *testing.T) {
	for _, c := range []struct {
		desc, head, body  string
		isEndless, reused bool
	}{
		{"whole", "Content-Length: 2\r\n\r\n", "ok", false, true},
		{"whole, in chunks", chunked, "2\r\nok\r\n0\r\n\r\n", false, true},
		{"without end", chunked, chunk, true, false},
		{"stalled", "Content-Length: 20\r\n\r\n", "ok", false, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
				for {
					if _, _, err := readRequest(reader); err != nil {
						closed <- struct{}{}
						return
					}
					_, _ = io.WriteString(connection, headOfOwn+c.head+c.body)
					if c.isEndless {
						sendWithoutEnd(connection, c.body)
					}
				}
			})
			client := New(DefaultSettings())
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
			response, err := client.Do(ctx, address, request)
			if err != nil {
				t.Fatal(err)
			}
			start := time.Now()
			response.Discard()
			cancel()
			if took := time.Since(start); took > 50*time.Millisecond {
				t.Errorf("took %s", took)
			}
			if !c.reused {
				select {
				case <-closed:
				case <-time.After(time.Second):
					t.Error("the connection was not closed")
				}
				return
			}
			time.Sleep(50 * time.Millisecond)
			if response, err = client.Do(t.Context(), address, request); err != nil || response.Earlier != 1 {
				t.Errorf("the connection was not used again: %v, %v", response, err)
			}
		})
	}
}
