package platformserver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

type watchInput struct {
	caller
	Prefix string `query:"prefix" doc:"Empty for all keys."`
	From   uint64 `query:"from" doc:"Changes after this revision are wanted."`
}

// watchLine is one line of the answer to a watch. The first has Opened; one without any field but Revision is a sign of life.
type watchLine struct {
	Revision uint64           `json:"revision"`
	Opened   bool             `json:"opened,omitempty"`
	Changed  []platform.Entry `json:"changed,omitempty"`
	Deleted  []string         `json:"deleted,omitempty"`
	Closed   bool             `json:"closed,omitempty"`
}

func (s *Server) registerWatch(api huma.API) {
	watch := operation(http.MethodGet, "/v1/kv/watch", "Follow the changes under a prefix, one JSON object a line")
	huma.Register(api, watch, func(ctx context.Context, input *watchInput) (*huma.StreamResponse, error) {
		opened, events, err := s.openWatch(ctx, input)
		if err != nil {
			return nil, err
		}
		return &huma.StreamResponse{Body: func(stream huma.Context) {
			stream.SetHeader("Content-Type", "application/x-ndjson")
			defer s.closeWatch(input.Client, opened.ID)
			s.streamWatch(stream, opened, events)
		}}, nil
	})
}

func (s *Server) openWatch(ctx context.Context, input *watchInput) (platform.Response, <-chan platform.WatchEvent, error) {
	answer := make(chan platform.Response, 1)
	events := make(chan platform.WatchEvent, watchBacklog)
	var id platform.RequestID
	s.Step(func(now time.Time, model *platformmodel.Model) {
		s.nextID++
		id = s.nextID
		s.waiting[id] = answer
		s.watches[id] = events
		model.Handle(now, input.Client, id, platform.Watch{Prefix: input.Prefix, FromRevision: input.From})
	})
	response, err := s.await(ctx, id, answer)
	if err != nil {
		s.closeWatch(input.Client, id)
	}
	return response, events, err
}

func (s *Server) closeWatch(client string, id platform.RequestID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.model.CancelWatch(client, id)
	delete(s.watches, id)
}

// streamWatch writes the events until the watch closes or the client leaves.
func (s *Server) streamWatch(stream huma.Context, opened platform.Response, events <-chan platform.WatchEvent) {
	writer := newLineWriter(stream)
	heartbeat := time.NewTicker(s.options.WatchHeartbeat)
	defer heartbeat.Stop()
	line := watchLine{Revision: opened.Revision, Opened: true}
	for writer.write(line) == nil && !line.Closed {
		select {
		case <-stream.Context().Done():
			return
		case event, open := <-events:
			if !open {
				return
			}
			line = watchLine{Revision: event.Revision, Changed: event.Changed, Deleted: event.Deleted, Closed: event.Closed}
		case <-heartbeat.C:
			line = watchLine{}
		}
	}
}

// lineWriter writes JSON lines and flushes each.
type lineWriter struct {
	encoder *json.Encoder
	flush   func()
}

func newLineWriter(stream huma.Context) lineWriter {
	body := stream.BodyWriter()
	flush := func() {}
	if flusher, can := body.(http.Flusher); can {
		flush = flusher.Flush
	}
	return lineWriter{encoder: json.NewEncoder(body), flush: flush}
}

func (w lineWriter) write(line watchLine) error {
	if err := w.encoder.Encode(line); err != nil {
		return err
	}
	w.flush()
	return nil
}
