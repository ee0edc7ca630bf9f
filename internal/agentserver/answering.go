package agentserver

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/granitebay/granitebay/internal/agent"
	"github.com/granitebay/granitebay/internal/core"
)

// answerStyle is the form in which a caller wants its answer.
type answerStyle struct {
	path   string
	chat   bool
	stream bool
}

// answering is one call that was submitted.
type answering struct {
	server  *Server
	style   answerStyle
	request agent.CallerRequest
	started time.Time
	call    uint64
	// id of the request.
	id  string
	box *mailbox

	writer http.ResponseWriter
	events *eventWriter
	text   strings.Builder
	count  uint32
}

// write gives the caller its answer, or the outcome, or nothing if it goes away.
func (a *answering) write(ctx huma.Context) {
	defer a.server.close(a.call)
	// The time-out was for the body of the request; from here on it would cut the stream.
	_ = ctx.SetReadDeadline(time.Time{})
	a.writer = ctx.BodyWriter().(http.ResponseWriter)
	gone := ctx.Context().Done()
	for {
		select {
		case <-a.box.ready:
			for _, event := range a.box.take() {
				if a.give(event) {
					return
				}
			}
		case <-gone:
			a.callerGone()
			return
		}
	}
}

// callerGone cancels the request of a caller that went away.
func (a *answering) callerGone() {
	a.server.metrics.ended(a.style.path, outcomeCallerGone)
	a.server.driver.Do(func(now time.Time, effects *core.Effects) {
		a.server.core.CallerGone(now, a.call, effects)
	})
}

// give hands one event to the caller and tells whether it was the last.
func (a *answering) give(event core.CallerEvent) bool {
	a.server.metrics.delivered(a.started, event.Offset, len(event.Tokens))
	a.count += uint32(len(event.Tokens))
	switch {
	case event.Outcome != nil:
		body := fromOutcome(event.Outcome)
		a.server.metrics.ended(a.style.path, body.Detail.Type)
		a.writeError(body)
		return true
	case a.style.stream:
		a.writeTokens(event)
	default:
		for _, token := range event.Tokens {
			a.text.WriteString(token)
		}
		if event.Finished {
			a.writeWhole()
		}
	}
	if event.Finished {
		a.server.metrics.ended(a.style.path, outcomeAnswered)
		a.server.metrics.whole.Observe(time.Since(a.started).Seconds())
	}
	return event.Finished
}

// writeTokens adds events to the stream.
func (a *answering) writeTokens(event core.CallerEvent) {
	if a.events == nil {
		a.events = newEventWriter(a)
	}
	a.events.tokens(event)
	if event.Finished {
		a.events.finish(a.finishReason(), a.usage())
	}
	a.events.flush()
}

// writeError writes an outcome: as the response, or as the last event of a stream that has begun.
func (a *answering) writeError(body *errorBody) {
	if a.events != nil {
		a.events.failure(body)
		a.events.flush()
		return
	}
	maps.Copy(a.writer.Header(), body.GetHeaders())
	a.writeJSON(body.status, body)
}

// writeWhole writes the whole answer as one response.
func (a *answering) writeWhole() {
	if a.style.chat {
		a.writeJSON(http.StatusOK, chatResponse{
			ID: a.id, Object: "chat.completion", Created: a.started.Unix(), Model: a.request.Model,
			Choices: []chatChoice{{Message: chatMessage{Role: "assistant", Content: a.text.String()}, FinishReason: a.finishReason()}},
			Usage:   a.usage(),
		})
		return
	}
	a.writeJSON(http.StatusOK, completionResponse{
		ID: a.id, Object: "text_completion", Created: a.started.Unix(), Model: a.request.Model,
		Choices: []completionChoice{{Text: a.text.String(), FinishReason: a.finishReason()}},
		Usage:   a.usage(),
	})
}

func (a *answering) writeJSON(status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(a.writer, err.Error(), http.StatusInternalServerError)
		return
	}
	header := a.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)+1))
	a.writeRequestID()
	a.writer.WriteHeader(status)
	_, _ = a.writer.Write(append(data, '\n'))
}

func (a *answering) writeRequestID() {
	if a.id != "" {
		a.writer.Header().Set(headerRequestID, a.id)
	}
}

func (a *answering) finishReason() string {
	if a.count >= a.request.MaxTokens {
		return "length"
	}
	return "stop"
}

func (a *answering) usage() usage {
	return usage{
		PromptTokens:     a.request.PromptTokens,
		CompletionTokens: a.count,
		TotalTokens:      a.request.PromptTokens + a.count,
	}
}
