// Package balance chooses the worker for a request in three stages, like the Kubernetes scheduler: filters remove the
// workers that can't accept it, scores estimate the cost of each remaining worker, and the cheapest one is picked.
//
// Scores are in seconds of expected delay, so the value of a prefix cache hit is the prefill time that it saves. A
// Balancer is a pure state machine: it has no clock, no goroutine and no randomness, and it is not safe for
// concurrent use. Ties are broken by rendezvous hashing, or by a consistent hash ring in large roles, so gateways with
// the same workers pick the same one for a prompt without communication if the costs are equal.
package balance

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// Query describes a request that needs a worker.
type Query struct {
	// Request is the request ID. It breaks ties between workers if Key is empty.
	Request string
	Group   string
	Role    backend.Role
	// Key is the affinity key: prompts with the same key share a cacheable prefix. It breaks ties between workers;
	// if it is empty, Request does.
	Key string
	// PrefillCost estimates the prefill cost of the prompt at a worker. Nil means no cost.
	PrefillCost func(worker *backend.Worker) PrefillCost
	// Response describes the response that the request wants from a decode engine; zero if unknown.
	Response enginemodel.Response
	// Deferred prompts are prefilled after all others.
	Deferred bool
	// YieldingShare is the share of the work waiting at the engines that yields to this request, from 0 to 1: of the prompts at prefill
	// engines, of the requests waiting for slots at decode engines. UrgentLoad is the share of what the engines do that more urgent requests
	// take, which arrive later; it is below 1.
	YieldingShare, UrgentLoad float64
	// BehindWaiting is set if the request waits for a slot behind the low-priority ones that wait already.
	BehindWaiting bool
	// Zone is the preferred zone.
	Zone string
	// Holders lists the IDs of workers that have some segments of the prompt cached. They are candidates even if the role is
	// sampled.
	Holders []string
	// Concentrate routes requests without shared segments to a few workers of the zone, to limit the number of
	// connections.
	Concentrate bool
	// Excluded lists workers that must not be tried again.
	Excluded []string
	// Eligible reports whether a worker may serve the request at all; nil means that all may.
	Eligible func(worker *backend.Worker) bool
	// SuspectKey is set for a suspect, a request that may crash its worker. Among the workers that may serve suspects and
	// whose cost is close to the cheapest, the key selects one, so that suspects that shared a worker are placed on
	// different ones next. RiskSettings limits how many workers may serve suspects.
	SuspectKey string
	// Prefilled is set for a suspect that has been prefilled in its turn and now needs a worker for decoding.
	Prefilled bool
}

// allows reports whether the query may be served by a worker.
func (q *Query) allows(worker *backend.Worker) bool {
	return (q.Eligible == nil || q.Eligible(worker)) && !slices.Contains(q.Excluded, worker.ID)
}

// PrefillCost is the prefill cost of a prompt at a worker.
type PrefillCost struct {
	// Tokens is the number of tokens that the worker must prefill.
	Tokens int
	// TransferSeconds is the time to transfer cached tokens from another worker or, if they can't be transferred, the
	// cost of recomputing them.
	TransferSeconds float64
}

// Score is the estimated cost of a worker, in seconds.
type Score struct {
	// Queue is the time until the work already at the worker is done.
	Queue float64
	// Prefill is the time to prefill the tokens that the worker has not cached, and Interference is the delay that this
	// adds to the responses that the worker is decoding.
	Prefill      float64
	Interference float64
	// Transfer is the cost of transferring or recomputing tokens that other workers have cached.
	Transfer float64
	// PauseRisk is the cost of the risk that a pause of the response, or of one that the worker is decoding, exceeds its objective. LateEnd is
	// the cost of the risk that the response ends after the deadline.
	PauseRisk, LateEnd float64
	// LateStart is the cost of the risk that the response starts late because it waits for a slot.
	LateStart float64
	// ZoneCost is the cost of crossing zones.
	ZoneCost float64
	// TimeToFirstToken is the expected time to the first token, and QueueWait is the part of it that is spent queueing.
	// They are not part of the total.
	TimeToFirstToken, QueueWait float64
	// Forecast is the expected course of the response at a decode engine. It is not part of the total.
	Forecast enginemodel.Forecast
	// SlotWait is the part of QueueWait until a slot of a decode engine is free; zero if one is.
	SlotWait float64
	// EjectedPenalty is the penalty of an ejected worker that is used because too few healthy workers are left.
	EjectedPenalty float64
}

