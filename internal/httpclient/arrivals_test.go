package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// get sends a request whose response arrives at arrivals.
func get(t *testing.T, client *Client, address string, arrivals *Arrivals) *Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	t.Cleanup(cancel)
	response, err := client.Do(ctx, address, &Request{
		Method: http.MethodGet, Target: "/", Host: "host.example", Header: http.Header{}, Arrivals: arrivals,
	})
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// eventuallyQuiet waits until a worker is quiet, or is not.
func eventuallyQuiet(t *testing.T, arrivals *Arrivals, want bool) {
	t.Helper()
	for range 300 {
		if _, quiet := arrivals.Quiet(); quiet == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("quiet is never %t", want)
}

// TestArrivals guards against a worker that seems quiet although bytes of its response are in the kernel or at the reader, and against one that
// seems to send while its reader waits.
func TestArrivals(t *testing.T) {
	release := make(chan struct{})
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
		<-release
		_, _ = io.WriteString(connection, "cd")
		_, _, _ = readRequest(reader)
	})
	var unknown *Arrivals
	arrivals := &Arrivals{}
	for _, unused := range []*Arrivals{unknown, arrivals} {
		if reads, quiet := unused.Quiet(); reads != 0 || !quiet {
			t.Errorf("without a request: %d reads, quiet %t", reads, quiet)
		}
	}
	response := get(t, New(DefaultSettings()), address, arrivals)
	if _, quiet := arrivals.Quiet(); quiet {
		t.Error("quiet while the response is processed")
	}
	read := make(chan string)
	go func() {
		content, _ := io.ReadAll(response.Body)
		read <- string(content)
	}()
	eventuallyQuiet(t, arrivals, true)
	close(release)
	if content := <-read; content != "abcd" {
		t.Errorf("got %q", content)
	}
}

// heldReads is a connection whose reads wait for a channel, but for the first one.
type heldReads struct {
	*net.TCPConn
	first   bool
	release chan struct{}
}

func (h *heldReads) Read(buffer []byte) (int, error) {
	if h.first {
		<-h.release
	}
	h.first = true
	return h.TCPConn.Read(buffer)
}

// heldReadsDialer opens connections whose reads are held.
type heldReadsDialer struct {
	plainDialer
	release chan struct{}
}

func (d heldReadsDialer) Dial(ctx context.Context, address string, _ bool) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &heldReads{TCPConn: conn.(*net.TCPConn), release: d.release}, nil
}

// TestArrivalsLeaveTheReset guards against a look that takes the error of a reset connection: a response without a length would then seem whole.
func TestArrivalsLeaveTheReset(t *testing.T) {
	release := make(chan struct{})
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n\r\nab")
		time.Sleep(100 * time.Millisecond)
		_ = connection.(*net.TCPConn).SetLinger(0)
	})
	arrivals := &Arrivals{}
	response := get(t, NewWithDialer(DefaultSettings(), heldReadsDialer{release: release}), address, arrivals)
	done := make(chan error)
	go func() {
		_, err := io.ReadAll(response.Body)
		done <- err
	}()
	eventuallyQuiet(t, arrivals, true)
	eventuallyQuiet(t, arrivals, false)
	close(release)
	if err := <-done; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %v, want %v", err, syscall.ECONNRESET)
	}
}

// TestIdleConnectionHoldsNoExchange guards against idle connections that keep the memory of their last request.
func TestIdleConnectionHoldsNoExchange(t *testing.T) {
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
		_, _, _ = readRequest(reader)
	})
	client, arrivals := New(DefaultSettings()), &Arrivals{}
	response := get(t, client, address, arrivals)
	_, _ = io.ReadAll(response.Body)
	connection := client.pool.pop(address, need{})
	if connection == nil {
		t.Fatal("the connection was not kept")
	}
	reads, _ := arrivals.Quiet()
	_ = connection.SetReadDeadline(time.Now())
	_, _ = connection.reader.ReadByte()
	if now, _ := arrivals.Quiet(); now != reads {
		t.Errorf("the idle connection is read through its last exchange")
	}
}
