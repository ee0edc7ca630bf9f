// Package agentserver serves callers over HTTP with an OpenAI-style interface: completions and chat completions, whole or
// streamed. It turns each call into a request of the agent core and hands back what the core delivers.
package agentserver

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/agent"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
)

// Defaults of Settings.
const (
	defaultMaxBodyBytes     = 4 << 20
	defaultBodyReadTimeout  = 10 * time.Second
	defaultMaxTokens        = 256
	defaultStopRetryAfter   = time.Second
	defaultReadHeaderTimout = 10 * time.Second
)

// Driver runs steps of the agent core, one at a time.
type Driver interface {
	// Do runs a step and carries out its effects. It may drop the step if the process is stopping.
	Do(step func(now time.Time, effects *core.Effects))
}

// Settings of a Server.
type Settings struct {
	// Version is shown in the description of the interface.
	Version string
	// DefaultTenant is the tenant of requests that name none.
	DefaultTenant string
	// MaxBodyBytes bounds the body of a request. Default 4 MiB.
	MaxBodyBytes int64
	// BodyReadTimeout bounds the time in which the body arrives. Default 10 s.
	BodyReadTimeout time.Duration
	// DefaultMaxTokens is the number of tokens to generate when the caller names none. Default 256.
	DefaultMaxTokens uint32
	// StopRetryAfter is what callers are told while the agent stops. Default 1 s.
	StopRetryAfter time.Duration
	// Name of the agent, and its kept decisions with a sequence above since, for operators. Nil serves none.
	Name      string
	Decisions func(since uint64) []decision.Record
	// Registry takes the metrics. Default: one of its own.
	Registry *prometheus.Registry
}

func (s Settings) withDefaults() Settings {
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.BodyReadTimeout == 0 {
		s.BodyReadTimeout = defaultBodyReadTimeout
	}
	if s.DefaultMaxTokens == 0 {
		s.DefaultMaxTokens = defaultMaxTokens
	}
	if s.StopRetryAfter == 0 {
		s.StopRetryAfter = defaultStopRetryAfter
	}
	if s.Registry == nil {
		s.Registry = prometheus.NewRegistry()
	}
	return s
}

// Server serves callers.
type Server struct {
	settings Settings
	driver   Driver
	core     *agent.Core
	metrics  *metrics
	mux      *http.ServeMux

	mutex    sync.Mutex
	nextCall uint64
	calls    map[uint64]*mailbox
	stopping bool
	// idle is closed when the server is stopping and no call is left.
	idle chan struct{}
}

// New returns a server in front of a core. The core is touched only within Driver.Do.
func New(settings Settings, driver Driver, agentCore *agent.Core) *Server {
	settings = settings.withDefaults()
	server := &Server{
		settings: settings,
		driver:   driver,
		core:     agentCore,
		metrics:  newMetrics(settings.Registry),
		mux:      http.NewServeMux(),
		calls:    make(map[uint64]*mailbox),
		idle:     make(chan struct{}),
	}
	server.mux.HandleFunc("GET /healthz", server.serveHealth)
	server.mux.HandleFunc("GET /readyz", server.serveReady)
	server.mux.Handle("GET /metrics", promhttp.HandlerFor(settings.Registry, promhttp.HandlerOpts{}))
	api := humago.New(server.mux, server.humaConfig())
	server.registerOperations(api)
	if settings.Decisions != nil {
		startedAt := time.Now()
		adminapi.RegisterDecisionLog(api, func(context.Context) (adminapi.DecidingProcess, error) {
			return adminapi.DecidingProcess{Name: settings.Name, StartedAt: startedAt}, nil
		}, settings.Decisions)
	}
	return server
}

// humaConfig describes the interface. Errors get one shape, whoever finds them.
func (s *Server) humaConfig() huma.Config {
	config := huma.DefaultConfig("granitebay agent", s.settings.Version)
	config.CreateHooks = nil
	config.Transformers = []huma.Transformer{s.transformError}
	return config
}

// Handler returns the handler of all paths.
func (s *Server) Handler() http.Handler { return s.mux }

// HTTPServer returns an HTTP server for the handler. It sets no time-out that would cut a stream.
func (s *Server) HTTPServer() *http.Server {
	return &http.Server{Handler: s.mux, ReadHeaderTimeout: defaultReadHeaderTimout}
}

// Deliver hands an event of the core to its caller. It never blocks.
func (s *Server) Deliver(event core.CallerEvent) {
	s.mutex.Lock()
	box := s.calls[event.Call]
	s.mutex.Unlock()
	if box != nil {
		box.put(event)
	}
}

// Stop refuses new requests from now on. The returned channel closes when the last request has ended.
func (s *Server) Stop() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.stopping {
		s.stopping = true
		s.closeIfIdle()
	}
	return s.idle
}

// open gives a call its number and mailbox; false while stopping.
func (s *Server) open() (uint64, *mailbox, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		return 0, nil, false
	}
	s.nextCall++
	box := newMailbox()
	s.calls[s.nextCall] = box
	s.metrics.active.Inc()
	return s.nextCall, box, true
}

func (s *Server) close(call uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.calls, call)
	s.metrics.active.Dec()
	if s.stopping {
		s.closeIfIdle()
	}
}

// closeIfIdle runs under the mutex. No call opens after stopping was set, so the channel closes once.
func (s *Server) closeIfIdle() {
	if len(s.calls) == 0 {
		close(s.idle)
	}
}

func (s *Server) serveHealth(writer http.ResponseWriter, _ *http.Request) {
	_, _ = writer.Write([]byte("ok\n"))
}

func (s *Server) serveReady(writer http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	stopping := s.stopping
	s.mutex.Unlock()
	if stopping {
		http.Error(writer, "stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = writer.Write([]byte("ready\n"))
}
