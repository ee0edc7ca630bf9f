package enginemodel

import (
	"slices"
	"time"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
)

// cutByChange is the error of a run that a change of configuration ended.
const cutByChange = "the engine changed its configuration under the run"

// change is a change of configuration that takes the engine out of service. The zero value is none.
type change struct {
	until time.Time
	// crashAt is when the engine crashes during the change; zero when it does not.
	crashAt time.Time
}

func (c change) none() bool { return c.until.IsZero() }

func (c change) nextWake() time.Time { return core.Earliest(c.until, c.crashAt) }

// canonical returns a configuration that equals any other of the same content.
func canonical(configuration engine.Configuration) engine.Configuration {
	adapters := slices.Clone(configuration.Adapters)
	slices.Sort(adapters)
	configuration.Adapters = slices.Compact(adapters)
	return configuration
}

func sameContent(a, b engine.Configuration) bool {
	return a.Role == b.Role && sameWeights(a, b)
}

func sameWeights(a, b engine.Configuration) bool {
	return a.Model == b.Model && a.ModelVersion == b.ModelVersion && slices.Equal(a.Adapters, b.Adapters)
}

func (m *Model) handleOrder(now time.Time, client string, order engine.Order) {
	wanted := canonical(order.Configuration)
	refusal := m.checkOrder(order, wanted)
	accepted := refusal == ""
	m.observer.OrderHandled(now, order, accepted, refusal)
	if accepted {
		m.fence = order.Fence
		m.apply(now, wanted)
	}
	m.send(client, engine.OrderResult{
		Engine:      m.settings.Name,
		Incarnation: m.settings.Incarnation,
		Fence:       order.Fence,
		Accepted:    accepted,
		Refusal:     refusal,
		Current:     m.fence,
	})
}

// checkOrder returns why an order is refused. A refused order changes nothing, also not the fence.
func (m *Model) checkOrder(order engine.Order, wanted engine.Configuration) engine.Refusal {
	switch {
	case order.ExpectedIncarnation != m.settings.Incarnation:
		return engine.RefusalIncarnation
	case order.Fence.Epoch < m.fence.Epoch:
		return engine.RefusalEpoch
	case order.Fence.Generation < m.fence.Generation:
		return engine.RefusalGeneration
	case order.Fence.Generation == m.fence.Generation && !sameContent(wanted, m.configuration):
		return engine.RefusalConflict
	}
	return ""
}

// apply begins the change to a configuration. It ends all runs, unless nothing changes.
func (m *Model) apply(now time.Time, wanted engine.Configuration) {
	if sameContent(wanted, m.configuration) {
		return
	}
	duration := m.settings.RoleChangeTime
	keepCache := m.settings.KeepCacheOnRoleChange
	if !sameWeights(wanted, m.configuration) {
		duration = m.settings.WeightLoadTime
		keepCache = false
	}
	m.configuration = wanted
	m.change = change{until: now.Add(duration)}
	if m.random.Float64() < m.settings.CrashDuringChangeProbability {
		m.change.crashAt = now.Add(time.Duration(m.random.Float64() * float64(duration)))
	}
	m.cutAll(now)
	m.refuseTransfers()
	m.resizeCache()
	if !keepCache {
		m.cache.empty()
		m.cacheChanged(now)
	}
}

// cutAll ends all runs of the batch with an error and refuses those that wait.
func (m *Model) cutAll(now time.Time) {
	m.batch.sync(now)
	for _, r := range m.batch.all() {
		r.produced = r.producedAt(m.batch.steps)
		r.state = runCut
		r.failure = cutByChange
		m.observer.RunCut(now, m.record(r), CutChange)
		m.answers.add(r, now.Add(m.settings.AnswerRetention))
		m.stream(r)
	}
	m.batch.prefilling, m.batch.decoding, m.batch.reserved = nil, nil, 0
	m.batch.segment = segment{}
	for _, r := range m.waiting.runs {
		delete(m.runs, r.submit.RequestID)
		m.refuse(r.client, r.submit.RequestID, engine.RefusalChanging)
	}
	m.waiting.runs = nil
}
