package engineserver

import (
	"net/http"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
)

// serveCacheEvents streams the changes of the prefix cache.
func (s *Server) serveCacheEvents(response http.ResponseWriter, request *http.Request) {
	box := s.process.open(fixed(engine.WatchCache{}), "")
	if box == nil {
		abort()
	}
	defer s.process.release(box, false)
	s.pump(request, newEventStream(response), box, nil, encodeCacheEvent)
}

func encodeCacheEvent(stream *eventStream, event engine.Event) (last bool, err error) {
	changes, ok := event.(engine.CacheEvent)
	if !ok {
		return false, nil
	}
	return false, stream.add(enginewire.EventCache, enginewire.CacheEvent{
		Incarnation: changes.Incarnation,
		Sequence:    changes.Sequence,
		Stored:      enginewire.Hashes(changes.Stored),
		Evicted:     enginewire.Hashes(changes.Evicted),
	})
}
