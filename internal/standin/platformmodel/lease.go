package platformmodel

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
)

// lease is a live lease.
type lease struct {
	id      uint64
	ttl     time.Duration
	expires time.Time
	// check is when the one event of the lease is due that looks whether it has expired.
	check time.Time
}

func (m *Model) grantLease(ttl time.Duration) platform.Response {
	m.lastLease++
	granted := &lease{id: m.lastLease, ttl: max(ttl, m.settings.MinimumLeaseTTL, time.Nanosecond)}
	m.leases[granted.id] = granted
	m.stateVersion++
	granted.expires = m.now.Add(granted.ttl)
	m.scheduleLeaseCheck(granted)
	return platform.Response{Lease: granted.id, TTL: granted.ttl}
}

func (m *Model) keepAlive(id uint64) platform.Response {
	renewed, live := m.leases[id]
	if !live {
		return platform.Response{Failure: platform.FailureNoLease}
	}
	renewed.expires = m.now.Add(renewed.ttl)
	return platform.Response{Lease: id, TTL: renewed.ttl}
}

func (m *Model) revokeLease(client string, id uint64) platform.Response {
	if !lo.HasKey(m.leases, id) {
		return platform.Response{Failure: platform.FailureNoLease}
	}
	m.endLease(id, Commit{Client: client})
	return platform.Response{Lease: id}
}

// endLease deletes the lease, and the keys bound to it at one revision.
func (m *Model) endLease(id uint64, commit Commit) {
	delete(m.leases, id)
	m.stateVersion++
	m.commit(commit, nil, m.store.boundTo(id))
}

func (m *Model) scheduleLeaseCheck(checked *lease) {
	due := checked.expires
	checked.check = due
	m.schedule(due, eventLease, nil, func() { m.checkLease(checked, due) })
}

// checkLease expires the lease if it is due, and looks again later if it was renewed. The check is void when another
// one took its place.
func (m *Model) checkLease(checked *lease, due time.Time) {
	if m.leases[checked.id] != checked || !checked.check.Equal(due) || m.leasesFrozen() {
		return
	}
	if checked.expires.After(m.now) {
		m.scheduleLeaseCheck(checked)
		return
	}
	m.endLease(checked.id, Commit{ExpiredLease: checked.id})
}

func (m *Model) leasesFrozen() bool {
	return m.faults.Outage && m.settings.OutageLeases != OutageExpiresLeases
}

// refreshLeases gives each lease a full TTL from now.
func (m *Model) refreshLeases() {
	for _, id := range m.sortedLeases() {
		refreshed := m.leases[id]
		refreshed.expires = m.now.Add(refreshed.ttl)
		m.scheduleLeaseCheck(refreshed)
	}
}

func (m *Model) sortedLeases() []uint64 {
	ids := lo.Keys(m.leases)
	slices.Sort(ids)
	return ids
}
