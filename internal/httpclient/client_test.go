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
	"syscall"
	"testing"
	"time"
)

// startWorker runs a server that handles each connection with a function, and returns its address.
func startWorker(t *testing.T, handle func(connection net.Conn, reader *bufio.Reader, number int)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				handle(connection, bufio.NewReader(connection), number)
			}()
		}
	}()
	return listener.Addr().String()
}

// readRequest reads one request with its body.
func readRequest(reader *bufio.Reader) (*http.Request, string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(request.Body)
	return request, string(body), err
}

// send sends a request with an id and returns the response body.
func send(client *Client, address, id, body string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	response, err := client.Do(ctx, address, &Request{
		Method: http.MethodPost, Target: "/a//b?c=%20d", Host: "host.example", Header: http.Header{"Id": {id}}, Body: []byte(body),
		Classify: func(_ int, header http.Header) ResponseKind {
			if header.Get("Id") != id {
				return KindOther
			}
			return KindResponse
		},
	})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

func TestRequestsAreSentUnchangedOverOneConnection(t *testing.T) {
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		for {
			request, body, err := readRequest(reader)
			if err != nil {
				return
			}
			answer := request.RequestURI + " " + request.Host + " " + body
			_ = (&http.Response{
				StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{"Id": request.Header["Id"]},
				ContentLength: int64(len(answer)), Body: io.NopCloser(strings.NewReader(answer)),
			}).Write(connection)
		}
	})
	client := New(DefaultSettings())
	for _, body := range []string{"short", strings.Repeat("long", 10000)} {
		got, err := send(client, address, "1", body)
		if want := "/a//b?c=%20d host.example " + body; err != nil || got != want {
			t.Fatalf("got %.60q, %v", got, err)
		}
	}
	if client.ConnectionsOpened() != 1 {
		t.Errorf("opened %d connections, want 1", client.ConnectionsOpened())
	}
}

func TestUnmatchedResponsesAreSkipped(t *testing.T) {
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold")
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nnew")
		_, _, _ = readRequest(reader)
	})
	if got, err := send(New(DefaultSettings()), address, "1", ""); err != nil || got != "new" {
		t.Fatalf("got %q, %v", got, err)
	}
}

// TestUnsolicitedBytesCloseIdleConnection guards against taking bytes that arrive on an idle connection for the response to the next request.
func TestUnsolicitedBytesCloseIdleConnection(t *testing.T) {
	isIdle, ended := make(chan struct{}), make(chan error, 1)
	// A client whose process stands still while it connects may leave a connection without a request, so only the requests count.
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		request, _, err := readRequest(reader)
		if err != nil {
			return
		}
		if request.Header.Get("Id") == "2" {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nright")
			return
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na")
		<-isIdle
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nwrong")
		_, err = reader.ReadByte()
		ended <- err
	})
	client := New(DefaultSettings())
	if _, err := send(client, address, "1", ""); err != nil {
		t.Fatal(err)
	}
	idle := client.pool.idle[address]
	if len(idle) != 1 {
		t.Fatalf("%d connections are idle, want 1", len(idle))
	}
	close(isIdle)
	awaitReadable(t, idle[0].Conn)
	if got, err := send(client, address, "2", ""); err != nil || got != "right" {
		t.Fatalf("got %q, %v", got, err)
	}
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the connection carried another request")
		}
	case <-time.After(10 * time.Second):
		t.Error("the connection was not closed")
	}
}

// awaitReadable waits until bytes have arrived on a connection, and leaves them there.
func awaitReadable(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var receiveErr error
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, receiveErr = syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(receiveErr, syscall.EAGAIN)
	})
	if err != nil || receiveErr != nil {
		t.Fatalf("await bytes: %v, %v", err, receiveErr)
	}
}

func TestEarlyResponseClosesConnection(t *testing.T) {
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, number int) {
		if number == 1 {
			_, _ = http.ReadRequest(reader)
			_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(time.Second)
			return
		}
		_, _, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
	})
	client := New(DefaultSettings())
	long := strings.Repeat("x", 8<<20)
	if _, err := send(client, address, "1", long); err != nil {
		t.Fatal(err)
	}
	if got, err := send(client, address, "1", "x"); err != nil || got != "ok" {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestErrorsReportFailedStep(t *testing.T) {
	tests := []struct {
		desc    string
		address string
		want    Step
	}{
		{"no listener", refusingAddress(t), StepConnect},
		{"closed without a response", startWorker(t, func(_ net.Conn, reader *bufio.Reader, _ int) { _, _, _ = readRequest(reader) }), StepAwait},
		{"not HTTP", startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
			_, _, _ = readRequest(reader)
			_, _ = io.WriteString(connection, "garbage\r\n\r\n")
		}), StepAwait},
		{"body cut off", startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
			_, _, _ = readRequest(reader)
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc")
		}), StepReceive},
		{"connection reset, no content length", startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
			_, _, _ = readRequest(reader)
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nabc")
			time.Sleep(20 * time.Millisecond)
			_ = connection.(*net.TCPConn).SetLinger(0)
		}), StepReceive},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := send(New(DefaultSettings()), test.address, "1", "body")
			var failed *Error
			if !errors.As(err, &failed) || failed.Step != test.want || failed.Peer != test.address {
				t.Fatalf("got %v, want step %q", err, test.want)
			}
		})
	}
}

