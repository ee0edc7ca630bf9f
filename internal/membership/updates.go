package membership

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
)

// applyUpdates takes news. It tells whether this process had to refute something that the sender holds.
func (c *Core) applyUpdates(now time.Time, updates []*granitebayv1.MemberUpdate, effects *core.Effects) bool {
	refuted := false
	for _, update := range updates {
		if update.GetName() == c.self.member.Name {
			refuted = c.applyAboutSelf(update, effects) || refuted
			continue
		}
		if c.apply(now, update, effects) {
			c.rumors[update.GetName()] = 0
		}
	}
	return refuted
}

// applyRecords takes records of a peer's table. They are not passed on, since whoever needs them asks as well. That a
// peer holds a member suspect or dead says little, since the peer may have been cut off: a dead one is probed.
func (c *Core) applyRecords(now time.Time, records []*granitebayv1.MemberUpdate, effects *core.Effects) {
	for _, update := range records {
		name := update.GetName()
		switch fromWire[update.GetState()] {
		case healthAlive:
			if name != c.self.member.Name {
				c.apply(now, update, effects)
			}
		case healthDead:
			known, found := c.table.records[name]
			if found && known != c.self && known.health == healthAlive && !olderThan(update, known) {
				c.doubt(now, known, true, "Another router holds the member dead.", effects)
			}
		}
	}
}

// apply takes news of another member and tells whether it was new. At the same sequence suspicion outranks life; only
// the member itself outranks suspicion, by a higher sequence. Word of a death starts a suspicion: each router gives a
// member the full time to refute, so that a healed cut does not bring deaths from the other side.
func (c *Core) apply(now time.Time, update *granitebayv1.MemberUpdate, effects *core.Effects) bool {
	known, found := c.table.records[update.GetName()]
	reported := min(fromWire[update.GetState()], healthSuspect)
	if !found {
		if reported != healthAlive {
			return false
		}
		c.meet(update, effects)
		return true
	}
	if update.GetIncarnation() != known.member.Incarnation {
		if update.GetIncarnation() < known.member.Incarnation {
			return false
		}
		c.replace(now, known, update, reported, effects)
		return true
	}
	news := c.applyLeaving(known, update, effects)
	if olderThan(update, known) || update.GetSequence() == known.member.Sequence && reported <= known.health {
		return news
	}
	reason := "The member refuted a suspicion or changed its own state."
	if reported == healthSuspect {
		reason = "Another router suspects the member."
	}
	c.table.change(known, reason, effects, func() {
		known.member.Sequence = update.GetSequence()
		c.setHealth(now, known, reported)
	})
	return true
}

// meet adds a member that was unknown.
func (c *Core) meet(update *granitebayv1.MemberUpdate, effects *core.Effects) {
	met := &record{
		member: Member{
			Name:        update.GetName(),
			Address:     update.GetAddress(),
			Zone:        update.GetZone(),
			Incarnation: update.GetIncarnation(),
			Sequence:    update.GetSequence(),
		},
		leaving: update.GetLeaving(),
	}
	c.applyListedLeaving(met)
	c.table.add(met)
	c.insertIntoRound(met.member.Name)
	decide(effects, met.exported(), "", "The member is new here.")
}

// replace puts a later process of the same name in place of the earlier one.
func (c *Core) replace(
	now time.Time, known *record, update *granitebayv1.MemberUpdate, reported health, effects *core.Effects,
) {
	c.table.change(known, "A later process of the same name took its place.", effects, func() {
		known.member.Address, known.member.Zone = update.GetAddress(), update.GetZone()
		known.member.Incarnation, known.member.Sequence = update.GetIncarnation(), update.GetSequence()
		known.leaving = update.GetLeaving()
		c.applyListedLeaving(known)
		c.setHealth(now, known, reported)
	})
	c.insertIntoRound(known.member.Name)
}

