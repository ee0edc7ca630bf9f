package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/admission"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/peersync"
	"github.com/granitebay/granitebay/internal/routing"
)

// Placement holds the worker of the next call for a request. The runner is the worker that runs the request; in a group of engines, it is
// the decode engine. Exactly one of Prefill and Runner is set; it counts as load until it is finished.
type Placement struct {
	// Prefill prefills the prompt. The runner is picked by PlaceRunner afterwards, so that a worker which starts draining meanwhile is not
	// used.
	Prefill *Assignment
	// FetchFrom is the engine from whose cache the shared prefix is fetched; nil to fetch nothing.
	FetchFrom *backend.Worker
	Runner    *Assignment
	// Deferred is set if the answer is expected after its objective. The prompt is then prefilled after those that are on time.
	Deferred bool
	// Urgency orders the queue of the decode engine; admission.DefaultUrgency unless there is contention. UrgencyReason says why it is not.
	Urgency       int
	UrgencyReason string
	// HeldBack is set if the request is not placed now: an admission.Wait or an admission.Refuse. Prefill and Runner are nil then.
	HeldBack admission.Decision
	// Outlasts is set if the request is not placed because its response would outlast the gateway. Prefill and Runner are nil then.
	Outlasts bool
}

// PlaceOptions constrain the placement of a request.
type PlaceOptions struct {
	// Excluded workers are not used.
	Excluded []string
	// Versions restricts the workers by the versions of their software.
	Versions versionFilter
	// Colocated makes the runner prefill the prompt itself.
	Colocated bool
	// SuspectKey is set for suspect requests. They are spread over workers by this key.
	SuspectKey string
	// Objective is the time within which the answer should start, and Remaining what remains of it, negative if the request is late. Both are
	// zero if there is no objective.
	Objective, Remaining time.Duration
	// DemandCounted is set if the demand of the prompt was counted at an earlier placement.
	DemandCounted bool
	// Rule is the rule of the request, and Deadline when its caller leaves. They are zero if unknown; engines are then picked regardless of their
	// pace.
	Rule     *routing.Rule
	Deadline time.Time
	// GatewayEnds is when the gateway ends unfinished requests, which can still go to another one; zero if it does not stop.
	GatewayEnds time.Time
	// Admission describes the request to the admission of groups whose requests have different priorities.
	Admission admission.Request
}

// Place picks the workers for a request, or returns false if there are none.
func (d *Dispatcher) Place(request *Request, group *routing.Group, options PlaceOptions) (*Placement, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	start := time.Now()
	place := d.placeOnEngines
	if group.Engine == nil {
		place = d.placePlain
	}
	placement, found := place(request, group, options)
	if d.onPlacement != nil {
		d.onPlacement(time.Since(start), placement.candidates())
	}
	return placement, found
}

// candidates returns how many workers were considered for the first call of a placement; zero if p is nil.
func (p *Placement) candidates() int {
	switch {
	case p == nil || p.HeldBack != nil || p.Outlasts:
		return 0
	case p.Prefill != nil:
		return p.Prefill.Candidates
	default:
		return p.Runner.Candidates
	}
}

// OnPlacement sets a callback that gets the duration and the number of candidates of each placement. It must be called before the first
// request.
func (d *Dispatcher) OnPlacement(onPlacement func(took time.Duration, candidates int)) {
	d.onPlacement = onPlacement
}

// hasAlternative reports whether a worker of certain versions other than the excluded ones could run a request.
func (d *Dispatcher) hasAlternative(request *Request, group *routing.Group, versions versionFilter, excluded []string) bool {
	return d.alternative(request, group, versions, excluded) != nil
}

// alternative returns the best worker of certain versions other than the excluded ones that could run a request, or nil.
func (d *Dispatcher) alternative(request *Request, group *routing.Group, versions versionFilter, excluded []string) *backend.Worker {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	query := balance.Query{
		Request: request.ID, Group: group.Name, Role: runnerRole(group), Zone: d.settings.Zone, Excluded: excluded, Eligible: versions.eligible(),
		Concentrate: true,
	}
	return d.balancer.Preferred(d.now(), query)
}

// placePlain picks a plain worker.
func (d *Dispatcher) placePlain(request *Request, group *routing.Group, options PlaceOptions) (*Placement, bool) {
	choice, found := d.balancer.Pick(d.now(), balance.Query{
		Request: request.ID, Group: group.Name, Role: backend.RoleNone, Zone: d.settings.Zone, Excluded: options.Excluded,
		SuspectKey: options.SuspectKey, Eligible: options.Versions.eligible(), Concentrate: true,
	})
	if !found {
		return nil, false
	}
	return &Placement{Runner: d.assign(choice, 0, false, options.Objective), Urgency: admission.DefaultUrgency}, true
}

