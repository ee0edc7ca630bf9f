package placement

import "github.com/samber/lo"

// Names of the filters, as they appear in decisions.
const (
	FilterExcluded  = "excluded"
	FilterGroup     = "group"
	FilterModel     = "model"
	FilterAdapter   = "adapter"
	FilterRole      = "role"
	FilterDraining  = "draining"
	FilterChanging  = "changing"
	FilterLeaving   = "leaving"
	FilterUnready   = "unready"
	FilterCircuit   = "circuit-open"
	FilterSlots     = "slots"
	FilterMemory    = "memory"
	FilterTooLong   = "too-long"
	FilterHoldUp    = "hold-up"
	noFilterRemoved = ""
)

// filter removes engines that cannot take a request.
type filter struct {
	name    string
	removes func(request *Request, candidate *Engine, settings *Settings) bool
}

// filters in the order in which they are asked: lasting reasons before passing ones.
var filters = []filter{
	{FilterExcluded, func(request *Request, candidate *Engine, _ *Settings) bool {
		return lo.Contains(request.ExcludedEngines, candidate.Name)
	}},
	{FilterGroup, func(request *Request, candidate *Engine, _ *Settings) bool {
		return len(request.AllowedGroups) > 0 && !lo.Some(request.AllowedGroups, candidate.Groups)
	}},
	{FilterLeaving, func(_ *Request, candidate *Engine, _ *Settings) bool { return candidate.Leaving }},
	{FilterUnready, func(_ *Request, candidate *Engine, _ *Settings) bool { return candidate.Unready }},
	{FilterModel, func(request *Request, candidate *Engine, _ *Settings) bool {
		version := request.ModelVersion
		return request.Model != candidate.Configuration.Model ||
			(version != "" && version != candidate.Configuration.ModelVersion)
	}},
	{FilterAdapter, func(request *Request, candidate *Engine, _ *Settings) bool {
		return request.Adapter != "" && !lo.Contains(candidate.Configuration.Adapters, request.Adapter)
	}},
	{FilterRole, func(_ *Request, candidate *Engine, settings *Settings) bool {
		_, known := settings.Speeds[candidate.Configuration.Role]
		return !known
	}},
	{FilterTooLong, func(request *Request, candidate *Engine, _ *Settings) bool {
		return candidate.MemoryTotal > 0 && memoryNeed(request) > candidate.MemoryTotal
	}},
	{FilterDraining, func(_ *Request, candidate *Engine, _ *Settings) bool { return candidate.Draining }},
	{FilterChanging, func(_ *Request, candidate *Engine, _ *Settings) bool { return candidate.Changing }},
	{FilterCircuit, func(_ *Request, candidate *Engine, _ *Settings) bool { return candidate.CircuitOpen }},
	{FilterSlots, func(_ *Request, candidate *Engine, settings *Settings) bool {
		return candidate.Running >= settings.Speeds[candidate.Configuration.Role].Slots
	}},
	{FilterHoldUp, func(request *Request, candidate *Engine, settings *Settings) bool {
		return settings.HoldUpLimitSeconds > 0 && holdUpSeconds(request, candidate, settings) > settings.HoldUpLimitSeconds
	}},
	{FilterMemory, func(request *Request, candidate *Engine, _ *Settings) bool {
		return candidate.MemoryTotal > 0 && candidate.MemoryUsed+memoryNeed(request) > candidate.MemoryTotal
	}},
}

// memoryNeed is the KV cache that a run needs at its end, in tokens.
func memoryNeed(request *Request) int { return request.PromptTokens + request.OutputTokens }

// holdUpSeconds is the time for which reading the prompt holds up the runs that are already there, summed over them.
func holdUpSeconds(request *Request, candidate *Engine, settings *Settings) float64 {
	uncached := max(0, request.PromptTokens-candidate.CachedTokens)
	speed := settings.Speeds[candidate.Configuration.Role]
	return float64(uncached) / speed.PromptTokensPerSecond * float64(candidate.Running)
}

// removedBy returns the name of the first filter that removes the engine.
func removedBy(request *Request, candidate *Engine, settings *Settings) string {
	for _, each := range filters {
		if each.removes(request, candidate, settings) {
			return each.name
		}
	}
	return noFilterRemoved
}

// Passing tells whether a filter removes an engine only for a while, so that a request which finds no other engine
// should wait in the queue.
func Passing(filterName string) bool {
	switch filterName {
	case FilterDraining, FilterChanging, FilterCircuit, FilterSlots, FilterMemory, FilterHoldUp, FilterUnready:
		return true
	default:
		return false
	}
}
