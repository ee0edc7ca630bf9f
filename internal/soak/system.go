package soak

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/adminapi"
	"github.com/granitebay/granitebay/internal/standin/fleet"
	"github.com/granitebay/granitebay/internal/standin/netproxy"
	"github.com/granitebay/granitebay/internal/standin/workerpaths"
)

// system consists of gateway processes and, within this process, the simulated store, workers and clients.
type system struct {
	shape    shape
	builds   builds
	fleet    *fleet.Fleet
	store    *httptest.Server
	gateways []*gatewayProcess
	workers  []*workerSlot
	dialer   *callerDialer
	// paths are the paths of gateways to workers, nil without path faults, and views the stores that show them.
	paths *workerpaths.Paths
	views []*httptest.Server

	// longPrompts is set while clients send long prompts.
	longPrompts atomic.Bool
	// doubleLoad is set while clients send twice as many requests.
	doubleLoad atomic.Bool
	// sendCrashing is set while clients frequently send a request that crashes workers. crashingCount is the number of such
	// requests so far.
	sendCrashing  atomic.Bool
	crashingCount atomic.Int64
	// crashingPart is the part of prompts that crashes workers at present; nil if there is none.
	crashingPart atomic.Pointer[CrashingPart]

	// stalls describes the stalls of this process. Only watchStalls writes it.
	stalls []string

	mu           sync.Mutex
	snapshots    []timedSnapshot
	version      int
	timeoutMs    int
	idleMs       int
	attempts     int
	idleTimeouts []idleTimeout
	// variable are the variable parts of the configuration; nil if the seed has none.
	variable *variableParts
	// steady is set if the configuration has the routes of the requests beside crashes of workers.
	steady       bool
	requests     []RequestRecord
	spans        []Span
	departures   []Departure
	configDelays []time.Duration
	pendingCalls sync.WaitGroup
	background   sync.WaitGroup
	// healed is closed when the path faults of the round end; nil without any.
	healed chan struct{}
}

// shape is the size of a system.
type shape struct {
	gateways, plain, prefill, decode int
	zones                            []string
}

// shapes holds the sizes of the deployments.
var shapes = map[string]shape{
	"fes":      {gateways: 4, plain: 3, prefill: 2, decode: 5, zones: []string{"zone-a", "zone-b", "zone-c", "zone-d"}},
	"magnolia": {gateways: 6, plain: 3, prefill: 3, decode: 7, zones: []string{"zone-a", "zone-b", "zone-c"}},
}

// workerSlot runs one worker at a time, behind a proxy.
type workerSlot struct {
	number  int
	options fleet.WorkerOptions
	// mu guards the fields below.
	mu          sync.Mutex
	incarnation int
	worker      *fleet.Worker
	proxy       *netproxy.Proxy
}

// streamEvents is the number of events in a stream.
const streamEvents = 6

// features are the parts of a system that only some seeds have.
type features struct {
	// paths gives each gateway its own paths to workers, and changes makes more of the configuration variable.
	paths, changes bool
	// versions returns the software version of the next worker at the start; nil if workers have none.
	versions func() string
	// partCrash is when crashing parts of prompts crash workers.
	partCrash fleet.CrashPoint
	// steady adds the requests that are sent all the time beside crashes of workers.
	steady bool
	// grace is the grace period of gateways; zero for the default, which no planned stop uses up.
	grace time.Duration
}

// featuresOf returns the features for a seed.
func featuresOf(seed uint64) features {
	return features{paths: seed >= firstPathSeed, changes: seed >= firstChangeSeed, versions: initialVersions(seed), partCrash: partCrashOf(seed), grace: graceOf(seed), steady: seed >= firstUnframedSeed}
}

