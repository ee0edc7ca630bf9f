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
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/engineclient"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/platformclient"
	"github.com/granitebay/granitebay/internal/router"
	"github.com/granitebay/granitebay/internal/runner"
	"github.com/granitebay/granitebay/internal/serving"
	"github.com/granitebay/granitebay/internal/settings"
	"github.com/granitebay/granitebay/internal/transport"
)

const (
	// logPart is the prefix of the log lines of the program.
	logPart = "router"
	// stopCheckInterval is how often a stopping router looks whether it is done.
	stopCheckInterval = 50 * time.Millisecond
)

// Options of a router program.
type Options struct {
	Settings settings.RouterSettings
	Logger   *logrus.Logger
	// PeersListener is used in place of a listener at Settings.ListenPeers; nil opens one.
	PeersListener net.Listener
	// OnDecision takes each decision; nil for none. It must not block.
	OnDecision func(decision.Record)
}

// Program is a running router.
type Program struct {
	options  Options
	logger   *logrus.Entry
	injector *do.RootScope

	core      *router.Core
	runner    *runner.Runner
	transport *transport.Transport
	engines   *engineclient.Client
	platform  *platformclient.Client
	decisions *decisionlog.Log
	ports     *serving.Group
	addresses Addresses
	edits     editWaiters
	views     fleetViews
	// adminAddresses are those of other routers.
	adminAddresses adminAddresses
}

// Addresses are where a router listens.
type Addresses struct{ Peers, Admin string }

// Start starts a router. It returns once both ports are open.
func Start(options Options) (*Program, error) {
	name := options.Settings.Name
	peers, err := serving.Listen(options.PeersListener, options.Settings.ListenPeers, "listen for peers", "router "+name)
	if err != nil {
		return nil, err
	}
	admin, err := serving.Listen(nil, options.Settings.ListenAdmin, "listen for operators", "router "+name)
	if err != nil {
		_ = peers.Close()
		return nil, err
	}
	p := &Program{
		options:   options,
		logger:    logging.Part(options.Logger, logPart),
		addresses: Addresses{Peers: peers.Addr().String(), Admin: admin.Addr().String()},
		ports:     serving.NewGroup("router " + name),
	}
	if err := p.assemble(); err != nil {
		_ = peers.Close()
		_ = admin.Close()
		return nil, err
	}
	p.serve(peers, admin)
	p.runner.Start()
	p.logger.WithFields(logrus.Fields{"router": name, "peers": p.addresses.Peers, "admin": p.addresses.Admin}).Info("Serving.")
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
		return errors.Wrapf(err, "step assemble: router %s", p.options.Settings.Name)
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
	address := p.options.Settings.AdvertisePeers
	if address == "" {
		address = p.addresses.Peers
	}
	return &granitebayv1.Peer{
		Name:        p.options.Settings.Name,
		Incarnation: uint64(time.Now().UnixNano()),
		Address:     address,
		Zone:        p.options.Settings.Zone,
	}
}

func newCore(injector do.Injector) (*router.Core, error) {
	options := do.MustInvoke[Options](injector)
	self := do.MustInvoke[*granitebayv1.Peer](injector)
	seeds := lo.Map(options.Settings.Peers, func(peer settings.Peer, _ int) membership.Member {
		return membership.Member{Name: peer.Name, Address: peer.Address, Zone: peer.Zone}
	})
	addresses := do.MustInvoke[*Program](injector).addresses
	return router.New(router.Settings{
		Self:         self,
		AdminAddress: reachable(addresses.Admin, self.GetAddress()),
		StartedAt:    time.Now(),
		Seeds:        seeds,
	}, rand.New(rand.NewPCG(self.GetIncarnation(), rand.Uint64()))), nil
}

// reachable returns the address of a listener as others reach it: one that listens at all interfaces is reached at the
// host at which peers reach the process.
func reachable(listening, peers string) string {
	host, port, err := net.SplitHostPort(listening)
	if err != nil || !net.ParseIP(host).IsUnspecified() {
		return listening
	}
	peersHost, _, err := net.SplitHostPort(peers)
	if err != nil {
		return listening
	}
	return net.JoinHostPort(peersHost, port)
}

func newDecisions(injector do.Injector) (*decisionlog.Log, error) {
	options := do.MustInvoke[Options](injector)
	return decisionlog.New(options.Settings.Name, options.Settings.KeptDecisions), nil
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
		Endpoint:     options.Settings.Platform.Endpoint,
		Name:         options.Settings.Name,
		Timeout:      options.Settings.Platform.RequestTimeout.Duration(),
		Deliver:      drive.HandlePlatformResponse,
		DeliverWatch: drive.HandlePlatformWatch,
		Logger:       options.Logger,
	})
}

// serve opens the ports for peers and operators.
func (p *Program) serve(peers, admin net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(p.transport.Handler())
	mux.HandleFunc("GET "+pathAdminAddress, p.serveAdminAddress)
	p.ports.Serve(serving.PeersServer(mux), peers)
	p.ports.Serve(serving.PlainServer(p.adminHandler()), admin)
}

// Addresses returns where the router listens.
func (p *Program) Addresses() Addresses { return p.addresses }

// Failed delivers an error when a port of the router stops serving.
func (p *Program) Failed() <-chan error { return p.ports.Failed() }

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
	p.logger.WithField("router", p.options.Settings.Name).Info("Stopped; all requests were handed on.")
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
	p.ports.Close()
	p.transport.Close()
	p.engines.Close()
	p.platform.Close()
}

var _ core.Node = (*router.Core)(nil)
