// Package changefeed lets gateways get the items of the store from each other. A gateway that starts while the store is
// unavailable begins with the snapshot of another one. Standby gateways request changes from the entries, the
// gateways that watch the store, so that the load on the store grows with the number of entries and not with the fleet.
package changefeed

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/store"
)

// pathChanges is the path of requests for changes at the control address.
const pathChanges = "/changes"

// Query parameters of a request for changes, the encoding of store.ChangesRequest. Wait is in milliseconds.
const (
	paramAfter         = "after"
	paramEra           = "era"
	paramWait          = "hold"
	paramShards        = "shards"
	paramShardHash     = "seat"
	paramListedThrough = "upto"
	paramAllShards     = "all"
)

// paramCompressed is set by requesters that support compressed values, in requests for changes and snapshots.
const paramCompressed = "compressed"

// maxWait bounds the wait of a request.
const maxWait = 10 * time.Second

// Source provides snapshots and changes of the items; store.Replica implements it.
type Source interface {
	// Snapshot returns all items, or false if none are known yet.
	Snapshot() (store.Snapshot, bool)
	// Changes returns the changes that the requester lacks, or false if the gateway cannot serve the request.
	Changes(request store.ChangesRequest) (store.Changes, bool)
	// Changed returns a channel that is closed when Changes may return more.
	Changed() <-chan struct{}
}

// Handler serves snapshots and changes. The function entries returns the names of the entries known to this gateway,
// and of those that it received heartbeats from.
func Handler(source Source, entries func() (all, live []string)) http.Handler {
	mux := http.NewServeMux()
	s := &server{source: source, entries: entries, compressor: newCompressor(), largeResponseSlots: make(chan struct{}, maxLargeResponses)}
	mux.HandleFunc("GET "+pathSnapshot, s.serveSnapshot)
	mux.HandleFunc("GET "+pathChanges, s.serveChanges)
	return mux
}

// server serves snapshots and changes.
type server struct {
	source     Source
	entries    func() (all, live []string)
	compressor *compressor
	// largeResponseSlots holds a value for each large response in progress.
	largeResponseSlots chan struct{}
}

// maxLargeResponses bounds the memory for concurrent responses with all items or a whole shard, which hundreds of gateways
// may request at once.
const maxLargeResponses = 16

