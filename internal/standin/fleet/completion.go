package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/granitebay/granitebay/internal/standin/answers"
)

// completionsPath is the path of completion requests.
const completionsPath = "/v1/completions"

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// defaultMaxTokens is the answer length if a request sets none.
const defaultMaxTokens = 16

// completionChunk is one event of a streamed answer, or a complete answer.
type completionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

// completionChoice is the single choice of an answer.
type completionChoice struct {
	Text  string `json:"text"`
	Index int    `json:"index"`
}

// chunk returns an answer, or a part of one.
func (c *completionRequest) chunk(id, text string) completionChunk {
	return completionChunk{ID: id, Object: "text_completion", Model: c.Model, Choices: []completionChoice{{Text: text}}}
}

// tokens returns the tokens of the answer.
func (c *completionRequest) tokens() []string {
	count := defaultMaxTokens
	if c.MaxTokens != nil {
		count = *c.MaxTokens
	}
	return answers.Tokens(answers.PromptDigest(c.Model, c.Prompt), 0, count)
}

// serveCompletion answers a completion request. Stream events are numbered from one; the last one is [DONE].
func (w *Worker) serveCompletion(writer http.ResponseWriter, request *http.Request, id string, body []byte, fault WorkerFault) {
	var req completionRequest
	if err := json.Unmarshal(body, &req); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if !req.Stream {
		w.writeWholeCompletion(writer, request, id, &req)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	tokens := req.tokens()
	for number := after + 1; number <= len(tokens)+1; number++ {
		if !w.model.decodeStep(request.Context().Done()) {
			return
		}
		if fault == WorkerCuts && number > after+2 {
			_, _ = io.WriteString(writer, "id: "+strconv.Itoa(number)+"\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		data := []byte("[DONE]")
		if number <= len(tokens) {
			data, _ = json.Marshal(req.chunk(id, tokens[number-1]))
		}
		_, _ = fmt.Fprintf(writer, "%sid: %d\ndata: %s\n\n", w.signature(), number, data)
		_ = controller.Flush()
	}
}

// writeWholeCompletion writes the answer as a single JSON object.
func (w *Worker) writeWholeCompletion(writer http.ResponseWriter, request *http.Request, id string, req *completionRequest) {
	tokens := req.tokens()
	for range tokens {
		if !w.model.decodeStep(request.Context().Done()) {
			return
		}
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(req.chunk(id, strings.Join(tokens, "")))
}
