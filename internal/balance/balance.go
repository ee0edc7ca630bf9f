// Package balance chooses the worker for a request in three stages, in the manner of the Kubernetes scheduler: filters remove
// workers that can't take it, scores estimate what each remaining one would cost, and the pick takes the cheapest.
//
// All scores have one unit, seconds of expected delay, so that keeping prompts together is worth exactly the reading that it
// saves times a weight. A Balancer is a pure state machine: it has no clock, no goroutine and no randomness, and it is not
// safe for concurrent use. Several gateways that know the same workers choose the same one for a prompt without talking to
// each other, because the order of preference comes from rendezvous hashing.
package balance

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/enginemodel"
)

// Query asks for a worker.
type Query struct {
	// Request is the id of the request; it breaks ties.
	Request string
	Group   string
	Role    backend.Role
	// Key names prompts that are worth keeping together; it breaks ties before the request does. Empty has no preference.
	Key string
	// Reading estimates what the prompt would cost a worker. Nil is nothing.
	Reading func(worker *backend.Worker) Reading
	// Deferred prompts are read after all others.
	Deferred bool
	// Zone of the preferred workers.
	Zone string
	// Near are workers that keep a part of the prompt, by id. They are looked at also where not all workers are.
	Near []string
	// Gather has prompts whose key is not worth a worker of its own kept together by zones, so that few connections serve them.
	Gather bool
	// Excluded workers are not to be tried again.
	Excluded []string
	// Apart is set for a request that may have ended a worker. Such ones go only to as many workers as the role can lose, and are spread
	// over those that cost little more than the cheapest of them, by this key: those that ran beside each other at one worker do not
	// meet again at the next, and are told apart.
	Apart string
	// Begun is set when the prompt of such a request was read in its turn, and is to be answered.
	Begun bool
}

// Reading is what a prompt costs a worker.
type Reading struct {
	// Tokens that the worker reads itself.
	Tokens int
	// TransferSeconds is the cost of getting the rest there, and of reading what others keep.
	TransferSeconds float64
}

// Score is the estimated cost of a worker, in seconds.
type Score struct {
	// Queue is the time until the work that is already there is done.
	Queue float64
	// Reading is the time to read what the worker doesn't keep, and HoldUp the delay that this puts on the answers which the
	// worker is writing.
	Reading float64
	HoldUp  float64
	// Transfer is the cost of getting there what others keep.
	Transfer float64
	// Distance is the cost of another zone.
	Distance float64
	// Answer is when the worker is expected to give its first sign, and Wait the part of it in which others come first. They are
	// no part of the cost.
	Answer, Wait float64
	// Doubt is the cost of a worker that is set aside, and used because too few others are left.
	Doubt float64
}

// Total is the sum.
func (s Score) Total() float64 {
	return s.Queue + s.Reading + s.HoldUp + s.Transfer + s.Distance + s.Doubt
}

// Choice is the worker that was picked.
type Choice struct {
	Worker *backend.Worker
	Score  Score
	// Candidates is the number of workers that passed all filters.
	Candidates int
}

// Settings of a balancer.
type Settings struct {
	// SecondsPerRun is the delay that one run in progress adds at an engine; plain workers take the time of a run, shared by
	// their slots.
	SecondsPerRequest float64
	// HoldUpWeight is the part of the delay of each other answer that counts where prompts are read beside them. An engine does
	// one thing at a time, so a second of reading delays each of its answers by up to a second.
	InterferenceWeight float64
	// OtherZoneSeconds is the cost of a worker in another zone.
	OtherZoneSeconds float64
	// ApartSeconds is how much more than the cheapest a worker may cost for a request that is to be apart from others: a third of the
	// tightest objective of the users' deployments, 0.25 s.
	SuspectSpreadSeconds float64
	// Risk bounds the workers that such requests may end.
	Risk RiskSettings
	// Shortlist bounds the workers that are looked at.
	Shortlist ShortlistSettings
	// Health of workers.
	Health HealthSettings
	// BackOff bounds the times for which workers want no requests.
	BackOff BackOffSettings
}

// DefaultSettings count the delay of each answer alike.
func DefaultSettings() Settings {
	return Settings{
		SecondsPerRequest: 0.002, InterferenceWeight: 1, OtherZoneSeconds: 0.010, SuspectSpreadSeconds: 0.08, Risk: DefaultRiskSettings(),
		Shortlist: DefaultShortlistSettings(), Health: DefaultHealthSettings(), BackOff: DefaultBackOffSettings(),
	}
}

// Elsewhere tells what other gateways have at a worker.
type RemoteLoad func(worker string) backend.Load

// Balancer holds what one gateway knows of the workers.
type Balancer struct {
	settings   Settings
	model      *enginemodel.Model
	remoteLoad RemoteLoad
	workers    map[string]*workerState
	// loaded are the workers at which this gateway has work.
	loaded   map[string]*workerState
	index    workerIndex
	crashes  crashes
	backOffs backOffs
	limits   limits
}

