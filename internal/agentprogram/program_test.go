package agentprogram

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/settings"
	"github.com/granitebay/granitebay/internal/transport"
)

// fakeRouter is a router behind a real transport. It sends the first token at once and the last when it is released.
type fakeRouter struct {
	transport *transport.Transport
	address   string
	release   chan struct{}
	// closed ends the answers before the transport closes.
	closed    chan struct{}
	answers   sync.WaitGroup
	cancelled chan string
	finished  chan string
}

func startRouter(t *testing.T, logger *logrus.Logger) *fakeRouter {
	router := &fakeRouter{release: make(chan struct{}), closed: make(chan struct{}), cancelled: make(chan string, 10), finished: make(chan string, 10)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	router.address = listener.Addr().String()
	router.transport = transport.New(transport.Options{
		Self:        &granitebayv1.Peer{Name: "r1", Incarnation: 1, Address: router.address, Zone: "a"},
		Deliver:     router.deliver,
		Unreachable: func(string) {},
		Logger:      logger,
	})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(router.transport.Handler())
	server := &http.Server{Handler: mux, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		close(router.closed)
		router.answers.Wait()
		router.transport.Close()
	})
	return router
}

func (r *fakeRouter) deliver(envelope *granitebayv1.Envelope) {
	switch body := envelope.GetBody().(type) {
	case *granitebayv1.Envelope_Generate:
		r.answers.Go(func() { r.answer(body.Generate) })
	case *granitebayv1.Envelope_Cancel:
		r.cancelled <- body.Cancel.GetRequestId()
	case *granitebayv1.Envelope_Progressed:
		if body.Progressed.GetFinished() {
			r.finished <- body.Progressed.GetRequestId()
		}
	}
}

func (r *fakeRouter) answer(generate *granitebayv1.Generate) {
	send := func(progress *granitebayv1.Progress) {
		progress.RequestId, progress.Attempt = generate.Work.RequestId, generate.Attempt
		progress.Run = &granitebayv1.RunReference{Engine: "e1", EngineIncarnation: 1}
		r.transport.Send(core.Message{To: generate.AgentName, Address: generate.AgentAddress, Envelope: &granitebayv1.Envelope{
			Body: &granitebayv1.Envelope_Progress{Progress: progress},
		}})
	}
	send(&granitebayv1.Progress{Tokens: []string{"one"}})
	for {
		select {
		case <-r.release:
			send(&granitebayv1.Progress{Offset: 1, Tokens: []string{" two"}, Finished: true, TotalTokens: 2})
			return
		case <-r.closed:
			return
		case <-time.After(100 * time.Millisecond):
			send(&granitebayv1.Progress{Offset: 1})
		}
	}
}

func startAgent(t *testing.T) (*Program, *fakeRouter) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	router := startRouter(t, logger)
	static := settings.DefaultAgentSettings()
	static.Name, static.Zone, static.DefaultTenant = "agent-1", "a", "cafe-1"
	static.ListenPeers, static.ListenCallers = "127.0.0.1:0", "127.0.0.1:0"
	static.Routers = []settings.Peer{{Name: "r1", Address: router.address, Zone: "a"}}
	program, err := Start(Options{Settings: *static, Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	return program, router
}

// call starts a streamed request and returns its response once the first token is there.
func call(t *testing.T, program *Program) *http.Response {
	t.Helper()
	response, err := http.Post("http://"+program.Addresses().Callers+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"m","prompt":"p","stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	return response
}

func TestPlannedStopFinishesWhatRuns(t *testing.T) {
	program, router := startAgent(t)
	response := call(t, program)
	stopped := make(chan struct{})
	go func() {
		program.Stop(context.Background())
		close(stopped)
	}()
	close(router.release)
	body, err := io.ReadAll(response.Body)
	if err != nil || !strings.Contains(string(body), `" two"`) || !strings.HasSuffix(string(body), "data: [DONE]\n\n") {
		t.Fatalf("%v: %s", err, body)
	}
	if id := <-router.finished; id != response.Header.Get("X-Granitebay-Request-Id") {
		t.Fatalf("finished %s", id)
	}
	<-stopped
	if _, err := http.Get("http://" + program.Addresses().Callers + "/healthz"); err == nil {
		t.Fatalf("serves after its stop")
	}
}

func TestStopOutOfTimeCancels(t *testing.T) {
	program, router := startAgent(t)
	response := call(t, program)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	program.Stop(expired)
	if id := <-router.cancelled; id != response.Header.Get("X-Granitebay-Request-Id") {
		t.Fatalf("cancelled %s", id)
	}
}

func TestTakenPort(t *testing.T) {
	program, _ := startAgent(t)
	defer program.Close()
	static := program.options.Settings
	static.ListenCallers = program.Addresses().Callers
	_, err := Start(Options{Settings: static, Logger: program.options.Logger})
	if err == nil || !strings.Contains(err.Error(), "step listen for callers") || !strings.Contains(err.Error(), static.ListenCallers) {
		t.Fatalf("got %v", err)
	}
}
