package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/accepting"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/cachesync"
	"github.com/granitebay/granitebay/internal/callers"
	"github.com/granitebay/granitebay/internal/capacity"
	"github.com/granitebay/granitebay/internal/changefeed"
	"github.com/granitebay/granitebay/internal/cluster"
	"github.com/granitebay/granitebay/internal/decisionlog"
	"github.com/granitebay/granitebay/internal/drain"
	"github.com/granitebay/granitebay/internal/forward"
	"github.com/granitebay/granitebay/internal/intake"
	"github.com/granitebay/granitebay/internal/logging"
	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/netdial"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/relay"
	"github.com/granitebay/granitebay/internal/rendezvous"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/roles"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/standstill"
	"github.com/granitebay/granitebay/internal/store"
	"github.com/granitebay/granitebay/internal/usage"
	"github.com/granitebay/granitebay/internal/versionsync"
)

// Dependencies holds the services, protocols and callbacks that a Gateway is given at construction.
type Dependencies struct {
	Store    store.Store
	Decoder  cluster.Decoder
	Protocol forward.Protocol
	// Labelled is the protocol of requests that are routed by labels; nil disables it.
	Labelled forward.LabelledProtocol
	Workers  forward.Workers
	// Orderer sends orders to engines and asks for their state; if nil, their state is not asked for after a start.
	Orderer roles.Orderer
	// Usage receives the usage reports of tenants; nil disables reporting.
	Usage usage.Sender
	// Capacity orders workers from the platform; nil disables orders.
	Capacity capacity.Orderer
	// PromptCache queries engines for the prompt segments in their caches; if nil, these are learned only from served
	// requests.
	PromptCache forward.CacheQuerier
	// Prober checks whether a worker's process has terminated.
	Prober Prober
	// Identify requests the health path at worker.Address and returns the ID of the worker that answers, which may be
	// another one.
	Identify func(ctx context.Context, worker *backend.Worker, path string) (string, error)
	// WatchNotices registers a callback for the notices in workers' responses, with an error for those that cannot be
	// parsed. May be nil.
	WatchNotices func(handle func(worker *backend.Worker, notice backend.Notice, err error))
	// WatchStoreRestores registers a callback for store responses that report a restore from a backup, with the era that
	// the restore began. May be nil.
	WatchStoreRestores func(handle func(era int64))
	// Relay opens the connections to workers; nil if they are not relayed.
	Relay *relay.Dialer
	// WatchConnections registers a callback for failed connections to workers. May be nil.
	WatchConnections func(handle func(address string, err error))
	// WatchDiscards registers a callback for responses of workers that belong to no request that waits. May be nil.
	WatchDiscards func(handle func(address string))
	// CloseIdleConnections closes idle connections to an address that no worker uses any more.
	CloseIdleConnections func(address string)
	// CloseUnusableConnections closes idle connections that are relayed by a gateway which no longer relays. May be nil.
	CloseUnusableConnections func()
	// ReadyHandler returns the handler of the readiness endpoint.
	ReadyHandler func(ready func() bool) http.Handler
	// DirectoryHandler returns the handler that tells callers of a zone which gateways to connect to and how long to cache
	// the addresses.
	DirectoryHandler func(resolve func(zone string) ([]string, time.Duration)) http.Handler
}

// Gateway accepts requests of callers and forwards them to workers, as one member of a fleet of gateways.
type Gateway struct {
	settings     Settings
	dependencies Dependencies
	logger       *logrus.Logger

	handler *forward.Handler
	// relays is nil if connections to workers are not relayed.
	relays       *relay.Handler
	dispatcher   *forward.Dispatcher
	view         *cluster.View
	replica      *store.Replica
	registration *member.Registration
	controller   *roles.Controller
	callers      *callers.Server
	// intake bounds what callers make this process hold while their requests arrive.
	intake        *intake.Budget
	accepting     *accepting.Loop
	metrics       *gatewayMetrics
	loadExchange  *peersync.Exchange
	feedFollower  *changefeed.Follower
	entries       entryState
	utilization   *utilization
	tenantUsage   *tenantUsage
	barSyncer     *barSyncer
	engineMonitor *engineMonitor
	notices       *noticeTracker
	workerLimits  *workerLimitTracker
	streams       *streamVersions
	capacity      *capacity.Executor

	// gracePeriod and addressTTL are durations in nanoseconds that Reload may change.
	gracePeriod atomic.Int64
	addressTTL  atomic.Int64

	decisions *decisionlog.Log
	startedAt time.Time

	// workersMu guards the known workers and the configuration that assigns them to groups.
	workersMu sync.Mutex
	workers   backend.Set
	// workersAtAddress counts the workers at each address.
	workersAtAddress map[string]int
	// workerAtAddress holds the id of the worker registered last at each address.
	workerAtAddress map[string]string
	configuration   *routing.Configuration
	// workersKnown is closed once the first workers are assigned to groups.
	workersKnown     chan struct{}
	workersKnownOnce sync.Once
	// learnTrigger starts learning which prompt segments engines cache.
	learnTrigger chan struct{}
	// restoreTrigger requests that data lost by the store be written again.
	restoreTrigger chan struct{}
	// editsMayBeLost is set when the store was restored and may lack operators' edits that are in force here. It is
	// cleared when an attempt to write them again begins.
	editsMayBeLost atomic.Bool
	// cacheClient queries other gateways for cached prompt segments.
	cacheClient *cachesync.Client

	leaving atomic.Bool
	// heartbeat is the one of watchEntries.
	heartbeat       standstill.Heartbeat
	internalServers []*callers.Server
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
}

