// Package agentprogram assembles an agent: the core, the transport and the server for callers.
package agentprogram

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/agent"
	"github.com/granitebay/granitebay/internal/agentserver"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/runner"
	"github.com/granitebay/granitebay/internal/serving"
	"github.com/granitebay/granitebay/internal/settings"
	"github.com/granitebay/granitebay/internal/transport"
)

const (
	// logPart is the prefix of the log lines of the program.
	logPart = "agent"
	// flushTime is left to the last messages to routers before the transport closes.
	flushTime = 100 * time.Millisecond
)

// Options of an agent program.
type Options struct {
	Settings settings.AgentSettings
	Logger   *logrus.Logger
	// Version is shown in the description of the interface for callers.
	Version string
	// PeersListener is used in place of a listener at Settings.ListenPeers; nil opens one.
	PeersListener net.Listener
	// OnDecision takes each decision; nil for none. It must not block.
	OnDecision func(decision.Record)
}

// Addresses are where an agent listens.
type Addresses struct{ Peers, Callers string }

// Program is a running agent.
type Program struct {
	options   Options
	logger    *logrus.Entry
	addresses Addresses
	injector  *do.RootScope

	runner    *runner.Runner
	transport *transport.Transport
	server    *agentserver.Server
	decisions *decisionlog.Log
	ports     *serving.Group
	callers   *http.Server
}

// Start starts an agent. It returns once both ports are open.
func Start(options Options) (*Program, error) {
	name := options.Settings.Name
	peers, err := serving.Listen(options.PeersListener, options.Settings.ListenPeers, "listen for peers", "agent "+name)
	if err != nil {
		return nil, err
	}
	callers, err := serving.Listen(nil, options.Settings.ListenCallers, "listen for callers", "agent "+name)
	if err != nil {
		_ = peers.Close()
		return nil, err
	}
	p := &Program{
		options:   options,
		logger:    logging.Part(options.Logger, logPart),
		addresses: Addresses{Peers: peers.Addr().String(), Callers: callers.Addr().String()},
		ports:     serving.NewGroup("agent " + name),
	}
	if err := p.assemble(); err != nil {
		_ = peers.Close()
		_ = callers.Close()
		return nil, err
	}
	p.serve(peers, callers)
	p.runner.Start()
	p.logger.WithFields(logrus.Fields{"agent": name, "peers": p.addresses.Peers, "callers": p.addresses.Callers}).Info("Serving.")
	return p, nil
}

// assemble makes the parts and connects them.
func (p *Program) assemble() error {
	p.injector = do.New()
	do.ProvideValue(p.injector, p)
	do.ProvideValue(p.injector, p.options)
	do.ProvideValue(p.injector, p.self())
	do.Provide(p.injector, newCore)
	do.Provide(p.injector, newDecisions)
	do.Provide(p.injector, newRunner)
	do.Provide(p.injector, newTransport)
	do.Provide(p.injector, newServer)
	var err error
	if p.server, err = do.Invoke[*agentserver.Server](p.injector); err != nil {
		return errors.Wrapf(err, "step assemble: agent %s", p.options.Settings.Name)
	}
	p.runner = do.MustInvoke[*runner.Runner](p.injector)
	p.transport = do.MustInvoke[*transport.Transport](p.injector)
	p.decisions = do.MustInvoke[*decisionlog.Log](p.injector)
	p.runner.Connect(p.transport, nil, nil)
	return nil
}

// self names the process. The incarnation is its start time, which grows with each start.
func (p *Program) self() *granitebayv1.Peer {
	return &granitebayv1.Peer{
		Name:        p.options.Settings.Name,
		Incarnation: uint64(time.Now().UnixNano()),
		Address:     lo.CoalesceOrEmpty(p.options.Settings.AdvertisePeers, p.addresses.Peers),
		Zone:        p.options.Settings.Zone,
	}
}

