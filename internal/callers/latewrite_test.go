package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/netdial"
)

// TestReadyResponseOutlastsWriteDeadline guards against a response that is lost because its write deadline passes while the process stands still
// between the last look at the deadline and the write, for a response in one piece and for the parts of a stream.
func TestReadyResponseOutlastsWriteDeadline(t *testing.T) {
	const parts = 3
	// standsStill stands in for a process that is suspended: nothing looks at the deadline meanwhile.
	standsStill := func(w http.ResponseWriter) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(testDelay))
		time.Sleep(testStall)
	}
	for _, test := range []struct {
		desc, want string
		handle     http.HandlerFunc
	}{
		{"one piece", "whole", func(w http.ResponseWriter, _ *http.Request) {
			standsStill(w)
			_, _ = io.WriteString(w, "whole")
		}},
		{"a stream", strings.Repeat("part", parts), func(w http.ResponseWriter, _ *http.Request) {
			for range parts {
				standsStill(w)
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
			}
		}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			s := NewServer(test.handle, &Traffic{}, &recordingObserver{}, logrus.NewEntry(logger))
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
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			if got, err := io.ReadAll(response.Body); err != nil || string(got) != test.want {
				t.Errorf("got %q, %v; want %q", got, err, test.want)
			}
		})
	}
}

// TestUnreadResponseEndsAtWriteDeadline guards against a caller that does not read, and occupies its request beyond the write deadline because
// that is taken for one that passed during a standstill.
func TestUnreadResponseEndsAtWriteDeadline(t *testing.T) {
	own, other := net.Pipe()
	defer other.Close()
	s := newTestServer(t, time.Hour, time.Hour)
	conn := newConnection(own, s.Server)
	s.add(conn)
	defer conn.Close()
	start := time.Now()
	_ = conn.SetWriteDeadline(start.Add(testDelay))
	if _, err := conn.Write([]byte("response")); !isDeadlineExceeded(err) {
		t.Errorf("got %v", err)
	}
	if took := time.Since(start); took > lateWriteTime {
		t.Errorf("the write took %v", took)
	}
}
