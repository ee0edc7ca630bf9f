package forward

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/granitebay/granitebay/internal/admission"
	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/routing"
)

// promptContext holds what is needed to place one prompt.
type promptContext struct {
	dispatcher *Dispatcher
	request    *Request
	group      *routing.Group
	shared     sharedPrefix
	// deferred is set if the prompt is prefilled only after all prompts that are not deferred.
	deferred bool
	// slotOrder and prefillOrder are the places of the request in the queues of decode and prefill engines; zero if they are those of its
	// arrival. behindWaiting is set if it waits for a slot behind the deferred ones.
	slotOrder, prefillOrder admission.Order
	behindWaiting           bool
	// versions restricts the engines by the versions of their software. The prompt may be prefilled at another version than that of the stream.
	versions versionFilter
	// suspectKey spreads suspect requests over workers; empty for other requests.
	suspectKey string
	// prefilled is set once the prompt has been prefilled.
	prefilled bool
	// wanted is the response that the request wants; nil if unknown.
	wanted *wantedResponse
	// holders are the engines that have cached a prefix of the prompt, by id.
	holders map[string]cacheHolder
	// holderIDs are the sorted ids of the holders.
	holderIDs []string
	// longestCached is the longest cached prefix in tokens, and longestReady the longest that can be fetched.
	longestCached, longestReady int
}

// newPromptContext collects the placement input of a prompt. The mutex is held.
func (d *Dispatcher) newPromptContext(request *Request, group *routing.Group) *promptContext {
	prompt := &promptContext{dispatcher: d, request: request, group: group, shared: sharedPrefixOf(request.Demand, d.settings.MinSharedTokens)}
	if len(prompt.shared.segments) > 0 {
		prompt.holders = d.usableHolders(prompt.shared.segments)
	} else if prompt.shared.tokens > 0 {
		prompt.holders = d.preferredHolders(prompt)
	}
	prompt.holderIDs = slices.Sorted(maps.Keys(prompt.holders))
	for _, holder := range prompt.holders {
		prompt.longestCached = max(prompt.longestCached, holder.tokens)
		prompt.longestReady = max(prompt.longestReady, holder.readyTokens)
	}
	return prompt
}

// preferredHolders returns the engines that the balancer prefers for the prompt's key. They are assumed to cache shared prefixes that are
// too short to be tracked.
func (d *Dispatcher) preferredHolders(prompt *promptContext) map[string]cacheHolder {
	holders := map[string]cacheHolder{}
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		if preferred := d.balancer.Preferred(d.now(), prompt.query(role, "", nil)); preferred != nil {
			holders[preferred.ID] = cacheHolder{worker: preferred, tokens: prompt.shared.tokens}
		}
	}
	return holders
}

// query returns a query for an engine of a role.
func (p *promptContext) query(role backend.Role, zone string, excluded []string) balance.Query {
	order, eligible := p.slotOrder, p.versions.eligible()
	if role == backend.RolePrefill {
		order, eligible = p.prefillOrder, p.versions.eligiblePrefill()
	}
	return balance.Query{
		Response: p.wanted.forModel(p.dispatcher.now()),
		Request:  p.request.ID, Group: p.group.Name, Role: role, Key: p.shared.affinityKey, Zone: zone, Excluded: excluded,
		YieldingShare: order.YieldingShare, UrgentLoad: order.UrgentLoad, BehindWaiting: p.behindWaiting,
		Deferred: p.deferred, SuspectKey: p.suspectKey, Prefilled: p.prefilled, Holders: p.holderIDs, Concentrate: len(p.shared.segments) == 0,
		Eligible: eligible,
	}
}

// prefillCost returns the cost of prefilling the prompt at an engine, including the penalty for fetching or recomputing what another engine
// has cached.
func (p *promptContext) prefillCost(worker *backend.Worker) balance.PrefillCost {
	total := p.request.Demand.PromptTokens
	cached := p.holders[worker.ID].tokens
	settings := &p.dispatcher.settings
	if p.longestReady > cached && p.group.Engine.LinkMbps > 0 {
		bits := float64(p.longestReady-cached) * float64(p.group.Engine.BytesPerToken) * 8
		seconds := settings.FetchWeight * bits / (p.group.Engine.LinkMbps * 1e6)
		return balance.PrefillCost{Tokens: p.prefillWork(p.longestReady), TransferSeconds: seconds}
	}
	cost := balance.PrefillCost{Tokens: p.prefillWork(cached)}
	if p.longestCached > cached && total > 0 {
		estimate := p.dispatcher.model.Estimate(p.dispatcher.now(), enginemodel.ClassOf(worker))
		cost.TransferSeconds = settings.RecomputeWeight * float64(p.longestCached-cached) * estimate.SecondsPerToken
	}
	return cost
}

