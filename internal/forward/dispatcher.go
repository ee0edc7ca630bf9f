package forward

import (
	"sync"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/boottime"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/residency"
	"github.com/granitebay/granitebay/internal/retrybudget"
	"github.com/granitebay/granitebay/internal/routing"
)

// DispatchSettings say how requests are placed.
type DispatchSettings struct {
	// Zone of this gateway; near workers are preferred.
	Zone string
	// ApartSeconds is the cost of having a prompt read by an engine of its own: one more call and the move.
	DisaggregationSeconds float64
	// LongReading is the time from which reading makes pauses in other answers that are too long, at the cost of
	// LongReadingSeconds.
	LongPrefill        time.Duration
	LongPrefillSeconds float64
	// UrgentTokens is the length from which other gateways are told of a reading at once.
	UrgentNotifyTokens int
	// LeastSharedTokens is the length from which shared parts of prompts are followed over the engines.
	MinSharedTokens int
	// RereadWeight scales the time of reading a shared part that another engine keeps, and FetchWeight that of fetching it.
	RecomputeWeight float64
	FetchWeight     float64
	// MoveSeconds is the cost of moving a prompt to an engine that does not keep its shared part.
	TransferSeconds float64
	Balance         balance.Settings
	Budget          retrybudget.Settings
}

// DefaultDispatchSettings returns the settings in which only the zone and the budget are missing.
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

// Dispatcher places requests on workers and keeps count of them. It is safe for concurrent use.
type Dispatcher struct {
	settings DispatchSettings
	now      func() time.Time

	mutex       sync.Mutex
	model       *enginemodel.Model
	balancer    *balance.Balancer
	residency   *residency.Table
	peers       *peerExchange
	retries     *retryBudgets
	engineState *engineState
	// engines holds the engines of each group.
	engineGroups map[string]*routing.Engine
	demand       map[string]*demandCounter
	// chosen is told of each choice; nil is nobody.
	onPlacement func(took time.Duration, candidates int)
	// full is that workers of groups take no requests, as it was found last, by group, and booked when the last place is expected that
	// callers of groups were told.
	saturation    map[string]cachedSaturation
	reservedUntil map[string]time.Time
	// limits is what this gateway holds of what workers with limits take; nil where that is the whole.
	limits *limitHoldings
	// recorded are the workers as they were told, without what is known of them beyond that.
	records backend.Set
}

// NewDispatcher returns a dispatcher that knows no workers yet. Its budgets of repeats go by boottime.
func NewDispatcher(settings DispatchSettings, now func() time.Time) *Dispatcher {
	return newDispatcher(settings, now, boottime.Now)
}

// newDispatcher is NewDispatcher with both clocks: that of the work of this process, and that of what others may do without it.
func newDispatcher(settings DispatchSettings, now, sinceBoot func() time.Time) *Dispatcher {
	peers := newPeerExchange()
	model := enginemodel.New()
	return &Dispatcher{
		settings:      settings,
		now:           now,
		model:         model,
		balancer:      balance.New(settings.Balance, model, peers.peerLoad),
		residency:     residency.New(),
		peers:         peers,
		retries:       newRetryBudgets(settings.Budget, sinceBoot),
		engineState:   newEngineState(),
		engineGroups:  map[string]*routing.Engine{},
		demand:        map[string]*demandCounter{},
		saturation:    map[string]cachedSaturation{},
		reservedUntil: map[string]time.Time{},
		records:       backend.Set{},
	}
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
	d.changeWorkers(workers.Since(d.records))
}

// ChangeWorkers takes workers that are new, described anew or gone. Its work does not grow with the number of the others.
func (d *Dispatcher) ChangeWorkers(changes backend.Changes) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.changeWorkers(changes)
}

// changeWorkers is ChangeWorkers with the mutex held.
func (d *Dispatcher) changeWorkers(changes backend.Changes) {
	now := d.now()
	changes.Apply(d.records)
	changes.Put = d.engineState.applyReportedRoles(now, changes.Put, changes.Gone)
	d.engineState.expirePendingRoles(now, d.balancer)
	d.engineState.recordDecoders(changes.Put)
	d.engineState.returns = append(d.engineState.returns, d.engineState.absences.Change(now, changes)...)
	d.balancer.Change(changes)
	d.engineState.signalRecovered()
	if len(d.engineState.pendingRoles) > 0 || len(d.engineState.absences.Engines()) > 0 {
		d.engineState.notifyChange()
	}
	d.balancer.Returned(now)
	for _, id := range changes.Gone {
		d.residency.ForgetWorker(id)
		d.model.ForgetWorker(id)
	}
}

// WorkerEnded notes that a worker ended under a request, so long ago.
func (d *Dispatcher) WorkerEnded(worker string, sinceEnd time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.now()
	d.balancer.Ended(now, now.Add(-sinceEnd), worker)
}

// SuspectTurn is when a suspect may run.
type SuspectTurn struct {
	// In is after how long it is expected to.
	Wait time.Duration
	// IsSoon is set when that is worth waiting for: its turn is to come. Otherwise a worker has to come back first.
	WorthWaiting bool
	// Tried is set when it was tried at all workers at which it may run.
	Exhausted bool
}

