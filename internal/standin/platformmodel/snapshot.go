package platformmodel

import (
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
)

// snapshotCommits is how many commits a snapshot keeps, so that watches go on over a restart of the process.
const snapshotCommits = 100

// Snapshot is the lasting state of the platform.
type Snapshot struct {
	Revision  uint64           `json:"revision"`
	Entries   []platform.Entry `json:"entries"`
	Commits   []Commit         `json:"commits"`
	Leases    []LeaseState     `json:"leases"`
	LastLease uint64           `json:"lastLease"`
	Members   []MemberState    `json:"members"`
}

// LeaseState is one lease of a Snapshot.
type LeaseState struct {
	ID uint64 `json:"id"`
	// TTL is in nanoseconds.
	TTL time.Duration `json:"ttl"`
}

// MemberState is one registration of a Snapshot.
type MemberState struct {
	Member        platform.Member `json:"member"`
	MarkedLeaving bool            `json:"markedLeaving,omitempty"`
}

// StateVersion grows whenever the next Snapshot differs from the last.
func (m *Model) StateVersion() uint64 { return m.stateVersion }

// Snapshot returns the lasting state. It shares values with the model and must not be changed.
func (m *Model) Snapshot() Snapshot {
	kept := min(len(m.store.commits), snapshotCommits, m.settings.HistoryLength)
	return Snapshot{
		Revision:  m.store.revision,
		Entries:   m.store.list(""),
		Commits:   m.store.commits[len(m.store.commits)-kept:],
		LastLease: m.lastLease,
		Leases: lo.Map(m.sortedLeases(), func(id uint64, _ int) LeaseState {
			return LeaseState{ID: id, TTL: m.leases[id].ttl}
		}),
		Members: lo.Map(sortedKeys(m.membership.registered), func(name string, _ int) MemberState {
			entry := m.membership.registered[name]
			return MemberState{Member: entry.member, MarkedLeaving: entry.markedLeaving}
		}),
	}
}

// Restore puts the state of a snapshot into a new model. Leases and registrations get a fresh full TTL, and the members
// are visible at once.
func (m *Model) Restore(now time.Time, snapshot Snapshot) {
	m.advance(now)
	m.store.revision = snapshot.Revision
	m.store.commits = append([]Commit(nil), snapshot.Commits...)
	m.store.entries = lo.KeyBy(snapshot.Entries, func(entry platform.Entry) string { return entry.Key })
	m.lastLease = snapshot.LastLease
	for _, state := range snapshot.Leases {
		m.leases[state.ID] = &lease{id: state.ID, ttl: state.TTL}
	}
	m.refreshLeases()
	for _, state := range snapshot.Members {
		entry := registration{member: state.Member, markedLeaving: state.MarkedLeaving, expires: m.membership.expiry(m.now)}
		m.membership.registered[state.Member.Name] = entry
		m.membership.visible[state.Member.Name] = entry.announced()
	}
}
