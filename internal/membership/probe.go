package membership

import (
	"slices"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// probe is a Ping whose answer matters.
type probe struct {
	id          uint64
	target      string
	incarnation uint64
	// indirectAt is when others are asked; zero once they were.
	indirectAt time.Time
	// deadline is when the target becomes suspect.
	deadline time.Time
}

// due tells when the probe needs attention next.
func (p *probe) due() time.Time { return core.Earliest(p.indirectAt, p.deadline) }

// relay is a probe on behalf of another member.
type relay struct {
	id       uint64
	target   string
	asker    string
	address  string
	askerID  uint64
	deadline time.Time
}

// tickProbes asks others about probes without an answer, suspects those that stay silent, and begins the next probe.
func (c *Core) tickProbes(now time.Time, effects *core.Effects) {
	c.relays = lo.Filter(c.relays, func(open relay, _ int) bool { return now.Before(open.deadline) })
	expired, open := lo.FilterReject(c.probes, func(open *probe, _ int) bool { return !now.Before(open.deadline) })
	c.probes = open
	for _, failed := range expired {
		known, found := c.table.records[failed.target]
		if found && known.member.Incarnation == failed.incarnation {
			c.suspect(now, known, effects)
		}
	}
	for _, silent := range c.probes {
		if !silent.indirectAt.IsZero() && !now.Before(silent.indirectAt) {
			silent.indirectAt = time.Time{}
			c.askOthers(silent, effects)
		}
	}
	if now.Before(c.nextProbeAt) {
		return
	}
	c.nextProbeAt = now.Add(c.settings.ProbeInterval)
	if target, found := c.nextInRound(); found {
		c.startProbe(now, target, c.settings.ProbeInterval, effects)
	}
}

// startProbe sends a Ping whose missing answer makes the target suspect.
func (c *Core) startProbe(now time.Time, target *record, patience time.Duration, effects *core.Effects) {
	started := &probe{
		id:          c.newProbeID(),
		target:      target.member.Name,
		incarnation: target.member.Incarnation,
		indirectAt:  now.Add(c.settings.ProbeTimeout),
		deadline:    now.Add(patience),
	}
	c.probes = append(c.probes, started)
	c.sendPing(target.member.Name, target.member.Address, started.id, "", effects)
}

// askOthers asks random members to probe a silent one.
func (c *Core) askOthers(silent *probe, effects *core.Effects) {
	for _, name := range c.randomPeers(c.settings.IndirectProbes, silent.target) {
		effects.Send(name, c.table.records[name].member.Address, &granitebayv1.Envelope{
			Body: &granitebayv1.Envelope_PingRequest{PingRequest: &granitebayv1.PingRequest{
				Probe: silent.id, Target: silent.target, Updates: c.updatesFor(silent.target),
			}},
		})
	}
}

// probeSoon probes a member out of turn, at once or as soon as the bound on such probes allows.
func (c *Core) probeSoon(now time.Time, name string, effects *core.Effects) {
	if !slices.Contains(c.quick, name) {
		c.quick = append(c.quick, name)
	}
	c.sendQuickProbes(now, effects)
}

// sendQuickProbes sends probes out of turn. At most QuickProbes go out between two moments of gossip.
func (c *Core) sendQuickProbes(now time.Time, effects *core.Effects) {
	for len(c.quick) > 0 && c.quickSent < c.settings.QuickProbes {
		name := c.quick[0]
		c.quick = c.quick[1:]
		target, found := c.table.records[name]
		probed := lo.ContainsBy(c.probes, func(open *probe) bool { return open.target == name })
		if !found || probed || target == c.self || target.health == healthDead {
			continue
		}
		c.quickSent++
		c.startProbe(now, target, 2*c.settings.ProbeTimeout, effects)
	}
}

// handlePing takes news and answers.
func (c *Core) handlePing(now time.Time, from *granitebayv1.Peer, ping *granitebayv1.Ping, effects *core.Effects) {
	refuted := c.applyUpdates(now, ping.GetUpdates(), effects)
	if ping.GetProbe() == 0 {
		if refuted {
			c.sendPing(from.GetName(), from.GetAddress(), 0, "", effects)
		}
		return
	}
	updates := c.updatesFor(from.GetName())
	if known, found := c.table.records[from.GetName()]; found && known.member.Incarnation > from.GetIncarnation() {
		updates = append(updates, known.update())
	}
	effects.Send(from.GetName(), from.GetAddress(), &granitebayv1.Envelope{
		Body: &granitebayv1.Envelope_PingAck{PingAck: &granitebayv1.PingAck{
			Probe:   ping.GetProbe(),
			Updates: updates,
			Digest:  c.table.digest,
			Records: c.recordsFor(ping),
		}},
	})
}

// handlePingAck takes news and ends the probe that it answers.
func (c *Core) handlePingAck(now time.Time, from *granitebayv1.Peer, ack *granitebayv1.PingAck, effects *core.Effects) {
	if c.applyUpdates(now, ack.GetUpdates(), effects) {
		c.sendPing(from.GetName(), from.GetAddress(), 0, "", effects)
	}
	if ack.GetTarget() == "" {
		c.applyRecords(now, ack.GetRecords(), effects)
		c.noteDigest(ack)
		c.confirm(from.GetName(), from.GetIncarnation(), effects)
	}
	target := lo.CoalesceOrEmpty(ack.GetTarget(), from.GetName())
	c.probes = lo.Reject(c.probes, func(open *probe, _ int) bool {
		earlier := ack.GetTarget() == "" && from.GetIncarnation() < open.incarnation
		return open.id == ack.GetProbe() && open.target == target && !earlier
	})
	c.answerRelays(from.GetName(), ack.GetProbe(), effects)
}

// confirm ends a doubt about a member that answered itself. A suspicion that was spread ends only by its refutation.
func (c *Core) confirm(name string, incarnation uint64, effects *core.Effects) {
	known, found := c.table.records[name]
	if !found || !known.doubted || known.member.Incarnation != incarnation {
		return
	}
	c.table.change(known, "The member answered.", effects, func() { known.doubted, known.heldDead = false, false })
}

// handlePingRequest probes a member on behalf of the sender.
func (c *Core) handlePingRequest(
	now time.Time, from *granitebayv1.Peer, request *granitebayv1.PingRequest, effects *core.Effects,
) {
	c.applyUpdates(now, request.GetUpdates(), effects)
	target, found := c.table.records[request.GetTarget()]
	if !found || target == c.self {
		return
	}
	opened := relay{
		id:       c.newProbeID(),
		target:   target.member.Name,
		asker:    from.GetName(),
		address:  from.GetAddress(),
		askerID:  request.GetProbe(),
		deadline: now.Add(c.settings.ProbeInterval),
	}
	c.relays = append(c.relays, opened)
	c.sendPing(opened.target, target.member.Address, opened.id, opened.asker, effects)
}

// answerRelays passes an answer on to the members that asked for the probe.
func (c *Core) answerRelays(target string, probeID uint64, effects *core.Effects) {
	answered, open := lo.FilterReject(c.relays, func(open relay, _ int) bool {
		return open.id == probeID && open.target == target
	})
	c.relays = open
	for _, done := range answered {
		updates := c.updatesFor(done.asker)
		if known, found := c.table.records[target]; found {
			updates = append(updates, known.update())
		}
		effects.Send(done.asker, done.address, &granitebayv1.Envelope{
			Body: &granitebayv1.Envelope_PingAck{PingAck: &granitebayv1.PingAck{
				Probe: done.askerID, Target: target, Updates: updates, Digest: c.table.digest,
			}},
		})
	}
}

// sendPing sends a Ping. Probe zero wants no answer.
func (c *Core) sendPing(to, address string, probeID uint64, onBehalfOf string, effects *core.Effects) {
	effects.Send(to, address, &granitebayv1.Envelope{Body: &granitebayv1.Envelope_Ping{Ping: &granitebayv1.Ping{
		Probe:        probeID,
		Updates:      c.updatesFor(to),
		OnBehalfOf:   onBehalfOf,
		Digest:       c.table.digest,
		RecordsAfter: c.recordsAfter,
	}}})
}

// newProbeID returns an id that this process has not used.
func (c *Core) newProbeID() uint64 {
	c.lastProbeID++
	return c.lastProbeID
}

// nextInRound returns the next member to probe. Each round covers all members in a new random order.
func (c *Core) nextInRound() (*record, bool) {
	for range 2 {
		for c.next < len(c.order) {
			name := c.order[c.next]
			c.next++
			if target, found := c.table.records[name]; found && target.health != healthDead {
				return target, true
			}
		}
		c.order, c.next = c.shuffled(c.derive().peers), 0
	}
	return nil, false
}

// insertIntoRound puts a new member at a random place of what is left of the round.
func (c *Core) insertIntoRound(name string) {
	if slices.Contains(c.order[c.next:], name) {
		return
	}
	at := c.next + c.random.IntN(len(c.order)-c.next+1)
	c.order = slices.Insert(c.order, at, name)
}
