package experiment

import (
	"time"

	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/placement"
	"github.com/granitebay/granitebay/internal/roleplan"
)

// call is one request on its way.
type call struct {
	request *Request
	arrived time.Time
	// engine that runs it, empty while it is queued.
	engine string
	// uncached is the part of the prompt that was expected to be read there.
	uncached   int
	firstToken time.Time
	finished   time.Time
	received   int
	shed       bool
}

// secondsLeft is the time until the deadline; at least a little, as zero means no deadline.
func (c *call) secondsLeft(now time.Time) float64 {
	return max(0.001, c.arrived.Add(c.request.TimeLimit).Sub(now).Seconds())
}

// placer chooses the engine of a request.
type placer interface {
	place(now time.Time, request placement.Request, engines []placement.Engine) placement.Result
}

// front queues requests and gives them to engines. It is a small form of the owner of all engines: admission by
// deadline, priorities, fair sharing between tenants, placement on exact counts.
type front struct {
	fleet    *fleet
	engines  []*engineState
	queue    *fairQueue
	calls    map[string]*call
	prefixes *placement.PrefixTable
	placer   placer
	// owner takes the place of the queue and of the placer when the dispatch core of the routers is run.
	owner    *owner
	settings frontSettings
	speeds   placement.Settings
	meter    *roleplan.Meter
	// given is the work that was given to engines by tenant, and offered what arrived.
	given   *tenantShares
	offered *tenantShares
}

// frontSettings turn parts of the front off, for ablations.
type frontSettings struct {
	// admission gives up at once what can't be answered in time.
	admission bool
	// fair shares between tenants; otherwise the queue is in order of arrival.
	fair bool
	// prefixes takes cached prefixes into account.
	prefixes bool
	// priorities puts classes of a higher priority first.
	priorities bool
}

// prefixBlocksPerEngine bounds what the front remembers of the cache of an engine.
const prefixBlocksPerEngine = 400

func newFront(fleet *fleet, placer placer, settings frontSettings) *front {
	result := &front{
		fleet:    fleet,
		queue:    newFairQueue(settings),
		calls:    map[string]*call{},
		prefixes: placement.NewPrefixTable(prefixBlocksPerEngine),
		placer:   placer,
		settings: settings,
		speeds:   placement.DefaultSettings(),
		given:    newTenantShares(),
		offered:  newTenantShares(),
		meter:    roleplan.NewMeter(epoch, roleplan.DefaultMeterSettings()),
	}
	for number, name := range fleet.names {
		result.engines = append(result.engines, newEngineState(name, fleet.models[number].Configuration()))
	}
	return result
}

// arrive takes a request.
func (f *front) arrive(now time.Time, request *Request) *call {
	arrived := &call{request: request, arrived: now}
	f.calls[request.ID] = arrived
	f.offered.record(now, request.Tenant, queueCost(request))
	f.meter.Record(now, roleplan.Arrival{
		Class:        request.Class,
		PromptTokens: request.PromptTokens - f.bestCached(request),
		OutputTokens: request.OutputTokens,
		Deadline:     request.TimeLimit,
		Share:        f.offered.demand(now, request.Tenant),
	})
	if f.owner != nil {
		f.owner.arrive(now, request)
		return arrived
	}
	if f.settings.admission && f.hopeless(now, arrived) {
		arrived.shed = true
		return arrived
	}
	f.queue.push(arrived)
	f.schedule(now)
	return arrived
}

// bestCached is the longest cached prefix at any engine.
func (f *front) bestCached(request *Request) int {
	longest := 0
	for _, each := range f.engines {
		longest = max(longest, f.cachedTokens(each.name, request))
	}
	return longest
}

func (f *front) cachedTokens(name string, request *Request) int {
	if !f.settings.prefixes {
		return 0
	}
	return f.prefixes.CachedBlocks(name, request.PrefixBlocks) * engine.PrefixBlockTokens
}

// hopeless tells whether the work that is queued before a request leaves no time to answer it.
func (f *front) hopeless(now time.Time, candidate *call) bool {
	ahead := f.queue.secondsBefore(candidate, f.leastSeconds) / float64(len(f.engines))
	return ahead+f.bestFinish(candidate) > candidate.secondsLeft(now)
}

// leastSeconds is the engine time of a request at the role that suits it best.
func (f *front) leastSeconds(request *Request) float64 {
	least := 0.0
	for _, role := range engine.Roles() {
		speed := f.speeds.Speeds[role]
		step := speed.StepSeconds + speed.StepSecondsPerRun*float64(speed.Slots-1)
		seconds := float64(request.PromptTokens)/speed.PromptTokensPerSecond +
			float64(request.OutputTokens)*step/float64(speed.Slots)
		if least == 0 || seconds < least {
			least = seconds
		}
	}
	return least
}

// bestFinish is the time that an idle engine would take.
func (f *front) bestFinish(candidate *call) float64 {
	request := candidate.request
	uncached := request.PromptTokens - f.bestCached(request)
	best := 0.0
	for _, role := range engine.Roles() {
		speed := f.speeds.Speeds[role]
		seconds := float64(uncached)/speed.PromptTokensPerSecond + float64(request.OutputTokens)*speed.StepSeconds
		if best == 0 || seconds < best {
			best = seconds
		}
	}
	return best
}

// schedule gives queued requests to engines until one finds none.
func (f *front) schedule(now time.Time) {
	if f.owner != nil {
		return
	}
	for {
		next := f.queue.head()
		if next == nil || !f.dispatch(now, next) {
			return
		}
	}
}

