package forward

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/balance"
	"github.com/granitebay/granitebay/internal/enginemodel"
	"github.com/granitebay/granitebay/internal/routing"
)

// prompt is what placement knows of the prompt of a request.
type promptContext struct {
	dispatcher *Dispatcher
	request    *Request
	group      *routing.Group
	shared     sharedPrefix
	// deferred prompts are read after all others.
	deferred bool
	// apart spreads requests under which workers have ended; empty for others.
	suspectKey string
	// begun is set once the prompt was read.
	prefilled bool
	// holders keep the beginning of the prompt, by their ids.
	holders map[string]cacheHolder
	// near are the ids of these, some of them where they are many.
	holderIDs []string
	// longest is the most that a holder keeps, and longestReady the most that one can be asked for.
	longestCached, longestReady int
}

// promptOf gathers what is known of a prompt. The mutex is held.
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

// homesOf returns the engines that are taken to keep a short shared part, which is not followed: the preferred ones.
func (d *Dispatcher) preferredHolders(prompt *promptContext) map[string]cacheHolder {
	holders := map[string]cacheHolder{}
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		if preferred := d.balancer.Home(d.now(), prompt.query(role, "", nil)); preferred != nil {
			holders[preferred.ID] = cacheHolder{worker: preferred, tokens: prompt.shared.tokens}
		}
	}
	return holders
}

// query asks for an engine of a role.
func (p *promptContext) query(role backend.Role, zone string, excluded []string) balance.Query {
	return balance.Query{
		Request: p.request.ID, Group: p.group.Name, Role: role, Key: p.shared.key, Zone: zone, Excluded: excluded,
		Deferred: p.deferred, Apart: p.suspectKey, Begun: p.prefilled, Near: p.holderIDs, Gather: len(p.shared.segments) == 0,
	}
}

// reading is what the prompt costs an engine that reads it.
func (p *promptContext) prefillCost(worker *backend.Worker) balance.Reading {
	total := p.request.Demand.PromptTokens
	cached := p.holders[worker.ID].tokens
	settings := &p.dispatcher.settings
	if p.longestReady > cached && p.group.Engine.LinkMbps > 0 {
		bits := float64(p.longestReady-cached) * float64(p.group.Engine.BytesPerToken) * 8
		seconds := settings.FetchWeight * bits / (p.group.Engine.LinkMbps * 1e6)
		return balance.Reading{Tokens: p.prefillWork(p.longestReady), TransferSeconds: seconds}
	}
	reading := balance.Reading{Tokens: p.prefillWork(cached)}
	if p.longestCached > cached && total > 0 {
		estimate := p.dispatcher.model.Estimate(p.dispatcher.now(), enginemodel.ClassOf(worker))
		reading.TransferSeconds = settings.RecomputeWeight * float64(p.longestCached-cached) * estimate.SecondsPerToken
	}
	return reading
}

// work is that of reading what comes behind the tokens that are there already.
func (p *promptContext) prefillWork(cached int) int {
	total := p.request.Demand.PromptTokens
	return attentionAdjustedTokens(max(total-cached, 1), total)
}

// move is what the prompt costs an engine that gets it from a reader.
func (p *promptContext) transferCost(worker *backend.Worker) balance.Reading {
	seconds := p.dispatcher.settings.TransferSeconds
	if cached := p.holders[worker.ID].tokens; cached > 0 {
		seconds *= 1 - float64(cached)/float64(p.longestCached)
	}
	return balance.Reading{TransferSeconds: seconds}
}

// attentionPerToken is by how much each token of context slows the reading of one token, relative to the time of a token at
// the beginning of a prompt: attention looks at all pairs of tokens.
const attentionCostPerToken = 2e-5

// readingWork returns the work of reading the last tokens of a prompt of a length, in tokens at the beginning of a prompt.
func attentionAdjustedTokens(tokens, total int) int {
	context := float64(total) - float64(tokens)/2
	return int(float64(tokens) * (1 + attentionCostPerToken*context))
}

// sharedPrefix is the beginning of a prompt that other prompts share, as a path in the tree of shared parts: a link is of use
// only behind those before it.
type sharedPrefix struct {
	// key names the prompts that are worth keeping together.
	key    string
	tokens int
	// links are the parts that are long enough to be followed over the engines.
	segments []prefixSegment
}

// link is a part of a shared prefix, with the tokens of short parts before it.
type prefixSegment struct {
	key    string
	tokens int
}

// sharedPrefixOf returns the shared beginning of a prompt. Parts below the least tokens are not followed by themselves.
func sharedPrefixOf(demand backend.Demand, minTokens int) sharedPrefix {
	shared := sharedPrefix{key: demand.AffinityKey()}
	pending := 0
	for _, part := range demand.SharedParts() {
		shared.tokens += part.Tokens
		pending += part.Tokens
		if part.Tokens >= minTokens {
			shared.segments = append(shared.segments, prefixSegment{key: part.ID, tokens: pending})
			pending = 0
		}
	}
	return shared
}

// holder is an engine that keeps the beginning of a prompt.
type cacheHolder struct {
	worker *backend.Worker
	// tokens that the engine keeps, or is about to, and ready ones that it can be asked for.
	tokens, readyTokens int
}

// usableHolders returns the engines that keep the beginning of a prefix and take work. The mutex is held.
func (d *Dispatcher) usableHolders(segments []prefixSegment) map[string]cacheHolder {
	holders := map[string]cacheHolder{}
	before := 0
	for _, segment := range segments {
		for _, cached := range d.residency.Holders(segment.key) {
			holder, found := holders[cached.Worker]
			if !found && before == 0 {
				holder.worker, found = d.balancer.Worker(cached.Worker)
				found = found && d.balancer.Usable(d.now(), cached.Worker)
			}
			if !found || holder.tokens < before {
				continue
			}
			if cached.Ready && holder.readyTokens == before {
				holder.readyTokens += segment.tokens
			}
			holder.tokens += segment.tokens
			holders[cached.Worker] = holder
		}
		before += segment.tokens
	}
	return holders
}

// source returns the engine from which a worker takes what it does not keep of the prompt, or nil: the one that keeps most, in its
// own zone if there is one.
func (p *promptContext) fetchSource(worker *backend.Worker) *backend.Worker {
	var source cacheHolder
	for _, holder := range p.holders {
		closer := source.worker != nil && holder.readyTokens == source.readyTokens &&
			cmp.Or(compareZones(worker, holder.worker, source.worker), strings.Compare(holder.worker.ID, source.worker.ID)) < 0
		if holder.readyTokens > source.readyTokens || closer {
			source = holder
		}
	}
	if source.worker == nil || source.readyTokens <= p.holders[worker.ID].tokens {
		return nil
	}
	return source.worker
}

// compareZones is less than zero when only the first of two engines is in the zone of a worker.
func compareZones(worker, one, other *backend.Worker) int {
	switch {
	case one.Zone == other.Zone || (one.Zone != worker.Zone && other.Zone != worker.Zone):
		return 0
	case one.Zone == worker.Zone:
		return -1
	default:
		return 1
	}
}