// New returns a gateway that does nothing until Start is called. Callbacks registered here may use fields that are set
// later, as none is called before Start.
func New(settings Settings, dependencies Dependencies, logger *logrus.Logger) *Gateway {
	g := &Gateway{settings: settings, dependencies: dependencies, logger: logger}
	g.startedAt = time.Now()
	g.accepting = accepting.New(logging.Component(logger, "gateway"))
	g.utilization = newUtilization(settings)
	g.workersKnown = make(chan struct{})
	g.workers, g.workersAtAddress, g.workerAtAddress = backend.Set{}, map[string]int{}, map[string]string{}
	g.learnTrigger = make(chan struct{}, 1)
	g.restoreTrigger = make(chan struct{}, 1)
	g.cacheClient = cachesync.New()
	g.decisions = decisionlog.New(settings.Name, maxDecisions)
	g.metrics = newGatewayMetrics(g.decisions, logger)
	g.dependencies.Store = store.Instrumented(dependencies.Store, g.metrics.countStoreCall)
	dependencies.Store = g.dependencies.Store
	g.gracePeriod.Store(int64(settings.Grace))
	g.addressTTL.Store(int64(min(settings.AddressTTL, settings.MaxAddressTTL)))
	dispatch := forward.DefaultDispatchSettings()
	dispatch.Zone = settings.Zone
	dispatch.Budget = budgetSettings(settings)
	dispatch.CopyBytes = settings.CopyBytes
	g.dispatcher = forward.NewDispatcher(dispatch, time.Now)
	g.dispatcher.ShareLimits(settings.Name)
	g.dispatcher.OnBudgetExhausted(g.logBudgetExhausted)
	g.dispatcher.OnPlacement(g.metrics.observeChoice)
	g.dispatcher.OnInterval(g.metrics.pace.observeInterval)
	g.handler = forward.NewHandler(forward.DefaultSettings(), dependencies.Protocol, dependencies.Workers, g.dispatcher, g.metrics)
	g.handler.SetFreshness(func() bool { return g.view.IsFresh(maxConfigurationAge(settings)) })
	g.handler.SetCloserFunc(callers.CloserOf)
	g.handler.SetUndelivered(callers.Undelivered)
	g.handler.SetHeaderSize(callers.HeaderSize)
	g.handler.SetShare(callers.ShareOf)
	g.streams = newStreamVersions(g)
	g.handler.SetStreamVersions(g.streams)
	if dependencies.Orderer != nil {
		g.handler.SetConfirmation(g.confirmWorker)
	}
	g.callers = callers.NewServer(callers.CancelOnDisconnect(g.handler), &g.utilization.traffic, g.metrics, logging.Component(logger, "gateway"))
	g.callers.SetHeaderTooLarge(g.handler.HeaderTooLarge)
	g.intake = intake.New(settings.MaxRequestBytes(), time.Now)
	g.callers.SetIntake(g.intake.NewListener(settings.connectionLimits().callers))
	g.barSyncer = newBarSyncer(g, healthProber{Prober: dependencies.Prober, gateway: g})
	g.handler.SetGuard(g.barSyncer.guard)
	g.handler.SetSuspectElection(g.ownsKey)
	// Entries send their updates to each other only.
	g.handler.SetTrialKnowledge(g.isEntry)
	if dependencies.Labelled != nil {
		g.handler.ServeLabelled(dependencies.Labelled)
	}
	self := member.Gateway{
		Name: settings.Name, Address: settings.ListenCallers, PeerAddress: settings.ListenPeers, Zone: settings.Zone,
		ControlAddress: settings.ListenControl, Cores: settings.Cores, AdminAddress: settings.ListenAdmin,
	}
	control := roles.DefaultControllerSettings()
	control.Holder = settings.Name
	control.Authority.ResumeDelay = settings.ResumeDelay
	control.UnleasedKeyDelay = settings.LeaseTTL + control.Authority.ExpiryMargin
	g.controller = roles.NewController(control, dependencies.Store, dependencies.Orderer, g.dispatcher, logging.Component(logger, "roles"), g.recordDecision)
	g.engineMonitor = newEngineMonitor(g)
	g.notices = newNoticeTracker(g)
	g.workerLimits = newWorkerLimitTracker(g)
	g.metrics.notices, g.metrics.workerLimits = g.notices, g.workerLimits
	if dependencies.WatchNotices != nil {
		dependencies.WatchNotices(g.notices.handle)
	}
	links := newLinkTracker(g)
	if dependencies.WatchConnections != nil {
		dependencies.WatchConnections(links.connectionFailed)
	}
	if dependencies.WatchDiscards != nil {
		dependencies.WatchDiscards(g.metrics.countDiscard)
	}
	if dependencies.Relay != nil {
		dependencies.Relay.SetSource(relaySource{g}, links.relayEvent)
		g.relays = relay.NewHandler(dependencies.Relay)
		if settings.ContactTime > 0 {
			g.dispatcher.JudgeFailures(g.judgeFailure)
		}
	}
	g.dispatcher.OnAbsenceReport(g.metrics.countAbsenceReports)
	g.controller.OnOrder(g.metrics.countOrder)
	g.controller.SetReachability(g.reachesEngines)
	registrationSettings := member.DefaultRegistrationSettings()
	registrationSettings.TTL = settings.LeaseTTL
	g.registration = member.NewRegistration(registrationSettings, dependencies.Store, self,
		logging.Component(logger, "member"), func() { g.replica.RestartWatch() }, g.handleLease)
	g.view = cluster.NewView(dependencies.Decoder, g, member.NewList(self), backend.NewRoster(rosterSettings(settings)), g.registration.Key(), logging.Component(logger, "cluster"))
	replication := store.DefaultReplicaSettings()
	replication.Deferrable = member.IsRegistration
	replication.Sharded = func(key string) bool {
		_, isWorker := dependencies.Decoder.WorkerID(key)
		return isWorker
	}
	replication.ShardHash = rendezvous.Hash(settings.Name)
	g.replica = store.NewReplica(dependencies.Store, allKeys, replication, g.view,
		changefeed.NewSeeds(settings.Seeds).Fetch)
	g.feedFollower = changefeed.NewFollower(settings.Name, settings.Zone, g.applyFeedEntries)
	g.feedFollower.SetPropagationBound(settings.ConfigurationAge)
	g.feedFollower.OnOutcome(g.metrics.countFeedRequest)
	g.replica.SetFeed(g.feedFollower)
	g.replica.SetLister(g.lister)
	g.replica.SetPropagationBound(settings.ConfigurationAge)
	g.replica.SetMaxStaleness(maxStaleness(settings, settings.RetryWindow))
	g.tenantUsage = newTenantUsage(g)
	if dependencies.Capacity != nil {
		capacitySettings := capacity.DefaultSettings()
		capacitySettings.Holder = g.settings.Name
		g.capacity = capacity.NewExecutor(capacitySettings, g, dependencies.Capacity, g.controller.Authority, logging.Component(logger, "capacity"), g.recordDecision)
	}
	if dependencies.WatchStoreRestores != nil {
		dependencies.WatchStoreRestores(g.handleEra)
	}
	g.metrics.registerGauges(g)
	g.metrics.registerFleetTasks(g.tenantUsage.reporter, g.capacity)
	return g
}