// Total returns the total cost in seconds.
func (s Score) Total() float64 {
	return s.Queue + s.Prefill + s.Interference + s.Transfer + s.PauseRisk + s.LateEnd + s.LateStart +
		s.ZoneCost + s.EjectedPenalty
}

// Choice is a picked worker and its score.
type Choice struct {
	Worker *backend.Worker
	Score  Score
	// Candidates is the number of workers that were scored.
	Candidates int
}

// Settings configures a Balancer.
type Settings struct {
	// SecondsPerRequest is the delay that each running request adds at an engine. For plain workers the estimated
	// service time is used instead.
	SecondsPerRequest float64
	// InterferenceWeight is the share of the prefill time by which each response that the worker is decoding is delayed,
	// between 0 and 1.
	InterferenceWeight float64
	// PauseSeconds is the cost of a response with a pause over its objective, LateEndSeconds that of one that ends after the deadline, and
	// LateStartSeconds that of one that starts late for want of a slot.
	PauseSeconds, LateEndSeconds, LateStartSeconds float64
	// OtherZoneSeconds is the cost of a worker in another zone.
	OtherZoneSeconds float64
	// SuspectSpreadSeconds is the maximum cost above the cheapest worker at which a suspect may be placed. The default is
	// a third of the tightest objective of the users' deployments, 0.25 s.
	SuspectSpreadSeconds float64
	// Risk limits how many workers suspects may crash.
	Risk RiskSettings
	// Shortlist limits how many workers of a large role are considered.
	Shortlist ShortlistSettings
	// Health configures the ejection of failing workers.
	Health HealthSettings
	// BackOff limits the back-off times that workers may ask for.
	BackOff BackOffSettings
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		SecondsPerRequest: 0.002, InterferenceWeight: 1, PauseSeconds: 0.2, LateEndSeconds: 0.3, LateStartSeconds: 0.6, OtherZoneSeconds: 0.010,
		SuspectSpreadSeconds: 0.08, Risk: DefaultRiskSettings(),
		Shortlist: DefaultShortlistSettings(), Health: DefaultHealthSettings(), BackOff: DefaultBackOffSettings(),
	}
}

// RemoteLoad returns the load that other gateways have placed on a worker.
type RemoteLoad func(worker string) backend.Load

// Balancer holds the state of all workers as one gateway knows it.
type Balancer struct {
	settings   Settings
	model      *enginemodel.Model
	remoteLoad RemoteLoad
	workers    map[string]*workerState
	// loaded holds the workers with load from this gateway.
	loaded   map[string]*workerState
	index    workerIndex
	crashes  crashes
	backOffs backOffs
	limits   limits
}

// workerState is the state of one worker as this gateway knows it.
type workerState struct {
	worker *backend.Worker
	// load is the load that this gateway has placed on the worker.
	load   backend.Load
	health health
	// The worker is skipped until unreachableUntil because its address refuses connections.
	unreachableUntil time.Time
	// The worker is skipped until roleChangeUntil because it is changing its role.
	roleChangeUntil time.Time
	// backOff is the time for which the worker has asked for no requests, and respondedAt when it last started to respond to one.
	backOff     backOff
	respondedAt time.Time
	// limit is the request rate limit that the worker has announced, or nil.
	limit *workerLimit
	// ringPosition is the hash of the address.
	ringPosition uint64
}

// New returns a Balancer without workers. The model estimates their speed; the caller updates it.
func New(settings Settings, model *enginemodel.Model, remoteLoad RemoteLoad) *Balancer {
	return &Balancer{
		settings: settings, model: model, remoteLoad: remoteLoad, workers: map[string]*workerState{}, loaded: map[string]*workerState{},
		index: newWorkerIndex(), crashes: crashes{byWorker: map[string]*crash{}}, backOffs: backOffs{},
		limits: limits{byWorker: map[string]*workerLimit{}, shares: soleGateway{}},
	}
}

// SetWorkers replaces the workers and keeps the state of those that remain.
func (b *Balancer) SetWorkers(set backend.Set) {
	previous := make(backend.Set, len(b.workers))
	for id, state := range b.workers {
		previous[id] = state.worker
	}
	b.Change(set.Diff(previous))
}

