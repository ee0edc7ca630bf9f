package platformmodel

import (
	"maps"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
)

// membership is the membership list: what is registered, and what of it is visible after the lag.
type membership struct {
	lag        time.Duration
	ttl        time.Duration
	registered map[string]registration
	visible    map[string]platform.Member
	// changes are not visible yet, in order of time.
	changes []memberChange
}

// registration is one machine that registered.
type registration struct {
	member platform.Member
	// markedLeaving is set by the platform, whatever the machine itself says.
	markedLeaving bool
	// expires is zero when the registration lasts for ever.
	expires time.Time
}

// memberChange becomes visible at a time.
type memberChange struct {
	visibleAt time.Time
	member    platform.Member
	removed   bool
}

func newMembership(settings Settings) membership {
	return membership{
		lag:        settings.MembershipLag,
		ttl:        settings.MemberTTL,
		registered: map[string]registration{},
		visible:    map[string]platform.Member{},
	}
}

// RegisterMember puts a machine on the membership list, changes it or renews its registration. Changes become visible
// after the lag.
func (m *Model) RegisterMember(now time.Time, member platform.Member) {
	m.advanceMembership(now)
	member.Labels = maps.Clone(member.Labels)
	entry := m.membership.registered[member.Name]
	old, existed := entry.announced(), entry.member.Name != ""
	entry.member = member
	entry.expires = m.membership.expiry(m.now)
	m.membership.registered[member.Name] = entry
	if !existed || !equalMembers(old, entry.announced()) {
		m.announce(memberChange{member: entry.announced()})
	}
}

// SetLeaving tells that the platform will take a machine away soon, or takes that back. It tells whether the machine is
// registered; it does nothing when it is not.
func (m *Model) SetLeaving(now time.Time, name string, leaving bool) bool {
	m.advanceMembership(now)
	entry, exists := m.membership.registered[name]
	if !exists {
		return false
	}
	old := entry.announced()
	entry.markedLeaving = leaving
	m.membership.registered[name] = entry
	if !equalMembers(old, entry.announced()) {
		m.announce(memberChange{member: entry.announced()})
	}
	return true
}

// RemoveMember takes a machine off the membership list. It tells whether the machine was registered.
func (m *Model) RemoveMember(now time.Time, name string) bool {
	m.advanceMembership(now)
	entry, exists := m.membership.registered[name]
	if !exists {
		return false
	}
	delete(m.membership.registered, name)
	m.announce(memberChange{member: entry.member, removed: true})
	return true
}

// Members returns the visible membership list in order of name, without any limit.
func (m *Model) Members(now time.Time) []platform.Member {
	m.advanceMembership(now)
	return m.membership.list()
}

// listMembers answers a ListMembers request.
func (m *Model) listMembers(received *call) {
	m.advanceMembership(m.now)
	if retryAfter := m.membershipLimiter.take(m.now, received.client); retryAfter > 0 {
		m.answer(received, platform.Response{Failure: platform.FailureRateLimited, RetryAfter: retryAfter})
		return
	}
	m.answer(received, platform.Response{Members: m.membership.list()})
}

// announce makes a change visible after the lag.
func (m *Model) announce(change memberChange) {
	change.visibleAt = m.now.Add(m.membership.lag)
	m.membership.changes = append(m.membership.changes, change)
	m.membership.show(m.now)
	m.stateVersion++
}

// advanceMembership moves the time on, drops registrations that were not renewed and shows what the lag has passed for.
func (m *Model) advanceMembership(now time.Time) {
	m.advance(now)
	before := len(m.membership.registered)
	m.membership.expire(m.now)
	if len(m.membership.registered) != before {
		m.stateVersion++
	}
	m.membership.show(m.now)
}

func (r registration) announced() platform.Member {
	member := r.member
	member.Leaving = member.Leaving || r.markedLeaving
	return member
}

func (l *membership) expiry(now time.Time) time.Time {
	if l.ttl <= 0 {
		return time.Time{}
	}
	return now.Add(l.ttl)
}

// expire drops registrations whose TTL is over; the lag counts from its end.
func (l *membership) expire(now time.Time) {
	for _, name := range sortedKeys(l.registered) {
		entry := l.registered[name]
		if entry.expires.IsZero() || entry.expires.After(now) {
			continue
		}
		delete(l.registered, name)
		l.insert(memberChange{visibleAt: entry.expires.Add(l.lag), member: entry.member, removed: true})
	}
}

// insert keeps the changes in order of time; a change goes after others of the same time.
func (l *membership) insert(change memberChange) {
	place := len(l.changes)
	for place > 0 && l.changes[place-1].visibleAt.After(change.visibleAt) {
		place--
	}
	l.changes = append(l.changes[:place], append([]memberChange{change}, l.changes[place:]...)...)
}

func (l *membership) show(now time.Time) {
	for len(l.changes) > 0 && !l.changes[0].visibleAt.After(now) {
		change := l.changes[0]
		l.changes = l.changes[1:]
		if change.removed {
			delete(l.visible, change.member.Name)
		} else {
			l.visible[change.member.Name] = change.member
		}
	}
}

func (l *membership) list() []platform.Member {
	return lo.Map(sortedKeys(l.visible), func(name string, _ int) platform.Member { return l.visible[name] })
}

func equalMembers(a, b platform.Member) bool {
	return a.Name == b.Name && a.Kind == b.Kind && a.Zone == b.Zone && a.Address == b.Address &&
		a.Incarnation == b.Incarnation && a.Leaving == b.Leaving && maps.Equal(a.Labels, b.Labels)
}