// Shares of the maximum age of a configuration.
const (
	// freshShare is the share of that age that is used to reject requests.
	freshShare = 0.8
	// confirmShare is the share of it after which the store must confirm again that there are no changes. The rest allows
	// for slow calls and for standby gateways, which learn of it later.
	confirmShare = 0.4
)

// maxConfigurationAge returns how old a configuration may be by this gateway's count to reject a request as not allowed.
func maxConfigurationAge(settings Settings) time.Duration {
	return time.Duration(freshShare * float64(settings.ConfigurationAge))
}

// maxStaleness returns how old the items of the store may become while it answers: young enough to reject requests by their
// configuration and to keep the share of the retry allowance.
func maxStaleness(settings Settings, retryWindow time.Duration) time.Duration {
	return min(retrybudget.MaxListAge(retryWindow), time.Duration(confirmShare*float64(settings.ConfigurationAge)))
}

// allKeys is the prefix of all keys: a single watch covers configuration, workers and gateways.
const allKeys = ""

// Start opens the listeners and starts the background tasks.
func (g *Gateway) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	limits := g.settings.connectionLimits()
	services := []struct {
		address     string
		handler     http.Handler
		connections int
	}{
		{g.settings.ListenReady, g.dependencies.ReadyHandler(g.Ready), limits.ready},
		{g.settings.ListenDirectory, g.dependencies.DirectoryHandler(g.resolve), limits.directory},
		{g.settings.ListenAdmin, g.adminHandler(), limits.admin},
		{g.settings.ListenControl, g.controlHandler(), limits.control},
	}
	if err := g.listen(g.settings.ListenCallers, g.serveCallers); err != nil {
		g.close()
		return err
	}
	for _, service := range services {
		if service.address == "" {
			continue
		}
		server := callers.NewInternalServer(service.handler, g.metrics, logging.Component(g.logger, "gateway"))
		server.SetIntake(g.intake.NewListener(service.connections))
		if err := g.listen(service.address, server.Serve); err != nil {
			g.close()
			return err
		}
		g.internalServers = append(g.internalServers, server)
	}
	if err := g.startLoadExchange(ctx); err != nil {
		g.close()
		return err
	}
	g.tasks.Go(func() { g.replica.Run(ctx) })
	g.tasks.Go(func() { g.registration.Run(ctx) })
	g.tasks.Go(func() { g.controller.Run(ctx) })
	g.tasks.Go(func() { g.watchEntries(ctx) })
	g.tasks.Go(func() { g.sizeEntries(ctx) })
	g.tasks.Go(func() { g.learnCachedSegments(ctx) })
	g.tasks.Go(func() { g.barSyncer.run(ctx) })
	g.tasks.Go(func() { g.engineMonitor.run(ctx) })
	g.tasks.Go(func() { g.runDocumentRestore(ctx) })
	servers := append([]*callers.Server{g.callers}, g.internalServers...)
	g.tasks.Go(func() { callers.WatchUnread(ctx, servers...) })
	if g.capacity != nil {
		g.tasks.Go(func() { g.capacity.Run(ctx) })
	}
	if g.tenantUsage.reporter != nil {
		g.tasks.Go(func() { g.tenantUsage.reporter.Run(ctx) })
	}
	logging.Component(g.logger, "gateway").WithField("name", g.settings.Name).Info("Started.")
	return nil
}