// refusingAddress returns an address that refuses connections. Its port stays bound, so that nothing else can listen there.
func refusingAddress(t *testing.T) string {
	t.Helper()
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(descriptor) })
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := startWorker(t, func(_ net.Conn, reader *bufio.Reader, _ int) {
		_, _, _ = readRequest(reader)
		_, _ = reader.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := New(DefaultSettings()).Do(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Fatal("the connection was not closed")
	}
}

// TestIdleLimitIsLearnedFromWorker checks that after a worker closed an idle connection, later ones are given up before
// the worker closes them.
func TestIdleLimitIsLearnedFromWorker(t *testing.T) {
	t.Parallel()
	const closesAfter = time.Second
	address := startWorker(t, func(connection net.Conn, reader *bufio.Reader, _ int) {
		for {
			_ = connection.SetReadDeadline(time.Now().Add(closesAfter))
			if _, _, err := readRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	client := New(DefaultSettings())
	for _, pause := range []time.Duration{0, closesAfter * 5 / 4, closesAfter * 19 / 20, closesAfter / 4} {
		time.Sleep(pause)
		if _, err := send(client, address, "1", ""); err != nil {
			t.Fatalf("after %s: %v", pause, err)
		}
	}
	// One initial connection, one after the worker closed it, one after the limit; the last request reused its
	// connection.
	if client.ConnectionsOpened() != 3 {
		t.Errorf("opened %d connections, want 3", client.ConnectionsOpened())
	}
}

// TestMomentarySilenceIsTolerated guards against closing the connections of a worker that falls silent for a second or so: whenever its
// silence begins, a keep-alive probe has to reach it before TCP_USER_TIMEOUT ends the connection.
func TestMomentarySilenceIsTolerated(t *testing.T) {
	const silence, firstProbe, interval = 1500 * time.Millisecond, time.Second, time.Second
	limit := WorkerSettings().UnacknowledgedTimeout
	for begin := time.Duration(0); begin < limit; begin += 10 * time.Millisecond {
		answered := false
		for probe := firstProbe; probe < limit; probe += interval {
			answered = answered || probe < begin || probe >= begin+silence
		}
		if !answered {
			t.Errorf("a silence of %s that begins %s after the last data leaves no probe answered before %s", silence, begin, limit)
		}
	}
}

// TestKeptConnectionsDoNotPileUp guards against idle connections that are opened to check a worker, and use up the number that it accepts.
func TestKeptConnectionsDoNotPileUp(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := New(DefaultSettings())
	address := listener.Addr().String()
	for range 5 {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		client.Keep(conn, address)
	}
	if idle := len(client.pool.idle[address]); idle != 1 {
		t.Errorf("%d connections are kept, want 1", idle)
	}
}

// TestFailureCauses guards against metrics in which a worker that does not answer can't be told from one that refuses or resets connections.
func TestFailureCauses(t *testing.T) {
	silent := startWorker(t, func(_ net.Conn, reader *bufio.Reader, _ int) { _, _ = io.Copy(io.Discard, reader) })
	resets := startWorker(t, func(net.Conn, *bufio.Reader, int) {})
	closed, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	errGivenUp := errors.New("given up")
	for _, test := range []struct {
		address string
		want    FailureCause
	}{
		{silent, CauseTimeout}, {resets, CauseReset}, {closed.Addr().String(), CauseRefused},
	} {
		ctx, cancel := context.WithCancelCause(t.Context())
		timer := time.AfterFunc(100*time.Millisecond, func() { cancel(errGivenUp) })
		_, err := New(DefaultSettings()).Do(ctx, test.address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		timer.Stop()
		cancel(nil)
		var transport *Error
		if !errors.As(err, &transport) || transport.FailureCause() != test.want {
			t.Errorf("got %v, want cause %s", err, test.want)
		}
	}
}