// plan is a candidate placement of a request on engines. No work is assigned yet.
type plan struct {
	// prefill is nil if the runner prefills the prompt.
	prefill *balance.Choice
	runner  balance.Choice
	// seconds is the estimated cost of the plan, timeToFirstEvent the time until the answer starts, and queueWait the part of it spent
	// behind other requests. slotWait is the part of queueWait until the runner has a free slot.
	seconds, timeToFirstEvent, queueWait, slotWait float64
}

// delayedByQueue reports whether the answer is expected too late only because of other requests. A prompt that would miss its objective
// on an idle engine is not deferred, since waiting longer gains nothing.
func (p plan) delayedByQueue(options PlaceOptions) bool {
	unloaded := p.timeToFirstEvent - p.queueWait
	return options.Objective > 0 && p.timeToFirstEvent > options.Remaining.Seconds() && unloaded <= options.Objective.Seconds()
}

// prefillEngine returns the engine that prefills the prompt.
func (p plan) prefillEngine() *backend.Worker {
	if p.prefill != nil {
		return p.prefill.Worker
	}
	return p.runner.Worker
}

// placeOnEngines picks a decode engine, and a separate prefill engine if that is expected to be cheaper. A request whose answer is expected
// too late yields to those that are on time.
func (d *Dispatcher) placeOnEngines(request *Request, group *routing.Group, options PlaceOptions) (*Placement, bool) {
	prompt := d.newPromptContext(request, group)
	prompt.suspectKey, prompt.versions = options.SuspectKey, options.Versions
	prompt.wanted = d.newWantedResponse(request, group, options)
	if d.admission.Controls(group.Name) {
		return d.placeAdmitted(prompt, options)
	}
	best, found := d.bestPlan(prompt, options)
	if found && best.delayedByQueue(options) {
		prompt.deferred = true
		best, found = d.bestPlan(prompt, options)
	}
	if !found {
		return nil, false
	}
	d.countPromptDemand(prompt, best, options)
	if d.outlasts(prompt, best, options) {
		return &Placement{Outlasts: true}, true
	}
	return d.assignPlan(prompt, best, options.Objective, admission.Start{Urgency: defaultUrgency(prompt.deferred)}), true
}

// countPromptDemand counts the demand for prefilling a prompt, unless it was counted when the request was first placed. A placement with
// excluded workers is a retry.
func (d *Dispatcher) countPromptDemand(prompt *promptContext, chosen plan, options PlaceOptions) {
	if len(options.Excluded) == 0 && !options.DemandCounted {
		d.countDemand(chosen.prefillEngine(), prompt.prefillCost(chosen.prefillEngine()).Tokens)
	}
}

// bestPlan returns the cheapest plan, or false if there is none.
func (d *Dispatcher) bestPlan(prompt *promptContext, options PlaceOptions) (plan, bool) {
	best, found := d.planColocated(prompt, options.Excluded)
	if options.Colocated {
		return best, found
	}
	disaggregated, possible := d.planDisaggregated(prompt, options.Excluded)
	// Deferred prompts are prefilled separately if possible, so that they do not slow down decoding.
	if possible && (!found || prompt.deferred || disaggregated.seconds < best.seconds) {
		return disaggregated, true
	}
	return best, found
}

// assignPlan assigns the work of a plan.
func (d *Dispatcher) assignPlan(prompt *promptContext, chosen plan, objective time.Duration, start admission.Start) *Placement {
	placement := &Placement{Deferred: prompt.deferred, Urgency: start.Urgency, UrgencyReason: start.Reason}
	choice := chosen.runner
	if chosen.prefill != nil {
		choice = *chosen.prefill
	}
	engine := choice.Worker
	tokens := prompt.prefillCost(engine).Tokens
	placement.FetchFrom = prompt.fetchSource(engine)
	if chosen.prefill == nil {
		placement.Runner = d.assign(choice, tokens, prompt.deferred, objective).observeEvents(prompt.wanted)
		d.enterQueue(placement.Runner, admission.Work{Queue: admission.QueueSlots, Urgency: start.Urgency, Amount: 1})
		return placement
	}
	// A load without tokens would count as a request that decodes or waits to decode, but this engine only prefills it.
	placement.Prefill = d.assign(choice, max(tokens, 1), prompt.deferred, objective)
	placement.Prefill.suspectKey, placement.Prefill.wanted, placement.Prefill.urgency = prompt.suspectKey, prompt.wanted, start.Urgency
	placement.Prefill.versions = prompt.versions
	d.enterQueue(placement.Prefill, admission.Work{
		Queue: admission.QueuePrefills, Urgency: placement.prefillUrgency(), Amount: placement.Prefill.load.PrefillTokens + placement.Prefill.load.DeferredTokens,
	})
	d.recordCached(engine, prompt.request.Demand, false)
	return placement
}

