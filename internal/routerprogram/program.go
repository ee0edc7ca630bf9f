// Package routerprogram assembles a router: the core, the clients and the servers around it.
package routerprogram

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/engineclient"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/platformclient"
	"github.com/granitebay/granitebay/internal/router"
	"github.com/granitebay/granitebay/internal/runner"
	"github.com/granitebay/granitebay/internal/transport"
)

const (
	// logPrefix begins each log sentence of the router.
	logPrefix = "router: "
	// decisionsKept bounds the decisions that a router keeps.
	decisionsKept = 4096
	// stopCheckInterval is how often a stopping router looks whether it is done.
	stopCheckInterval = 50 * time.Millisecond
	// readHeaderTimeout bounds the time to read the header of an HTTP request.
	readHeaderTimeout = 5 * time.Second
)

// Options of a router program.
type Options struct {
	// Name and Zone of the process.
	Name string
	Zone string
	// ListenPeers is the host:port for other processes, ListenAdmin that for operators.
	ListenPeers string
	ListenAdmin string
	// AdvertisePeers is the host:port that peers are told; that of ListenPeers when empty.
	AdvertisePeers string
	// Platform is the URL of the platform, or several with commas between.
	Platform string
	// Routers are the routers that are known from the start. They hold the claims.
	Routers []membership.Member
	Logger  *logrus.Logger
	// OnDecision takes each decision; nil for none.
	OnDecision func(decision.Record)
}

// Program is a running router.
type Program struct {
	options  Options
	injector *do.RootScope

	core      *router.Core
	runner    *runner.Runner
	transport *transport.Transport
	engines   *engineclient.Client
	platform  *platformclient.Client
	decisions *decisionlog.Log
	servers   []*http.Server
	addresses Addresses
	failed    chan error
}

// Addresses are where a router listens.
type Addresses struct{ Peers, Admin string }

// Start starts a router. It returns once both ports are open.
func Start(options Options) (*Program, error) {
	peers, err := net.Listen("tcp", options.ListenPeers)
	if err != nil {
		return nil, errors.Wrapf(err, "step listen for peers: router %s", options.Name)
	}
	admin, err := net.Listen("tcp", options.ListenAdmin)
	if err != nil {
		_ = peers.Close()
		return nil, errors.Wrapf(err, "step listen for operators: router %s", options.Name)
	}
	p := &Program{
		options:   options,
		addresses: Addresses{Peers: peers.Addr().String(), Admin: admin.Addr().String()},
		failed:    make(chan error, 2),
	}
	if err := p.assemble(); err != nil {
		_ = peers.Close()
		_ = admin.Close()
		return nil, err
	}
	p.serve(peers, admin)
	p.runner.Start()
	options.Logger.WithFields(logrus.Fields{"router": options.Name, "peers": p.addresses.Peers, "admin": p.addresses.Admin}).Info(logPrefix + "Serving.")
	return p, nil
}

// assemble makes the parts and connects them.
func (p *Program) assemble() error {
	p.injector = do.New()
	do.ProvideValue(p.injector, p.options)
	do.ProvideValue(p.injector, p.self())
	do.ProvideValue(p.injector, p)
	do.Provide(p.injector, newCore)
	do.Provide(p.injector, newDecisions)
	do.Provide(p.injector, newRunner)
	do.Provide(p.injector, newTransport)
	do.Provide(p.injector, newEngineClient)
	do.Provide(p.injector, newPlatformClient)
	var err error
	if p.platform, err = do.Invoke[*platformclient.Client](p.injector); err != nil {
		return errors.Wrapf(err, "step assemble: router %s", p.options.Name)
	}
	p.core = do.MustInvoke[*router.Core](p.injector)
	p.runner = do.MustInvoke[*runner.Runner](p.injector)
	p.transport = do.MustInvoke[*transport.Transport](p.injector)
	p.engines = do.MustInvoke[*engineclient.Client](p.injector)
	p.decisions = do.MustInvoke[*decisionlog.Log](p.injector)
	p.runner.Connect(p.transport, p.engines, p.platform)
	return nil
}