// dispatch places a request and submits it. It returns false when the request has to wait.
func (f *front) dispatch(now time.Time, next *call) bool {
	if f.settings.admission && f.bestFinish(next) > next.secondsLeft(now) {
		f.queue.remove(next)
		next.shed = true
		return true
	}
	result := f.placer.place(now, f.placementRequest(now, next), f.placementEngines(now, next.request))
	if result.Engine == "" {
		return false
	}
	if f.settings.admission && result.FinishSeconds > f.allowedSeconds(now, next) {
		f.queue.remove(next)
		next.shed = true
		return true
	}
	f.queue.remove(next)
	f.given.record(now, next.request.Tenant, queueCost(next.request))
	f.submit(now, next, f.engines[f.fleet.index[result.Engine]])
	return true
}

// lateFactor is the part of the time left that the expected time may take. Taking requests that are hardly in time
// makes others late.
const lateFactor = 0.9

// allowedSeconds is how long the answer may be expected to take. Tenants above their fair share leave a part of the slack
// to the others, so that they are the ones who are given up first when engines become slow.
func (f *front) allowedSeconds(now time.Time, next *call) float64 {
	allowed := lateFactor * next.secondsLeft(now)
	if !f.settings.fair {
		return allowed
	}
	best := min(allowed, f.bestFinish(next))
	return best + f.given.slack(now, next.request.Tenant)*(allowed-best)
}

func (f *front) placementRequest(now time.Time, next *call) placement.Request {
	return placement.Request{
		ID:           next.request.ID,
		Model:        modelName,
		PromptTokens: next.request.PromptTokens,
		OutputTokens: next.request.OutputTokens,
	}
}

func (f *front) placementEngines(now time.Time, request *Request) []placement.Engine {
	result := make([]placement.Engine, 0, len(f.engines))
	for _, each := range f.engines {
		candidate := each.placement(now)
		candidate.CachedTokens = f.cachedTokens(each.name, request)
		result = append(result, candidate)
	}
	return result
}

// countSubmit counts a request at the engine that gets it.
func (f *front) countSubmit(now time.Time, next *call, name string) {
	target := f.engines[f.fleet.index[name]]
	next.uncached = max(1, next.request.PromptTokens-f.cachedTokens(name, next.request))
	next.engine = name
	target.reserve(next)
	target.reading.Record(now, next.uncached, f.speeds.Speeds[target.configuration.Role])
	f.prefixes.RecordDispatch(name, incarnation, next.request.PrefixBlocks)
}

func (f *front) submit(now time.Time, next *call, target *engineState) {
	f.countSubmit(now, next, target.name)
	f.send(now, engine.Submit{
		Engine:              target.name,
		ExpectedIncarnation: incarnation,
		ExpectedGeneration:  target.generation,
		RequestID:           next.request.ID,
		Model:               modelName,
		PromptTokens:        uint32(next.request.PromptTokens),
		PrefixBlocks:        next.request.PrefixBlocks,
		MaxTokens:           uint32(next.request.OutputTokens),
		Priority:            next.request.Priority,
	})
}

// send gives a command to an engine and handles what it says at once.
func (f *front) send(now time.Time, command engine.Command) {
	for _, each := range f.fleet.handle(now, command) {
		f.handleEvent(now, each.Event)
	}
}

// tick runs an engine that is due.
func (f *front) tick(now time.Time, number int) {
	for _, each := range f.fleet.tick(now, number) {
		f.handleEvent(now, each.Event)
	}
}

func (f *front) handleEvent(now time.Time, event engine.Event) {
	if f.owner != nil {
		defer f.owner.handle(now, event)
	}
	switch typed := event.(type) {
	case engine.Tokens:
		f.handleTokens(now, typed)
	case engine.Refused:
		f.handleRefused(now, typed)
	case engine.CacheEvent:
		f.prefixes.HandleCacheEvent(typed)
	case engine.Status:
		f.handleStatus(now, typed)
	}
}

func (f *front) handleTokens(now time.Time, event engine.Tokens) {
	running, known := f.calls[event.RequestID]
	if !known {
		return
	}
	state := f.engines[f.fleet.index[event.Engine]]
	if running.firstToken.IsZero() && len(event.Tokens) > 0 {
		running.firstToken = now
		state.started(running)
	}
	state.progress(len(event.Tokens))
	running.received += len(event.Tokens)
	if !event.Finished && event.Error == "" {
		return
	}
	state.release(running)
	delete(f.calls, event.RequestID)
	if event.Finished {
		running.finished = now
	}
	f.schedule(now)
}

// handleRefused queues a request again. The front knows the state of engines exactly, so this is rare.
func (f *front) handleRefused(now time.Time, event engine.Refused) {
	running, known := f.calls[event.RequestID]
	if !known {
		return
	}
	f.engines[f.fleet.index[event.Engine]].release(running)
	running.engine = ""
	if f.owner == nil {
		f.queue.push(running)
	}
}

// periodic gives up what can no longer be answered in time, and asks engines for their load.
func (f *front) periodic(now time.Time) {
	if f.owner != nil {
		f.owner.tick(now)
	}
	if f.settings.admission {
		for _, each := range f.queue.all() {
			if f.bestFinish(each) > each.secondsLeft(now) {
				f.queue.remove(each)
				each.shed = true
			}
		}
	}
	for _, each := range f.engines {
		f.send(now, engine.Probe{Engine: each.name})
	}
	f.schedule(now)
}
