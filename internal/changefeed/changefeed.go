// Package changefeed lets gateways learn from each other what the store holds: one that starts while the store is away begins
// with what another one knows, and those that stand by follow one that follows the store, so that the calls to the store grow
// with the gateways that take requests and not with the fleet.
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

	"github.com/granitebay/granitebay/internal/httpclient"
	"github.com/granitebay/granitebay/internal/store"
)

// pathChanges is where gateways tell what has changed.
const pathChanges = "/changes"

// Parameters of a question for changes: the number of a revision and its era, for how many milliseconds an answer may be held until there is something to tell, and of
// what the asker knows a part: the number of shards, its seat among them, the last key that is known besides, and whether all is wanted.
const (
	paramAfter         = "after"
	paramEra           = "era"
	paramWait          = "hold"
	paramShards        = "shards"
	paramShardHash     = "seat"
	paramListedThrough = "upto"
	paramAllShards     = "all"
)

// maxWait bounds the wait of one question.
const maxWait = 10 * time.Second

// Source is what a gateway tells.
type Source interface {
	// Snapshot returns everything, or false when nothing is known.
	Snapshot() (store.Snapshot, bool)
	// Changes returns what the one that asks does not know, or false when the gateway does not follow the store itself.
	Changes(request store.ChangesRequest) (store.Changes, bool)
	// Changed returns a channel that is closed when there is more to tell.
	Changed() <-chan struct{}
}

// Handler answers what this gateway knows. Entries names those of this gateway, and which of them it has heard.
func Handler(source Source, entries func() (all, live []string)) http.Handler {
	mux := http.NewServeMux()
	large := make(chan struct{}, maxLargeResponses)
	mux.HandleFunc("GET "+pathSnapshot, func(w http.ResponseWriter, _ *http.Request) { serveSnapshot(w, source) })
	mux.HandleFunc("GET "+pathChanges, func(w http.ResponseWriter, r *http.Request) { serveChanges(w, r, source, entries, large) })
	return mux
}

// largeAtOnce is how many answers with everything, or with a whole shard, are on their way at a moment: hundreds of gateways may ask for them
// at once, and each answer takes some megabytes until it is sent.
const maxLargeResponses = 16

// tellChanges answers one question for changes.
func serveChanges(
	w http.ResponseWriter, r *http.Request, source Source, entries func() (all, live []string), large chan struct{},
) {
	request, err := parseRequest(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	changes, served := awaitChanges(r.Context(), request, source, entries)
	if !served {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if changes.Full || changes.FullShard {
		// The one that asks hears that its answer comes, and waits for it as long as for a body. An error is that of a peer that has left.
		_ = http.NewResponseController(w).Flush()
		select {
		case large <- struct{}{}:
			defer func() { <-large }()
		case <-r.Context().Done():
			return
		}
		// What was gathered before the wait may be old by now. An answer without a body tells nothing.
		if changes, served = source.Changes(request); !served {
			return
		}
	}
	changes.Entries, changes.Live = entries()
	// An error is that of a peer that has left.
	_ = json.NewEncoder(w).Encode(changes)
}

// await returns what is to be told, as soon as there is something that is waited for or after the wait of a question. Changes that do not
// concern the one that asks, and there are many of them in a large fleet, wake nobody else; and a fleet that starts is told of all that come
// a few times a second at the most.
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
			// Its caller has left, or this gateway stops and has no news for a caller who still waits.
			return source.Changes(request)
		case <-timer.C:
			return source.Changes(request)
		case <-changed:
		}
	}
}

// errQuestion says what a question has to be.
var errBadRequest = errors.New(paramAfter + ", " + paramEra + ", " + paramWait + ", " + paramShards + " and " + paramShardHash + " have to be whole numbers, all but " +
	paramAfter + " of at least 0, " + paramShards + " zero or a power of two")

// questionOf reads a question. What a question does not say of shards is that of one that knows all.
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
		if era, err = strconv.ParseInt(query.Get(paramEra), 10, 64); err != nil || era < 0 || era >= store.MostEras {
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
	if seat := query.Get(paramShardHash); seat != "" {
		number, err := strconv.ParseUint(seat, 10, 64)
		if err != nil {
			return request, errBadRequest
		}
		request.ShardHash = number
	}
	return request, nil
}

// queryOf spells a question.
func encodeRequest(request store.ChangesRequest) url.Values {
	query := url.Values{
		paramAfter: {strconv.FormatInt(request.After.Number(), 10)}, paramEra: {strconv.FormatInt(request.After.Era(), 10)}, paramWait: {strconv.FormatInt(request.Wait.Milliseconds(), 10)},
		paramShards: {strconv.Itoa(request.Shards)}, paramShardHash: {strconv.FormatUint(request.ShardHash, 10)},
	}
	if request.ListedThrough != "" {
		query.Set(paramListedThrough, request.ListedThrough)
	}
	if request.AllShards {
		query.Set(paramAllShards, "1")
	}
	return query
}

// Times of an answer.
const (
	// answerSlack is how much longer than its wait the head of an answer may take.
	headerSlack = 350 * time.Millisecond
	// bodyTime is how long the rest may take: the changes of a whole shard and of the list of gateways, some hundred kilobytes, over a link of
	// ten megabits a second that others use, too. A shorter time would have each gateway that is not served within it list the store.
	bodyTimeout = 4 * time.Second
)

// changes asks one gateway a question.
func (a peerClient) requestChanges(ctx context.Context, address string, request store.ChangesRequest) (store.Changes, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(request.Wait+headerSlack, cancel)
	defer timer.Stop()
	var changes store.Changes
	err := a.get(ctx, address, pathChanges+"?"+encodeRequest(request).Encode(), &changes, func() { timer.Reset(bodyTimeout) })
	changes.Adopt(request.After.Era())
	return changes, errors.Wrapf(err, "step ask for changes, peer %s", address)
}

// asker asks other gateways.
type peerClient struct{ client *httpclient.Client }

// errNotTold is returned for an answer that tells nothing.
var errUnavailable = errors.New("the gateway does not tell")

// ask asks one question and decodes the answer. Begun is called once its head is there; nil calls nothing.
func (a peerClient) get(ctx context.Context, address, target string, result any, onHeader func()) error {
	response, err := a.client.Do(ctx, address, &httpclient.Request{
		Method: http.MethodGet, Target: target, Host: address, Header: http.Header{},
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		return errUnavailable
	}
	if onHeader != nil {
		onHeader()
	}
	return decode(response.Body, result)
}