// TurnOf returns when a suspect may run that was tried at some workers.
func (d *Dispatcher) SuspectTurnOf(group *routing.Group, suspectKey string, excluded []string) SuspectTurn {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	query := balance.Query{Group: group.Name, Role: backend.RoleDecode, Apart: suspectKey, Excluded: excluded}
	if group.Engine == nil {
		query.Role = backend.RoleNone
	}
	now := d.now()
	in := d.balancer.RunsIn(now, query)
	return SuspectTurn{Wait: in, WorthWaiting: in <= d.settings.Balance.Risk.Round(), Exhausted: d.balancer.Tried(now, query)}
}

// assign counts work at a worker. The mutex is held.
func (d *Dispatcher) assign(choice balance.Choice, tokens int, deferred bool, objective time.Duration) *Assignment {
	worker := choice.Worker
	queued := d.balancer.TotalLoad(worker.ID)
	load := balance.LoadOf(tokens, deferred)
	d.balancer.Begin(worker.ID, load)
	d.balancer.Spend(d.now(), worker.ID)
	d.peers.loadChanged(worker.ID, tokens >= d.settings.UrgentNotifyTokens)
	return &Assignment{
		Worker: worker, Score: choice.Score, Candidates: choice.Candidates, dispatcher: d, load: load, deferred: deferred,
		queuedTokens: queued.ReadingTokens, startedAt: d.now(), objective: objective,
	}
}

// Assignment is work that was given to a worker. It is used by one goroutine.
type Assignment struct {
	Worker *backend.Worker
	// Score is the expected cost for which the worker was picked among Candidates.
	Score      balance.Score
	Candidates int
	dispatcher *Dispatcher
	// load that the work is at the worker, and the tokens of others that it was to read before.
	load         backend.Load
	queuedTokens int
	// deferred work waits until the worker has nothing else to read.
	deferred bool
	// objective within which the answer is wanted; zero when there is none.
	objective time.Duration
	// apart is the key by which a suspect is spread; empty for other requests.
	suspectKey string
	startedAt  time.Time
	finished   bool
}

// answered notes that the worker has read the prompt.
func (a *Assignment) prefilled() {
	d := a.dispatcher
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a.observePrefill()
	d.balancer.Answered(a.Worker.ID, a.load)
	d.peers.loadChanged(a.Worker.ID, false)
	a.load = backend.Load{}
}

// observeReading tells the model how long the worker took to read the prompt. The mutex is held.
func (a *Assignment) observePrefill() {
	if a.deferred {
		return
	}
	now := a.dispatcher.now()
	a.dispatcher.model.ObserveReading(now, enginemodel.ClassOf(a.Worker), a.Worker.ID, enginemodel.Reading{
		Ahead: a.queuedTokens, Tokens: a.load.ReadingTokens, Took: now.Sub(a.startedAt),
	})
}

// Patience with an engine that gives no sign: a base, and so many times what its queue and the reading were expected to take. The base
// is a part of the objective, so that another engine can still answer within it: on a quiet day 50 of 16,000 short prompts take longer
// although their engine is well.
const (
	responseTimeoutBase           = 400 * time.Millisecond
	responseTimeoutObjectiveShare = 0.4
	responseTimeoutCostFactor     = 4
	nanosecondsPerSecond          = float64(time.Second)
)

// patience is how long the worker may give no sign before it is taken to have failed.
func (a *Assignment) responseTimeout() time.Duration {
	base := responseTimeoutBase
	if a.objective > 0 {
		base = min(base, time.Duration(responseTimeoutObjectiveShare*float64(a.objective)))
	}
	return base + time.Duration(responseTimeoutCostFactor*a.Score.Answer*nanosecondsPerSecond)
}

// mayBeBusy tells whether a silent worker need not have failed: the time of the request was over before the worker was late. Of
// plain workers no queue is expected.
func (a *Assignment) mayBeBusy(now time.Time) bool {
	return a.Worker.Role != backend.RoleNone && (a.deferred || now.Sub(a.startedAt) < a.responseTimeout())
}

// finish notes the end of the work, once.
func (a *Assignment) finish(outcome balance.Outcome) {
	if a == nil {
		return
	}
	a.dispatcher.mutex.Lock()
	defer a.dispatcher.mutex.Unlock()
	a.finishLocked(outcome)
}

// finishLocked is finish with the mutex held.
func (a *Assignment) finishLocked(outcome balance.Outcome) {
	if a == nil || a.finished {
		return
	}
	a.finished = true
	d, now := a.dispatcher, a.dispatcher.now()
	if outcome == balance.OutcomeSilent && a.mayBeBusy(now) {
		outcome = balance.OutcomeNone
	}
	if outcome == balance.OutcomeError && a.Worker.Role != backend.RoleNone {
		// An engine that answers an error has failed itself; with plain workers it is as often the fault of the request.
		outcome = balance.OutcomeBroken
	}
	if outcome == balance.OutcomeGood {
		d.model.ObserveRun(now, enginemodel.ClassOf(a.Worker), now.Sub(a.startedAt))
	}
	d.balancer.Answered(a.Worker.ID, a.load)
	if d.balancer.End(now, a.Worker.ID, outcome) {
		a.dispatcher.peers.workerEjected(a.Worker, outcome)
	}
	a.dispatcher.peers.loadChanged(a.Worker.ID, false)
}
