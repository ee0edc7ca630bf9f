package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestContradictoryFramingIsNotWhole guards against a body that is taken for a whole one although what its worker says of its length can't be true, and
// against a request that is held after its deadline by bytes that never come.
func TestContradictoryFramingIsNotWhole(t *testing.T) {
	const failed = ""
	for _, test := range []struct {
		desc, framed string
		// want is the body, or failed.
		want string
	}{
		{"fewer bytes than the length", "Content-Length: 11\r\n\r\nhello", failed},
		{"no bytes of the length", "Content-Length: 5\r\n\r\n", failed},
		{"more bytes than the length", "Content-Length: 5\r\n\r\nhello world", "hello"},
		{"same length twice", "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"two lengths", "Content-Length: 5\r\nContent-Length: 11\r\n\r\nhello world", failed},
		{"two lengths in a list", "Content-Length: 5, 11\r\n\r\nhello world", failed},
		{"negative length", "Content-Length: -5\r\n\r\nhello", failed},
		{"length with a sign", "Content-Length: +5\r\n\r\nhello", failed},
		{"hexadecimal length", "Content-Length: 0x5\r\n\r\nhello", failed},
		{"length that is no number", "Content-Length: five\r\n\r\nhello", failed},
		{"empty length", "Content-Length:\r\n\r\nhello", failed},
		{"length beyond all numbers", "Content-Length: 99999999999999999999\r\n\r\nhello", failed},
		{"length and chunks", "Content-Length: 3\r\n" + chunked + "5\r\nhello\r\n0\r\n\r\n", "hello"},
		{"unknown coding", "Transfer-Encoding: gzip\r\n\r\nhello", failed},
		{"unknown coding and chunks", "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", failed},
		{"chunks twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", failed},
		{"chunk with fewer bytes", chunked + "b\r\nhello\r\n0\r\n\r\n", failed},
		{"chunk with more bytes", chunked + "3\r\nhello\r\n0\r\n\r\n", failed},
		{"chunk of a negative length", chunked + "-5\r\nhello\r\n0\r\n\r\n", failed},
		{"chunk without a length", chunked + "\r\nhello\r\n0\r\n\r\n", failed},
		{"chunk of a length that is no number", chunked + "x\r\nhello\r\n0\r\n\r\n", failed},
		{"chunk of a length beyond all numbers", chunked + "fffffffffffffffff\r\nhello\r\n0\r\n\r\n", failed},
		{"chunks without a last one", chunked + "5\r\nhello\r\n", failed},
		{"last chunk without an end", chunked + "5\r\nhello\r\n0\r\n", failed},
		{"bytes after the last chunk", chunked + "5\r\nhello\r\n0\r\n\r\nhello", "hello"},
	} {
		for _, closes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, closes %t", test.desc, closes), func(t *testing.T) {
				t.Parallel()
				address := startOneConnection(t, func(connection *net.TCPConn, reader *bufio.Reader) {
					_, _, _ = readRequest(reader)
					_, _ = io.WriteString(connection, headOfOwn+test.framed)
					if closes {
						_ = connection.CloseWrite()
					}
					_, _ = io.Copy(io.Discard, connection)
				})
				const deadline, slack = 200 * time.Millisecond, time.Second
				settings := DefaultSettings()
				settings.ConnectTimeout = deadline
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				start := time.Now()
				got := failed
				response, err := New(settings).Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
				if err == nil {
					var content []byte
					content, err = io.ReadAll(response.Body)
					_ = response.Body.Close()
					got = string(content)
				}
				if took := time.Since(start); took > deadline+slack {
					t.Errorf("took %s", took)
				}
				var transport *Error
				switch {
				case test.want == failed && err == nil:
					t.Errorf("taken for a whole response with body %q", got)
				case test.want != failed && (err != nil || got != test.want):
					t.Errorf("got %q, %v, want %q", got, err, test.want)
				case err != nil && (!errors.As(err, &transport) || transport.NothingSent()):
					t.Errorf("got %v, which says that nothing was sent", err)
				}
			})
		}
	}
}

// TestSurplusBytesAreNoResponse guards against bytes behind a whole response that are taken for the response to the next request, wherever the network
// divides them.
func TestSurplusBytesAreNoResponse(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nwrong"
	for _, first := range []string{headOfOwn + "Content-Length: 1\r\n\r\na", headOfOwn + chunked + "1\r\na\r\n0\r\n\r\n"} {
		t.Run(first, func(t *testing.T) {
			t.Parallel()
			all := first + surplus
			for n := range len(all) {
				sent := make(chan struct{})
				address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, number int) {
					_, _, _ = readRequest(reader)
					if number > 1 {
						_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nright")
						return
					}
					_, _ = io.WriteString(connection, all[:n])
					time.Sleep(time.Millisecond)
					_, _ = io.WriteString(connection, all[n:])
					close(sent)
					_, _ = io.Copy(io.Discard, connection)
				})
				client := New(DefaultSettings())
				if got, err := send(client, address, "1", ""); err != nil || got != "a" {
					t.Fatalf("divided after %d bytes: got %q, %v", n, got, err)
				}
				<-sent
				time.Sleep(arrivalTime / 10)
				if got, err := send(client, address, "2", ""); err != nil || got != "right" {
					t.Errorf("divided after %d bytes: got %q, %v", n, got, err)
				}
			}
		})
	}
}
