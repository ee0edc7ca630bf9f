// Package cachesync lets a gateway that starts serving requests learn from other gateways which prompt segments the
// engines have cached. Broadcast updates only reach gateways that are serving when they are sent, and querying
// thousands of engines takes longer than clients wait.
//
// The information is a hint: if an engine has evicted a segment, the segment is prefilled again.
package cachesync

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/peersync"
)

// Path is the path at which gateways serve the cached segments.
const Path = "/kept"

// Limits of a request.
const (
	// maxSegments is the maximum number of segments in a response.
	maxSegments = 100_000
	// maxResponseBytes limits the size of a response.
	maxResponseBytes = 16 << 20
	// requestTimeout limits the time of a request. It must be short, because the gateway queries the engines if no
	// other gateway responds, and clients wait meanwhile. The table for a thousand documents has some hundred kilobytes,
	// 0.1 s of a link of 10 Mbit/s.
	requestTimeout = 500 * time.Millisecond
)

// headerEntryTime is how long the responding gateway has been an entry, in milliseconds.
const headerEntryTime = "Entry-Ms"

// Handler serves the cached segments that source returns, and how long this gateway has been an entry. The source must
// return the segments of each engine in the order of their use, the least recently used first.
func Handler(source func(limit int) []peersync.CachedSegment, entryTime func() time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		encoded, err := cbor.Marshal(source(maxSegments))
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		w.Header().Set(headerEntryTime, strconv.FormatInt(entryTime().Milliseconds(), 10))
		// A write error means that the peer has disconnected.
		_, _ = w.Write(encoded)
	})
}

// Client queries the cached segments that other gateways know.
type Client struct{ client *httpclient.Client }

// New returns a Client.
func New() *Client { return &Client{httpclient.New(httpclient.DefaultSettings())} }

// warmEntryTime is how long a gateway must have been an entry to know the load of the engines from its own requests and its
// peers, which send theirs only to entries.
const warmEntryTime = 2 * time.Second

// Query returns the cached segments that the gateway at the address knows. It calls onWarm before it reads them, which
// may take long, if that gateway has been an entry long enough to know the load of the engines.
func (c *Client) Query(ctx context.Context, address string, onWarm func()) ([]peersync.CachedSegment, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := c.client.Do(ctx, address, &httpclient.Request{Method: http.MethodGet, Target: Path, Host: address, Header: http.Header{}})
	if err != nil {
		return nil, errors.Wrapf(err, "query cached segments, peer %s", address)
	}
	defer response.Body.Close()
	entryTime, entryTimeErr := strconv.ParseInt(response.Header.Get(headerEntryTime), 10, 64)
	if entryTimeErr == nil && response.Status == http.StatusOK && time.Duration(entryTime)*time.Millisecond >= warmEntryTime {
		onWarm()
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil || response.Status != http.StatusOK {
		return nil, errors.Newf("query cached segments, peer %s: status %d, read error %v", address, response.Status, err)
	}
	var segments []peersync.CachedSegment
	if err := cbor.Unmarshal(content, &segments); err != nil {
		return nil, errors.Wrapf(err, "query cached segments, peer %s: decode response, limited to %d bytes", address, maxResponseBytes)
	}
	if entryTimeErr != nil && len(segments) > 0 {
		// The gateway runs a version that does not tell how long it has been an entry.
		onWarm()
	}
	return segments, nil
}
