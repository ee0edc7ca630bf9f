package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/netdial"
)

// headerServer answers each request with the size of its header as the server counted it, and the length of its body.
func headerServer(t *testing.T) (address string, server *Server, observer *recordingObserver) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	observer = &recordingObserver{}
	server = NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%d %d", HeaderSize(r.Context()), len(body))
	}), &Traffic{}, observer, logrus.NewEntry(logger))
	listener, err := netdial.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return listener.Addr().String(), server, observer
}

// drawRequest returns a request and the size of its header.
func drawRequest(t *rapid.T) (request string, headerSize int, body string) {
	var header strings.Builder
	header.WriteString("POST /x HTTP/1.1\r\nHost: h\r\n")
	for i := range rapid.SampledFrom([]int{0, 1, 5, 700, 1500}).Draw(t, "lines") {
		_, _ = fmt.Fprintf(&header, "a%d:%s\r\n", i, rapid.SampledFrom([]string{"", "x", "a:b", "long value"}).Draw(t, "value"))
	}
	body = strings.Repeat(rapid.SampledFrom([]string{"\n", "\r\n", "x"}).Draw(t, "content"), rapid.SampledFrom([]int{0, 1, 3, 5000}).Draw(t, "times"))
	_, _ = fmt.Fprintf(&header, "Content-Length: %d\r\n\r\n", len(body))
	return header.String() + body, header.Len(), body
}

// TestRequestsArriveInAnyPieces guards against headers whose end is missed or seen too early, and against bytes that are lost or counted for another
// request, whatever arrives together.
func TestRequestsArriveInAnyPieces(t *testing.T) {
	address, _, _ := headerServer(t)
	rapid.Check(t, func(t *rapid.T) {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		var stream strings.Builder
		var sizes []int
		var bodies []string
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			request, size, body := drawRequest(t)
			stream.WriteString(request)
			sizes, bodies = append(sizes, size), append(bodies, body)
		}
		go func(rest string, piece int) {
			for len(rest) > 0 {
				n := min(piece, len(rest))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}(stream.String(), rapid.SampledFrom([]int{100, 1000, 4095, 4096, 4097, 1 << 20}).Draw(t, "piece"))
		reader := bufio.NewReader(conn)
		for i := range sizes {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			content, _ := io.ReadAll(response.Body)
			var size, length int
			if _, err := fmt.Sscanf(string(content), "%d %d", &size, &length); err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("request %d: %d %q", i, response.StatusCode, content)
			}
			if length != len(bodies[i]) {
				t.Fatalf("request %d: a body of %d bytes, want %d", i, length, len(bodies[i]))
			}
			// What arrives with the request before is not counted.
			if size > sizes[i] || size < sizes[i]-readerBytes || i == 0 && size != sizes[i] {
				t.Fatalf("request %d: a header of %d bytes, want %d", i, size, sizes[i])
			}
		}
	})
}

// TestHeaderLimit guards against headers that are parsed although they exceed the limit, and against refusals of those that don't, also after the limit was
// changed.
func TestHeaderLimit(t *testing.T) {
	address, server, observer := headerServer(t)
	const lineBytes = 6
	request := func(headerBytes int) string {
		begin, end := "GET / HTTP/1.1\r\nHost: h\r\n", "\r\n"
		lines := strings.Repeat("a:x\r\n", (headerBytes-len(begin)-len(end)-lineBytes)/(lineBytes-1))
		rest := headerBytes - len(begin) - len(end) - len(lines) - len("b:\r\n")
		return begin + lines + "b:" + strings.Repeat("x", rest) + "\r\n" + end
	}
	ask := func(text string) int {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		return response.StatusCode
	}
	for _, limit := range []int{1 << 10, 5000, 200 << 10, 16 << 10} {
		server.SetMaxHeaderBytes(limit)
		if got := ask(request(limit)); got != http.StatusOK {
			t.Errorf("a header of %d bytes got %d", limit, got)
		}
		if got := ask(request(limit + 1)); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a header of %d bytes got %d, %d are allowed", limit+1, got, limit)
		}
		// The end of this one never comes.
		if got := ask(request(limit + 10)[:limit+1]); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%d bytes of an unfinished header got %d, %d are allowed", limit+1, got, limit)
		}
	}
	const refusals = 8
	observer.mu.Lock()
	defer observer.mu.Unlock()
	if got := len(observer.events); got != refusals {
		t.Errorf("%d refusals were reported, want %d: %v", got, refusals, observer.events)
	}
}