// controlHandler serves the change feed of the store and the cached prompt segments of engines to other gateways.
func (g *Gateway) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", changefeed.Handler(g.replica, g.feedEntries))
	if g.relays != nil {
		mux.Handle("POST "+relay.Path, g.relays)
	}
	mux.Handle("GET "+versionsync.Path, versionsync.Handler(g.streams.lookUp))
	mux.Handle("GET "+cachesync.Path, cachesync.Handler(g.dispatcher.CachedSegments, g.entryTime))
	return mux
}

// uptime returns the time since the start of this gateway.
func (g *Gateway) uptime() time.Duration { return time.Since(g.startedAt) }

// startLoadExchange starts the exchange of updates with the other gateways.
func (g *Gateway) startLoadExchange(ctx context.Context) error {
	settings := peersync.DefaultSettings()
	settings.Name, settings.Listen = g.settings.Name, g.settings.ListenPeers
	exchange, err := peersync.NewExchange(settings, g, logging.Component(g.logger, "loadshare"))
	if err != nil {
		return err
	}
	g.loadExchange = exchange
	g.dispatcher.NotifyUpdates(exchange.Changed)
	g.barSyncer.guard.NotifyUpdates(exchange.Changed)
	g.notices.setNotify(exchange.Changed)
	g.workerLimits.setNotify(exchange.Changed)
	g.tasks.Go(func() { exchange.Send(ctx) })
	g.tasks.Go(exchange.Receive)
	return nil
}

// TakeUpdate implements peersync.Source.
func (g *Gateway) TakeUpdate(full bool) peersync.Message {
	message := g.dispatcher.TakeUpdate(full)
	if full {
		message.Utilization = g.utilization.peak()
	}
	message.Poison = g.barSyncer.guard.TakeUpdate(full)
	g.tenantUsage.addTo(&message, full, !g.isEntry())
	return message
}

