package engineserver

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
)

// eventStream writes server-sent events and flushes each batch of them.
type eventStream struct {
	response   http.ResponseWriter
	controller *http.ResponseController
	buffer     []byte
}

func newEventStream(response http.ResponseWriter) *eventStream {
	header := response.Header()
	header.Set("Content-Type", enginewire.ContentTypeStream)
	header.Set("Cache-Control", "no-cache")
	response.WriteHeader(http.StatusOK)
	return &eventStream{response: response, controller: http.NewResponseController(response)}
}

// add puts an event into the buffer. The name may be empty.
func (s *eventStream) add(name string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	s.addData(name, data)
	return nil
}

func (s *eventStream) addData(name string, data []byte) {
	if name != "" {
		s.buffer = append(s.buffer, "event: "...)
		s.buffer = append(s.buffer, name...)
		s.buffer = append(s.buffer, '\n')
	}
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
}

// heartbeat puts a comment into the buffer, which readers skip.
func (s *eventStream) heartbeat() { s.buffer = append(s.buffer, ":\n\n"...) }

// flush sends the buffer.
func (s *eventStream) flush() error {
	if len(s.buffer) > 0 {
		if _, err := s.response.Write(s.buffer); err != nil {
			return err
		}
		s.buffer = s.buffer[:0]
	}
	return s.controller.Flush()
}

// encoder puts one event of the engine into a stream and tells whether it is the last.
type encoder func(stream *eventStream, event engine.Event) (last bool, err error)

// pump writes the events of a mailbox until the last one. It returns whether the stream came to its end.
func (s *Server) pump(request *http.Request, stream *eventStream, box *mailbox, first []engine.Event, encode encoder) bool {
	silence := time.NewTimer(s.heartbeat)
	defer silence.Stop()
	events, ended := first, endNone
	for {
		for _, event := range events {
			last, err := encode(stream, event)
			if err != nil {
				return false
			}
			if last {
				return stream.flush() == nil
			}
		}
		switch {
		case ended == endCrashed:
			abort()
		case ended == endSuperseded:
			stream.addData(enginewire.EventSuperseded, []byte("{}"))
			return stream.flush() == nil
		case len(events) == 0:
			stream.heartbeat()
		}
		if stream.flush() != nil {
			return false
		}
		silence.Reset(s.heartbeat)
		var err error
		events, ended, err = box.next(request.Context(), events[:0], silence.C)
		if err != nil {
			return false
		}
	}
}

// runEncoder encodes the events of a run.
type runEncoder struct {
	template enginewire.Completion
	// plain leaves out what callers of the usual API do not know.
	plain bool
}

func (e *runEncoder) encode(stream *eventStream, event engine.Event) (last bool, err error) {
	switch v := event.(type) {
	case engine.Tokens:
		return e.encodeTokens(stream, v)
	case engine.Refused:
		return true, stream.add(enginewire.EventRefused, refusedBody(v))
	case engine.Cancelled:
		return true, stream.add(enginewire.EventCancelled, cancelledBody(v))
	}
	return false, nil
}

func (e *runEncoder) encodeTokens(stream *eventStream, tokens engine.Tokens) (last bool, err error) {
	chunk := e.template
	choice := enginewire.Choice{Text: strings.Join(tokens.Tokens, "")}
	if tokens.Finished {
		reason := enginewire.FinishReasonLength
		choice.FinishReason = &reason
	}
	chunk.Choices = []enginewire.Choice{choice}
	if !e.plain {
		chunk.Progress = &enginewire.Progress{
			Offset:   tokens.Offset,
			Tokens:   tokens.Tokens,
			Finished: tokens.Finished,
			Total:    tokens.Total,
			Error:    tokens.Error,
		}
	}
	if err := stream.add("", chunk); err != nil {
		return true, err
	}
	if tokens.Error != "" && e.plain {
		return true, stream.add("", errorBody(enginewire.ErrorEngine, tokens.Error))
	}
	if tokens.Finished {
		stream.addData("", []byte(enginewire.StreamDone))
	}
	return tokens.Finished || tokens.Error != "", nil
}
