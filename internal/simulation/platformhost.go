package simulation

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

// Behaviour of the platform.
const (
	// platformTimeout is how long a process waits for an answer of the platform.
	platformTimeout = 2 * time.Second
	// registerInterval is the time between renewals of a registration on the membership list.
	registerInterval = 3 * time.Second
	// listPoll is the time between two looks at the membership list from outside.
	listPoll = 250 * time.Millisecond
	// limitedPerMille is the share of requests that a service refuses while its rate is limited.
	limitedPerMille = 700
	limitedWait     = 300 * time.Millisecond
	// lostAnswerShare is the share of answers that are lost while answers are lost.
	lostAnswerShare = 0.3
)

// setupClient is the client that puts the first configuration in place.
const setupClient = "setup"

// askedKey is one request of one incarnation of a process.
type askedKey struct {
	client string
	id     platform.RequestID
}

// platformHost runs the model of the platform.
type platformHost struct {
	world *world
	model *platformmodel.Model
	// clients are the processes behind the names of clients, pending the requests without an answer.
	clients map[string]*processHost
	pending map[askedKey]bool
	// lastArrival keeps the changes of watches for one client in order.
	lastArrival map[string]time.Duration
	wakeAt      time.Duration
	wakeNumber  uint64
	revision    uint64

	limited bool
	// silent is set while an outage swallows requests.
	silent bool
	// stale is set while load reports and cache events come very late; the membership list then stands still as frozen.
	stale   bool
	frozen  []platform.Member
	leaving map[string]bool
}

func newPlatformHost(w *world) *platformHost {
	settings := platformmodel.DefaultSettings()
	settings.RecordAllCommits = true
	settings.OutageLeases = pick(newRandom(w.seed, streamPlatform), platformmodel.OutageKeepsLeases, platformmodel.OutageExpiresLeases)
	return &platformHost{world: w, model: platformmodel.New(settings, newRandom(w.seed, streamPlatform)),
		clients: map[string]*processHost{}, pending: map[askedKey]bool{}, lastArrival: map[string]time.Duration{},
		leaving: map[string]bool{}}
}

// now is the time by the clock of the platform.
func (p *platformHost) now() time.Time { return startOfTime.Add(p.world.now) }

// start puts the first configuration in place and begins the looks at the membership list.
func (p *platformHost) start() {
	document, err := json.Marshal(simulatedDocument(p.world.deployment))
	if err != nil {
		panic(err) // a document always marshals
	}
	put := platform.Put{Key: configuration.StoreKey, Value: document}
	p.model.Handle(p.now(), setupClient, 1, platform.Transaction{Puts: []platform.Put{put}})
	p.model.TakeDeliveries()
	p.world.after(listPoll, p.watchList)
	p.world.after(registerInterval, p.renewAll)
}

// send takes a request of a process to the platform.
func (p *platformHost) send(sender *processHost, asked core.PlatformRequest) {
	key := askedKey{client: sender.client(), id: asked.ID}
	p.world.trace.value(p.world.now, "platform request", key.client, asked.Request)
	if write, writes := asked.Request.(platform.Transaction); writes {
		p.world.sending(sender, momentOf(write))
	}
	p.clients[key.client] = sender
	p.pending[key] = true
	p.world.after(platformTimeout, func() {
		if p.pending[key] {
			p.respond(key, platform.Response{ID: key.id, Failure: platform.FailureUnknown})
		}
	})
	if p.world.network.isCut(sender.endpoint, platformEndpoint) {
		return
	}
	p.world.after(p.world.network.delay(sender.endpoint, platformEndpoint)+sender.stalled(), func() { p.receive(key, asked.Request) })
}

// momentOf returns the variant of faults that wait for a write.
func momentOf(write platform.Transaction) Variant {
	for _, put := range write.Puts {
		switch {
		case put.Key == configuration.StoreKey:
			return VariantMidEdit
		case strings.HasPrefix(put.Key, recordPrefix):
			return VariantMidRecord
		}
	}
	return VariantNone
}

// receive takes a request that arrived.
func (p *platformHost) receive(key askedKey, request platform.Request) {
	if p.limited && p.world.network.chance(limitedPerMille) {
		p.answer(key, platform.Response{ID: key.id, Failure: platform.FailureRateLimited, RetryAfter: limitedWait})
		return
	}
	_, lists := request.(platform.ListMembers)
	if lists && p.stale {
		p.answer(key, platform.Response{ID: key.id, Members: p.frozen})
		return
	}
	if p.silent && !lists {
		return
	}
	p.model.Handle(p.now(), key.client, key.id, request)
	p.flush()
}

// flush notes new commits, sends what clients get, and plans the next wake of the model.
func (p *platformHost) flush() {
	p.observeCommits()
	for _, delivery := range p.model.TakeDeliveries() {
		if delivery.Response != nil {
			p.answer(askedKey{client: delivery.Client, id: delivery.Response.ID}, *delivery.Response)
			continue
		}
		p.sendChange(delivery.Client, *delivery.Watch)
	}
	p.planWake()
}

