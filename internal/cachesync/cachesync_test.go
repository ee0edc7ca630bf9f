package cachesync

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

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
	got, err := New().Query(t.Context(), startServer(t, Handler(func(int) []peersync.CachedSegment { return known })))
	if err != nil || !reflect.DeepEqual(got, known) {
		t.Errorf("got %+v, error %v, want %+v", got, err, known)
	}
}

func TestQueryReportsInvalidResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"error status":    func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"not CBOR":        func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("nonsense")) },
		"other CBOR type": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0x05}) },
	} {
		if segments, err := New().Query(t.Context(), startServer(t, handler)); err == nil || len(segments) > 0 || !strings.Contains(err.Error(), "query cached segments") {
			t.Errorf("%s: got segments %v, error %v, want an error that names the query", name, segments, err)
		}
	}
}
