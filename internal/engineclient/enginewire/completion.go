package enginewire

// CompletionRequest is the body of POST /v1/completions. The fields from RequestID on extend the usual API; a request
// without an id is a plain call, which the engine runs whatever its incarnation and generation, and ends when its
// caller goes away.
type CompletionRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens is the exact length of the answer; DefaultMaxTokens when it is missing.
	MaxTokens *uint32 `json:"max_tokens,omitempty"`
	Stream    bool    `json:"stream,omitempty"`

	// RequestID names the run. It needs Stream, ExpectedIncarnation and ExpectedGeneration.
	RequestID           string  `json:"request_id,omitempty"`
	ExpectedIncarnation *uint64 `json:"expected_incarnation,omitempty"`
	ExpectedGeneration  *uint64 `json:"expected_generation,omitempty"`
	Adapter             string  `json:"adapter,omitempty"`
	// PromptDigest, PromptTokens and PrefixBlocks stand for a prompt whose text is not sent.
	PromptDigest Hash     `json:"prompt_digest,omitempty"`
	PromptTokens uint32   `json:"prompt_tokens,omitempty"`
	PrefixBlocks []Hash   `json:"prefix_blocks,omitempty"`
	Priority     int32    `json:"priority,omitempty"`
	ContinueFrom uint32   `json:"continue_from,omitempty"`
	PriorTokens  []string `json:"prior_tokens,omitempty"`
	StreamOffset uint32   `json:"stream_offset,omitempty"`
}

// DefaultMaxTokens is the length of an answer when a plain call does not give one.
const DefaultMaxTokens = 16

// The constant parts of completions.
const (
	ObjectCompletion   = "text_completion"
	FinishReasonLength = "length"
)

// Completion is one chunk of a stream, or a whole answer.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	// Usage is set in whole answers.
	Usage *Usage `json:"usage,omitempty"`
	// Progress is set in the chunks of a run with a request id.
	Progress *Progress `json:"granitebay,omitempty"`
}

// Choice is the only choice of a Completion.
type Choice struct {
	Text         string  `json:"text"`
	Index        int     `json:"index"`
	FinishReason *string `json:"finish_reason"`
}

// Usage counts the tokens of a whole answer.
type Usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

// Progress carries the tokens of a chunk one by one.
type Progress struct {
	// Offset of the first token in the answer.
	Offset uint32   `json:"offset"`
	Tokens []string `json:"tokens,omitempty"`
	// Finished is set in the last chunk of a whole answer; Total is then its length.
	Finished bool   `json:"finished,omitempty"`
	Total    uint32 `json:"total,omitempty"`
	// Error is set in the last chunk of a run that the engine ended partway.
	Error string `json:"error,omitempty"`
}

// ProgressChunk is the part of a chunk that a client with request ids reads.
type ProgressChunk struct {
	Progress *Progress `json:"granitebay"`
}

// ErrorType tells what kind of error an ErrorBody is.
type ErrorType string

// The types of errors.
const (
	ErrorInvalidRequest ErrorType = "invalid_request_error"
	ErrorRefused        ErrorType = "refused"
	ErrorEngine         ErrorType = "engine_error"
)

// ErrorBody is the body of an answer to a completion or stream request that failed.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
	// Refused is set when the type is ErrorRefused.
	Refused *Refused `json:"refused,omitempty"`
}

// ErrorDetail follows the usual API.
type ErrorDetail struct {
	Message string    `json:"message"`
	Type    ErrorType `json:"type"`
	// Param is the field that is wrong, if one is.
	Param string `json:"param,omitempty"`
	// Code is the refusal, if it is one.
	Code string `json:"code,omitempty"`
}

// Refused tells that a run was not taken, or was dropped from the queue before it started.
type Refused struct {
	Incarnation uint64 `json:"incarnation"`
	Generation  uint64 `json:"generation"`
	RequestID   string `json:"requestId"`
	Refusal     string `json:"refusal"`
}