// PlaceRunner picks the engine that decodes a prefilled prompt, or returns false if there is none.
func (d *Dispatcher) PlaceRunner(request *Request, group *routing.Group, excluded []string, prefill *Assignment) (*Assignment, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	prompt := d.newPromptContext(request, group)
	prompt.suspectKey, prompt.versions, prompt.prefilled, prompt.wanted = prefill.suspectKey, prefill.versions, true, prefill.wanted
	prompt.slotOrder = d.admission.OrderOf(d.now(), group.Name, admission.QueueSlots, prefill.urgency)
	choice, found := d.pickRunner(prompt, excluded, prefill.Worker)
	if !found {
		return nil, false
	}
	runner := d.assign(choice, 0, prefill.deferred, prefill.objective).observeEvents(prefill.wanted)
	d.enterQueue(runner, admission.Work{Queue: admission.QueueSlots, Urgency: prefill.urgency, Amount: 1})
	return runner, true
}

// pickRunner picks the decode engine for a prompt that source prefills.
func (d *Dispatcher) pickRunner(prompt *promptContext, excluded []string, source *backend.Worker) (balance.Choice, bool) {
	query := prompt.query(backend.RoleDecode, source.Zone, excluded)
	query.PrefillCost = prompt.transferCost
	return d.balancer.Pick(d.now(), query)
}

// planColocated plans to prefill and decode on one engine.
func (d *Dispatcher) planColocated(prompt *promptContext, excluded []string) (plan, bool) {
	query := prompt.query(backend.RoleDecode, d.settings.Zone, excluded)
	query.PrefillCost = prompt.prefillCost
	choice, found := d.balancer.Pick(d.now(), query)
	if !found {
		return plan{}, false
	}
	seconds := choice.Score.Total()
	if choice.Score.Prefill > d.settings.LongPrefill.Seconds() {
		seconds += d.settings.LongPrefillSeconds
	}
	return plan{runner: choice, seconds: seconds, timeToFirstEvent: choice.Score.TimeToFirstToken, queueWait: choice.Score.QueueWait, slotWait: choice.Score.SlotWait}, true
}

// planDisaggregated plans to prefill on one engine and decode on another.
func (d *Dispatcher) planDisaggregated(prompt *promptContext, excluded []string) (plan, bool) {
	query := prompt.query(backend.RolePrefill, d.settings.Zone, excluded)
	query.PrefillCost = prompt.prefillCost
	prefill, found := d.balancer.Pick(d.now(), query)
	if !found {
		return plan{}, false
	}
	runner, found := d.pickRunner(prompt, excluded, prefill.Worker)
	if !found {
		return plan{}, false
	}
	return plan{
		prefill: &prefill, runner: runner,
		seconds:          prefill.Score.Total() + runner.Score.Total() + d.settings.DisaggregationSeconds,
		timeToFirstEvent: prefill.Score.TimeToFirstToken + runner.Score.TimeToFirstToken,
		queueWait:        prefill.Score.QueueWait + runner.Score.QueueWait,
		slotWait:         runner.Score.SlotWait,
	}, true
}

// cacheMemoryFraction is the fraction of an engine's memory that is assumed available for cached prefixes.
const cacheMemoryFraction = 0.95

// cacheCapacity returns the number of tokens that an engine is assumed to cache.
func (d *Dispatcher) cacheCapacity(worker *backend.Worker) int {
	engine, found := d.engineGroups[worker.Group]
	if !found {
		return 0
	}
	return int(cacheMemoryFraction * float64(engine.KVCacheTokens))
}

// recordCached records that an engine has cached the shared prefix of a prompt, or is about to, and notifies the other gateways. The mutex
// is held.
func (d *Dispatcher) recordCached(worker *backend.Worker, demand backend.Demand, ready bool) {
	shared := sharedPrefixOf(demand, d.settings.MinSharedTokens)
	for i, segment := range shared.segments {
		cached := peersync.CachedSegment{Worker: worker.ID, Key: segment.key, Tokens: segment.tokens, Ready: ready}
		if ready && i == len(shared.segments)-1 {
			// The rest of the prompt occupies the cache but is not shared.
			cached.PrivateTokens = demand.PromptTokens - shared.tokens
		}
		d.addCached(worker, cached)
		d.peers.prefixCached(cached)
	}
}

// addCached adds a cached prefix to the table. The mutex is held.
func (d *Dispatcher) addCached(worker *backend.Worker, cached peersync.CachedSegment) {
	d.prefixCache.Add(worker.ID, d.cacheCapacity(worker), cached.Key, cached.Tokens, cached.Ready)
	d.prefixCache.AddAnonymous(worker.ID, cached.PrivateTokens)
}

// RecordPrefilled records that an engine has prefilled the prompt of a request and has cached it.
func (d *Dispatcher) RecordPrefilled(worker *backend.Worker, request *Request) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordCached(worker, request.Demand, true)
}

// RecordPrefillFailed forgets the segments that an engine would have cached by a prefill that failed.
func (d *Dispatcher) RecordPrefillFailed(worker *backend.Worker, request *Request) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, segment := range sharedPrefixOf(request.Demand, d.settings.MinSharedTokens).segments {
		for _, holder := range d.prefixCache.Holders(segment.key) {
			if holder.Worker == worker.ID && !holder.Cached {
				d.prefixCache.Remove(worker.ID, segment.key)
			}
		}
	}
}
