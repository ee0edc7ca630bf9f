// Package completions is the product's own interface to callers: an OpenAI-style completions API whose requests are matched by
// labels.
//
// A caller posts a JSON body to /v1/completions. Headers carry its tenant, its labels, how long it waits, and whether the work
// may run more than once. The answer is a stream of server-sent events, or one JSON object.
package completions

import (
	"encoding/json"
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

// Path of the API.
const Path = "/v1/completions"

// Headers of a request.
const (
	HeaderTenant = "X-Granitebay-Tenant"
	// HeaderLabels holds KEY=VALUE pairs, joined by commas.
	HeaderLabels = "X-Granitebay-Labels"
	// HeaderDeadline is how long the caller waits, as in "1m30s".
	HeaderDeadline = "X-Granitebay-Deadline"
	// HeaderRepeatable is "false" for work that may run at most once; it is "true" by default.
	HeaderRepeatable = "X-Granitebay-Repeatable"
	// HeaderRequestID names the request in answers, logs and decisions; a new id is made for a request without one.
	HeaderRequestID = "X-Request-Id"
	// HeaderLastEvent is the id of the last event that the caller of a repeatable stream already has.
	HeaderLastEvent = "Last-Event-Id"
)

// DefaultMaxTokens is the length of an answer when a request does not give one.
const DefaultMaxTokens = 16

// Body is the body of a request.
type Body struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer.
	MaxTokens *int `json:"max_tokens,omitempty"`
	Stream    bool `json:"stream,omitempty"`
	// SharedPrefixTokens is how many tokens at the beginning of the prompt other requests share. Requests with the same
	// beginning are kept together where that pays.
	SharedPrefixTokens int `json:"shared_prefix_tokens,omitempty"`
}

// Callers reads requests of the API. It implements forward.LabelledProtocol.
type Callers struct{}

// bearer begins the value of the header with a key.
const bearerPrefix = "Bearer "

// Key is part of forward.Protocol.
func (Callers) Key(r *http.Request) string {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return key
}

// Labels is part of forward.LabelledProtocol. Labels that can't be read are left out here, and named by Read.
// The tenant of a key goes before what the caller says.
func (Callers) Labels(r *http.Request, owner *tenant.Tenant) (map[string]string, bool) {
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

// EventError is the name of the event that ends a stream which broke off.
const EventError = "error"

// StreamError is the data of that event. The outcome is not known: a worker has run the request, and may have come to its end.
type StreamError struct {
	Error string `json:"error"`
}

// BrokenOff is part of forward.LabelledProtocol.
func (Callers) BrokenOff(reason forward.Reason) []byte {
	// A string can always be encoded.
	data, _ := json.Marshal(StreamError{Error: string(reason)})
	return []byte("event: " + EventError + "\ndata: " + string(data) + "\n\n")
}

// Read is part of forward.Protocol. The error names every header that is wrong.
func (Callers) Read(r *http.Request) (*forward.Request, error) {
	_, labelErr := parseLabels(r.Header.Get(HeaderLabels))
	repeatable, repeatableErr := parseRepeatable(r.Header.Get(HeaderRepeatable))
	deadline, deadlineErr := parseDeadline(r.Header.Get(HeaderDeadline))
	if err := errors.Join(labelErr, repeatableErr, deadlineErr); err != nil {
		return nil, err
	}
	request := &forward.Request{
		ID:          r.Header.Get(HeaderRequestID),
		Method:      r.Method,
		Target:      r.URL.RequestURI(),
		Host:        r.Host,
		Header:      http.Header{"Content-Type": {"application/json"}},
		Patience:    deadline,
		ResumeAfter: r.Header.Get(HeaderLastEvent),
		RunOnce:     !repeatable,
		Tenant:      r.Header.Get(HeaderTenant),
	}
	if request.ID == "" {
		request.ID = ulid.Make().String()
	}
	return request, nil
}

// Complete is part of forward.Protocol.
func (Callers) Complete(request *forward.Request) error {
	var body Body
	if err := json.Unmarshal(request.Body, &body); err != nil {
		return errors.Wrap(err, "step read the body")
	}
	if err := body.validate(); err != nil {
		return err
	}
	request.Whole = !body.Stream
	request.Demand = body.demand()
	return nil
}

// validate returns all faults of a body, each with its field, its value and what is allowed.
func (b *Body) validate() error {
	var errs []error
	if b.Model == "" {
		errs = append(errs, errors.Newf("field model: %q is not allowed; the name of a model is needed", b.Model))
	}
	if b.MaxTokens != nil && *b.MaxTokens < 1 {
		errs = append(errs, errors.Newf("field max_tokens: %d is not allowed; a number above 0 is needed", *b.MaxTokens))
	}
	if b.SharedPrefixTokens < 0 {
		errs = append(errs, errors.Newf("field shared_prefix_tokens: %d is not allowed; a number of at least 0 is needed", b.SharedPrefixTokens))
	}
	return errors.Join(errs...)
}

// demand returns what the request asks of a worker. Tokens are counted as words: the workers count them for themselves, and
// placement needs no more than their order of magnitude.
func (b *Body) demand() backend.Demand {
	words := strings.Fields(b.Prompt)
	demand := backend.Demand{Model: b.Model, PromptTokens: len(words), OutputTokens: DefaultMaxTokens}
	if b.MaxTokens != nil {
		demand.OutputTokens = *b.MaxTokens
	}
	shared := min(b.SharedPrefixTokens, len(words))
	if shared > 0 {
		demand.Parts = append(demand.Parts, backend.Part{ID: partID(b.Model, words[:shared]), Tokens: shared})
	}
	if len(words) > 0 {
		demand.Parts = append(demand.Parts, backend.Part{ID: partID(b.Model, words), Tokens: len(words) - shared})
	}
	return demand
}

// partID names a part of prompts by what it holds, in hex.
func partID(model string, words []string) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	for _, word := range words {
		_, _ = digest.WriteString("\x00" + word)
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

// labelsOf reads KEY=VALUE pairs.
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

// repeatableOf reads whether the work may run more than once. What can't be read may not.
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

// patienceOf reads how long a caller waits; zero when it does not say.
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
