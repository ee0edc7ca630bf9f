package agentserver

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/granitebay/granitebay/internal/core"
)

// eventWriter writes an answer as server-sent events. The parts of an event that don't change are made once.
type eventWriter struct {
	writer  http.ResponseWriter
	flusher http.Flusher
	chat    bool
	// head of every event up to the text.
	head   []byte
	buffer []byte
}

// newEventWriter starts the stream.
func newEventWriter(a *answering) *eventWriter {
	header := a.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	a.writeRequestID()
	a.writer.WriteHeader(http.StatusOK)
	object := "text_completion"
	if a.style.chat {
		object = "chat.completion.chunk"
	}
	head := `data: {"id":` + quote(a.id) + `,"object":"` + object + `","created":` + strconv.FormatInt(a.started.Unix(), 10) +
		`,"model":` + quote(a.request.Model) + `,"choices":[{"index":0,`
	events := &eventWriter{writer: a.writer, chat: a.style.chat, head: []byte(head)}
	events.flusher, _ = a.writer.(http.Flusher)
	return events
}

// tokens adds the event of some tokens.
func (e *eventWriter) tokens(event core.CallerEvent) {
	if len(event.Tokens) == 0 {
		return
	}
	text := quote(strings.Join(event.Tokens, ""))
	e.buffer = append(e.buffer, e.head...)
	switch {
	case !e.chat:
		e.buffer = append(append(e.buffer, `"text":`...), text...)
	case event.Offset == 0:
		e.buffer = append(append(append(e.buffer, `"delta":{"role":"assistant","content":`...), text...), '}')
	default:
		e.buffer = append(append(append(e.buffer, `"delta":{"content":`...), text...), '}')
	}
	e.buffer = append(e.buffer, `,"finish_reason":null}],"granitebay":{"offset":`...)
	e.buffer = strconv.AppendUint(e.buffer, uint64(event.Offset), 10)
	e.buffer = append(e.buffer, `,"tokens":`...)
	e.buffer = strconv.AppendInt(e.buffer, int64(len(event.Tokens)), 10)
	e.buffer = append(e.buffer, "}}\n\n"...)
}

// finish adds the last event of a whole answer and the end mark.
func (e *eventWriter) finish(reason string, total usage) {
	e.buffer = append(e.buffer, e.head...)
	if e.chat {
		e.buffer = append(e.buffer, `"delta":{}`...)
	} else {
		e.buffer = append(e.buffer, `"text":""`...)
	}
	counts, _ := json.Marshal(total)
	e.buffer = append(e.buffer, `,"finish_reason":"`+reason+`"}],"usage":`...)
	e.buffer = append(e.buffer, counts...)
	e.buffer = append(e.buffer, "}\n\ndata: [DONE]\n\n"...)
}

// failure adds the event of a request that was not answered to its end. No end mark follows.
func (e *eventWriter) failure(body *errorBody) {
	data, _ := json.Marshal(body)
	e.buffer = append(e.buffer, "event: error\ndata: "...)
	e.buffer = append(e.buffer, data...)
	e.buffer = append(e.buffer, "\n\n"...)
}

// flush sends what was added. A caller that no longer reads shows in the context of its request.
func (e *eventWriter) flush() {
	_, _ = e.writer.Write(e.buffer)
	e.buffer = e.buffer[:0]
	if e.flusher != nil {
		e.flusher.Flush()
	}
}

func quote(text string) string {
	data, _ := json.Marshal(text)
	return string(data)
}
