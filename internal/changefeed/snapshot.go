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

// pathSnapshot is the path of requests for a snapshot at the control address.
const pathSnapshot = "/snapshot"

// Limits of a request.
const (
	snapshotTimeout  = 600 * time.Millisecond
	maxResponseBytes = 32 << 20
)

// serveSnapshot handles a request for a snapshot.
func (s *server) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	snapshot, found := s.source.Snapshot()
	if !found {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	var response any = snapshot
	if acceptsCompressed(r) {
		response = s.compressor.snapshot(snapshot)
	}
	// An error means that the peer has disconnected.
	_ = json.NewEncoder(w).Encode(response)
}

// decode decodes a response body of limited size.
func decode(body io.Reader, result any) error {
	return json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(result)
}

// Seeds fetches a snapshot from other gateways when this one starts.
type Seeds struct {
	peerClient
	addresses []string
}

// NewSeeds returns seeds with the addresses of gateways.
func NewSeeds(addresses []string) *Seeds {
	return &Seeds{peerClient: peerClient{httpclient.New(httpclient.DefaultSettings())}, addresses: addresses}
}

// errNoSnapshot is returned if no gateway sent a snapshot.
var errNoSnapshot = errors.New("fetch snapshot from other gateways: no gateway answered")

// Fetch queries all gateways concurrently and returns the newest snapshot. It is a store.Fallback.
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
		return store.Snapshot{}, errNoSnapshot
	}
	return *newest, nil
}

// fetchFrom fetches the snapshot of one gateway, and returns nil on failure.
func (s *Seeds) fetchFrom(ctx context.Context, address string) *store.Snapshot {
	var response wireSnapshot
	if s.get(ctx, address, pathSnapshot+"?"+paramCompressed+"=1", nil, &response, nil) != nil {
		return nil
	}
	snapshot, err := response.unpack()
	if err != nil {
		return nil
	}
	snapshot.ResolveEra(0)
	return &snapshot
}
