package callers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/netdial"
)

// endOfRequest is what a handler sees when the context of its request ends.
type endOfRequest struct {
	cause  error
	closer forward.Closer
}

// TestEndOfRequestNamesCloser guards against requests that are reported as left by their callers although nobody was seen to close the
// connection, and against an end of the context that does not name its cause.
func TestEndOfRequestNamesCloser(t *testing.T) {
	for _, c := range []struct {
		desc           string
		end            func(caller *net.TCPConn, cancelBase func())
		want           forward.Closer
		isDisconnected bool
	}{
		{"end of stream", func(caller *net.TCPConn, _ func()) { _ = caller.CloseWrite() }, forward.CloserCaller, true},
		{"reset", func(caller *net.TCPConn, _ func()) {
			_ = caller.SetLinger(0)
			_ = caller.Close()
		}, forward.CloserCaller, true},
		{"end of stream behind a part of the next request", func(caller *net.TCPConn, _ func()) {
			_, _ = io.WriteString(caller, "GET ")
			time.Sleep(testDelay)
			_ = caller.CloseWrite()
		}, forward.CloserCaller, true},
		{"a context that ends for another reason", func(_ *net.TCPConn, cancelBase func()) { cancelBase() }, forward.CloserUnknown, false},
	} {
		t.Run(c.desc, func(t *testing.T) {
			ends := make(chan endOfRequest, 1)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				ends <- endOfRequest{context.Cause(r.Context()), CloserOf(r.Context())}
			})
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			s := NewServer(CancelOnDisconnect(handler), &Traffic{}, &recordingObserver{}, logrus.NewEntry(logger))
			base, cancelBase := context.WithCancel(context.Background())
			defer cancelBase()
			s.server.BaseContext = func(net.Listener) context.Context { return base }
			listener, err := netdial.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = s.Serve(listener) }()
			t.Cleanup(s.Close)
			conn, err := net.Dial("tcp4", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, requestFor("/1")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(testDelay) // The handler runs.
			c.end(conn.(*net.TCPConn), cancelBase)
			select {
			case got := <-ends:
				disconnect := new(forward.DisconnectError)
				if got.closer != c.want || errors.As(got.cause, &disconnect) != c.isDisconnected || !errors.Is(got.cause, context.Canceled) {
					t.Errorf("got closer %q, cause %v", got.closer, got.cause)
				}
			case <-time.After(testTimeout):
				t.Error("the context did not end")
			}
		})
	}
}

// TestUnreadResponseNamesWriteTimeout guards against a response that the caller does not read being reported as a disconnect.
func TestUnreadResponseNamesWriteTimeout(t *testing.T) {
	s := newTestServer(t, time.Hour, time.Hour)
	own, other := net.Pipe()
	defer other.Close()
	conn := newConnection(own, s.Server)
	s.add(conn)
	_ = conn.SetWriteDeadline(time.Now().Add(testDelay))
	if _, err := conn.Write([]byte("response")); !isDeadlineExceeded(err) {
		t.Errorf("got %v", err)
	}
	_ = conn.Close()
	if closer := conn.closedBy(); closer != forward.CloserWriteTimeout {
		t.Errorf("closed by %q", closer)
	}
}
