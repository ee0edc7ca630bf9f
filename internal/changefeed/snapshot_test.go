package changefeed_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/changefeed"
	"github.com/granitebay/granitebay/internal/store"
)

// snapshotSource tells a snapshot of a revision, or none when it is negative.
type snapshotSource struct {
	changefeed.Source
	revision store.Revision
}

func (s snapshotSource) Snapshot() (store.Snapshot, bool) {
	item := store.Item{Key: "servers/w", Value: []byte("{}"), Revision: s.revision}
	return store.Snapshot{Items: []store.Item{item}, Revision: s.revision}, s.revision >= 0
}

// gateway serves a snapshot of a revision, or none when it is negative, and returns its address.
func serveSnapshot(t *testing.T, revision store.Revision) string {
	t.Helper()
	server := httptest.NewServer(changefeed.Handler(snapshotSource{revision: revision}, func() (all, live []string) { return nil, nil }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestFetchTakesTheNewestAnswer asks gateways of which some know less, nothing, or are gone.
func TestFetchReturnsNewestSnapshot(t *testing.T) {
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	nonsense := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }))
	t.Cleanup(nonsense.Close)
	seeds := []string{
		serveSnapshot(t, 4), serveSnapshot(t, 9), serveSnapshot(t, -1), strings.TrimPrefix(gone.URL, "http://"), strings.TrimPrefix(nonsense.URL, "http://"),
	}
	got, err := changefeed.NewSeeds(seeds).Fetch(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got.Revision != 9 || len(got.Items) != 1 || got.Items[0].Key != "servers/w" {
		t.Errorf("got %+v", got)
	}
}

// TestFetchSaysWhenNobodyKnows asks a gateway that has only started.
func TestFetchFailsWithoutSnapshots(t *testing.T) {
	if _, err := changefeed.NewSeeds([]string{serveSnapshot(t, -1)}).Fetch(t.Context()); err == nil || !strings.Contains(err.Error(), "ask other gateways") {
		t.Errorf("got %v", err)
	}
	if _, err := changefeed.NewSeeds(nil).Fetch(t.Context()); err == nil {
		t.Error("no error without anybody to ask")
	}
}
