package cachesync

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/peersync"
)

// startServer starts a server with the handler and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestQueryReturnsCachedSegments(t *testing.T) {
	known := []peersync.CachedSegment{{Worker: "w", Key: "k", Tokens: 13_300, Ready: true}, {Worker: "v", Key: "l", Tokens: 700}}
	handler := Handler(func(int) []peersync.CachedSegment { return known }, func() time.Duration { return 0 })
	got, err := New().Query(t.Context(), startServer(t, handler), func() {})
	if err != nil || !reflect.DeepEqual(got, known) {
		t.Errorf("got %+v, error %v, want %+v", got, err, known)
	}
}

// TestWarmGatewayHasBeenAnEntryForAWhile guards against a gateway that takes another one, which became an entry at the same time, for
// one that knows the load of the engines, and against asking all engines because the others run an older version.
func TestWarmGatewayHasBeenAnEntryForAWhile(t *testing.T) {
	segments := []peersync.CachedSegment{{Worker: "w", Key: "k", Tokens: 700}}
	for _, test := range []struct {
		segments []peersync.CachedSegment
		// entryTime is negative for a version that does not tell it.
		entryTime time.Duration
		want      bool
	}{
		{segments, 300 * time.Millisecond, false},
		{nil, time.Minute, true},
		{segments, -1, true},
		{nil, -1, false},
	} {
		handler := Handler(func(int) []peersync.CachedSegment { return test.segments }, func() time.Duration { return test.entryTime })
		address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if test.entryTime < 0 {
				w = withoutEntryTime{w}
			}
			handler.ServeHTTP(w, r)
		}))
		isWarm := false
		if _, err := New().Query(t.Context(), address, func() { isWarm = true }); err != nil || isWarm != test.want {
			t.Errorf("entry for %v, %d segments: warm %t, error %v", test.entryTime, len(test.segments), isWarm, err)
		}
	}
}

// withoutEntryTime is a response writer that drops the time as an entry, as older versions do not send it.
type withoutEntryTime struct{ http.ResponseWriter }

// Write implements http.ResponseWriter.
func (w withoutEntryTime) Write(content []byte) (int, error) {
	w.Header().Del(headerEntryTime)
	return w.ResponseWriter.Write(content)
}

func TestQueryReportsInvalidResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"error status":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"not CBOR":        func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("nonsense")) },
		"other CBOR type": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0x05}) },
	} {
		if segments, err := New().Query(t.Context(), startServer(t, handler), func() {}); err == nil || len(segments) > 0 || !strings.Contains(err.Error(), "query cached segments") {
			t.Errorf("%s: got segments %v, error %v, want an error that names the query", name, segments, err)
		}
	}
}
