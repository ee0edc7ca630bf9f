package keptshare

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/loadshare"
)

// serve serves a handler and returns its address.
func startServer(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestAskReturnsCachedParts(t *testing.T) {
	known := []loadshare.Kept{{Worker: "w", Key: "k", Tokens: 13_300, Ready: true}, {Worker: "v", Key: "l", Tokens: 700}}
	got, err := New().Ask(t.Context(), startServer(t, Handler(func(int) []loadshare.Kept { return known })))
	if err != nil || !reflect.DeepEqual(got, known) {
		t.Errorf("got %+v, %v", got, err)
	}
}

func TestAskReportsInvalidResponses(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"an error":     func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"nonsense":     func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("nonsense")) },
		"another kind": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte{0x05}) },
	} {
		if parts, err := New().Ask(t.Context(), startServer(t, handler)); err == nil || len(parts) > 0 || !strings.Contains(err.Error(), "what engines keep") {
			t.Errorf("%s: %v, %v", name, parts, err)
		}
	}
}