// state is one worker as this gateway sees it.
type workerState struct {
	worker *backend.Worker
	// load is the own work at the worker.
	load   backend.Load
	health health
	// goneUntil is how long the worker is passed over because its address refuses connections.
	unreachableUntil time.Time
	// changingUntil is how long work is kept off the worker, because it changes its role.
	roleChangeUntil time.Time
	// backOffUntil is until when the worker wants no requests of this gateway.
	backOffUntil time.Time
	// limit is how many requests the worker takes; nil if it does not say.
	limit *workerLimit
	// place is that in the rings, which the address decides.
	ringPosition uint64
}

// New returns a balancer without workers. The model tells how fast they are; the caller feeds it.
func New(settings Settings, model *enginemodel.Model, remoteLoad RemoteLoad) *Balancer {
	return &Balancer{
		settings: settings, model: model, remoteLoad: remoteLoad, workers: map[string]*workerState{}, loaded: map[string]*workerState{},
		index: newWorkerIndex(), crashes: crashes{byWorker: map[string]*crash{}}, backOffs: backOffs{},
		limits: limits{byWorker: map[string]*workerLimit{}, shares: soleGateway{}},
	}
}

// SetWorkers replaces the workers. What is known of those that stay is kept.
func (b *Balancer) SetWorkers(set backend.Set) {
	previous := make(backend.Set, len(b.workers))
	for id, state := range b.workers {
		previous[id] = state.worker
	}
	b.Change(set.Since(previous))
}

// Change takes workers that are new, described anew or gone. What is known of the others stays as it is.
func (b *Balancer) Change(changes backend.Changes) {
	for _, id := range changes.Gone {
		if state, found := b.workers[id]; found {
			b.index.remove(state)
			delete(b.workers, id)
			delete(b.loaded, id)
		}
	}
	for _, worker := range changes.Put {
		state, found := b.workers[worker.ID]
		if !found {
			state = &workerState{backOffUntil: b.backOffs[worker.ID], limit: b.limits.byWorker[worker.ID]}
			b.workers[worker.ID] = state
			b.crashes.added = append(b.crashes.added, state)
		}
		if found && state.worker.Role != worker.Role {
			// The change of role is over.
			state.roleChangeUntil = time.Time{}
		}
		b.updateDescription(state, worker)
	}
}

// describe gives a worker another description, and the place in the pools that goes with it.
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

// LoadOf is the load of one request whose prompt has so many tokens to read.
func LoadOf(tokens int, deferred bool) backend.Load {
	load := backend.Load{Running: 1}
	switch {
	case tokens <= 0 && deferred:
		load.Waiting = 1
	case tokens <= 0:
	case deferred:
		load.Reading, load.DeferredTokens = 1, tokens
	default:
		load.Reading, load.ReadingTokens = 1, tokens
	}
	return load
}

// Begin notes that a request was sent to a worker.
func (b *Balancer) Begin(id string, load backend.Load) {
	if state, found := b.workers[id]; found {
		state.load = state.load.Plus(load)
		b.updateLoaded(state)
	}
}

// noteLoad keeps the list of the workers at which there is work.
func (b *Balancer) updateLoaded(state *workerState) {
	if state.load == (backend.Load{}) {
		delete(b.loaded, state.worker.ID)
		return
	}
	b.loaded[state.worker.ID] = state
}

// Loaded returns the ids of the workers at which this gateway has work, in their order.
func (b *Balancer) Loaded() []string { return slices.Sorted(maps.Keys(b.loaded)) }

// Answered notes that a worker has read the prompt of a request, which still runs there.
func (b *Balancer) Answered(id string, load backend.Load) {
	if state, found := b.workers[id]; found {
		load.Running = 0
		state.load = state.load.Minus(load)
		b.updateLoaded(state)
	}
}

// End notes that a request has left a worker, with what it showed of the worker's health. It tells whether the worker is set
// aside for that.
func (b *Balancer) End(now time.Time, id string, outcome Outcome) bool {
	state, found := b.workers[id]
	if !found {
		return false
	}
	state.load.Running = max(state.load.Running-1, 0)
	b.updateLoaded(state)
	return state.health.record(now, outcome, &b.settings.Health)
}

// Hearsay notes that another gateway has set a worker aside. It counts as one failure: two gateways, or one and an own
// failure, set it aside here too.
func (b *Balancer) Hearsay(now time.Time, id string) {
	if state, found := b.workers[id]; found {
		state.health.record(now, OutcomeSilent, &b.settings.Health)
	}
}

// Load returns what this gateway has at a worker.
func (b *Balancer) Load(id string) backend.Load {
	state, found := b.workers[id]
	if !found {
		return backend.Load{}
	}
	return state.load
}

