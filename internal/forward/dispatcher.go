package forward

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/admission"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/migration"
	"github.com/granitebay/granitebay/internal/prefixcache"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/routing"
	"github.com/granitebay/granitebay/internal/warmup"
)

// DispatchSettings configure the placement of requests.
type DispatchSettings struct {
	// Zone is the zone of this gateway. Workers in the same zone are preferred.
	Zone string
	// DisaggregationSeconds is the fixed cost of prefilling a prompt on a separate engine, mainly that of the additional call.
	DisaggregationSeconds float64
	// LongPrefill is the prefill time above which prefilling on a decode engine is penalized, because it stalls the engine's other answers.
	// LongPrefillSeconds is the penalty.
	LongPrefill        time.Duration
	LongPrefillSeconds float64
	// UrgentNotifyTokens is the prompt length from which other gateways are notified of a prefill immediately.
	UrgentNotifyTokens int
	// MinSharedTokens is the length from which shared prompt prefixes are tracked per engine.
	MinSharedTokens int
	// RecomputeWeight is the weight of the time to prefill a shared prefix again that another engine has cached, and FetchWeight the weight
	// of the time to fetch it from there.
	RecomputeWeight float64
	FetchWeight     float64
	// TransferSeconds is the cost of transferring a prefilled prompt to a decode engine that has not cached its shared prefix.
	TransferSeconds float64
	// CopyBytes bounds the size of the copies of runs that engines keep for this gateway; zero asks for none.
	CopyBytes int64
	Balance   balance.Settings
	Budget    retrybudget.Settings
}

// DefaultDispatchSettings returns the default settings, except for the zone and the budget.
func DefaultDispatchSettings() DispatchSettings {
	return DispatchSettings{
		DisaggregationSeconds: 0.012,
		LongPrefill:           60 * time.Millisecond,
		LongPrefillSeconds:    0.5,
		UrgentNotifyTokens:    1500,
		MinSharedTokens:       500,
		RecomputeWeight:       8,
		FetchWeight:           40,
		TransferSeconds:       0.03,
		Balance:               balance.DefaultSettings(),
	}
}

// Dispatcher assigns requests to workers and tracks their load. It is safe for concurrent use.
type Dispatcher struct {
	settings DispatchSettings
	now      func() time.Time

	mutex       sync.Mutex
	model       *enginemodel.Model
	lengths     *enginemodel.Lengths
	balancer    *balance.Balancer
	prefixCache *prefixcache.Table
	peers       *peerExchange
	retries     *retryBudgets
	admission   *admission.Controller
	engineState *engineState
	// engineGroups holds the engine settings of each group.
	engineGroups map[string]*routing.Engine
	demand       map[string]*demandCounter
	// onPlacement is called after each placement; may be nil.
	onPlacement func(took time.Duration, candidates int)
	// judgeFailure finds out whether a worker or the path to it is at fault; nil takes the worker for it.
	judgeFailure func(worker *backend.Worker, judged func(Fault))
	// onInterval is called after each event of an engine's response but the first; may be nil.
	onInterval func(group string, interval time.Duration)
	// saturationCache caches, by group, when its workers accept requests again. lastReservedSlot is the last Retry-After time that was
	// announced to a caller of a rate-limited group.
	saturationCache  map[string]cachedSaturation
	lastReservedSlot map[string]time.Time
	// migration decides on runs under way.
	migration *migration.Policy
	// limits is this gateway's share of the workers' rate limits; nil if this gateway uses the limits alone.
	limits *quotaShares
	// records are the workers as recorded in the store, without the roles that engines reported themselves.
	records backend.Set
	// warmup holds what engines reported about their load after a start of all gateways.
	warmup *warmup.Table
}

// NewDispatcher returns a dispatcher without workers. Its retry budgets and its shares of rate limits use the clock since boot.
func NewDispatcher(settings DispatchSettings, now func() time.Time) *Dispatcher {
	return newDispatcher(settings, now, boottime.Now)
}

// newDispatcher is NewDispatcher with both clocks. The retry budgets and the shares of rate limits use the clock since boot, everything
// else uses now.
func newDispatcher(settings DispatchSettings, now, sinceBoot func() time.Time) *Dispatcher {
	peers := newPeerExchange()
	model := enginemodel.New()
	d := &Dispatcher{
		settings:         settings,
		now:              now,
		model:            model,
		lengths:          enginemodel.NewLengths(),
		prefixCache:      prefixcache.New(),
		peers:            peers,
		retries:          newRetryBudgets(settings.Budget, sinceBoot),
		admission:        admission.NewController(admission.DefaultSettings()),
		engineState:      newEngineState(),
		engineGroups:     map[string]*routing.Engine{},
		demand:           map[string]*demandCounter{},
		migration:        migration.NewPolicy(migration.DefaultSettings(settings.CopyBytes)),
		saturationCache:  map[string]cachedSaturation{},
		lastReservedSlot: map[string]time.Time{},
		records:          backend.Set{},
		warmup:           warmup.New(warmup.DefaultSettings()),
	}
	d.balancer = balance.New(settings.Balance, model, func(id string) backend.Load { return peers.peerLoad(id).Plus(d.warmupLoad(id)) })
	return d
}

