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
type prompt struct {
	dispatcher *Dispatcher
	request    *Request
	group      *routing.Group
	shared     sharedPrefix
	// deferred prompts are read after all others.
	deferred bool
	// apart spreads requests under which workers have ended; empty for others.
	apart string
	// begun is set once the prompt was read.
	begun bool
	// holders keep the beginning of the prompt, by their ids.
	holders map[string]holder
	// near are the ids of these, some of them where they are many.
	near []string
	// longest is the most that a holder keeps, and longestReady the most that one can be asked for.
	longest, longestReady int
}

// promptOf gathers what is known of a prompt. The mutex is held.
func (d *Dispatcher) promptOf(request *Request, group *routing.Group) *prompt {
	one := &prompt{dispatcher: d, request: request, group: group, shared: sharedPrefixOf(request.Demand, d.settings.LeastSharedTokens)}
	if len(one.shared.links) > 0 {
		one.holders = d.usableHolders(one.shared.links)
	} else if one.shared.tokens > 0 {
		one.holders = d.homesOf(one)
	}
	one.near = slices.Sorted(maps.Keys(one.holders))
	for _, each := range one.holders {
		one.longest = max(one.longest, each.tokens)
		one.longestReady = max(one.longestReady, each.ready)
	}
	return one
}

// homesOf returns the engines that are taken to keep a short shared part, which is not followed: the preferred ones.
func (d *Dispatcher) homesOf(one *prompt) map[string]holder {
	homes := map[string]holder{}
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		if home := d.balancer.Home(d.now(), one.query(role, "", nil)); home != nil {
			homes[home.ID] = holder{worker: home, tokens: one.shared.tokens}
		}
	}
	return homes
}

// query asks for an engine of a role.
func (p *prompt) query(role backend.Role, zone string, excluded []string) balance.Query {
	return balance.Query{
		Request: p.request.ID, Group: p.group.Name, Role: role, Key: p.shared.key, Zone: zone, Excluded: excluded,
		Deferred: p.deferred, Apart: p.apart, Begun: p.begun, Near: p.near, Gather: len(p.shared.links) == 0,
	}
}

// reading is what the prompt costs an engine that reads it.
func (p *prompt) reading(worker *backend.Worker) balance.Reading {
	total := p.request.Demand.PromptTokens
	kept := p.holders[worker.ID].tokens
	settings := &p.dispatcher.settings
	if p.longestReady > kept && p.group.Engine.LinkMbps > 0 {
		bits := float64(p.longestReady-kept) * float64(p.group.Engine.BytesPerToken) * 8
		seconds := settings.FetchWeight * bits / (p.group.Engine.LinkMbps * 1e6)
		return balance.Reading{Tokens: p.work(p.longestReady), TransferSeconds: seconds}
	}
	reading := balance.Reading{Tokens: p.work(kept)}
	if p.longest > kept && total > 0 {
		estimate := p.dispatcher.model.Estimate(p.dispatcher.now(), enginemodel.ClassOf(worker))
		reading.TransferSeconds = settings.RereadWeight * float64(p.longest-kept) * estimate.SecondsPerToken
	}
	return reading
}

// work is that of reading what comes behind the tokens that are there already.
func (p *prompt) work(kept int) int {
	total := p.request.Demand.PromptTokens
	return readingWork(max(total-kept, 1), total)
}

// move is what the prompt costs an engine that gets it from a reader.
func (p *prompt) move(worker *backend.Worker) balance.Reading {
	seconds := p.dispatcher.settings.MoveSeconds
	if kept := p.holders[worker.ID].tokens; kept > 0 {
		seconds *= 1 - float64(kept)/float64(p.longest)
	}
	return balance.Reading{TransferSeconds: seconds}
}

// attentionPerToken is by how much each token of context slows the reading of one token, relative to the time of a token at
// the beginning of a prompt: attention looks at all pairs of tokens.
const attentionPerToken = 2e-5

// readingWork returns the work of reading the last tokens of a prompt of a length, in tokens at the beginning of a prompt.
func readingWork(tokens, total int) int {
	context := float64(total) - float64(tokens)/2
	return int(float64(tokens) * (1 + attentionPerToken*context))
}

// sharedPrefix is the beginning of a prompt that other prompts share, as a path in the tree of shared parts: a link is of use
// only behind those before it.
type sharedPrefix struct {
	// key names the prompts that are worth keeping together.
	key    string
	tokens int
	// links are the parts that are long enough to be followed over the engines.
	links []link
}

// link is a part of a shared prefix, with the tokens of short parts before it.
type link struct {
	key    string
	tokens int
}

// sharedPrefixOf returns the shared beginning of a prompt. Parts below the least tokens are not followed by themselves.
func sharedPrefixOf(demand backend.Demand, least int) sharedPrefix {
	shared := sharedPrefix{key: demand.AffinityKey()}
	pending := 0
	for _, part := range demand.SharedParts() {
		shared.tokens += part.Tokens
		pending += part.Tokens
		if part.Tokens >= least {
			shared.links = append(shared.links, link{key: part.ID, tokens: pending})
			pending = 0
		}
	}
	return shared
}

// holder is an engine that keeps the beginning of a prompt.
type holder struct {
	worker *backend.Worker
	// tokens that the engine keeps, or is about to, and ready ones that it can be asked for.
	tokens, ready int
}

// usableHolders returns the engines that keep the beginning of a prefix and take work. The mutex is held.
func (d *Dispatcher) usableHolders(links []link) map[string]holder {
	holders := map[string]holder{}
	before := 0
	for _, link := range links {
		for _, known := range d.residency.Holders(link.key) {
			one, found := holders[known.Worker]
			if !found && before == 0 {
				one.worker, found = d.balancer.Worker(known.Worker)
				found = found && d.balancer.Usable(d.now(), known.Worker)
			}
			if !found || one.tokens < before {
				continue
			}
			if known.Ready && one.ready == before {
				one.ready += link.tokens
			}
			one.tokens += link.tokens
			holders[known.Worker] = one
		}
		before += link.tokens
	}
	return holders
}

// source returns the engine from which a worker takes what it does not keep of the prompt, or nil: the one that keeps most, in its
// own zone if there is one.
func (p *prompt) source(worker *backend.Worker) *backend.Worker {
	var source holder
	for _, each := range p.holders {
		closer := source.worker != nil && each.ready == source.ready &&
			cmp.Or(compareZones(worker, each.worker, source.worker), strings.Compare(each.worker.ID, source.worker.ID)) < 0
		if each.ready > source.ready || closer {
			source = each
		}
	}
	if source.worker == nil || source.ready <= p.holders[worker.ID].tokens {
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
