// Package completions implements an OpenAI-style completions API, whose requests are routed by labels.
//
// A caller posts a JSON body to /v1/completions. Headers carry its API key, its tenant, its labels, its timeout, whether
// the request may be run more than once, and the last event that it received. The response is a stream of server-sent
// events or a single JSON object.
package completions

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/tenant"
)

// Path is the path of the API.
const Path = "/v1/completions"

// Request headers.
const (
	HeaderTenant = "X-Granitebay-Tenant"
	// HeaderLabels holds comma-separated KEY=VALUE pairs.
	HeaderLabels = "X-Granitebay-Labels"
	// HeaderDeadline is the timeout of the caller: how long it waits for the response, as in "1m30s".
	HeaderDeadline = "X-Granitebay-Deadline"
	// HeaderRepeatable is "false" for a request that may be run at most once; the default is "true".
	HeaderRepeatable = "X-Granitebay-Repeatable"
	// HeaderRequestID identifies the request in responses, logs and decisions. A request without one gets a new ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderLastEvent is the ID of the last event that the caller of a repeatable stream has received.
	HeaderLastEvent = "Last-Event-Id"
	// HeaderResumes is the ID of the request that brought the first event of the stream that HeaderLastEvent continues.
	HeaderResumes = "X-Granitebay-Resumes"
)

// DefaultMaxTokens is the limit on the length of a response if the request sets none.
const DefaultMaxTokens = 16

// RequestBody is the JSON body of a request.
type RequestBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens limits the length of the response.
	MaxTokens *int `json:"max_tokens,omitempty"`
	Stream    bool `json:"stream,omitempty"`
	// SharedPrefixTokens is the length in tokens of the prompt prefix that other requests share. Requests with the same
	// prefix are sent to the same worker where that is worthwhile.
	SharedPrefixTokens int `json:"shared_prefix_tokens,omitempty"`
}

// Protocol parses requests of the API. It implements forward.LabelledProtocol.
type Protocol struct{}

// bearerPrefix precedes the API key in the Authorization header.
const bearerPrefix = "Bearer "

// Key implements forward.Protocol.
func (Protocol) Key(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return key
}

// Labels implements forward.LabelledProtocol. It returns false if the request is not a completions request. It omits
// invalid labels, which Read reports. The tenant that owns the API key overrides the tenant header.
func (Protocol) Labels(r *http.Request, owner *tenant.Tenant) (map[string]string, bool) {
	if r.Method != http.MethodPost || r.URL.Path != Path {
		return nil, false
	}
	labels, _ := parseLabels(r.Header.Get(HeaderLabels))
	if tenant := r.Header.Get(HeaderTenant); tenant != "" {
		labels[configuration.LabelTenant] = tenant
	}
	if owner != nil {
		labels[configuration.LabelTenant] = owner.Name()
	}
	repeatable, _ := parseRepeatable(r.Header.Get(HeaderRepeatable))
	labels[configuration.LabelRepeatable] = strconv.FormatBool(repeatable)
	return labels, true
}

// EventError is the name of the event that ends an interrupted stream.
const EventError = "error"

// StreamError is the data of an EventError event. A worker has run the request, and may or may not have
// completed it.
type StreamError struct {
	Error string `json:"error"`
}

// TruncationEvent implements forward.LabelledProtocol.
func (Protocol) TruncationEvent(reason forward.Reason) []byte {
	// Marshaling a string cannot fail.
	data, _ := json.Marshal(StreamError{Error: string(reason)})
	return []byte("event: " + EventError + "\ndata: " + string(data) + "\n\n")
}

// Read implements forward.Protocol. It parses the headers but not the body; the error lists all invalid headers.
func (Protocol) Read(r *http.Request) (*forward.Request, error) {
	_, labelErr := parseLabels(r.Header.Get(HeaderLabels))
	repeatable, repeatableErr := parseRepeatable(r.Header.Get(HeaderRepeatable))
	deadline, deadlineErr := parseDeadline(r.Header.Get(HeaderDeadline))
	if err := errors.Join(labelErr, repeatableErr, deadlineErr); err != nil {
		return nil, err
	}
	request := &forward.Request{
		ID:            r.Header.Get(HeaderRequestID),
		Method:        r.Method,
		Target:        r.URL.RequestURI(),
		Host:          r.Host,
		Header:        http.Header{"Content-Type": {"application/json"}},
		CallerTimeout: deadline,
		ResumeAfter:   r.Header.Get(HeaderLastEvent),
		Resumes:       r.Header.Get(HeaderResumes),
		RunOnce:       !repeatable,
		Tenant:        r.Header.Get(HeaderTenant),
	}
	if request.ID == "" {
		request.ID = ulid.Make().String()
	}
	return request, nil
}

