package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/httpclient"
)

// headerCut is the header of a request that says after how many bytes its response is cut.
const headerCut = "Cut"

// cutResponses are responses that are cut. Only the end of its connection ends the body of the last.
var cutResponses = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
	"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello",
}

const cutBody = "hello"

// endsWithConnection reports whether only the end of the connection ends the body of a response.
func endsWithConnection(response string) bool {
	return response == cutResponses[len(cutResponses)-1]
}

// endConn closes or resets a connection.
func endConn(conn *net.TCPConn, resets bool) {
	if resets {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return
	}
	// A connection that is closed with unread bytes would be reset.
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// getCut sends a request whose response is cut after n bytes, and returns the body. It repeats attempts to connect that fail, unless those are cut.
func getCut(t *testing.T, client *httpclient.Client, address string, n int, body []byte, cutsConnect bool) (string, error) {
	t.Helper()
	const maxTime, pause = 5 * time.Second, 20 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), maxTime)
	defer cancel()
	for {
		got, err := getCutOnce(ctx, client, address, n, body)
		if ctx.Err() != nil {
			t.Errorf("cut after %d bytes: the request was held until its deadline", n)
			return got, err
		}
		var failed *httpclient.Error
		if cutsConnect || !errors.As(err, &failed) || !failed.NothingSent() {
			return got, err
		}
		time.Sleep(pause)
	}
}

// getCutOnce is getCut without repeated attempts.
func getCutOnce(ctx context.Context, client *httpclient.Client, address string, n int, body []byte) (string, error) {
	response, err := client.Do(ctx, address, &httpclient.Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{headerCut: {strconv.Itoa(n)}}, Body: body,
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// TestCutResponseIsNotWholeWhenRelayed guards against a response that is taken for a whole one because the gateway which relays its connection sees
// no difference between a worker that closes it and one that resets it.
func TestCutResponseIsNotWholeWhenRelayed(t *testing.T) {
	const smallBytes, unfinishedBytes = 10, 4 << 20
	var cuts atomic.Int64
	t.Cleanup(func() { t.Logf("%d cuts were played", cuts.Load()) })
	for i, text := range cutResponses {
		for _, resets := range []bool{false, true} {
			for _, requestBytes := range []int{smallBytes, unfinishedBytes} {
				t.Run(fmt.Sprintf("response %d, reset %t, request of %d bytes", i, resets, requestBytes), func(t *testing.T) {
					t.Parallel()
					worker := startWorker(t, func(conn net.Conn) {
						request, err := http.ReadRequest(bufio.NewReader(conn))
						if err != nil {
							_ = conn.Close()
							return
						}
						if requestBytes == smallBytes {
							_, _ = io.Copy(io.Discard, request.Body)
						}
						n, _ := strconv.Atoi(request.Header.Get(headerCut))
						_, _ = io.WriteString(conn, text[:n])
						endConn(conn.(*net.TCPConn), resets)
					})
					closed := closedAddress(t)
					a, b := newNode(t, "a", map[string]string{"w": closed}, 8), newNode(t, "b", map[string]string{"w": worker}, 8)
					a.asks(b)
					client := httpclient.NewWithDialer(httpclient.DefaultSettings(), a.dialer)
					head := strings.LastIndex(text, "200 OK\r\n\r\n") + len("200 OK\r\n\r\n")
					for n := range len(text) + 1 {
						cuts.Add(1)
						got, err := getCut(t, client, closed, n, make([]byte, requestBytes), false)
						whole := n == len(text)
						if endsWithConnection(text) {
							whole = !resets && n >= head
						}
						switch {
						case err == nil && (!whole || !strings.HasPrefix(cutBody, got) || !endsWithConnection(text) && got != cutBody):
							t.Errorf("cut after %d bytes, %q: taken for a whole response with body %q", n, text[:n], got)
						case err != nil && whole && !resets:
							t.Errorf("the first %d bytes are a whole response: %v", n, err)
						}
					}
				})
			}
		}
	}
}

// TestCutRelayIsNotWhole guards against a response that is taken for a whole one although the gateway which relays its connection broke off, at any
// byte that it sends.
func TestCutRelayIsNotWhole(t *testing.T) {
	cuts := 0
	for _, text := range cutResponses {
		for _, resets := range []bool{false, true} {
			relayed := []byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocolName + "\r\n\r\n")
			accepted := len(relayed)
			var framed bytes.Buffer
			chunks := httputil.NewChunkedWriter(&framed)
			for _, part := range []string{text[:10], text[10 : len(text)-3], text[len(text)-3:]} {
				_, _ = io.WriteString(chunks, part)
			}
			// The bytes of the worker end before the end of their last chunk, which the end mark follows.
			sent := len(relayed) + framed.Len() - len("\r\n")
			endMark := len("\r\n0\r\n")
			_ = chunks.Close()
			relayed = append(append(relayed, framed.Bytes()...), "\r\n"...)
			var cutAfter atomic.Int64
			peer := startWorker(t, func(conn net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write(relayed[:cutAfter.Load()])
				}
				endConn(conn.(*net.TCPConn), resets)
			})
			for n := range len(relayed) + 1 {
				cuts++
				cutAfter.Store(int64(n))
				closed := closedAddress(t)
				a := newNode(t, "a", map[string]string{"w": closed}, 8)
				a.known.peers = []Peer{{Name: "b", Address: peer}}
				got, err := getCut(t, httpclient.NewWithDialer(httpclient.DefaultSettings(), a.dialer), closed, n, nil, n < accepted)
				whole := n >= sent
				if endsWithConnection(text) {
					whole = n >= sent+endMark
				}
				if err == nil && (!whole || got != cutBody) {
					t.Errorf("%q cut after %d bytes, %q: taken for a whole response with body %q", text, n, relayed[:n], got)
				}
				if err != nil && whole && !resets {
					t.Errorf("%q: the first %d bytes are a whole response: %v", text, n, err)
				}
			}
		}
	}
	t.Logf("%d cuts were played", cuts)
}