// TotalLoad returns what all gateways have at a worker.
func (b *Balancer) TotalLoad(id string) backend.Load {
	state, found := b.workers[id]
	if !found {
		state = &workerState{worker: &backend.Worker{ID: id}}
	}
	return b.combinedLoad(state)
}

// loadAt returns what all gateways have at a worker.
func (b *Balancer) combinedLoad(state *workerState) backend.Load {
	if b.remoteLoad == nil {
		return state.load
	}
	return state.load.Plus(b.remoteLoad(state.worker.ID))
}

// Usable tells whether a worker takes work and is not set aside.
func (b *Balancer) Usable(now time.Time, id string) bool {
	state, found := b.workers[id]
	return found && state.usable(now)
}

// usable tells whether the worker takes work and is not set aside. One with a limit does, also while its quota here is used up.
func (s *workerState) usable(now time.Time) bool {
	return s.inService(now) && !s.backingOff(now) && !s.health.ejected(now)
}

// takesWork tells whether the worker takes a request of this gateway now, be it set aside or not.
func (s *workerState) acceptsNow(now time.Time) bool { return s.inService(now) && s.admitsNow(now) }

// mayBeAsked tells whether the worker's own words let this gateway send it a request now.
func (s *workerState) admitsNow(now time.Time) bool { return !s.backingOff(now) && s.hasQuota(now) }

// inUse tells whether the worker takes work, unless it wants none for a time or no more of this gateway.
func (s *workerState) inService(now time.Time) bool {
	return !s.worker.Draining && !s.unreachable(now) && !s.changingRole(now)
}

// KeptOff tells whether a worker is set aside for its failures, and whether work is kept off it while it changes its role.
func (b *Balancer) KeptOff(now time.Time, id string) (ejected, changingRole bool) {
	state, found := b.workers[id]
	if !found {
		return false, false
	}
	return state.health.ejected(now) || state.unreachable(now), state.changingRole(now)
}

// SetGone passes a worker over until a moment. One that is not gone after all is no more set aside for what was held against it.
func (b *Balancer) SetGone(now time.Time, id string, until time.Time) {
	state, found := b.workers[id]
	if !found {
		return
	}
	state.unreachableUntil = until
	if !now.Before(until) {
		state.health = health{}
	}
}

// gone tells whether the worker is passed over because its address refuses connections.
func (s *workerState) unreachable(now time.Time) bool { return now.Before(s.unreachableUntil) }

// Replace puts another description in place of that of a worker, which has changed its role. Work is not kept off it any more.
func (b *Balancer) Replace(worker *backend.Worker) {
	if state, found := b.workers[worker.ID]; found {
		state.roleChangeUntil = time.Time{}
		b.updateDescription(state, worker)
	}
}

// OfGroup returns the workers of a group, ordered by id.
func (b *Balancer) OfGroup(group string) iter.Seq[*backend.Worker] {
	return func(yield func(*backend.Worker) bool) {
		for _, state := range b.index.byGroup[group] {
			if !yield(state.worker) {
				return
			}
		}
	}
}

// SetChanging keeps work off a worker until a moment.
func (b *Balancer) SetChanging(id string, until time.Time) {
	if state, found := b.workers[id]; found {
		state.roleChangeUntil = until
	}
}

// changing tells whether work is kept off the worker.
func (s *workerState) changingRole(now time.Time) bool { return now.Before(s.roleChangeUntil) }

// Worker returns a worker by its id.
func (b *Balancer) Worker(id string) (*backend.Worker, bool) {
	state, found := b.workers[id]
	if !found {
		return nil, false
	}
	return state.worker, true
}

// IDs returns the ids of all workers in their order.
func (b *Balancer) IDs() []string {
	return slices.Sorted(maps.Keys(b.workers))
}

// Count returns how many workers a group has.
func (b *Balancer) Count(group string) int { return len(b.index.byGroup[group]) }

// Engines tells of each worker of a group, ordered by id, what all gateways have there and whether it takes work.
func (b *Balancer) Engines(now time.Time, group string) iter.Seq2[*backend.Worker, Standing] {
	return func(yield func(*backend.Worker, Standing) bool) {
		for _, state := range b.index.byGroup[group] {
			if !yield(state.worker, Standing{Load: b.combinedLoad(state), Usable: state.usable(now)}) {
				return
			}
		}
	}
}

// Standing is what is known of a worker at a moment.
type Standing struct {
	// Load of all gateways.
	Load backend.Load
	// Usable workers take work and are not set aside.
	Usable bool
}

// Home returns the worker at which prompts of a key are kept together while nothing speaks against it, or nil.
func (b *Balancer) Home(now time.Time, query Query) *backend.Worker {
	if preferred := b.eligibleOrSampled(now, query).preferred; preferred != nil {
		return preferred.worker
	}
	return nil
}
