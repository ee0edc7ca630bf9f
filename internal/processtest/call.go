package processtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/engine"
)

// The kinds of outcomes other than an answer, as agents name them on the wire.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
	OutcomeFailed  = "failed"
)

const (
	maxEventBytes  = 1 << 20
	doneMark       = "[DONE]"
	completionPath = "/v1/completions"
)

// callClient keeps many connections, because a fleet is called by many callers at once.
var callClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// Request is one streamed request.
type Request struct {
	Adapter        string
	Prompt         string
	MaxTokens      uint32
	IdempotencyKey string
	Repeatable     bool
	Deadline       time.Duration
}

// Reply is what a caller saw of a request.
type Reply struct {
	// RequestID as the agent or the engine named it; empty when there was no response.
	RequestID string
	// Outcome is the type of the error that ended the request; empty when it was answered.
	Outcome string
	// Reason is the text of that error.
	Reason string
	// RetryAfter is what the error said of a retry.
	RetryAfter time.Duration
	// Fault is set when the reply is wrong: a token that is not the right one, an answer that is not whole, or no outcome.
	Fault error
	// Tokens that came.
	Tokens uint32
	// Sent, First and Last are the moments of the request, the first token and the last.
	Sent, First, Last time.Time
	// LongestGap is the longest time between two tokens, and GapEnd the moment at which it ended.
	LongestGap time.Duration
	GapEnd     time.Time
}

// Answered tells whether the whole right answer came.
func (r Reply) Answered() bool { return r.Fault == nil && r.Outcome == "" }

// String describes a reply.
func (r Reply) String() string {
	switch {
	case r.Fault != nil:
		return fmt.Sprintf("request %s: %s", r.RequestID, r.Fault)
	case r.Outcome != "":
		return fmt.Sprintf("request %s: %s after %d tokens: %s", r.RequestID, r.Outcome, r.Tokens, r.Reason)
	}
	return fmt.Sprintf("request %s: answered with %d tokens", r.RequestID, r.Tokens)
}

// chunk is one event of a stream, of an agent or of an engine.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	// Error is set in the event, or the body, of a request that was not answered.
	Error *struct {
		Type             string `json:"type"`
		Message          string `json:"message"`
		RequestID        string `json:"request_id"`
		Step             string `json:"step"`
		Peer             string `json:"peer"`
		RetryAfterMillis int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// Call sends a request to an agent, or as a plain call to an engine, and checks each token of the answer.
func Call(ctx context.Context, address string, request Request) Reply {
	reply := &Reply{Sent: time.Now()}
	reply.Fault = reply.call(ctx, address, request)
	return *reply
}

func (r *Reply) call(ctx context.Context, address string, request Request) error {
	posted, err := request.post(ctx, address)
	if err != nil {
		return err
	}
	r.Sent = time.Now()
	response, err := callClient.Do(posted)
	if err != nil {
		return errors.Wrap(err, "step send")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return r.refused(response)
	}
	return r.read(response, request)
}

func (q Request) post(ctx context.Context, address string) (*http.Request, error) {
	fields := map[string]any{"model": Model, "prompt": q.Prompt, "max_tokens": q.MaxTokens, "stream": true}
	if q.Adapter != "" {
		fields["adapter"] = q.Adapter
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, errors.Wrap(err, "step encode")
	}
	posted, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+completionPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "step make the request")
	}
	posted.Header.Set("Content-Type", "application/json")
	if q.IdempotencyKey != "" {
		posted.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	if q.Deadline > 0 {
		posted.Header.Set("X-Granitebay-Deadline", q.Deadline.String())
	}
	posted.Header.Set("X-Granitebay-Repeatable", strconv.FormatBool(q.Repeatable))
	return posted, nil
}

// refused reads the body of a request that was not answered at all.
func (r *Reply) refused(response *http.Response) error {
	var body chunk
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || body.Error == nil {
		return errors.Newf("status %d without an error body: %v", response.StatusCode, err)
	}
	r.fail(body)
	return nil
}

func (r *Reply) fail(body chunk) {
	r.RequestID = body.Error.RequestID
	r.Outcome = body.Error.Type
	r.Reason = fmt.Sprintf("%s (step %s, peer %s)", body.Error.Message, body.Error.Step, body.Error.Peer)
	r.RetryAfter = time.Duration(body.Error.RetryAfterMillis) * time.Millisecond
}

// read reads the events of an answer.
func (r *Reply) read(response *http.Response, request Request) error {
	digest := engine.PromptDigest(Model, request.Adapter, request.Prompt)
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if data == doneMark {
			return r.checkWhole(request)
		}
		var event chunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return errors.Wrapf(err, "step read an event: %s", data)
		}
		if event.Error != nil {
			r.fail(event)
			return nil
		}
		r.RequestID = event.ID
		if err := r.take(digest, event); err != nil {
			return err
		}
	}
	return errors.Newf("the stream ended after %d of %d tokens without an outcome: %v", r.Tokens, request.MaxTokens, lines.Err())
}

// take checks the tokens of an event against the answer that the prompt must have.
func (r *Reply) take(digest uint64, event chunk) error {
	if len(event.Choices) != 1 {
		return errors.Newf("an event has %d choices", len(event.Choices))
	}
	text := event.Choices[0].Text
	if text == "" {
		return nil
	}
	r.time(time.Now())
	for text != "" {
		want := engine.AnswerToken(digest, r.Tokens)
		rest, ok := strings.CutPrefix(text, want)
		if !ok {
			return errors.Newf("token %d is wrong: the text is %q, wanted %q", r.Tokens, text, want)
		}
		text = rest
		r.Tokens++
	}
	return nil
}

// time notes the moment of tokens.
func (r *Reply) time(now time.Time) {
	if r.First.IsZero() {
		r.First = now
	} else if gap := now.Sub(r.Last); gap > r.LongestGap {
		r.LongestGap, r.GapEnd = gap, now
	}
	r.Last = now
}

func (r *Reply) checkWhole(request Request) error {
	if r.Tokens != request.MaxTokens {
		return errors.Newf("the answer ended after %d of %d tokens", r.Tokens, request.MaxTokens)
	}
	return nil
}
