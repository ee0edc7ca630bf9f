package forward

import (
	"time"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/loadshare"
	"github.com/granitebay/granitebay/internal/routing"
)

// Placement is what is to be done next with a request: it is read by Reader, or else run by Runner. Its parts are counted as
// work of the workers until they are done.
type Placement struct {
	// Reader reads the prompt. The runner is picked by PlaceRunner once that is done, so that a worker which begins to leave
	// meanwhile is not used.
	Prefill *Assignment
	// FetchFrom keeps the shared part of the prompt, from where the one that reads it takes it; or nil.
	FetchFrom *backend.Worker
	Runner    *Assignment
	// Deferred is set when the answer is expected too late for its objective: the prompt is read after those that are in time.
	Deferred bool
}

// PlaceOptions restrict where a request is placed.
type PlaceOptions struct {
	// Excluded workers are passed over.
	Excluded []string
	// Direct has the runner read the prompt itself.
	Colocated bool
	// Apart is set for a request under which a worker has ended: such ones are spread over workers by this key.
	SuspectKey string
	// Objective is the time within which the answer is to begin, and Left what is left of it, less than zero when the request is
	// late. Requests without an objective have zero.
	Objective, Left time.Duration
}

// Place picks the workers for a request, or returns false when there are none.
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

// candidates returns how many workers were looked at for the first call of a placement; none without one.
func (p *Placement) candidates() int {
	switch {
	case p == nil:
		return 0
	case p.Prefill != nil:
		return p.Prefill.Candidates
	default:
		return p.Runner.Candidates
	}
}

// WatchChoices tells whom to tell how long each choice of workers took, and how many were looked at. It is called before the first request.
func (d *Dispatcher) WatchChoices(onPlacement func(took time.Duration, candidates int)) {
	d.onPlacement = onPlacement
}

// hasOther tells whether another worker than some could run a request.
func (d *Dispatcher) hasAlternative(request *Request, group *routing.Group, excluded []string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	query := balance.Query{Request: request.ID, Group: group.Name, Role: backend.RoleDecode, Zone: d.settings.Zone, Excluded: excluded, Gather: true}
	if group.Engine == nil {
		query.Role = backend.RoleNone
	}
	return d.balancer.Home(d.now(), query) != nil
}

// placePlain picks a plain worker.
func (d *Dispatcher) placePlain(request *Request, group *routing.Group, options PlaceOptions) (*Placement, bool) {
	choice, found := d.balancer.Pick(d.now(), balance.Query{
		Request: request.ID, Group: group.Name, Role: backend.RoleNone, Zone: d.settings.Zone, Excluded: options.Excluded,
		Apart: options.SuspectKey, Gather: true,
	})
	if !found {
		return nil, false
	}
	return &Placement{Runner: d.assign(choice, 0, false, options.Objective)}, true
}

// plan is a way to serve a request on engines, before any work is assigned.
type plan struct {
	// reader is nil when the runner reads the prompt.
	prefill *balance.Choice
	runner  balance.Choice
	// seconds is the estimated cost of the plan, firstEvent the time until the answer begins, and wait the part of it in which
	// others come first.
	seconds, timeToFirstEvent, queueWait float64
}

// crowdedOut tells whether the answer is expected too late, and would be in time if the request had come alone. One that is too
// long for its objective gives way to nobody: that would not make it better, and it is the most valuable of its kind.
func (p plan) delayedByQueue(options PlaceOptions) bool {
	unloaded := p.timeToFirstEvent - p.queueWait
	return options.Objective > 0 && p.timeToFirstEvent > options.Left.Seconds() && unloaded <= options.Objective.Seconds()
}

// reads returns the engine that reads the prompt.
func (p plan) prefillEngine() *backend.Worker {
	if p.prefill != nil {
		return p.prefill.Worker
	}
	return p.runner.Worker
}

// placeOnEngines picks an engine to write the answer, and one to read the prompt before where that is expected to be cheaper. A
// request whose answer is expected too late gives way to those that are in time.
func (d *Dispatcher) placeOnEngines(request *Request, group *routing.Group, options PlaceOptions) (*Placement, bool) {
	prompt := d.newPromptContext(request, group)
	prompt.suspectKey = options.SuspectKey
	best, found := d.bestPlan(prompt, options)
	if found && best.delayedByQueue(options) {
		prompt.deferred = true
		best, found = d.bestPlan(prompt, options)
	}
	if !found {
		return nil, false
	}
	placement := d.assignPlan(prompt, best, options.Objective)
	if len(options.Excluded) == 0 {
		d.countDemand(best.prefillEngine(), prompt.prefillCost(best.prefillEngine()).Tokens)
	}
	return placement, true
}

// bestPlan returns the cheapest plan, or false when there is none.
func (d *Dispatcher) bestPlan(prompt *promptContext, options PlaceOptions) (plan, bool) {
	best, found := d.planColocated(prompt, options.Excluded)
	if options.Colocated {
		return best, found
	}
	disaggregated, possible := d.planDisaggregated(prompt, options.Excluded)
	// Prompts that are late do not slow the answers that are being written.
	if possible && (!found || prompt.deferred || disaggregated.seconds < best.seconds) {
		return disaggregated, true
	}
	return best, found
}

