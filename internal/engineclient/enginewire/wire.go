// Package enginewire holds the wire format of engines: paths, headers and JSON bodies. docs/engine.md describes it.
package enginewire

import (
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/samber/lo"
)

// The paths. RequestPath and StreamPath build those of one request.
const (
	PathCompletions = "/v1/completions"
	PathRequests    = "/v1/requests/"
	PathOrders      = "/v1/orders"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache/events"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
)

// The headers of answers that carry a stream or a refusal.
const (
	HeaderIncarnation = "Granitebay-Incarnation"
	HeaderGeneration  = "Granitebay-Generation"
)

// The query parameters of StreamPath.
const (
	QueryOffset      = "offset"
	QueryIncarnation = "incarnation"
)

// The names of server-sent events other than chunks, which have none.
const (
	EventRefused    = "refused"
	EventCancelled  = "cancelled"
	EventSuperseded = "superseded"
	EventCache      = "cache"
)

// StreamDone is the data of the last server-sent event of a whole answer.
const StreamDone = "[DONE]"

// ContentTypeStream is the media type of server-sent events.
const ContentTypeStream = "text/event-stream"

// RequestPath returns the path of a request.
func RequestPath(requestID string) string { return PathRequests + url.PathEscape(requestID) }

// StreamPath returns the path at which the stream of a run is taken up.
func StreamPath(requestID string, offset uint32, incarnation uint64) string {
	query := url.Values{}
	query.Set(QueryOffset, strconv.FormatUint(uint64(offset), 10))
	query.Set(QueryIncarnation, strconv.FormatUint(incarnation, 10))
	return RequestPath(requestID) + "/stream?" + query.Encode()
}

// Hash is a 64-bit hash. On the wire it is a hexadecimal string, because JSON readers of other languages lose the low
// bits of large numbers.
type Hash uint64

// MarshalText writes the hash as 16 hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) {
	const digits = 16
	text := make([]byte, digits)
	for i := range text {
		const hexadecimal = "0123456789abcdef"
		text[digits-1-i] = hexadecimal[h&0xf]
		h >>= 4
	}
	return text, nil
}

// UnmarshalText reads up to 16 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	value, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil {
		return errors.Newf("hash is %q, allowed are 1 to 16 hexadecimal digits", text)
	}
	*h = Hash(value)
	return nil
}

// Hashes turns numbers into hashes.
func Hashes(values []uint64) []Hash {
	return lo.Map(values, func(value uint64, _ int) Hash { return Hash(value) })
}

// Numbers turns hashes into numbers.
func Numbers(hashes []Hash) []uint64 {
	return lo.Map(hashes, func(hash Hash, _ int) uint64 { return uint64(hash) })
}
