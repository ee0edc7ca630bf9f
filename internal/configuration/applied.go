package configuration

import (
	"cmp"
	"math/bits"
	"slices"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
)

// Applied is a process and the revision that it is known to have in force.
type Applied struct {
	Process  string `json:"process"`
	Revision uint64 `json:"revision"`
}

// appliedEntry is what is known of one router.
type appliedEntry struct {
	incarnation uint64
	revision    uint64
	// sends counts the digests that carried the entry since it changed.
	sends int
}

// appliedTable keeps the revision that each live router has in force. A digest carries a bounded number of entries:
// the own one, then those that changed and were sent least often, then a few others in turn.
type appliedTable struct {
	self    string
	entries map[string]*appliedEntry
	// names of the entries but the own one, sorted; cursor walks over them.
	names  []string
	cursor int
}

// newAppliedTable returns a table with the own entry. Different processes get different offsets, so that they do not
// all send the same entries first.
func newAppliedTable(self string, incarnation uint64, offset uint32) *appliedTable {
	return &appliedTable{
		self:    self,
		entries: map[string]*appliedEntry{self: {incarnation: incarnation}},
		cursor:  int(offset >> 1),
	}
}

// setOwn sets the revision of this process.
func (t *appliedTable) setOwn(revision uint64) { t.entries[t.self].revision = revision }

// revisionOf returns the revision of a process; zero when nothing is known.
func (t *appliedTable) revisionOf(process string) uint64 {
	if entry, known := t.entries[process]; known {
		return entry.revision
	}
	return 0
}

// setMembers drops processes that are no longer live. What is known of an older incarnation is dropped too.
func (t *appliedTable) setMembers(peers []Peer) {
	entries := map[string]*appliedEntry{t.self: t.entries[t.self]}
	t.names = t.names[:0]
	for _, peer := range peers {
		if peer.Name == t.self {
			continue
		}
		entry, known := t.entries[peer.Name]
		if !known || entry.incarnation < peer.Incarnation {
			entry = &appliedEntry{incarnation: peer.Incarnation, sends: t.enoughSends(len(peers))}
		}
		entries[peer.Name] = entry
		t.names = append(t.names, peer.Name)
	}
	t.entries = entries
	slices.Sort(t.names)
}

// merge takes an entry from a digest. It counts for live routers only, and never lowers what is known.
func (t *appliedTable) merge(update *granitebayv1.AppliedRevision) {
	entry, known := t.entries[update.GetProcess()]
	if !known || update.GetProcess() == t.self {
		return
	}
	newer := update.GetIncarnation() > entry.incarnation
	higher := update.GetIncarnation() == entry.incarnation && update.GetRevision() > entry.revision
	if newer || higher {
		*entry = appliedEntry{incarnation: update.GetIncarnation(), revision: update.GetRevision()}
	}
}

// own returns the own entry alone.
func (t *appliedTable) own() []*granitebayv1.AppliedRevision {
	return []*granitebayv1.AppliedRevision{t.message(t.self)}
}

// choose returns the entries for one digest: at most limit, of which refresh are sent although they are not new.
func (t *appliedTable) choose(limit, refresh int) []*granitebayv1.AppliedRevision {
	chosen := t.own()
	if len(t.names) == 0 {
		return chosen
	}
	rotated := t.rotated()
	enough := t.enoughSends(len(t.names))
	fresh := slices.DeleteFunc(slices.Clone(rotated), func(name string) bool { return t.entries[name].sends >= enough })
	slices.SortStableFunc(fresh, func(a, b string) int { return cmp.Compare(t.entries[a].sends, t.entries[b].sends) })
	fresh = fresh[:min(len(fresh), max(0, limit-1-refresh))]
	for _, name := range fresh {
		t.entries[name].sends++
		chosen = append(chosen, t.message(name))
	}
	for _, name := range rotated[:min(refresh, len(rotated))] {
		t.cursor++
		if !slices.Contains(fresh, name) {
			chosen = append(chosen, t.message(name))
		}
	}
	return chosen
}

// rotated returns the names from the cursor on, all around.
func (t *appliedTable) rotated() []string {
	start := t.cursor % len(t.names)
	return append(slices.Clone(t.names[start:]), t.names[:start]...)
}

// enoughSends is how often a change is passed on: a little more than the logarithm of the number of routers, which
// reaches nearly all of them; the entries that are sent in turn reach the rest.
func (t *appliedTable) enoughSends(members int) int { return 2 + bits.Len(uint(members)) }

func (t *appliedTable) message(process string) *granitebayv1.AppliedRevision {
	entry := t.entries[process]
	return &granitebayv1.AppliedRevision{Process: process, Incarnation: entry.incarnation, Revision: entry.revision}
}