// observeCommits notes the commits since the last time.
func (p *platformHost) observeCommits() {
	if p.model.Revision() == p.revision {
		return
	}
	commits := p.model.History()
	for _, commit := range commits[len(commits)-int(p.model.Revision()-p.revision):] {
		p.world.observe(StoreCommitted{Seen: p.world.seen(), Revision: commit.Revision, Changed: commit.Puts, Deleted: commit.Deletes})
	}
	p.revision = p.model.Revision()
}

// answer takes a response to its client, unless the way is cut.
func (p *platformHost) answer(key askedKey, response platform.Response) {
	client := p.clients[key.client]
	if p.world.network.isCut(platformEndpoint, client.endpoint) {
		return
	}
	delay := p.world.network.delay(platformEndpoint, client.endpoint)
	p.world.after(delay, func() { p.respond(key, response) })
}

// respond hands a response to the process, once.
func (p *platformHost) respond(key askedKey, response platform.Response) {
	if !p.pending[key] {
		return
	}
	delete(p.pending, key)
	client := p.clients[key.client]
	if client.client() != key.client || client.state == processDead {
		return
	}
	p.world.trace.value(p.world.now, "platform response", key.client, response)
	client.do(func(now time.Time, effects *core.Effects) { client.node.HandlePlatformResponse(now, response, effects) })
}

// sendChange takes a change to a watcher. If the way is cut, the watch breaks.
func (p *platformHost) sendChange(name string, change platform.WatchEvent) {
	client := p.clients[name]
	if p.world.network.isCut(platformEndpoint, client.endpoint) {
		p.model.CancelWatch(name, change.ID)
		closed := platform.WatchEvent{ID: change.ID, Revision: change.Revision - 1, Closed: true}
		p.world.after(brokenAfter, func() { p.change(client, name, closed) })
		return
	}
	delay := p.world.network.delay(platformEndpoint, client.endpoint)
	arrival := max(p.world.now+delay, p.lastArrival[name])
	p.lastArrival[name] = arrival
	p.world.at(arrival, func() { p.change(client, name, change) })
}

// change hands a change to the process.
func (p *platformHost) change(client *processHost, name string, change platform.WatchEvent) {
	if client.client() != name || client.state == processDead {
		return
	}
	p.world.trace.value(p.world.now, "platform watch", name, change)
	client.do(func(now time.Time, effects *core.Effects) { client.node.HandlePlatformWatch(now, change, effects) })
}

// disconnect forgets a client that ended.
func (p *platformHost) disconnect(name string) { p.model.DisconnectClient(name) }

// register puts a machine on the membership list.
func (p *platformHost) register(machine Machine, incarnation uint64) {
	p.model.RegisterMember(p.now(), member(machine, incarnation))
	p.flush()
}

// setLeaving marks a machine as leaving, or takes that back when it was replaced.
func (p *platformHost) setLeaving(name string, leaving bool) {
	p.model.SetLeaving(p.now(), name, leaving)
	p.flush()
}

// deregister takes a machine off the list.
func (p *platformHost) deregister(name string) {
	p.model.RemoveMember(p.now(), name)
	p.flush()
}

// renewAll renews the registrations of all machines that run.
func (p *platformHost) renewAll() {
	for _, machine := range p.world.deployment.Engines {
		if host := p.world.engines[machine.Name]; host.alive {
			p.model.RegisterMember(p.now(), member(machine, host.incarnation))
		}
	}
	for _, name := range sortedKeys(p.world.processes) {
		if host := p.world.processes[name]; host.state != processDead {
			p.model.RegisterMember(p.now(), member(host.machine, host.incarnation))
		}
	}
	p.flush()
	p.world.after(registerInterval, p.renewAll)
}

// watchList notes which engines the list shows as leaving.
func (p *platformHost) watchList() {
	members := p.frozen
	if !p.stale {
		members = p.model.Members(p.now())
	}
	for _, listed := range members {
		host := p.world.engines[listed.Name]
		if listed.Leaving && host != nil && !p.leaving[listed.Name] {
			p.leaving[listed.Name] = true
			host.observeState(EngineLeaving)
		}
	}
	p.world.after(listPoll, p.watchList)
}

// setOutage begins or ends an outage, in which requests are refused or get no answer.
func (p *platformHost) setOutage(silent, on bool) {
	p.silent = silent && on
	p.model.SetOutage(p.now(), on)
	p.flush()
}

// setStale makes reports late and freezes the membership list, or ends that.
func (p *platformHost) setStale(stale bool) {
	p.stale = stale
	p.frozen = p.model.Members(p.now())
}

// planWake plans the next tick of the model.
func (p *platformHost) planWake() {
	wake := p.model.NextWake()
	if wake.IsZero() {
		return
	}
	at := max(wake.Sub(startOfTime), p.world.now)
	if at == p.wakeAt {
		return
	}
	p.wakeAt = at
	p.wakeNumber++
	number := p.wakeNumber
	p.world.at(at, func() {
		if p.wakeNumber != number {
			return
		}
		p.wakeAt = 0
		p.model.Tick(p.now())
		p.flush()
	})
}
