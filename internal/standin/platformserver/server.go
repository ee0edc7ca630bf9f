// Package platformserver serves the model of the platform over HTTP and JSON: the key-value service, the membership
// list and the weight store, with switches for their faults. The wire format is written down in docs/platform.md.
package platformserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

const (
	logPrefix = "platform stand-in: "
	// watchBacklog is how many events a watch may lag behind before it is closed.
	watchBacklog = 1024
	// defaultWatchHeartbeat is how often a silent watch sends a sign of life.
	defaultWatchHeartbeat = time.Second
)

// Options are what a Server is made of.
type Options struct {
	Settings platformmodel.Settings
	// StateFile keeps the state over restarts of the process; empty means that nothing is kept.
	StateFile string
	// Seed decides which answers are lost when that fault is on.
	Seed uint64
	// WatchHeartbeat is how often a silent watch sends a sign of life; zero means one second.
	WatchHeartbeat time.Duration
	// Logger is required.
	Logger *logrus.Logger
}

// Server is the platform behind HTTP. Run must be called for leases to expire.
type Server struct {
	options Options
	handler http.Handler
	// changed wakes Run after each step, because the next wake-up may be earlier.
	changed chan struct{}

	mutex   sync.Mutex
	model   *platformmodel.Model
	saved   uint64
	nextID  platform.RequestID
	waiting map[platform.RequestID]chan platform.Response
	watches map[platform.RequestID]chan platform.WatchEvent
}

// New returns a server with the state of the file, or with an empty state when there is none yet.
func New(options Options) (*Server, error) {
	if options.WatchHeartbeat <= 0 {
		options.WatchHeartbeat = defaultWatchHeartbeat
	}
	server := &Server{
		options: options,
		changed: make(chan struct{}, 1),
		model:   platformmodel.New(options.Settings, rand.New(rand.NewPCG(options.Seed, options.Seed))),
		waiting: map[platform.RequestID]chan platform.Response{},
		watches: map[platform.RequestID]chan platform.WatchEvent{},
	}
	if err := server.loadState(); err != nil {
		return nil, err
	}
	server.handler = server.newHandler()
	return server, nil
}

// ServeHTTP serves the platform.
func (s *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.handler.ServeHTTP(writer, request)
}

// Run runs what falls due, until the context ends.
func (s *Server) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-s.changed:
		}
		if wake := s.tick(); !wake.IsZero() {
			timer.Reset(time.Until(wake))
		}
	}
}

// tick runs what is due and returns when the next is.
func (s *Server) tick() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.model.Tick(time.Now())
	s.finishStep()
	return s.model.NextWake()
}

// Step changes the model, and hands out what follows. Only fault switches, tests and demonstrations need it.
func (s *Server) Step(change func(now time.Time, model *platformmodel.Model)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(time.Now(), s.model)
	s.finishStep()
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// finishStep saves the state before any answer leaves, so that a restart never takes back what was answered.
func (s *Server) finishStep() {
	deliveries := s.model.TakeDeliveries()
	if err := s.saveState(); err != nil {
		s.options.Logger.WithError(err).Error(logPrefix + "State not saved, answers withheld.")
		return
	}
	for _, delivery := range deliveries {
		s.deliver(delivery)
	}
}

func (s *Server) deliver(delivery platformmodel.Delivery) {
	if delivery.Response != nil {
		if waiting, found := s.waiting[delivery.Response.ID]; found {
			waiting <- *delivery.Response
			delete(s.waiting, delivery.Response.ID)
		}
		return
	}
	events, found := s.watches[delivery.Watch.ID]
	if !found {
		return
	}
	select {
	case events <- *delivery.Watch:
	default:
		s.options.Logger.WithField("client", delivery.Client).Warn(logPrefix + "Watch too far behind, closed.")
		s.model.CancelWatch(delivery.Client, delivery.Watch.ID)
		delete(s.watches, delivery.Watch.ID)
		close(events)
	}
}

// ask hands a request to the model and waits for the answer. It gives up when the context ends.
func (s *Server) ask(ctx context.Context, client string, request platform.Request) (platform.Response, error) {
	answer := make(chan platform.Response, 1)
	var id platform.RequestID
	s.Step(func(now time.Time, model *platformmodel.Model) {
		s.nextID++
		id = s.nextID
		s.waiting[id] = answer
		model.Handle(now, client, id, request)
	})
	return s.await(ctx, id, answer)
}

func (s *Server) await(ctx context.Context, id platform.RequestID, answer <-chan platform.Response) (platform.Response, error) {
	select {
	case response := <-answer:
		if response.Failure != platform.FailureNone {
			return response, newFailure(response)
		}
		return response, nil
	case <-ctx.Done():
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.waiting, id)
		return platform.Response{}, huma.NewError(http.StatusGatewayTimeout, "The client left before the answer.")
	}
}

func (s *Server) newHandler() http.Handler {
	mux := http.NewServeMux()
	config := huma.DefaultConfig("granitebay platform stand-in", "1")
	config.CreateHooks = nil
	api := humago.New(mux, config)
	s.registerKeyValue(api)
	s.registerWatch(api)
	s.registerMembers(api)
	s.registerWeights(api)
	s.registerFaults(api)
	return mux
}

// operation describes one path of the API.
func operation(method, path, summary string) huma.Operation {
	return huma.Operation{
		OperationID: fmt.Sprintf("%s %s", method, path),
		Method:      method,
		Path:        path,
		Summary:     summary,
	}
}