// self names the process. The incarnation is its start time, which grows with each start.
func (p *Program) self() *granitebayv1.Peer {
	address := p.options.AdvertisePeers
	if address == "" {
		address = p.addresses.Peers
	}
	return &granitebayv1.Peer{
		Name:        p.options.Name,
		Incarnation: uint64(time.Now().UnixNano()),
		Address:     address,
		Zone:        p.options.Zone,
	}
}

func newCore(injector do.Injector) (*router.Core, error) {
	options := do.MustInvoke[Options](injector)
	self := do.MustInvoke[*granitebayv1.Peer](injector)
	settings := router.Settings{Self: self, StartedAt: time.Now(), Seeds: options.Routers}
	return router.New(settings, rand.New(rand.NewPCG(self.GetIncarnation(), rand.Uint64()))), nil
}

func newDecisions(injector do.Injector) (*decisionlog.Log, error) {
	return decisionlog.New(do.MustInvoke[Options](injector).Name, decisionsKept), nil
}

func newRunner(injector do.Injector) (*runner.Runner, error) {
	return runner.New(runner.Options{
		Node:       do.MustInvoke[*router.Core](injector),
		Decisions:  do.MustInvoke[*decisionlog.Log](injector),
		OnDecision: do.MustInvoke[Options](injector).OnDecision,
	}), nil
}

func newTransport(injector do.Injector) (*transport.Transport, error) {
	drive := do.MustInvoke[*runner.Runner](injector)
	return transport.New(transport.Options{
		Self:        do.MustInvoke[*granitebayv1.Peer](injector),
		Deliver:     drive.HandleEnvelope,
		Unreachable: drive.HandlePeerUnreachable,
		Logger:      do.MustInvoke[Options](injector).Logger,
	}), nil
}

func newEngineClient(injector do.Injector) (*engineclient.Client, error) {
	drive := do.MustInvoke[*runner.Runner](injector)
	return engineclient.New(engineclient.Options{
		Deliver: drive.HandleEngineEvent,
		Logger:  do.MustInvoke[Options](injector).Logger,
	}), nil
}

func newPlatformClient(injector do.Injector) (*platformclient.Client, error) {
	drive := do.MustInvoke[*runner.Runner](injector)
	options := do.MustInvoke[Options](injector)
	return platformclient.New(platformclient.Options{
		Endpoint:     options.Platform,
		Name:         options.Name,
		Deliver:      drive.HandlePlatformResponse,
		DeliverWatch: drive.HandlePlatformWatch,
		Logger:       options.Logger,
	})
}

// serve opens the ports for peers and operators.
func (p *Program) serve(peers, admin net.Listener) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(p.transport.Handler())
	p.start(&http.Server{Handler: mux, Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout}, peers)
	p.start(&http.Server{Handler: p.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}, admin)
}

// start serves on a listener until the program ends.
func (p *Program) start(server *http.Server, listener net.Listener) {
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- errors.Wrapf(err, "step serve: router %s at %s", p.options.Name, listener.Addr())
		}
	}()
}

// Addresses returns where the router listens.
func (p *Program) Addresses() Addresses { return p.addresses }

// Failed delivers an error when a port of the router stops serving.
func (p *Program) Failed() <-chan error { return p.failed }

// Stop ends the router as planned: its requests are handed on first. It gives up at the end of the context.
func (p *Program) Stop(ctx context.Context) {
	p.runner.Do(p.core.Stop)
	ticker := time.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for !p.stopped() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			p.Close()
			return
		}
	}
	p.options.Logger.WithField("router", p.options.Name).Info(logPrefix + "Stopped; all requests were handed on.")
	p.Close()
}

// stopped tells whether everything was handed on.
func (p *Program) stopped() bool {
	done := false
	p.runner.Read(func(now time.Time) { done = p.core.Stopped(now) })
	return done
}

// Close ends the router at once.
func (p *Program) Close() {
	p.runner.Close()
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.transport.Close()
	p.engines.Close()
	p.platform.Close()
}

var _ core.Node = (*router.Core)(nil)