// serveChanges handles a request for changes.
func (s *server) serveChanges(w http.ResponseWriter, r *http.Request) {
	request, err := parseRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request.ReceivedAt = boottime.Now()
	changes, served := awaitChanges(r.Context(), request, s.source, s.entries)
	if !served {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if changes.Full || changes.FullShard {
		// Send the header now: the requester then allows bodyTimeout for the body. A flush error means that the peer has
		// disconnected.
		_ = http.NewResponseController(w).Flush()
		select {
		case s.largeResponseSlots <- struct{}{}:
			defer func() { <-s.largeResponseSlots }()
		case <-r.Context().Done():
			return
		}
		// Get the changes again, as they may be outdated after the wait. Without a body, the requester rejects the
		// response.
		if changes, served = s.source.Changes(request); !served {
			return
		}
	}
	changes.Entries, changes.Live = s.entries()
	var response any = changes
	if acceptsCompressed(r) {
		response = s.compressor.changes(changes)
	}
	// An error means that the peer has disconnected.
	_ = json.NewEncoder(w).Encode(response)
}

// acceptsCompressed reports whether the sender of a request supports compressed values.
func acceptsCompressed(r *http.Request) bool { return r.URL.Query().Get(paramCompressed) != "" }

// awaitChanges returns the changes as soon as one is not deferrable, all items or a whole shard must be sent, or the
// entries change, and otherwise after the wait of the request. Changes that do not concern the requester, which are
// frequent in large fleets, do not end the wait. Deferrable changes, of which a starting fleet produces many, are batched.
func awaitChanges(
	ctx context.Context, request store.ChangesRequest, source Source, entries func() (all, live []string),
) (store.Changes, bool) {
	timer := time.NewTimer(min(request.Wait, maxWait))
	defer timer.Stop()
	initial, _ := entries()
	for {
		changed := source.Changed()
		changes, served := source.Changes(request)
		isUrgent := len(changes.Changed) > 0 && !changes.Deferrable
		if !served || changes.Full || changes.FullShard || isUrgent {
			return changes, served
		}
		if current, _ := entries(); !slices.Equal(current, initial) {
			return changes, served
		}
		select {
		case <-ctx.Done():
			// The peer has disconnected, or this gateway is stopping and sends what it has to a peer that still waits.
			return source.Changes(request)
		case <-timer.C:
			return source.Changes(request)
		case <-changed:
		}
	}
}

// errBadRequest describes the valid parameters.
var errBadRequest = errors.New(paramAfter + ", " + paramEra + ", " + paramWait + ", " + paramShards + " and " + paramShardHash + " have to be whole numbers, all but " +
	paramAfter + " of at least 0, " + paramShards + " zero or a power of two")

// parseRequest parses the parameters of a request. Without the shards parameter, the requester holds all items.
func parseRequest(query url.Values) (store.ChangesRequest, error) {
	request := store.ChangesRequest{Shards: 1, ListedThrough: query.Get(paramListedThrough), AllShards: query.Get(paramAllShards) != ""}
	after, afterErr := strconv.ParseInt(query.Get(paramAfter), 10, 64)
	waitMs, waitErr := strconv.ParseInt(query.Get(paramWait), 10, 64)
	if afterErr != nil || waitErr != nil || waitMs < 0 {
		return request, errBadRequest
	}
	request.Wait = time.Duration(waitMs) * time.Millisecond
	era := int64(0)
	if request.EraUnknown = query.Get(paramEra) == ""; !request.EraUnknown {
		var err error
		if era, err = strconv.ParseInt(query.Get(paramEra), 10, 64); err != nil || era < 0 || era >= store.MaxEras {
			return request, errBadRequest
		}
	}
	request.After = store.NewRevision(era, max(after, 0))
	if shards := query.Get(paramShards); shards != "" {
		number, err := strconv.ParseUint(shards, 10, 31)
		if err != nil || number&(number-1) != 0 {
			return request, errBadRequest
		}
		request.Shards = int(number)
	}
	if shardHash := query.Get(paramShardHash); shardHash != "" {
		number, err := strconv.ParseUint(shardHash, 10, 64)
		if err != nil {
			return request, errBadRequest
		}
		request.ShardHash = number
	}
	return request, nil
}

// encodeRequest returns the parameters of a request.
func encodeRequest(request store.ChangesRequest) url.Values {
	query := url.Values{
		paramAfter: {strconv.FormatInt(request.After.Number(), 10)}, paramEra: {strconv.FormatInt(request.After.Era(), 10)}, paramWait: {strconv.FormatInt(request.Wait.Milliseconds(), 10)},
		paramCompressed: {"1"}, paramShards: {strconv.Itoa(request.Shards)}, paramShardHash: {strconv.FormatUint(request.ShardHash, 10)},
	}
	if request.ListedThrough != "" {
		query.Set(paramListedThrough, request.ListedThrough)
	}
	if request.AllShards {
		query.Set(paramAllShards, "1")
	}
	return query
}

// Timeouts of a response.
const (
	// headerSlack is how much longer than the wait of the request the response header may take.
	headerTimeoutMargin = 350 * time.Millisecond
	// bodyTimeout bounds the rest of the response. It allows for slow links, since a gateway whose requests time out lists
	// the store.
	bodyTimeout = 4 * time.Second
	// maxResponseTime bounds a response whose parts keep arriving, from the header's timeout on.
	maxResponseTime = 2 * bodyTimeout
)

// requestChanges requests changes from a gateway.
func (c peerClient) requestChanges(ctx context.Context, address string, request store.ChangesRequest) (store.Changes, error) {
	headerTimeout := request.Wait + headerTimeoutMargin
	ctx, cancel := context.WithTimeout(ctx, headerTimeout+maxResponseTime)
	defer cancel()
	arrivals := &httpclient.Arrivals{}
	patience := httpclient.NewPatience(headerTimeout, arrivals, cancel)
	defer patience.Stop()
	var response wireChanges
	target := pathChanges + "?" + encodeRequest(request).Encode()
	err := c.get(ctx, address, target, arrivals, &response, func() { patience.Reset(bodyTimeout) })
	if err != nil {
		return store.Changes{}, errors.Wrapf(err, "request changes, peer %s", address)
	}
	changes, err := response.unpack()
	changes.ResolveEra(request.After.Era())
	return changes, errors.Wrapf(err, "request changes, peer %s", address)
}

// peerClient sends requests to other gateways.
type peerClient struct{ client *httpclient.Client }

// errUnavailable is returned if a gateway responds with an error status.
var errUnavailable = errors.New("the gateway does not serve the requested data")

// get sends a request and decodes the response, which arrives at arrivals, into result. It calls onHeader after the response header. Both may
// be nil.
func (c peerClient) get(ctx context.Context, address, target string, arrivals *httpclient.Arrivals, result any, onHeader func()) error {
	response, err := c.client.Do(ctx, address, &httpclient.Request{
		Method: http.MethodGet, Target: target, Host: address, Header: http.Header{}, Arrivals: arrivals,
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		return errors.Wrapf(errUnavailable, "response status %d", response.Status)
	}
	if onHeader != nil {
		onHeader()
	}
	return decode(response.Body, result)
}