// ApplyUpdate implements peersync.Source.
func (g *Gateway) ApplyUpdate(message *peersync.Message) {
	if message.Standby {
		g.view.BecameStandby(message.Sender)
	} else {
		g.view.HeartbeatReceived(message.Sender)
	}
	g.tenantUsage.merge(message)
	g.barSyncer.guard.ApplyUpdate(message.Poison)
	g.dispatcher.ApplyUpdate(message)
}

// listen opens a listener and serves it in the background. The error of serve only reports that the listener was closed.
func (g *Gateway) listen(address string, serve func(netdial.Listener) error) error {
	listener, err := netdial.ListenBuffered(address, g.settings.receiveBuffer())
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	g.tasks.Go(func() { _ = serve(listener) })
	return nil
}

// serveCallers serves callers and monitors the accept loop: the gateway is not ready while the loop is stalled.
func (g *Gateway) serveCallers(listener netdial.Listener) error {
	return g.callers.Serve(g.accepting.Watch(listener))
}

// Ready reports whether the gateway accepts connections and requests.
func (g *Gateway) Ready() bool {
	return g.handler.Table() != nil && !g.leaving.Load() && g.accepting.Accepting(time.Now())
}

// resolve returns the addresses that callers connect to and how long to cache them. They are the same for all zones.
func (g *Gateway) resolve(string) ([]string, time.Duration) {
	addressTTL := g.awaitEntries()
	var addresses []string
	for _, gateway := range g.advertised() {
		addresses = append(addresses, gateway.Address)
	}
	return addresses, addressTTL
}

// stopPollInterval is how often to check whether all requests have finished.
const stopPollInterval = 50 * time.Millisecond

// Stop shuts the gateway down gracefully. It notifies the other gateways and the callers, finishes running requests, and
// after the time for cached addresses rejects new requests as not executed.
func (g *Gateway) Stop() {
	schedule := g.stopSchedule(time.Now())
	log := logging.Component(g.logger, "gateway")
	log.WithField("late_ms", time.Since(schedule.Begun).Milliseconds()).Info("Stopping.")
	g.leaving.Store(true)
	g.handler.Drain(schedule)
	g.view.Leave()
	g.registration.Leave()
	g.controller.Resign()
	g.streams.handOver()
	time.Sleep(time.Until(schedule.AcceptUntil))
	for g.handler.Active() > 0 && time.Now().Before(schedule.FinishBy.Add(-callers.NewConnGrace)) {
		time.Sleep(stopPollInterval)
	}
	callers.Shutdown(schedule.FinishBy, append(g.internalServers, g.callers)...)
	// Streams have begun since, and their callers may lose their connections now.
	g.streams.handOver()
	log.WithFields(logrus.Fields{"unfinished": g.handler.Active(), "relayed": g.relayedConnections()}).Info("Stopped.")
	g.close()
}

// noticeDivisor is the reciprocal of the share of the grace period by which the signal to stop may have come earlier than it was noticed. A longer
// standstill may have begun long before the signal.
const noticeDivisor = 4

// stopSchedule returns the schedule of a stop that is noticed now. The signal may have come at any time of a standstill that has just ended.
func (g *Gateway) stopSchedule(now time.Time) drain.Schedule {
	grace := time.Duration(g.gracePeriod.Load())
	begun := now.Add(-min(now.Sub(g.heartbeat.RunningUntil(now)), grace/noticeDivisor))
	return drain.NewSchedule(begun, grace)
}

// close terminates everything immediately.
func (g *Gateway) close() {
	g.cancel()
	if g.loadExchange != nil {
		g.loadExchange.Close()
	}
	g.callers.Close()
	for _, server := range g.internalServers {
		server.Close()
	}
	g.tasks.Wait()
}

// IsServing reports whether the gateway is ready and knows workers that can run requests.
func (g *Gateway) IsServing() bool {
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	return g.Ready() && len(g.workers) > 0
}

// knownWorkers returns the number of known workers. An entry knows all workers, a standby gateway those of its shard.
func (g *Gateway) knownWorkers() int {
	g.workersMu.Lock()
	defer g.workersMu.Unlock()
	return len(g.workers)
}

// Decisions returns the decision log of the gateway.
func (g *Gateway) Decisions() *decisionlog.Log { return g.decisions }

// Close terminates the gateway immediately.
func (g *Gateway) Close() { g.close() }
