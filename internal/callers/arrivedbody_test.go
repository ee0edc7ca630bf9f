package callers

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pathLateRead is the path of requests whose body is read only after the deadline of its reading.
const pathLateRead = "/late-read"

// TestArrivedBodyIsReadAfterDeadline guards against a body that has arrived and is not read, because the process stood still until the deadline of its
// reading had passed: its connection is closed behind a refusal, and a request that waits for its body is refused.
func TestArrivedBodyIsReadAfterDeadline(t *testing.T) {
	for _, readsBody := range []bool{false, true} {
		t.Run(fmt.Sprint("handler reads the body: ", readsBody), func(t *testing.T) {
			s := newTestServer(t, time.Hour, time.Hour)
			var readErr error
			// A body that does not fit into the buffer of net/http is unread when the handler starts.
			body := strings.Repeat("b", 32<<10)
			s.server.Handler = trackHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == pathLateRead {
					_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(testDelay / 2))
					time.Sleep(testDelay)
				}
				if readsBody {
					_, readErr = io.Copy(io.Discard, r.Body)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			caller := s.dial(t)
			if err := caller.send(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", pathLateRead, len(body), body)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(caller.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if response.Close || readErr != nil {
				t.Errorf("connection closed: %t; read the body: %v", response.Close, readErr)
			}
			if !response.Close {
				caller.request(t, "/next")
			}
		})
	}
}