// startSystem starts all components and waits until the gateways are ready.
func startSystem(ctx context.Context, shape shape, builds builds, folder string, has features) (*system, error) {
	s := &system{shape: shape, builds: builds, fleet: fleet.NewFleet(), timeoutMs: 2500, dialer: newCallerDialer(), steady: has.steady}
	if has.grace > 0 {
		s.timeoutMs = stopTimeoutMs
	}
	var err error
	if s.store, err = serveLocally(s.fleet.Store); err != nil {
		return nil, err
	}
	if has.paths {
		s.paths = workerpaths.New(s.fleet)
	}
	if has.steady {
		// An address that accepts connections after its worker has ended would pass for one of a worker that lives.
		s.fleet.NotifyDown(s.paths.SetDown)
	}
	if has.changes {
		parts := initialParts()
		s.variable = &parts
		s.setIdle(initialIdleMs)
	}
	for i, options := range s.workerOptions() {
		if has.versions != nil {
			options.Version = has.versions()
		}
		options.PartCrash = has.partCrash
		slot := &workerSlot{number: i, options: options}
		s.workers = append(s.workers, slot)
		if err := s.startWorker(slot); err != nil {
			s.stop()
			return nil, err
		}
	}
	s.configure()
	for i := range shape.gateways {
		zone := shape.zones[i%len(shape.zones)]
		name, store := fmt.Sprintf("gateway-%d", i), strings.TrimPrefix(s.store.URL, "http://")
		if s.paths != nil {
			if store, err = s.storeFor(name); err != nil {
				s.stop()
				return nil, err
			}
		}
		g, err := newGatewayProcess(builds.initial(), name, zone, folder, store)
		if err != nil {
			s.stop()
			return nil, err
		}
		g.relayBuild, g.grace = builds.current, has.grace
		s.gateways = append(s.gateways, g)
	}
	s.fleet.Store.Rewrite(s.proxyControlAddresses)
	for i, g := range s.gateways {
		for seed := range min(seedGateways, len(s.gateways)) {
			if seed != i {
				g.seeds = append(g.seeds, s.gateways[seed].controlProxy.Address())
			}
		}
		if err := g.start(); err != nil {
			s.stop()
			return nil, err
		}
	}
	return s, s.awaitReady(ctx)
}

// serveLocally serves a handler at the loopback address of this process.
func serveLocally(handler http.Handler) (*httptest.Server, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(processLoopback(), "0"))
	if err != nil {
		return nil, errors.Wrap(err, "serve the store")
	}
	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	return server, nil
}

// seedGateways is the number of gateways that serve as seeds.
const seedGateways = 2

// proxyControlAddresses replaces the control addresses in the gateways' records by those of their proxies.
func (s *system) proxyControlAddresses(key string, value []byte) []byte {
	if !strings.HasPrefix(key, "gateways/") {
		return value
	}
	for _, g := range s.gateways {
		value = bytes.ReplaceAll(value, []byte(`"`+g.control+`"`), []byte(`"`+g.controlProxy.Address()+`"`))
	}
	return value
}

// workerOptions returns the options of all workers.
func (s *system) workerOptions() []fleet.WorkerOptions {
	var all []fleet.WorkerOptions
	add := func(count int, options fleet.WorkerOptions) {
		for i := range count {
			options.Zone = s.shape.zones[i%len(s.shape.zones)]
			all = append(all, options)
		}
	}
	model := fleet.DefaultModel()
	model.StageChange = 500 * time.Millisecond
	add(s.shape.plain, fleet.WorkerOptions{Service: servicePlain, Slots: 16, Work: 5 * time.Millisecond})
	add(s.shape.prefill, fleet.WorkerOptions{Service: serviceEngine, Stage: "prefill", Slots: 32, Work: 5 * time.Millisecond, Events: streamEvents, Model: model})
	add(s.shape.decode, fleet.WorkerOptions{Service: serviceEngine, Stage: "decode", Slots: 32, Work: 5 * time.Millisecond, Events: streamEvents, Model: model})
	if s.variable != nil {
		add(splitWorkers, fleet.WorkerOptions{Service: serviceSplit, Slots: 16, Work: 5 * time.Millisecond})
	}
	return all
}

// startWorker starts the next worker of a slot, behind a new proxy.
func (s *system) startWorker(slot *workerSlot) error {
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.incarnation++
	options := slot.options
	options.ID = fmt.Sprintf("w%d.%d", slot.number, slot.incarnation)
	var proxy *netproxy.Proxy
	var proxyErr error
	options.Through = func(address string) string {
		if proxy, proxyErr = netproxy.NewAt(processLoopback(), address); proxyErr != nil {
			return address
		}
		return proxy.Address()
	}
	worker, err := s.fleet.Start(options)
	if err := errors.Join(err, proxyErr); err != nil {
		return errors.Wrapf(err, "start worker %s", options.ID)
	}
	slot.worker, slot.proxy = worker, proxy
	return nil
}