func newCore(injector do.Injector) (*agent.Core, error) {
	static := do.MustInvoke[Options](injector).Settings
	self := do.MustInvoke[*granitebayv1.Peer](injector)
	return agent.New(agent.Settings{
		Name:        self.GetName(),
		Address:     self.GetAddress(),
		Zone:        self.GetZone(),
		Incarnation: self.GetIncarnation(),
		Routers: lo.Map(static.Routers, func(peer settings.Peer, _ int) agent.Router {
			return agent.Router{Name: peer.Name, Address: peer.Address, Zone: peer.Zone}
		}),
		SilenceTimeout:     static.SilenceTimeout.Duration(),
		FirstAnswerTimeout: static.FirstAnswerTimeout.Duration(),
		MaxAttempts:        static.MaxAttempts,
		RetryShare:         static.RetryShare,
		DefaultDeadline:    static.DefaultDeadline.Duration(),
		MaxDeadline:        static.MaxDeadline.Duration(),
		MaxPromptTokens:    static.MaxPromptTokens,
		MaxTokens:          static.MaxTokens,
	}, rand.New(rand.NewPCG(self.GetIncarnation(), rand.Uint64()))), nil
}

func newDecisions(injector do.Injector) (*decisionlog.Log, error) {
	static := do.MustInvoke[Options](injector).Settings
	return decisionlog.New(static.Name, static.KeptDecisions), nil
}

func newRunner(injector do.Injector) (*runner.Runner, error) {
	p := do.MustInvoke[*Program](injector)
	return runner.New(runner.Options{
		Node:       do.MustInvoke[*agent.Core](injector),
		Decisions:  do.MustInvoke[*decisionlog.Log](injector),
		OnDecision: p.observe,
		// The server exists before the first step runs.
		OnCaller: func(event core.CallerEvent) { p.server.Deliver(event) },
	}), nil
}

func newTransport(injector do.Injector) (*transport.Transport, error) {
	steps := do.MustInvoke[*runner.Runner](injector)
	return transport.New(transport.Options{
		Self:        do.MustInvoke[*granitebayv1.Peer](injector),
		Deliver:     steps.HandleEnvelope,
		Unreachable: steps.HandlePeerUnreachable,
		Logger:      do.MustInvoke[Options](injector).Logger,
	}), nil
}

func newServer(injector do.Injector) (*agentserver.Server, error) {
	options := do.MustInvoke[Options](injector)
	return agentserver.New(agentserver.Settings{
		Version:          options.Version,
		Name:             options.Settings.Name,
		Decisions:        do.MustInvoke[*decisionlog.Log](injector).Latest,
		DefaultTenant:    options.Settings.DefaultTenant,
		MaxBodyBytes:     options.Settings.MaxBodyBytes,
		DefaultMaxTokens: options.Settings.DefaultMaxTokens,
		Registry:         prometheus.NewRegistry(),
	}, do.MustInvoke[*runner.Runner](injector), do.MustInvoke[*agent.Core](injector)), nil
}

// observe counts a decision and hands it on.
func (p *Program) observe(record decision.Record) {
	p.server.ObserveDecision(record)
	if p.options.OnDecision != nil {
		p.options.OnDecision(record)
	}
}

// serve opens both ports to their handlers.
func (p *Program) serve(peers, callers net.Listener) {
	mux := http.NewServeMux()
	mux.Handle(p.transport.Handler())
	p.callers = p.server.HTTPServer()
	p.ports.Serve(serving.PeersServer(mux), peers)
	p.ports.Serve(p.callers, callers)
}

// Addresses returns where the agent listens.
func (p *Program) Addresses() Addresses { return p.addresses }

// Decisions returns the log of the agent's decisions.
func (p *Program) Decisions() *decisionlog.Log { return p.decisions }

// Failed delivers an error when a port of the agent stops serving.
func (p *Program) Failed() <-chan error { return p.ports.Failed() }

// Stop ends the agent as planned: it takes no new requests and finishes those that run. At the end of the context it
// cancels what is left.
func (p *Program) Stop(ctx context.Context) {
	name := p.options.Settings.Name
	select {
	case <-p.server.Stop():
		// The last answers may still be on their way to the callers.
		if err := p.callers.Shutdown(ctx); err != nil {
			p.logger.WithError(err).WithField("agent", name).Warn("Some callers did not read their answers in time.")
		}
		p.logger.WithField("agent", name).Info("Stopped; all requests were finished.")
	case <-ctx.Done():
		p.logger.WithField("agent", name).Warn("Stopped with requests left; they are cancelled.")
	}
	p.Close()
}

// Close ends the agent at once. Callers that still wait lose their connection, and their requests are cancelled.
func (p *Program) Close() {
	_ = p.callers.Close()
	time.Sleep(flushTime)
	p.runner.Close()
	p.transport.Close()
	p.ports.Close()
}
