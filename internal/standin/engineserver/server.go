// Package engineserver serves a model engine over HTTP: an OpenAI-style completions API with request ids and resumable
// streams, fenced orders, load reports and cache events. docs/engine.md describes the wire format.
package engineserver

import (
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/engineclient/enginewire"
	"github.com/granitebay/granitebay/internal/standin/enginemodel"
)

// The defaults of Options.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultRestartAfter      = 5 * time.Second
)

// Options of a Server.
type Options struct {
	// Model says how the engine works. Its incarnation and start are chosen anew each time the engine starts.
	Model enginemodel.Settings
	// Seed of the randomness of crashes and lost cache events.
	Seed uint64
	// HeartbeatInterval is the longest silence on a stream before the engine writes a comment.
	HeartbeatInterval time.Duration
	// RestartAfter is how long the engine is down after it crashed during a change.
	RestartAfter time.Duration
	Logger       *logrus.Logger
}

// Server is one engine behind HTTP.
type Server struct {
	process   *process
	heartbeat time.Duration
	handler   http.Handler
}

// New starts an engine. Close ends it.
func New(options Options) (*Server, error) {
	if err := options.Model.Validate(); err != nil {
		return nil, err
	}
	if options.HeartbeatInterval <= 0 {
		options.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if options.RestartAfter <= 0 {
		options.RestartAfter = DefaultRestartAfter
	}
	if options.Logger == nil {
		options.Logger = logrus.StandardLogger()
	}
	s := &Server{process: newProcess(options), heartbeat: options.HeartbeatInterval}
	s.handler = s.routes(options.Model.Name)
	return s, nil
}

// Handler serves the API of the engine.
func (s *Server) Handler() http.Handler { return s.handler }

// Incarnation returns the incarnation of the engine; zero while it is down.
func (s *Server) Incarnation() uint64 {
	return s.process.incarnation()
}

// Runs returns the number of runs that have not ended.
func (s *Server) Runs() int { return s.process.runs() }

// Crash ends the engine now, as a crash of its process does, and starts it again after a while.
func (s *Server) Crash(restartAfter time.Duration) { s.process.crash(restartAfter) }

// Close ends the engine. Streams break and later requests get no answer.
func (s *Server) Close() { s.process.close() }

func (s *Server) routes(name string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathCompletions, s.serveCompletion)
	mux.HandleFunc("GET "+enginewire.PathRequests+"{id}/stream", s.serveStream)
	mux.HandleFunc("GET "+enginewire.PathCacheEvents, s.serveCacheEvents)
	config := huma.DefaultConfig("Engine "+name, "1.0.0")
	config.CreateHooks = nil // bodies hold nothing but what docs/engine.md says
	s.registerControl(humago.New(mux, config))
	return mux
}

// abort closes the connection without an answer, as the end of a process does.
func abort() { panic(http.ErrAbortHandler) }
