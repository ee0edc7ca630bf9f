package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/netdial"
)

// TestAbortedResponseLooksBroken guards against an aborted response that looks complete. A response to an HTTP/1.0 request has no length and ends
// with its connection, so only a reset tells the two apart.
func TestAbortedResponseLooksBroken(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for _, aborts := range []bool{true, false} {
		s := NewServer(CancelOnDisconnect(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "a part")
			_ = http.NewResponseController(w).Flush()
			// The caller has received the part.
			time.Sleep(testDelay)
			if aborts {
				panic(http.ErrAbortHandler)
			}
		})), &Traffic{}, &recordingObserver{}, logrus.NewEntry(logger))
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
		if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
		if got, err := io.ReadAll(conn); errors.Is(err, syscall.ECONNRESET) != aborts || (err != nil) != aborts || len(got) == 0 {
			t.Errorf("aborts %t: got %q, %v", aborts, got, err)
		}
	}
}