// prefillWork returns the work of prefilling what follows the cached tokens.
func (p *promptContext) prefillWork(cached int) int {
	total := p.request.Demand.PromptTokens
	return attentionAdjustedTokens(max(total-cached, 1), total)
}

// transferCost returns the cost of transferring the prefilled prompt to an engine. It falls with the part of the longest cached prefix that
// the engine has.
func (p *promptContext) transferCost(worker *backend.Worker) balance.PrefillCost {
	seconds := p.dispatcher.settings.TransferSeconds
	if cached := p.holders[worker.ID].tokens; cached > 0 {
		seconds *= 1 - float64(cached)/float64(p.longestCached)
	}
	return balance.PrefillCost{TransferSeconds: seconds}
}

// attentionCostPerToken is the relative slowdown of prefilling one token for each token of context, because attention is quadratic in the
// length.
const attentionCostPerToken = 2e-5

// attentionAdjustedTokens returns the work of prefilling the last tokens of a prompt, as the number of tokens without context that take as
// long.
func attentionAdjustedTokens(tokens, total int) int {
	meanContext := float64(total) - float64(tokens)/2
	return int(float64(tokens) * (1 + attentionCostPerToken*meanContext))
}

// sharedPrefix is the prefix that a prompt shares with others, as a path in a prefix tree: a segment can be used only together with those
// before it.
type sharedPrefix struct {
	// affinityKey identifies prompts that should run at the same engines.
	affinityKey string
	tokens      int
	// segments are the segments that are long enough to be tracked per engine.
	segments []prefixSegment
}

// prefixSegment is a segment of a shared prefix, including short segments before it.
type prefixSegment struct {
	key    string
	tokens int
}

// sharedPrefixOf returns the shared prefix of a prompt. Segments with fewer than minTokens are joined with the next.
func sharedPrefixOf(demand backend.Demand, minTokens int) sharedPrefix {
	shared := sharedPrefix{affinityKey: demand.AffinityKey()}
	pending := 0
	for _, segment := range demand.SharedSegments() {
		shared.tokens += segment.Tokens
		pending += segment.Tokens
		if segment.Tokens >= minTokens {
			shared.segments = append(shared.segments, prefixSegment{key: segment.ID, tokens: pending})
			pending = 0
		}
	}
	return shared
}

// cacheHolder is an engine that has cached a prefix of a prompt.
type cacheHolder struct {
	worker *backend.Worker
	// tokens are cached or about to be; readyTokens can be fetched already.
	tokens, readyTokens int
}

// usableHolders returns the engines that have cached the beginning of a prefix and accept work. The mutex is held.
func (d *Dispatcher) usableHolders(segments []prefixSegment) map[string]cacheHolder {
	holders := map[string]cacheHolder{}
	before := 0
	for _, segment := range segments {
		for _, cached := range d.prefixCache.Holders(segment.key) {
			holder, found := holders[cached.Worker]
			if !found && before == 0 {
				holder.worker, found = d.balancer.Worker(cached.Worker)
				found = found && d.balancer.Usable(d.now(), cached.Worker)
			}
			if !found || holder.tokens < before {
				continue
			}
			if cached.Cached && holder.readyTokens == before {
				holder.readyTokens += segment.tokens
			}
			holder.tokens += segment.tokens
			holders[cached.Worker] = holder
		}
		before += segment.tokens
	}
	return holders
}

// fetchSource returns the engine from which a worker fetches what it has not cached of the shared prefix, or nil. It is the engine with
// the longest ready prefix; engines in the worker's zone are preferred.
func (p *promptContext) fetchSource(worker *backend.Worker) *backend.Worker {
	var source cacheHolder
	for _, holder := range p.holders {
		isPreferred := source.worker != nil && holder.readyTokens == source.readyTokens &&
			cmp.Or(compareZones(worker, holder.worker, source.worker), strings.Compare(holder.worker.ID, source.worker.ID)) < 0
		if holder.readyTokens > source.readyTokens || isPreferred {
			source = holder
		}
	}
	if source.worker == nil || source.readyTokens <= p.holders[worker.ID].tokens {
		return nil
	}
	return source.worker
}

// compareZones returns a negative value if only the first of two engines is in the worker's zone, and a positive one if only the second is.
func compareZones(worker, a, b *backend.Worker) int {
	switch {
	case a.Zone == b.Zone || (a.Zone != worker.Zone && b.Zone != worker.Zone):
		return 0
	case a.Zone == worker.Zone:
		return -1
	default:
		return 1
	}
}