// Complete implements forward.Protocol. It parses the body.
func (Protocol) Complete(request *forward.Request) error {
	var body RequestBody
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return errors.Wrap(err, "read the body")
	}
	if err := body.validate(); err != nil {
		return err
	}
	request.Unstreamed = !body.Stream
	request.Demand = body.demand()
	return nil
}

// maxOutputTokens is the largest limit on the length of a response. No worker has memory for as many tokens, and sums of them don't overflow.
const maxOutputTokens = math.MaxInt32

// validate returns an error that lists each invalid field with its value and what is allowed.
func (b *RequestBody) validate() error {
	var errs []error
	if b.Model == "" {
		errs = append(errs, errors.Newf("field model: %q is not allowed; the name of a model is needed", b.Model))
	}
	if b.MaxTokens != nil && (*b.MaxTokens < 1 || *b.MaxTokens > maxOutputTokens) {
		errs = append(errs, errors.Newf("field max_tokens: %d is not allowed; a number from 1 to %d is needed", *b.MaxTokens, maxOutputTokens))
	}
	if b.SharedPrefixTokens < 0 {
		errs = append(errs, errors.Newf("field shared_prefix_tokens: %d is not allowed; a number of at least 0 is needed", b.SharedPrefixTokens))
	}
	return errors.Join(errs...)
}

// demand returns the resources that the request needs. Tokens are approximated by words, which is enough for choosing a
// worker. The last segment identifies the whole prompt; its tokens are those after the shared prefix.
func (b *RequestBody) demand() backend.Demand {
	demand := backend.Demand{Model: b.Model, OutputTokens: DefaultMaxTokens}
	if b.MaxTokens != nil {
		demand.OutputTokens = *b.MaxTokens
	}
	// The words of a large prompt are not collected: a slice of them takes many times the memory of the prompt.
	digest := newSegmentDigest(b.Model)
	words, shared := 0, 0
	for word := range strings.FieldsSeq(b.Prompt) {
		if words == b.SharedPrefixTokens && words > 0 {
			shared = words
			demand.Segments = append(demand.Segments, backend.Segment{ID: segmentID(digest), Tokens: shared})
		}
		addWord(digest, word)
		words++
	}
	if words == 0 {
		return demand
	}
	if b.SharedPrefixTokens >= words {
		shared = words
		demand.Segments = append(demand.Segments, backend.Segment{ID: segmentID(digest), Tokens: shared})
	}
	demand.PromptTokens = words
	demand.Segments = append(demand.Segments, backend.Segment{ID: segmentID(digest), Tokens: words - shared})
	return demand
}

// newSegmentDigest returns the digest of a prompt of a model without words.
func newSegmentDigest(model string) *xxhash.Digest {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	return digest
}

// addWord adds the next word of a prompt.
func addWord(digest *xxhash.Digest, word string) {
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(word)
}

// segmentID returns a hexadecimal hash that identifies the segment that ends with the last word that was added.
func segmentID(digest *xxhash.Digest) string { return strconv.FormatUint(digest.Sum64(), 16) }

// parseLabels parses KEY=VALUE pairs.
func parseLabels(text string) (map[string]string, error) {
	labels := map[string]string{}
	if text == "" {
		return labels, nil
	}
	var errs error
	for _, pair := range strings.Split(text, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || key == "" {
			errs = errors.Join(errs, errors.Newf("header %s: %q is not allowed; KEY=VALUE is needed", HeaderLabels, pair))
			continue
		}
		labels[key] = value
	}
	return labels, errs
}

// parseRepeatable parses whether a request may be run more than once. It returns false, the safe choice, for
// invalid values.
func parseRepeatable(text string) (bool, error) {
	if text == "" {
		return true, nil
	}
	repeatable, err := strconv.ParseBool(text)
	if err != nil {
		return false, errors.Newf("header %s: %q is not allowed; true or false is needed", HeaderRepeatable, text)
	}
	return repeatable, nil
}

// parseDeadline parses the timeout of a caller; zero if there is none.
func parseDeadline(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline <= 0 {
		return 0, errors.Newf("header %s: %q is not allowed; a duration above 0s is needed, as in 1m30s", HeaderDeadline, text)
	}
	return deadline, nil
}
