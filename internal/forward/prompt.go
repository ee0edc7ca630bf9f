package forward

import (
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
	shared     sharedPart
	// deferred prompts are read after all others.
	deferred bool
	// holders keep the shared part.
	holders []holder
}

// promptOf gathers what is known of a prompt. The mutex is held.
func (d *Dispatcher) promptOf(request *Request, group *routing.Group) *prompt {
	one := &prompt{dispatcher: d, request: request, group: group, shared: sharedPartOf(request.Demand)}
	one.holders = d.usableHolders(one.shared.key)
	if one.shared.tokens > 0 && one.shared.tokens < d.settings.LeastSharedTokens {
		one.holders = d.homesOf(one)
	}
	return one
}

// homesOf returns the engines that are taken to keep a short shared part, which is not followed: the preferred ones.
func (d *Dispatcher) homesOf(one *prompt) []holder {
	var homes []holder
	for _, role := range []backend.Role{backend.RolePrefill, backend.RoleDecode} {
		if home := d.balancer.Home(d.now(), one.query(role, "", nil)); home != nil {
			homes = append(homes, holder{worker: home})
		}
	}
	return homes
}

// query asks for an engine of a role.
func (p *prompt) query(role backend.Role, zone string, excluded []string) balance.Query {
	return balance.Query{
		Request: p.request.ID, Group: p.group.Name, Role: role, Key: p.shared.key, Zone: zone, Excluded: excluded,
		Deferred: p.deferred,
	}
}

// reading is what the prompt costs an engine that reads it.
func (p *prompt) reading(worker *backend.Worker) balance.Reading {
	total := p.request.Demand.PromptTokens
	rest := max(total-p.shared.tokens, 1)
	fetchable := false
	for _, each := range p.holders {
		if each.worker.ID == worker.ID {
			return balance.Reading{Tokens: readingWork(rest, total)}
		}
		fetchable = fetchable || each.ready
	}
	settings := &p.dispatcher.settings
	if fetchable && p.group.Engine.LinkMbps > 0 {
		bits := float64(p.shared.tokens) * float64(p.group.Engine.BytesPerToken) * 8
		seconds := settings.FetchWeight * bits / (p.group.Engine.LinkMbps * 1e6)
		return balance.Reading{Tokens: readingWork(rest, total), TransferSeconds: seconds}
	}
	reading := balance.Reading{Tokens: readingWork(total, total)}
	if len(p.holders) > 0 {
		estimate := p.dispatcher.model.Estimate(p.dispatcher.now(), enginemodel.ClassOf(worker))
		reading.TransferSeconds = settings.RereadWeight * float64(p.shared.tokens) * estimate.SecondsPerToken
	}
	return reading
}

// move is what the prompt costs an engine that gets it from a reader.
func (p *prompt) move(worker *backend.Worker) balance.Reading {
	for _, each := range p.holders {
		if each.worker.ID == worker.ID {
			return balance.Reading{}
		}
	}
	return balance.Reading{TransferSeconds: p.dispatcher.settings.MoveSeconds}
}

// attentionPerToken is by how much each token of context slows the reading of one token, relative to the time of a token at
// the beginning of a prompt: attention looks at all pairs of tokens.
const attentionPerToken = 2e-5

// readingWork returns the work of reading the last tokens of a prompt of a length, in tokens at the beginning of a prompt.
func readingWork(tokens, total int) int {
	context := float64(total) - float64(tokens)/2
	return int(float64(tokens) * (1 + attentionPerToken*context))
}

// sharedPart is the beginning of a prompt that other prompts share.
type sharedPart struct {
	key    string
	tokens int
}

// sharedPartOf returns the shared beginning of a prompt.
func sharedPartOf(demand backend.Demand) sharedPart {
	shared := sharedPart{key: demand.AffinityKey()}
	for _, part := range demand.SharedParts() {
		shared.tokens += part.Tokens
	}
	return shared
}

// holder is an engine that keeps a shared part and can be asked for it.
type holder struct {
	worker *backend.Worker
	ready  bool
}

// usableHolders returns the engines that keep a part and take work. The mutex is held.
func (d *Dispatcher) usableHolders(key string) []holder {
	var usable []holder
	for _, known := range d.residency.Holders(key) {
		worker, found := d.balancer.Worker(known.Worker)
		if found && d.balancer.Usable(d.now(), known.Worker) {
			usable = append(usable, holder{worker: worker, ready: known.Ready})
		}
	}
	return usable
}

// sourceFor returns the engine from which a worker gets a shared part: itself, a ready holder of its zone, or any ready one.
func sourceFor(worker *backend.Worker, holders []holder) *backend.Worker {
	var source *backend.Worker
	for _, each := range holders {
		switch {
		case each.worker.ID == worker.ID:
			return worker
		case !each.ready:
		case source == nil || (source.Zone != worker.Zone && each.worker.Zone == worker.Zone):
			source = each.worker
		}
	}
	return source
}
