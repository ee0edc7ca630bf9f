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
	handler := Handler(func(int) []peersync.CachedSegment { return known }, func() time.Duration { return 1500 * time.Millisecond })
	got, err := New().Query(t.Context(), startServer(t, handler))
	if err != nil || !reflect.DeepEqual(got.Segments, known) || got.Uptime != 1500*time.Millisecond {
		t.Errorf("got %+v, error %v, want %+v", got, err, known)
	}
}

// TestWarmGatewayHasServedForAWhile guards against a gateway that takes another one, which started at the same time, for
// one that knows the load of the engines, and against asking all engines because the others run an older version.
func TestWarmGatewayHasServedForAWhile(t *testing.T) {
	segments := []peersync.CachedSegment{{Worker: "w", Key: "k", Tokens: 700}}
	for _, test := range []struct {
		answer Answer
		want   bool
	}{
		{Answer{Segments: segments, Uptime: 300 * time.Millisecond}, false},
		{Answer{Uptime: time.Minute}, true},
		{Answer{Segments: segments, Uptime: -1}, true},
		{Answer{Uptime: -1}, false},
	} {
		if got := test.answer.Warm(); got != test.want {
			t.Errorf("%+v: warm %t", test.answer, got)
		}
	}
}

func TestQueryReportsInvalidResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"error status":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"not CBOR":        func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("nonsense")) },
		"other CBOR type": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0x05}) },
	} {
		if answer, err := New().Query(t.Context(), startServer(t, handler)); err == nil || answer != nil || !strings.Contains(err.Error(), "query cached segments") {
			t.Errorf("%s: got %v, error %v, want an error that names the query", name, answer, err)
		}
	}
}
