package platformclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/platformclient"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
	"github.com/granitebay/granitebay/internal/standin/platformserver"
)

// network joins clients and servers by pipes, so that whole connections run on the virtual clock of synctest.
type network struct {
	mutex       sync.Mutex
	listeners   map[string]*pipeListener
	connections []net.Conn
	dials       []string
}

// pipeListener accepts the server ends of pipes.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

func (n *network) listen(address string) *pipeListener {
	listener := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mutex.Lock()
	n.dials = append(n.dials, address)
	listener := n.listeners[address]
	n.mutex.Unlock()
	if listener == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	select {
	case listener.accepted <- far:
	case <-listener.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.connections = append(n.connections, near)
	return near, nil
}

// cut breaks all connections.
func (n *network) cut() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, connection := range n.connections {
		_ = connection.Close()
	}
}

// Accept waits for a connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.accepted:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses all further connections.
func (l *pipeListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// fixture is a platform at "platform:80" and a client of it.
type fixture struct {
	t         *testing.T
	network   *network
	server    *platformserver.Server
	client    *platformclient.Client
	responses chan platform.Response
	events    chan platform.WatchEvent
	lastID    platform.RequestID
}

func unlimitedSettings() platformmodel.Settings {
	settings := platformmodel.DefaultSettings()
	settings.KeyValueLimits = platformmodel.Limits{}
	settings.MembershipLimits = platformmodel.Limits{}
	settings.MembershipLag = 0
	return settings
}

// withPlatform runs a test against a platform on a virtual clock.
func withPlatform(t *testing.T, settings platformmodel.Settings, endpoint string, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		server, err := platformserver.New(platformserver.Options{Settings: settings, Logger: logger})
		if err != nil {
			t.Fatal(err)
		}
		f := &fixture{
			t:         t,
			network:   &network{listeners: map[string]*pipeListener{}},
			server:    server,
			responses: make(chan platform.Response, 100),
			events:    make(chan platform.WatchEvent, 100),
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go server.Run(ctx)
		stop := f.serve("platform:80", server)
		defer stop()
		f.client = f.newClient(endpoint, logger)
		defer f.client.Close()
		test(t, f)
	})
}

func (f *fixture) serve(address string, handler http.Handler) (stop func()) {
	server := &http.Server{Handler: handler}
	listener := f.network.listen(address)
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }
}

func (f *fixture) newClient(endpoint string, logger *logrus.Logger) *platformclient.Client {
	f.t.Helper()
	client, err := platformclient.New(platformclient.Options{
		Endpoint:     endpoint,
		Name:         "router-a-1",
		HTTPClient:   &http.Client{Transport: &http.Transport{DialContext: f.network.dial}},
		Timeout:      3 * time.Second,
		WatchSilence: 5 * time.Second,
		Deliver:      func(response platform.Response) { f.responses <- response },
		DeliverWatch: func(event platform.WatchEvent) { f.events <- event },
		Logger:       logger,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return client
}

// ask carries a request out and waits for its answer.
func (f *fixture) ask(request platform.Request) platform.Response {
	f.t.Helper()
	f.lastID++
	f.client.Do(core.PlatformRequest{ID: f.lastID, Request: request})
	response := <-f.responses
	if response.ID != f.lastID {
		f.t.Fatalf("answer to %d, want %d", response.ID, f.lastID)
	}
	return response
}

// step changes the model of the platform.
func (f *fixture) step(change func(now time.Time, model *platformmodel.Model)) { f.server.Step(change) }

func put(key, value string) platform.Transaction {
	return platform.Transaction{Puts: []platform.Put{{Key: key, Value: []byte(value)}}}
}
