package changefeed_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/granitebay/granitebay/internal/changefeed"
	"github.com/granitebay/granitebay/internal/store"
)

// snapshotSource returns a snapshot with one item at a revision, or none if the revision is negative.
type snapshotSource struct {
	changefeed.Source
	revision store.Revision
}

func (s snapshotSource) Snapshot() (store.Snapshot, bool) {
	item := store.Item{Key: "servers/w", Value: []byte("{}"), Revision: s.revision}
	return store.Snapshot{Items: []store.Item{item}, Revision: s.revision}, s.revision >= 0
}

// serveSnapshot serves a snapshot at a revision, or none if it is negative, and returns the address.
func serveSnapshot(t *testing.T, revision store.Revision) string {
	t.Helper()
	server := httptest.NewServer(changefeed.Handler(snapshotSource{revision: revision}, func() (all, live []string) { return nil, nil }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestFetchReturnsNewestSnapshot guards against a start from an older snapshot, or from none, when some gateways have none,
// send invalid data or are down.
func TestFetchReturnsNewestSnapshot(t *testing.T) {
	stopped := httptest.NewServer(http.NotFoundHandler())
	stopped.Close()
	malformed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }))
	t.Cleanup(malformed.Close)
	seeds := []string{
		serveSnapshot(t, 4), serveSnapshot(t, 9), serveSnapshot(t, -1), strings.TrimPrefix(stopped.URL, "http://"), strings.TrimPrefix(malformed.URL, "http://"),
	}
	got, err := changefeed.NewSeeds(seeds).Fetch(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if got.Revision != 9 || len(got.Items) != 1 || got.Items[0].Key != "servers/w" {
		t.Errorf("got %+v", got)
	}
}

// TestFetchFailsWithoutSnapshots guards against a start with an empty snapshot if no gateway has one.
func TestFetchFailsWithoutSnapshots(t *testing.T) {
	if _, err := changefeed.NewSeeds([]string{serveSnapshot(t, -1)}).Fetch(t.Context()); err == nil || !strings.Contains(err.Error(), "snapshot from other gateways") {
		t.Errorf("got %v", err)
	}
	if _, err := changefeed.NewSeeds(nil).Fetch(t.Context()); err == nil {
		t.Error("no error without gateways to query")
	}
}
