package changefeed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/store"
)

// A zone of a fleet in which only gateways with slow links can reach the store, and the time within which a change must be in force.
const (
	followersPerZone   = 20
	slowLinkBits       = 10e6
	configurationBound = 3 * time.Second
)

// configurationItem returns an item with a configuration of so many routes with random names.
func configurationItem(routes int) store.Item {
	random := rand.New(rand.NewPCG(1, 2))
	var content bytes.Buffer
	content.WriteString(`{"version":26,"routes":[`)
	for i := range routes {
		if i > 0 {
			content.WriteString(",")
		}
		fmt.Fprintf(&content, `{"name":"r-%08x","host":"ficu95.example","beginning":"/%08x/%04x/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":1,"service":"huvo11a","maxAttempts":2,"public":false}`,
			random.Uint32(), random.Uint32(), random.Uint32N(1<<16))
	}
	content.WriteString(`]}`)
	return store.Item{Key: "configuration", Value: content.Bytes(), Revision: 5}
}

// itemSource has one item.
type itemSource struct {
	item    store.Item
	changed chan struct{}
}

func (s itemSource) Snapshot() (store.Snapshot, bool) {
	return store.Snapshot{Items: []store.Item{s.item}, Revision: s.item.Revision}, true
}

func (s itemSource) Changes(store.ChangesRequest) (store.Changes, bool) {
	return store.Changes{Changed: []store.Event{{Item: s.item}}, Revision: s.item.Revision}, true
}

func (s itemSource) Changed() <-chan struct{} { return s.changed }

// countingWriter counts the bytes of a response.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (w countingWriter) Write(content []byte) (int, error) {
	w.bytes.Add(int64(len(content)))
	return w.ResponseWriter.Write(content)
}

// serveItem serves an item and returns the address, and the number of bytes sent so far.
func serveItem(t *testing.T, item store.Item) (address string, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	handler := Handler(itemSource{item, make(chan struct{})}, func() (all, live []string) { return nil, nil })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler.ServeHTTP(countingWriter{w, sent}, r) }))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), sent
}

// TestLargeConfigurationFitsSlowLinks guards against a configuration that takes longer than its bound to reach all standby gateways of a zone
// because their upstream has a slow link.
func TestLargeConfigurationFitsSlowLinks(t *testing.T) {
	item := configurationItem(1400)
	address, sent := serveItem(t, item)
	peers := peerClient{httpclient.New(httpclient.DefaultSettings())}
	changes, err := peers.requestChanges(t.Context(), address, store.ChangesRequest{After: 4, Shards: 1})
	if err != nil || len(changes.Changed) != 1 || !bytes.Equal(changes.Changed[0].Value, item.Value) || changes.Changed[0].Revision != item.Revision {
		t.Fatalf("got %d changes, %v", len(changes.Changed), err)
	}
	// Half of the bound is left for the way to the upstream.
	if took := time.Duration(float64(sent.Load()*8*followersPerZone) / slowLinkBits * float64(time.Second)); took > configurationBound/2 {
		t.Errorf("%d bytes for a value of %d: %d followers take %s over a link of 10 Mbit/s, want %s", sent.Load(), len(item.Value), followersPerZone, took, configurationBound/2)
	}
	sent.Store(0)
	snapshot, err := NewSeeds([]string{address}).Fetch(t.Context())
	if err != nil || len(snapshot.Items) != 1 || !bytes.Equal(snapshot.Items[0].Value, item.Value) {
		t.Fatalf("got snapshot with %d items, %v", len(snapshot.Items), err)
	}
	if sent.Load() > int64(len(item.Value)/2) {
		t.Errorf("snapshot of %d bytes for a value of %d", sent.Load(), len(item.Value))
	}
}

// TestRequestersWithoutCompressionGetValues guards against compressed values for gateways of builds that do not support them.
func TestRequestersWithoutCompressionGetValues(t *testing.T) {
	item := configurationItem(100)
	address, _ := serveItem(t, item)
	for _, path := range []string{pathChanges + "?after=4&hold=0", pathSnapshot} {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		var got struct{ Changed, Items []store.Item }
		if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
			t.Fatal(err)
		}
		if items := slices.Concat(got.Changed, got.Items); len(items) != 1 || !bytes.Equal(items[0].Value, item.Value) {
			t.Errorf("%s: got %d items", path, len(items))
		}
	}
}

// TestCompressedValuesFollowRevisions guards against sending the value of an earlier revision.
func TestCompressedValuesFollowRevisions(t *testing.T) {
	c := newCompressor()
	for revision := range 3 {
		item := configurationItem(100 + revision)
		item.Revision = store.Revision(revision + 1)
		wire := c.changes(store.Changes{Changed: []store.Event{{Item: item}, {Item: store.Item{Key: "small", Value: []byte("v")}}}})
		changes, err := wire.unpack()
		if err != nil || !bytes.Equal(changes.Changed[0].Value, item.Value) || string(changes.Changed[1].Value) != "v" {
			t.Errorf("revision %d: got %d bytes, want %d; %v", item.Revision, len(changes.Changed[0].Value), len(item.Value), err)
		}
	}
}

// TestInvalidCompressedValueIsRejected guards against taking a damaged value for an empty one.
func TestInvalidCompressedValueIsRejected(t *testing.T) {
	wire := wireChanges{Changed: []wireEvent{{Event: store.Event{Item: store.Item{Key: "configuration"}}, Compressed: []byte{0xff, 0xff}}}}
	if _, err := wire.unpack(); err == nil || !strings.Contains(err.Error(), "configuration") {
		t.Errorf("got error %v", err)
	}
}