// carryOut assigns the work of a plan.
func (d *Dispatcher) assignPlan(prompt *promptContext, chosen plan, objective time.Duration) *Placement {
	placement := &Placement{Deferred: prompt.deferred}
	choice := chosen.runner
	if chosen.prefill != nil {
		choice = *chosen.prefill
	}
	engine := choice.Worker
	tokens := prompt.prefillCost(engine).Tokens
	placement.FetchFrom = prompt.fetchSource(engine)
	if chosen.prefill == nil {
		placement.Runner = d.assign(choice, tokens, prompt.deferred, objective)
		return placement
	}
	placement.Prefill = d.assign(choice, max(tokens, 1), prompt.deferred, objective)
	placement.Prefill.suspectKey = prompt.suspectKey
	d.recordCached(engine, prompt.request.Demand, false)
	return placement
}

// PlaceRunner picks the engine that goes on with a prompt which was read, or returns false when there is none.
func (d *Dispatcher) PlaceRunner(request *Request, group *routing.Group, excluded []string, prefill *Assignment) (*Assignment, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	prompt := d.newPromptContext(request, group)
	prompt.suspectKey, prompt.prefilled = prefill.suspectKey, true
	choice, found := d.pickRunner(prompt, excluded, prefill.Worker)
	if !found {
		return nil, false
	}
	return d.assign(choice, 0, prefill.deferred, prefill.objective), true
}

// pickRunner picks the engine to which a prompt is moved from its reader.
func (d *Dispatcher) pickRunner(prompt *promptContext, excluded []string, source *backend.Worker) (balance.Choice, bool) {
	query := prompt.query(backend.RoleDecode, source.Zone, excluded)
	query.Reading = prompt.transferCost
	return d.balancer.Pick(d.now(), query)
}

// planDirect has the engine that writes the answer read the prompt too.
func (d *Dispatcher) planColocated(prompt *promptContext, excluded []string) (plan, bool) {
	query := prompt.query(backend.RoleDecode, d.settings.Zone, excluded)
	query.Reading = prompt.prefillCost
	choice, found := d.balancer.Pick(d.now(), query)
	if !found {
		return plan{}, false
	}
	seconds := choice.Score.Total()
	if choice.Score.Reading > d.settings.LongPrefill.Seconds() {
		seconds += d.settings.LongPrefillSeconds
	}
	return plan{runner: choice, seconds: seconds, timeToFirstEvent: choice.Score.Answer, queueWait: choice.Score.Wait}, true
}

// planApart has one engine read the prompt and another one write the answer.
func (d *Dispatcher) planDisaggregated(prompt *promptContext, excluded []string) (plan, bool) {
	query := prompt.query(backend.RolePrefill, d.settings.Zone, excluded)
	query.Reading = prompt.prefillCost
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
		timeToFirstEvent: prefill.Score.Answer + runner.Score.Answer,
		queueWait:        prefill.Score.Wait + runner.Score.Wait,
	}, true
}

// residencyShare is the part of the memory of an engine that is counted on for parts which nobody uses at the moment.
const cacheShare = 0.95

// capacityOf returns the tokens of shared parts that an engine is thought to keep.
func (d *Dispatcher) cacheCapacity(worker *backend.Worker) int {
	engine, found := d.engineGroups[worker.Group]
	if !found {
		return 0
	}
	return int(cacheShare * float64(engine.MemoryTokens))
}

// keep notes that an engine keeps a prompt, or is about to, and tells the other gateways. The mutex is held.
func (d *Dispatcher) recordCached(worker *backend.Worker, demand backend.Demand, ready bool) {
	shared := sharedPrefixOf(demand, d.settings.MinSharedTokens)
	for i, segment := range shared.segments {
		cached := loadshare.Kept{Worker: worker.ID, Key: segment.key, Tokens: segment.tokens, Ready: ready}
		if ready && i == len(shared.segments)-1 {
			cached.Own = demand.PromptTokens - shared.tokens
		}
		d.addCached(worker, cached)
		d.peers.prefixCached(cached)
	}
}

// noteKept takes a kept part into the table.
func (d *Dispatcher) addCached(worker *backend.Worker, cached loadshare.Kept) {
	d.residency.Keep(worker.ID, d.cacheCapacity(worker), cached.Key, cached.Tokens, cached.Ready)
	d.residency.Fill(worker.ID, cached.Own)
}

// HasRead notes that an engine has read the prompt of a request, and keeps it from now on.
func (d *Dispatcher) RecordPrefilled(worker *backend.Worker, request *Request) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.recordCached(worker, request.Demand, true)
}

// HasNotRead notes that an engine failed to read the prompt of a request.
func (d *Dispatcher) RecordPrefillFailed(worker *backend.Worker, request *Request) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, segment := range sharedPrefixOf(request.Demand, d.settings.MinSharedTokens).segments {
		for _, holder := range d.residency.Holders(segment.key) {
			if holder.Worker == worker.ID && !holder.Ready {
				d.residency.Forget(worker.ID, segment.key)
			}
		}
	}
}