// Change adds, updates and removes workers. The state of all others is unchanged.
func (b *Balancer) Change(changes backend.Changes) {
	for _, id := range changes.Removed {
		if state, found := b.workers[id]; found {
			b.index.remove(state)
			delete(b.workers, id)
			delete(b.loaded, id)
		}
	}
	for _, worker := range changes.Updated {
		state, found := b.workers[worker.ID]
		if !found {
			state = &workerState{backOff: b.backOffs[worker.ID], limit: b.limits.byWorker[worker.ID]}
			b.workers[worker.ID] = state
			b.crashes.added = append(b.crashes.added, state)
		}
		if found && state.worker.Role != worker.Role {
			// The role change is complete.
			state.roleChangeUntil = time.Time{}
		}
		b.updateDescription(state, worker)
	}
}

// updateDescription replaces the description of a worker and updates the index.
func (b *Balancer) updateDescription(state *workerState, worker *backend.Worker) {
	if state.worker != nil && sameIndexKeys(state.worker, worker) {
		state.worker = worker
		return
	}
	if state.worker != nil {
		b.index.remove(state)
	}
	state.worker = worker
	b.index.add(state)
}

// LoadOf returns the load of one request with the given number of tokens to prefill.
func LoadOf(tokens int, deferred bool) backend.Load {
	load := backend.Load{Running: 1}
	switch {
	case tokens <= 0 && deferred:
		load.Waiting = 1
	case tokens <= 0:
	case deferred:
		load.Prefilling, load.DeferredTokens = 1, tokens
	default:
		load.Prefilling, load.PrefillTokens = 1, tokens
	}
	return load
}

// Begin records that a request was sent to a worker.
func (b *Balancer) Begin(id string, load backend.Load) {
	if state, found := b.workers[id]; found {
		state.load = state.load.Plus(load)
		b.updateLoaded(state)
	}
}

// updateLoaded adds the worker to the loaded workers or removes it.
func (b *Balancer) updateLoaded(state *workerState) {
	if state.load == (backend.Load{}) {
		delete(b.loaded, state.worker.ID)
		return
	}
	b.loaded[state.worker.ID] = state
}

// Loaded returns the sorted IDs of the workers with load from this gateway.
func (b *Balancer) Loaded() []string { return slices.Sorted(maps.Keys(b.loaded)) }

// PrefillDone records that a worker has prefilled the prompt of a request, which is still running there.
func (b *Balancer) PrefillDone(id string, load backend.Load) {
	if state, found := b.workers[id]; found {
		load.Running = 0
		state.load = state.load.Minus(load)
		b.updateLoaded(state)
	}
}

// End records that a request has left a worker, and its outcome. It reports whether the worker is ejected because of
// it.
func (b *Balancer) End(now time.Time, id string, outcome Outcome) bool {
	state, found := b.workers[id]
	if !found {
		return false
	}
	state.load.Running = max(state.load.Running-1, 0)
	b.updateLoaded(state)
	return state.health.record(now, outcome, &b.settings.Health)
}

// RemoteEjection records that another gateway has ejected a worker. It counts as one timeout: two reports, or one
// report and one local timeout or malformed response, eject the worker here too.
func (b *Balancer) RemoteEjection(now time.Time, id string) {
	if state, found := b.workers[id]; found {
		state.health.record(now, OutcomeTimeout, &b.settings.Health)
	}
}

// Readmit ends the ejection of a worker that turned out not to be at fault, and forgets its failures.
func (b *Balancer) Readmit(id string) {
	if state, found := b.workers[id]; found {
		state.health = health{consecutiveRefusals: state.health.consecutiveRefusals}
	}
}

// Load returns the load that this gateway has placed on a worker.
func (b *Balancer) Load(id string) backend.Load {
	state, found := b.workers[id]
	if !found {
		return backend.Load{}
	}
	return state.load
}

// TotalLoad returns the load that all gateways have placed on a worker.
func (b *Balancer) TotalLoad(id string) backend.Load {
	state, found := b.workers[id]
	if !found {
		state = &workerState{worker: &backend.Worker{ID: id}}
	}
	return b.combinedLoad(state)
}

// combinedLoad returns the load that all gateways have placed on a worker.
func (b *Balancer) combinedLoad(state *workerState) backend.Load {
	if b.remoteLoad == nil {
		return state.load
	}
	return state.load.Plus(b.remoteLoad(state.worker.ID))
}

// Usable reports whether a worker is in service, not backing off and not ejected. A spent quota does not make it
// unusable.
func (b *Balancer) Usable(now time.Time, id string) bool {
	state, found := b.workers[id]
	return found && state.usable(now)
}