// applyLeaving notes that a member leaves. Leaving holds whatever the sequence, for the incarnation.
func (c *Core) applyLeaving(known *record, update *granitebayv1.MemberUpdate, effects *core.Effects) bool {
	if !update.GetLeaving() || known.leaving {
		return false
	}
	c.table.change(known, "The member is said to be leaving.", effects, func() { known.leaving = true })
	return true
}

// applyAboutSelf takes what others say of this process, and tells whether it refuted something.
func (c *Core) applyAboutSelf(update *granitebayv1.MemberUpdate, effects *core.Effects) bool {
	if update.GetIncarnation() > c.self.member.Incarnation && !c.superseded {
		c.superseded = true
		decide(effects, c.self.exported(), "", "A later process of the same name is known, so this one must stop.")
	}
	if update.GetIncarnation() != c.self.member.Incarnation {
		return false
	}
	if update.GetLeaving() && !c.self.leaving {
		c.leaveSelf("Another router says that this one is leaving.", effects)
	}
	stale := update.GetSequence() < c.self.member.Sequence
	if stale || fromWire[update.GetState()] == healthAlive && update.GetSequence() == c.self.member.Sequence {
		return false
	}
	c.table.change(c.self, "", effects, func() { c.self.member.Sequence = update.GetSequence() + 1 })
	c.rumors[c.self.member.Name] = 0
	return true
}

// leaveSelf makes this process leaving and spreads it.
func (c *Core) leaveSelf(reason string, effects *core.Effects) {
	c.table.change(c.self, reason, effects, func() {
		c.self.leaving = true
		c.self.member.Sequence++
	})
	c.rumors[c.self.member.Name] = 0
}

// setHealth sets health, its deadline, and ends a doubt. It must run within a change of the table.
func (c *Core) setHealth(now time.Time, known *record, to health) {
	known.health = to
	known.doubted, known.heldDead = false, false
	switch to {
	case healthAlive:
		known.deadline = time.Time{}
	case healthSuspect:
		known.deadline = now.Add(c.settings.SuspicionTimeout)
	case healthDead:
		known.deadline = now.Add(c.settings.DeadRetention)
	}
}

// suspect makes a member suspect that did not answer, and tells it so that it can refute.
func (c *Core) suspect(now time.Time, known *record, effects *core.Effects) {
	if known.health != healthAlive {
		return
	}
	c.table.change(known, "The member answered neither this router nor those that it asked.", effects, func() {
		c.setHealth(now, known, healthSuspect)
	})
	c.rumors[known.member.Name] = 0
	c.sendPing(known.member.Name, known.member.Address, c.newProbeID(), "", effects)
}

// doubt shows a member as suspect until it answers a probe.
func (c *Core) doubt(now time.Time, known *record, heldDead bool, reason string, effects *core.Effects) {
	if known.health != healthAlive {
		return
	}
	c.table.change(known, reason, effects, func() {
		known.doubted = true
		known.heldDead = known.heldDead || heldDead
	})
	c.probeSoon(now, known.member.Name, effects)
}

// tickDeadlines makes suspects dead and forgets the dead, when it is time.
func (c *Core) tickDeadlines(now time.Time, effects *core.Effects) {
	if earliest := c.derive().deadline; earliest.IsZero() || now.Before(earliest) {
		return
	}
	for _, name := range sorted(c.table.names) {
		known := c.table.records[name]
		if known.deadline.IsZero() || now.Before(known.deadline) {
			continue
		}
		if known.health == healthDead {
			c.table.remove(known)
			delete(c.rumors, name)
			continue
		}
		c.table.change(known, "The member refuted no suspicion in time.", effects, func() {
			c.setHealth(now, known, healthDead)
		})
		c.rumors[name] = 0
	}
}

// olderThan tells whether an update of the same incarnation has a lower sequence than the record.
func olderThan(update *granitebayv1.MemberUpdate, known *record) bool {
	if update.GetIncarnation() != known.member.Incarnation {
		return update.GetIncarnation() < known.member.Incarnation
	}
	return update.GetSequence() < known.member.Sequence
}
