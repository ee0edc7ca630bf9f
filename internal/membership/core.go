package membership

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// Core is the membership protocol of one router.
type Core struct {
	settings Settings
	random   *rand.Rand
	table    *table
	self     *record
	// superseded is set once a later process of the same name is known.
	superseded bool

	// rumors counts how often the news of a member was sent.
	rumors map[string]int
	// wantRecords is set while a peer's digest differs; recordsAfter is the last name of the records that came.
	wantRecords  bool
	recordsAfter string
	lastGossip   time.Time

	// order is the round of members to probe, and next the position in it.
	order       []string
	next        int
	nextProbeAt time.Time
	lastProbeID uint64
	probes      []*probe
	relays      []relay
	// quick holds members to probe out of turn, and quickSent how many were since the last gossip.
	quick     []string
	quickSent int

	derived derived

	contacts      map[string]contact
	contactCursor string
	lastContact   time.Time

	// started is set with the first input. Before it, wake is the epoch of Unix time: due at once.
	started bool
	wake    time.Time
}

// New returns the core of a router that knows only itself and its seeds.
func New(settings Settings, random *rand.Rand) *Core {
	settings = settings.withDefaults()
	settings.Self.Sequence, settings.Self.State = 0, ""
	c := &Core{
		settings: settings,
		random:   random,
		table:    newTable(),
		self:     &record{member: settings.Self},
		rumors:   make(map[string]int),
		contacts: make(map[string]contact),
		wake:     time.Unix(0, 0),
	}
	c.table.add(c.self)
	c.rumors[settings.Self.Name] = 0
	for _, seed := range settings.Seeds {
		c.contacts[seed.Name] = contact{name: seed.Name, address: seed.Address, seed: true}
	}
	delete(c.contacts, settings.Self.Name)
	return c
}

// HandleEnvelope takes Ping, PingAck and PingRequest, and ignores other messages.
func (c *Core) HandleEnvelope(now time.Time, envelope *granitebayv1.Envelope, effects *core.Effects) {
	c.observe(now)
	defer c.setWake(now)
	switch body := envelope.GetBody().(type) {
	case *granitebayv1.Envelope_Ping:
		c.handlePing(now, envelope.GetFrom(), body.Ping, effects)
	case *granitebayv1.Envelope_PingAck:
		c.handlePingAck(now, envelope.GetFrom(), body.PingAck, effects)
	case *granitebayv1.Envelope_PingRequest:
		c.handlePingRequest(now, envelope.GetFrom(), body.PingRequest, effects)
	}
}

// HandlePeerUnreachable takes word that a message to a peer could not be handed over, which prompts a probe.
func (c *Core) HandlePeerUnreachable(now time.Time, name string, effects *core.Effects) {
	c.observe(now)
	defer c.setWake(now)
	c.probeSoon(now, name, effects)
}

// Leave makes this process leave: it tells some members at once, and they the others.
func (c *Core) Leave(now time.Time, effects *core.Effects) {
	c.observe(now)
	defer c.setWake(now)
	if c.self.leaving {
		return
	}
	c.leaveSelf("This router was asked to stop.", effects)
	c.gossip(now, 2*c.settings.GossipPeers, effects)
}

// Tick runs what is due.
func (c *Core) Tick(now time.Time, effects *core.Effects) {
	c.observe(now)
	defer c.setWake(now)
	c.tickProbes(now, effects)
	c.tickDeadlines(now, effects)
	c.tickContacts(now, effects)
	c.tickGossip(now, effects)
}

// NextWake tells when Tick is due next. Before the first input it is a time long past.
func (c *Core) NextWake() time.Time { return c.wake }

// Members returns all members, this process and the dead included, sorted by name. The caller must not change them.
func (c *Core) Members() []Member {
	c.table.export()
	return c.table.all
}

// Live returns the members that may get new work, sorted by name: those alive or suspect, and not leaving. This
// process is one of them unless it leaves. The caller must not change them.
func (c *Core) Live() []Member {
	c.table.export()
	return c.table.live
}

// Lookup returns a member by name.
func (c *Core) Lookup(name string) (Member, bool) {
	found, ok := c.table.records[name]
	if !ok {
		return Member{}, false
	}
	return found.exported(), true
}

// Version grows when the result of Members changes.
func (c *Core) Version() uint64 { return c.table.version }

// Superseded tells whether a later process of the same name is known. This one must stop.
func (c *Core) Superseded() bool { return c.superseded }

// observe notes the time of an input. A process that ran much later than it should have was paused or starved: what did
// not come meanwhile may be waiting, so open probes are dropped and every suspect gets its full time again.
func (c *Core) observe(now time.Time) {
	if !c.started {
		c.started = true
		c.wake = now
		c.nextProbeAt = now.Add(time.Duration(c.random.Int64N(int64(c.settings.ProbeInterval))))
		return
	}
	if now.Sub(c.wake) <= c.settings.ProbeTimeout {
		return
	}
	c.probes, c.relays = nil, nil
	c.table.revision++
	for _, name := range c.table.names {
		if suspect := c.table.records[name]; suspect.health == healthSuspect {
			suspect.deadline = now.Add(c.settings.SuspicionTimeout)
		}
	}
}

// setWake works out when Tick is due next, which is not before now.
func (c *Core) setWake(now time.Time) {
	c.wake = c.nextProbeAt
	for _, open := range c.probes {
		c.wake = core.Earliest(c.wake, open.due())
	}
	c.wake = core.Earliest(c.wake, c.derive().deadline)
	if c.hasNews() {
		c.wake = core.Earliest(c.wake, c.lastGossip.Add(c.settings.GossipInterval))
	}
	if len(c.derive().contactable) > 0 {
		c.wake = core.Earliest(c.wake, c.lastContact.Add(c.contactInterval()))
	}
	if c.wake.Before(now) {
		c.wake = now
	}
}

// randomPeers returns up to n other members that are not dead and are not among the excluded.
func (c *Core) randomPeers(n int, excluded ...string) []string {
	candidates := c.shuffled(lo.Without(c.derive().peers, excluded...))
	return candidates[:min(n, len(candidates))]
}

// shuffled returns names in a random order that does not depend on the order of the argument.
func (c *Core) shuffled(names []string) []string {
	result := sorted(names)
	c.random.Shuffle(len(result), func(i, j int) { result[i], result[j] = result[j], result[i] })
	return result
}
