package platformmodel

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
)

// watch is an open watch.
type watch struct {
	callKey
	prefix string
	// after is the newest revision that the client has or did not ask for.
	after uint64
	// lastDue keeps events in order when the delay of the service shrinks.
	lastDue time.Time
}

// openWatch answers that the watch is open and sends the changes since its revision.
func (m *Model) openWatch(received *call, request platform.Watch) {
	if received.answered {
		return
	}
	if request.FromRevision < m.store.compacted() {
		refusal := platform.Response{Failure: platform.FailureCompacted, Revision: m.store.revision}
		m.schedule(m.now.Add(m.faults.delay()), eventAnswer, received, func() { m.answer(received, refusal) })
		return
	}
	opened := &watch{callKey: received.callKey, prefix: request.Prefix, after: request.FromRevision}
	m.watches[opened.callKey] = opened
	opened.lastDue = m.now.Add(m.faults.delay())
	response := platform.Response{Revision: m.store.revision}
	m.schedule(opened.lastDue, eventAnswer, received, func() { m.answer(received, response) })
	for _, commit := range m.store.commitsAfter(request.FromRevision) {
		m.notify(opened, commit)
	}
}

// notify sends the part of a commit that lies under the prefix of the watch, if any.
func (m *Model) notify(watching *watch, commit Commit) {
	if commit.Revision <= watching.after {
		return
	}
	change := platform.WatchEvent{ID: watching.id, Revision: commit.Revision}
	change.Changed = lo.Filter(commit.Puts, func(entry platform.Entry, _ int) bool {
		return strings.HasPrefix(entry.Key, watching.prefix)
	})
	change.Deleted = lo.Filter(commit.Deletes, func(key string, _ int) bool {
		return strings.HasPrefix(key, watching.prefix)
	})
	if len(change.Changed) == 0 && len(change.Deleted) == 0 {
		return
	}
	due := m.now.Add(m.faults.delay())
	if due.Before(watching.lastDue) {
		due = watching.lastDue
	}
	watching.lastDue = due
	m.schedule(due, eventAnswer, nil, func() { m.deliverChange(watching, change) })
}

// deliverChange hands a change to the client unless the watch was closed meanwhile.
func (m *Model) deliverChange(watching *watch, change platform.WatchEvent) {
	if m.watches[watching.callKey] != watching {
		return
	}
	watching.after = change.Revision
	m.deliveries = append(m.deliveries, Delivery{Client: watching.client, Watch: &change})
}

// CancelWatch ends a watch that its client no longer wants. The client hears nothing more of it.
func (m *Model) CancelWatch(client string, id platform.RequestID) {
	key := callKey{client: client, id: id}
	delete(m.watches, key)
	m.abandon(func(subject *call) bool { return subject.callKey == key })
}

// closeWatches ends all watches and tells their clients.
func (m *Model) closeWatches() {
	for _, key := range m.sortedWatches() {
		closed := platform.WatchEvent{ID: key.id, Revision: m.watches[key].after, Closed: true}
		delete(m.watches, key)
		m.deliveries = append(m.deliveries, Delivery{Client: key.client, Watch: &closed})
	}
}

func (m *Model) sortedWatches() []callKey {
	keys := lo.Keys(m.watches)
	slices.SortFunc(keys, func(a, b callKey) int {
		return cmp.Or(strings.Compare(a.client, b.client), cmp.Compare(a.id, b.id))
	})
	return keys
}
