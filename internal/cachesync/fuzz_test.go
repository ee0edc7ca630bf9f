package cachesync

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/granitebay/granitebay/internal/peersync"
)

// FuzzSegments checks that no response of another gateway ends the process: segments are queried in the background, where nobody recovers a panic.
func FuzzSegments(f *testing.F) {
	valid, err := cbor.Marshal([]peersync.CachedSegment{{Worker: "w", Key: "aa", Tokens: 100, Ready: true, PrivateTokens: 5}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("5000", valid)
	f.Add("-1", valid[:len(valid)/2])
	f.Add("", []byte{0x9f, 0xff})
	var entryTime string
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header()[headerEntryTime] = []string{entryTime}
		_, _ = writer.Write(body)
	}))
	f.Cleanup(server.Close)
	client := New()
	f.Fuzz(func(t *testing.T, entry string, content []byte) {
		entryTime, body = entry, content
		segments, err := client.Query(t.Context(), strings.TrimPrefix(server.URL, "http://"), func() {})
		if err != nil && len(segments) > 0 {
			t.Errorf("%d segments beside the error %v", len(segments), err)
		}
	})
}
