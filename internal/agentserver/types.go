package agentserver

import (
	"strings"
)

// Headers of requests and responses.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerDeadline       = "X-Granitebay-Deadline"
	headerTenant         = "X-Granitebay-Tenant"
	headerLabels         = "X-Granitebay-Labels"
	headerRepeatable     = "X-Granitebay-Repeatable"
	headerRequestID      = "X-Granitebay-Request-Id"
	headerRetryAfter     = "Retry-After"
)

// RequestHeaders are the headers that every request may carry.
type RequestHeaders struct {
	IdempotencyKey string `header:"Idempotency-Key" doc:"Names the request, so that asking twice runs it once. A ULID or UUIDv7 when the work may not be repeated."`
	Deadline       string `header:"X-Granitebay-Deadline" doc:"Time in which the whole answer is wanted, for example 5s."`
	Tenant         string `header:"X-Granitebay-Tenant" doc:"Tenant that the request is counted for."`
	Labels         string `header:"X-Granitebay-Labels" doc:"Labels that rules select on: name=value,name=value."`
	Repeatable     string `header:"X-Granitebay-Repeatable" enum:"true,false" default:"true" doc:"Whether the work may run more than once."`
}

// completionBody is the body of POST /v1/completions.
type completionBody struct {
	Model     string `json:"model" minLength:"1" doc:"Name of the model."`
	Adapter   string `json:"adapter,omitempty" doc:"Name of the adapter, if any."`
	Prompt    string `json:"prompt" minLength:"1" doc:"The prompt."`
	MaxTokens *int64 `json:"max_tokens,omitempty" minimum:"1" doc:"Number of tokens to generate."`
	Stream    bool   `json:"stream,omitempty" doc:"Whether the answer comes as server-sent events."`
}

// chatBody is the body of POST /v1/chat/completions.
type chatBody struct {
	Model     string        `json:"model" minLength:"1" doc:"Name of the model."`
	Adapter   string        `json:"adapter,omitempty" doc:"Name of the adapter, if any."`
	Messages  []chatMessage `json:"messages" minItems:"1" doc:"The conversation so far."`
	MaxTokens *int64        `json:"max_tokens,omitempty" minimum:"1" doc:"Number of tokens to generate."`
	Stream    bool          `json:"stream,omitempty" doc:"Whether the answer comes as server-sent events."`
}

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string `json:"role" enum:"system,user,assistant" doc:"Who says it."`
	Content string `json:"content" doc:"What is said."`
}

// prompt turns a conversation into the text that the model reads: one paragraph a message, then the place of the answer.
func (b chatBody) prompt() string {
	var text strings.Builder
	for _, message := range b.Messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteString("\n")
	}
	text.WriteString("assistant:")
	return text.String()
}

type completionInput struct {
	RequestHeaders
	Body completionBody
}

type chatInput struct {
	RequestHeaders
	Body chatBody
}

// usage counts tokens.
type usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

// completionResponse is a whole answer of POST /v1/completions.
type completionResponse struct {
	ID      string             `json:"id" doc:"Id of the request."`
	Object  string             `json:"object" doc:"text_completion"`
	Created int64              `json:"created" doc:"Unix time in seconds."`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason" doc:"length when max_tokens was reached, else stop"`
}

// chatResponse is a whole answer of POST /v1/chat/completions.
type chatResponse struct {
	ID      string       `json:"id" doc:"Id of the request."`
	Object  string       `json:"object" doc:"chat.completion"`
	Created int64        `json:"created" doc:"Unix time in seconds."`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   usage        `json:"usage"`
}

type chatChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason" doc:"length when max_tokens was reached, else stop"`
}