// configure writes the next version of the configuration and returns the version.
func (s *system) configure() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	config := fleet.Configuration{
		Version: s.version, TimeoutMs: s.timeoutMs, IdleMs: s.idleMs, MaxAttempts: s.attempts,
		Routes: []fleet.Route{
			{Name: "once", Prefix: "/once/", Kind: fleet.RouteRunsOnce, Service: servicePlain},
			{Name: "again", Prefix: "/again/", Kind: fleet.RouteRepeatable, Service: servicePlain},
			{Name: "stream", Prefix: "/stream/", Kind: fleet.RouteStreams, Service: serviceEngine, Resumable: true},
		},
		Services: []fleet.Service{{Name: servicePlain}, {Name: serviceEngine, MemoryTokens: fleet.DefaultModel().MemoryTokens}},
	}
	if s.variable != nil {
		s.variable.extend(&config)
	}
	if s.steady {
		addSteadyRoutes(&config)
	}
	s.fleet.Configure(config)
	return s.version
}

// startTimeout bounds the start of all gateways; startTimeoutPerGateway is added for each.
const (
	startTimeout           = 15 * time.Second
	startTimeoutPerGateway = 200 * time.Millisecond
)

// awaitReady waits until all gateways are ready.
func (s *system) awaitReady(ctx context.Context) error {
	timeout := startTimeout + time.Duration(len(s.gateways))*startTimeoutPerGateway
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	caller := fleet.NewCaller(false)
	for _, g := range s.gateways {
		for !caller.Ready(ctx, g.ready) {
			if !g.running() {
				s.stop()
				return errors.Newf("wait until %s is ready: process exited, see its log", g.name)
			}
			if ctx.Err() != nil {
				s.stop()
				return errors.Newf("wait until %s is ready: timeout of %s exceeded", g.name, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// stop stops all components.
func (s *system) stop() {
	for _, g := range s.gateways {
		g.signal(syscall.SIGCONT)
		g.kill()
		g.storeProxy.Close()
		g.controlProxy.Close()
	}
	s.dialer.close()
	for _, slot := range s.workers {
		if slot.worker != nil {
			slot.worker.Stop(true)
			slot.proxy.Close()
		}
	}
	for _, server := range append(s.views, s.store) {
		server.CloseClientConnections()
		server.Close()
	}
	if s.paths != nil {
		s.paths.Close()
	}
}

// history returns the observations so far.
func (s *system) history(quiet []Span) *History {
	var exits []ProcessExit
	var starts []ProcessStart
	var stops []ProcessStop
	var addresses []string
	for _, g := range s.gateways {
		addresses = append(addresses, g.callers)
		exits = append(exits, g.exitRecords()...)
		starts = append(starts, g.startRecords()...)
		stops = append(stops, g.stopRecords()...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &History{
		CollectedAt: time.Now(), Exits: exits, Starts: starts, Stops: stops, Work: s.fleet.Worked(),
		Requests: append([]RequestRecord(nil), s.requests...), Runs: s.fleet.Runs(), Arrivals: s.fleet.Arrivals(), Refusals: s.fleet.Refusals(), Orders: s.fleet.Orders(),
		Crashes: s.fleet.Crashes(), Heads: s.fleet.Heads(), Notices: s.fleet.Notices(), Limits: s.fleet.Limits(), Cuts: s.fleet.Cuts(), Gateways: addresses,
		Spans: append([]Span(nil), s.spans...), Departures: append([]Departure(nil), s.departures...), QuietPeriods: quiet,
		ConfigDelays: append([]time.Duration(nil), s.configDelays...),
	}
}

// measureConfigDelay waits until a version is in effect on each running gateway and records the delay.
func (s *system) measureConfigDelay(version int, start time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*maxConfigDelay)
	defer cancel()
	for _, g := range s.gateways {
		client := adminapi.NewClient([]string{g.admin}, http.DefaultClient)
		for g.running() && ctx.Err() == nil {
			if status, err := client.Status(ctx); err == nil && status.RouteVersion >= int64(version) {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configDelays = append(s.configDelays, time.Since(start))
}