// SetGroups replaces the groups.
func (d *Dispatcher) SetGroups(groups []routing.Group) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.engineGroups)
	for i := range groups {
		if groups[i].Engine != nil {
			d.engineGroups[groups[i].Name] = groups[i].Engine
		}
	}
}

// SetWorkers replaces the workers.
func (d *Dispatcher) SetWorkers(workers backend.Set) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.changeWorkers(workers.Diff(d.records))
}

// ChangeWorkers applies added, updated and removed workers. Its cost depends on the number of changes, not of workers.
func (d *Dispatcher) ChangeWorkers(changes backend.Changes) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.changeWorkers(changes)
}

// changeWorkers is ChangeWorkers with the mutex held.
func (d *Dispatcher) changeWorkers(changes backend.Changes) {
	now := d.now()
	changes.Apply(d.records)
	changes.Updated = d.engineState.applyReportedRoles(now, changes.Updated, changes.Removed)
	d.engineState.expirePendingRoles(now, d.balancer)
	d.engineState.recordDecoders(changes.Updated)
	d.recordEngines(now, changes)
	d.engineState.reregistered = append(d.engineState.reregistered, d.engineState.engineHealth.ApplyChanges(now, changes)...)
	d.balancer.Change(changes)
	// The change may have brought an engine back.
	d.engineState.signalRecovered()
	if len(d.engineState.pendingRoles) > 0 || len(d.engineState.engineHealth.Engines()) > 0 {
		d.engineState.notifyChange()
	}
	d.balancer.MatchReplacements(now)
	for _, id := range changes.Removed {
		d.prefixCache.ForgetWorker(id)
		d.model.ForgetWorker(id)
		d.warmup.Forget(id)
	}
}

// RecordCrash records that a worker crashed while running a request. sinceEnd is the time since the crash.
func (d *Dispatcher) RecordCrash(worker string, sinceEnd time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	d.balancer.RecordCrash(now, now.Add(-sinceEnd), worker)
	d.migration.Risk().Ended(now, worker)
}

// suspectTurn describes when a suspect request may run.
type suspectTurn struct {
	// Wait is the expected time until then.
	Wait time.Duration
	// IsShort is set if the request waits only for other suspect requests, not for a crashed worker to be replaced.
	IsShort bool
	// Exhausted is set if the request was tried at all workers at which it may run.
	Exhausted bool
}

// suspectTurn returns when a suspect request may run under the options of its placement.
func (d *Dispatcher) suspectTurn(group *routing.Group, options PlaceOptions) suspectTurn {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	query := balance.Query{
		Group: group.Name, Role: runnerRole(group), SuspectKey: options.SuspectKey, Excluded: options.Excluded, Eligible: options.Versions.eligible(),
	}
	now := d.now()
	wait := d.balancer.SuspectWait(now, query)
	return suspectTurn{Wait: wait, IsShort: wait <= d.settings.Balance.Risk.Round(), Exhausted: d.balancer.SuspectExhausted(now, query)}
}

// assign adds the load of a request to a worker. The mutex is held.
func (d *Dispatcher) assign(choice balance.Choice, tokens int, deferred bool, objective time.Duration) *Assignment {
	worker := choice.Worker
	queued := d.balancer.TotalLoad(worker.ID)
	load := balance.LoadOf(tokens, deferred)
	d.balancer.Begin(worker.ID, load)
	d.balancer.Spend(d.now(), worker.ID)
	d.peers.loadChanged(worker.ID, tokens >= d.settings.UrgentNotifyTokens)
	return &Assignment{
		Worker: worker, Score: choice.Score, Candidates: choice.Candidates, dispatcher: d, load: load, deferred: deferred,
		queuedTokens: queued.PrefillTokens, startedAt: d.now(), objective: objective,
	}
}