// usable implements Usable.
func (s *workerState) usable(now time.Time) bool {
	return s.inService(now) && !s.backingOff(now) && !s.health.ejected(now)
}

// acceptsNow reports whether the worker accepts a request from this gateway now, ejected or not.
func (s *workerState) acceptsNow(now time.Time) bool { return s.inService(now) && s.admitsNow(now) }

// admitsNow reports whether the back-off time and the rate limit of the worker allow a request from this gateway now.
func (s *workerState) admitsNow(now time.Time) bool { return !s.backingOff(now) && s.hasQuota(now) }

// inService reports whether the worker is available, regardless of its back-off time and its rate limit.
func (s *workerState) inService(now time.Time) bool {
	return !s.worker.Draining && !s.unreachable(now) && !s.changingRole(now)
}

// InService reports whether a worker is available for a request that it expects, regardless of its back-off time and its rate limit.
func (b *Balancer) InService(now time.Time, id string) bool {
	state, found := b.workers[id]
	return found && state.inService(now)
}

// Skipped reports whether a worker is skipped because it is ejected or unreachable, and whether it is changing its
// role.
func (b *Balancer) Skipped(now time.Time, id string) (ejected, changingRole bool) {
	state, found := b.workers[id]
	if !found {
		return false, false
	}
	return state.health.ejected(now) || state.unreachable(now), state.changingRole(now)
}

// SetUnreachable marks a worker as unreachable until the given time. A time that has passed marks it as reachable and
// clears its health record.
func (b *Balancer) SetUnreachable(now time.Time, id string, until time.Time) {
	state, found := b.workers[id]
	if !found {
		return
	}
	state.unreachableUntil = until
	if !now.Before(until) {
		state.health = health{}
	}
}

// unreachable reports whether the worker is skipped because its address refuses connections.
func (s *workerState) unreachable(now time.Time) bool { return now.Before(s.unreachableUntil) }

// Replace replaces the description of a worker that has changed its role, which ends the role change.
func (b *Balancer) Replace(worker *backend.Worker) {
	if state, found := b.workers[worker.ID]; found {
		state.roleChangeUntil = time.Time{}
		b.updateDescription(state, worker)
	}
}

// OfGroup returns the workers of a group, ordered by ID.
func (b *Balancer) OfGroup(group string) iter.Seq[*backend.Worker] {
	return func(yield func(*backend.Worker) bool) {
		for _, state := range b.index.byGroup[group] {
			if !yield(state.worker) {
				return
			}
		}
	}
}

// SetRoleChange marks a worker as changing its role until the given time.
func (b *Balancer) SetRoleChange(id string, until time.Time) {
	if state, found := b.workers[id]; found {
		state.roleChangeUntil = until
	}
}

// changingRole reports whether the worker is changing its role.
func (s *workerState) changingRole(now time.Time) bool { return now.Before(s.roleChangeUntil) }

// Worker returns the worker with the given ID.
func (b *Balancer) Worker(id string) (*backend.Worker, bool) {
	state, found := b.workers[id]
	if !found {
		return nil, false
	}
	return state.worker, true
}

// IDs returns the sorted IDs of all workers.
func (b *Balancer) IDs() []string {
	return slices.Sorted(maps.Keys(b.workers))
}

// Count returns the number of workers of a group.
func (b *Balancer) Count(group string) int { return len(b.index.byGroup[group]) }

// WorkerStatuses returns the workers of a group, ordered by ID, each with its total load and whether it is usable.
func (b *Balancer) WorkerStatuses(now time.Time, group string) iter.Seq2[*backend.Worker, WorkerStatus] {
	return func(yield func(*backend.Worker, WorkerStatus) bool) {
		for _, state := range b.index.byGroup[group] {
			if !yield(state.worker, WorkerStatus{Load: b.combinedLoad(state), Usable: state.usable(now)}) {
				return
			}
		}
	}
}

// WorkerStatus is the state of a worker at one moment.
type WorkerStatus struct {
	// Load is the load that all gateways have placed on the worker.
	Load backend.Load
	// Usable is set if the worker is in service, not backing off and not ejected.
	Usable bool
}

// Preferred returns the preferred worker of the query, or nil if there is none.
func (b *Balancer) Preferred(now time.Time, query Query) *backend.Worker {
	if preferred := b.shortlistWorkers(now, query).preferred; preferred != nil {
		return preferred.worker
	}
	return nil
}
