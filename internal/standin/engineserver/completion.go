package engineserver

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
)

// maxBodyBytes bounds the body of a completion request.
const maxBodyBytes = 16 << 20

// serveCompletion starts or joins a run.
func (s *Server) serveCompletion(response http.ResponseWriter, request *http.Request) {
	var body enginewire.CompletionRequest
	reader := http.MaxBytesReader(response, request.Body, maxBodyBytes)
	if err := json.NewDecoder(reader).Decode(&body); err != nil {
		writeInvalid(response, decodeProblem(err))
		return
	}
	if problem := checkCompletion(&body); problem != nil {
		writeInvalid(response, problem)
		return
	}
	if body.RequestID == "" {
		s.servePlain(response, request, &body)
		return
	}
	submit := submitOf(&body)
	submit.ExpectedIncarnation = *body.ExpectedIncarnation
	submit.ExpectedGeneration = *body.ExpectedGeneration
	s.serveRun(response, request, fixed(submit), body.RequestID, body.Model)
}

// serveStream takes the stream of a run up at an offset.
func (s *Server) serveStream(response http.ResponseWriter, request *http.Request) {
	attach := engine.Attach{RequestID: request.PathValue("id")}
	query := request.URL.Query()
	offset, problem := queryNumber(query.Get(enginewire.QueryOffset), enginewire.QueryOffset, 32)
	if problem != nil {
		writeInvalid(response, problem)
		return
	}
	attach.StreamOffset = uint32(offset)
	if attach.ExpectedIncarnation, problem = queryNumber(query.Get(enginewire.QueryIncarnation), enginewire.QueryIncarnation, 64); problem != nil {
		writeInvalid(response, problem)
		return
	}
	s.serveRun(response, request, fixed(attach), attach.RequestID, "")
}

func queryNumber(text, name string, bits int) (uint64, *problem) {
	value, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return 0, &problem{field: name, message: fmt.Sprintf("%s is %q, allowed is a whole number of %d bits", name, text, bits)}
	}
	return value, nil
}

// serveRun streams a run that has a request id. If the caller goes away, the run goes on.
func (s *Server) serveRun(response http.ResponseWriter, request *http.Request, command commandOf, requestID, model string) {
	box := s.process.open(command, requestID)
	if box == nil {
		abort()
	}
	finished := false
	defer func() { s.process.release(box, finished) }()
	events, ended := box.take(nil)
	if len(events) > 0 {
		if refused, ok := events[0].(engine.Refused); ok {
			finished = true
			writeRefused(response, refused)
			return
		}
	}
	if ended == endCrashed {
		abort()
	}
	response.Header().Set(enginewire.HeaderIncarnation, strconv.FormatUint(box.incarnation, 10))
	encoder := &runEncoder{template: template(requestID, model)}
	finished = s.pump(request, newEventStream(response), box, events, encoder.encode)
}

func template(requestID, model string) enginewire.Completion {
	return enginewire.Completion{
		ID:      requestID,
		Object:  enginewire.ObjectCompletion,
		Created: time.Now().Unix(),
		Model:   model,
	}
}

// servePlain runs a request of the usual API. If the caller goes away, the run is cancelled.
func (s *Server) servePlain(response http.ResponseWriter, request *http.Request, body *enginewire.CompletionRequest) {
	submit := submitOf(body)
	submit.RequestID = "plain/" + uuid.NewString()
	box := s.process.open(func(incarnation, generation uint64) engine.Command {
		submit.ExpectedIncarnation, submit.ExpectedGeneration = incarnation, generation
		return submit
	}, submit.RequestID)
	if box == nil {
		abort()
	}
	finished := false
	defer func() {
		s.process.release(box, finished)
		if !finished {
			s.cancelPlain(submit.RequestID)
		}
	}()
	events, ended := box.take(nil)
	if len(events) > 0 {
		if refused, ok := events[0].(engine.Refused); ok {
			finished = true
			writeRefused(response, refused)
			return
		}
	}
	if ended == endCrashed {
		abort()
	}
	if body.Stream {
		encoder := &runEncoder{template: template(submit.RequestID, body.Model), plain: true}
		finished = s.pump(request, newEventStream(response), box, events, encoder.encode)
		return
	}
	finished = s.writeWhole(response, request, box, events, submit)
}

func (s *Server) cancelPlain(requestID string) {
	if box := s.process.open(fixed(engine.Cancel{RequestID: requestID}), ""); box != nil {
		s.process.release(box, true)
	}
}

// writeWhole waits for a whole answer and writes it. It returns whether the run came to its end.
func (s *Server) writeWhole(response http.ResponseWriter, request *http.Request, box *mailbox, events []engine.Event, submit engine.Submit) bool {
	var text strings.Builder
	for {
		for _, event := range events {
			if writeEnd(response, event, &text, submit) {
				return true
			}
		}
		var ended endCause
		var err error
		events, ended, err = box.next(request.Context(), events[:0], nil)
		if err != nil {
			return false
		}
		if ended != endNone {
			abort()
		}
	}
}

// writeEnd adds an event to a whole answer and writes the answer if the event was its last.
func writeEnd(response http.ResponseWriter, event engine.Event, text *strings.Builder, submit engine.Submit) bool {
	switch v := event.(type) {
	case engine.Refused:
		writeRefused(response, v)
		return true
	case engine.Tokens:
		text.WriteString(strings.Join(v.Tokens, ""))
		if v.Error != "" {
			writeJSON(response, http.StatusInternalServerError, errorBody(enginewire.ErrorEngine, v.Error))
			return true
		}
		if v.Finished {
			writeJSON(response, http.StatusOK, wholeCompletion(submit, text.String(), v.Total))
			return true
		}
	}
	return false
}

func wholeCompletion(submit engine.Submit, text string, total uint32) enginewire.Completion {
	completion := template(submit.RequestID, submit.Model)
	reason := enginewire.FinishReasonLength
	completion.Choices = []enginewire.Choice{{Text: text, FinishReason: &reason}}
	prompt := engine.CountTokens(submit.Prompt)
	completion.Usage = &enginewire.Usage{PromptTokens: prompt, CompletionTokens: total, TotalTokens: prompt + total}
	return completion
}

func submitOf(body *enginewire.CompletionRequest) engine.Submit {
	maxTokens := uint32(enginewire.DefaultMaxTokens)
	if body.MaxTokens != nil {
		maxTokens = *body.MaxTokens
	}
	return engine.Submit{
		RequestID:    body.RequestID,
		Model:        body.Model,
		Adapter:      body.Adapter,
		Prompt:       body.Prompt,
		PromptDigest: uint64(body.PromptDigest),
		PromptTokens: body.PromptTokens,
		PrefixBlocks: enginewire.Numbers(body.PrefixBlocks),
		MaxTokens:    maxTokens,
		Priority:     body.Priority,
		ContinueFrom: body.ContinueFrom,
		PriorTokens:  body.PriorTokens,
		StreamOffset: body.StreamOffset,
	}
}
