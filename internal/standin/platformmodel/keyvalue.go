package platformmodel

import (
	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/platform"
)

// receiveKeyValue takes a request to the key-value service under the faults that are on.
func (m *Model) receiveKeyValue(received *call) {
	m.startTimeout(received)
	if m.faults.Outage {
		if m.settings.OutageAnswer != OutageSilent {
			m.answer(received, platform.Response{Failure: platform.FailureUnavailable})
		}
		return
	}
	if retryAfter := m.keyValueLimiter.take(m.now, received.client); retryAfter > 0 {
		m.answer(received, platform.Response{Failure: platform.FailureRateLimited, RetryAfter: retryAfter})
		return
	}
	m.schedule(m.now.Add(m.faults.delay()), eventApply, received, func() { m.apply(received) })
}

// startTimeout lets the client give up after Settings.ClientTimeout.
func (m *Model) startTimeout(received *call) {
	if m.settings.ClientTimeout <= 0 {
		return
	}
	m.schedule(m.now.Add(m.settings.ClientTimeout), eventTimeout, received, func() {
		if !received.answered {
			delete(m.watches, received.callKey)
		}
		m.answer(received, platform.Response{Failure: platform.FailureUnknown})
	})
}

// apply carries a request out and sends its answer.
func (m *Model) apply(received *call) {
	if request, isWatch := received.request.(platform.Watch); isWatch {
		m.openWatch(received, request)
		return
	}
	response := m.execute(received)
	response.Revision = m.store.revision
	if m.faults.losesAnswer(m.random) {
		return
	}
	m.schedule(m.now.Add(m.faults.delay()), eventAnswer, received, func() { m.answer(received, response) })
}

// execute carries out a request that gets one answer.
func (m *Model) execute(received *call) platform.Response {
	switch request := received.request.(type) {
	case platform.Get:
		return platform.Response{Entries: m.store.get(request.Key)}
	case platform.List:
		return platform.Response{Entries: m.store.list(request.Prefix)}
	case platform.Transaction:
		return m.transact(received.client, request)
	case platform.GrantLease:
		return m.grantLease(request.TTL)
	case platform.KeepAlive:
		return m.keepAlive(request.Lease)
	case platform.RevokeLease:
		return m.revokeLease(received.client, request.Lease)
	default:
		return platform.Response{Failure: platform.FailureUnavailable}
	}
}

// transact checks the conditions first; then all leases that it binds to must live.
func (m *Model) transact(client string, request platform.Transaction) platform.Response {
	if !m.store.holds(request.Compares) {
		return platform.Response{}
	}
	allLive := lo.EveryBy(request.Puts, func(put platform.Put) bool {
		return put.Lease == 0 || lo.HasKey(m.leases, put.Lease)
	})
	if !allLive {
		return platform.Response{Failure: platform.FailureNoLease}
	}
	m.commit(Commit{Client: client}, request.Puts, request.Deletes)
	return platform.Response{Succeeded: true}
}

// commit writes at one revision and tells the watches.
func (m *Model) commit(commit Commit, puts []platform.Put, deletes []string) {
	commit.Time = m.now
	commit, changed := m.store.write(commit, puts, deletes)
	if !changed {
		return
	}
	m.stateVersion++
	for _, key := range m.sortedWatches() {
		m.notify(m.watches[key], commit)
	}
}