// Assignment is the load that a request puts on a worker. Its methods must not be called concurrently.
type Assignment struct {
	Worker *backend.Worker
	// Score is the estimated cost of the request at the worker. Candidates is the number of workers considered.
	Score      balance.Score
	Candidates int

	dispatcher *Dispatcher
	// load is the load of this request at the worker. queuedTokens is the number of tokens queued for prefill there before this request.
	load         backend.Load
	queuedTokens int
	// deferred is set if the work yields to all work that is not deferred.
	deferred bool
	// objective is the time within which the answer is wanted; zero if there is none.
	objective time.Duration
	// suspectKey spreads suspect requests over workers; empty for other requests.
	suspectKey string
	// versions restricts the engines that decode a prompt which this engine prefills.
	versions versionFilter
	// urgency orders the queue of the decode engine. queued is what the request is counted for at the queue of the worker; zero if it is not.
	urgency   int
	queued    admission.Work
	startedAt time.Time
	finished  bool
	// wanted is the response that the request wants of the decode engine, or nil. stream observes the response; it is set only at decode engines.
	wanted *wantedResponse
	stream *enginemodel.Stream
}

// responseStarted records that the worker has started to respond, so its prompt, if any, is prefilled.
func (a *Assignment) responseStarted() {
	d := a.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a.leaveQueue(true)
	a.observePrefill()
	d.balancer.ResponseStarted(d.now(), a.Worker.ID)
	d.balancer.PrefillDone(a.Worker.ID, a.load)
	d.peers.loadChanged(a.Worker.ID, false)
	a.load = backend.Load{}
}

// observePrefill updates the model with the prefill time of the worker, unless the worker was removed meanwhile and the model has forgotten it.
// The mutex is held.
func (a *Assignment) observePrefill() {
	if _, found := a.dispatcher.balancer.Worker(a.Worker.ID); a.deferred || !found {
		return
	}
	now := a.dispatcher.now()
	a.dispatcher.model.ObservePrefill(now, enginemodel.ClassOf(a.Worker), a.Worker.ID, enginemodel.PrefillSample{
		QueuedTokens: a.queuedTokens, Tokens: a.load.PrefillTokens, Duration: now.Sub(a.startedAt),
	})
}

// The response timeout of an engine is a base plus a multiple of the expected queueing and prefill time. The base is limited to a share of
// the objective, so that another engine can still answer in time. On a quiet day 50 of 16,000 short prompts take longer although their engine
// is well.
const (
	responseTimeoutBase           = 400 * time.Millisecond
	responseTimeoutObjectiveShare = 0.4
	responseTimeoutCostFactor     = 4
	nanosecondsPerSecond          = float64(time.Second)
)

// responseTimeout returns how long the worker may take to start responding before it is considered failed.
func (a *Assignment) responseTimeout() time.Duration {
	base := responseTimeoutBase
	if a.objective > 0 {
		base = min(base, time.Duration(responseTimeoutObjectiveShare*float64(a.objective)))
	}
	return base + time.Duration(responseTimeoutCostFactor*a.Score.TimeToFirstToken*nanosecondsPerSecond)
}

// mayBeBusy reports whether a silent worker may only be busy, because the request was deferred or ended before its response timeout. No
// queueing time is expected of plain workers, so they are never considered busy.
func (a *Assignment) mayBeBusy(now time.Time) bool {
	return a.Worker.Role != backend.RoleNone && (a.deferred || now.Sub(a.startedAt) < a.responseTimeout())
}

// finish records the end of the work. Only the first call has an effect.
func (a *Assignment) finish(outcome balance.Outcome) {
	if a == nil {
		return
	}
	a.dispatcher.mutex.Lock()
	defer a.dispatcher.mutex.Unlock()
	a.finishLocked(outcome)
}

// finishUnless finishes an assignment that has not ended, because of a panic: the request must not stay counted at the worker.
func (a *Assignment) finishUnless(isEnded *bool) {
	if !*isEnded {
		a.finish(balance.OutcomeNone)
	}
}

// finishLocked is finish with the mutex held.
func (a *Assignment) finishLocked(outcome balance.Outcome) {
	if a == nil || a.finished {
		return
	}
	a.finished = true
	a.leaveQueue(false)
	d, now := a.dispatcher, a.dispatcher.now()
	if outcome == balance.OutcomeTimeout && a.mayBeBusy(now) {
		outcome = balance.OutcomeNone
	}
	if outcome == balance.OutcomeError && a.Worker.Role != backend.RoleNone {
		// An error response of an engine means that the engine failed. An error of a plain worker may be caused by the request.
		outcome = balance.OutcomeMalformed
	}
	if outcome == balance.OutcomeGood {
		d.model.ObserveRequest(now, enginemodel.ClassOf(a.Worker), now.Sub(a.startedAt))
		a.observeLength(now)
	}
	d.balancer.PrefillDone(a.Worker.ID, a.load)
	if d.balancer.End(now, a.Worker.ID, outcome) {
		d.workerEjected(a.Worker, outcome)
	}
	a.dispatcher.peers.loadChanged(a.Worker.ID, false)
}
