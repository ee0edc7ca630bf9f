package changefeed

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/store"
)

// pathSnapshot is where gateways tell everything they know.
const pathSnapshot = "/snapshot"

// Bounds of one question.
const (
	snapshotTimeout  = 600 * time.Millisecond
	maxResponseBytes = 32 << 20
)

// tellSnapshot answers everything that is known.
func serveSnapshot(w http.ResponseWriter, source Source) {
	snapshot, found := source.Snapshot()
	if !found {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error is that of a peer that has left.
	_ = json.NewEncoder(w).Encode(snapshot)
}

// decode reads a bounded answer.
func decode(body io.Reader, result any) error {
	return json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(result)
}

// Seeds are gateways that are asked at a start for everything they know.
type Seeds struct {
	peerClient
	addresses []string
}

// NewSeeds returns seeds at these addresses.
func NewSeeds(addresses []string) *Seeds {
	return &Seeds{peerClient: peerClient{httpclient.New(httpclient.DefaultSettings())}, addresses: addresses}
}

// errNobody is returned when no gateway answered.
var errNoSeedAnswered = errors.New("step ask other gateways: nobody answered")

// Fetch asks all seeds and returns the newest answer. It is a store.Fallback.
func (s *Seeds) Fetch(ctx context.Context) (store.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	snapshots := make(chan *store.Snapshot, len(s.addresses))
	for _, address := range s.addresses {
		go func() { snapshots <- s.fetchFrom(ctx, address) }()
	}
	var newest *store.Snapshot
	for range s.addresses {
		snapshot := <-snapshots
		if snapshot != nil && (newest == nil || snapshot.Revision > newest.Revision) {
			newest = snapshot
		}
	}
	if newest == nil {
		return store.Snapshot{}, errNoSeedAnswered
	}
	return *newest, nil
}

// snapshot asks one gateway, and returns nil when it does not know.
func (s *Seeds) fetchFrom(ctx context.Context, address string) *store.Snapshot {
	var snapshot store.Snapshot
	if s.get(ctx, address, pathSnapshot, &snapshot, nil) != nil {
		return nil
	}
	snapshot.Adopt(0)
	return &snapshot
}
