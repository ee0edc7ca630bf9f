package platformmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/platform"
)

// slowShares is in how many parts the extra time of a slow service is cut: one passes before a request is applied and
// one before its answer arrives.
const slowShares = 2

// Faults are the faults of the key-value service that are on.
type Faults struct {
	Outage bool
	// Slow is the extra time of each request.
	Slow time.Duration
	// LostAnswerProbability is the share of answers that are lost, from 0 to 1.
	LostAnswerProbability float64
}

// Faults returns which faults are on.
func (m *Model) Faults() Faults { return m.faults }

// delay returns the time that passes on either side of carrying a request out.
func (f *Faults) delay() time.Duration { return f.Slow / slowShares }

func (f *Faults) losesAnswer(random *rand.Rand) bool {
	return f.LostAnswerProbability > 0 && random.Float64() < f.LostAnswerProbability
}

// SetOutage starts or ends an outage of the key-value service. At its start the watches close, and requests under way
// break: those that were not applied yet never are, and no answer to any of them arrives. What requests get and what
// becomes of leases is in Settings. The membership list and the weight store go on.
func (m *Model) SetOutage(now time.Time, on bool) {
	m.advance(now)
	if m.faults.Outage == on {
		return
	}
	m.faults.Outage = on
	if on {
		m.breakConnections()
		return
	}
	if m.settings.OutageLeases != OutageExpiresLeases {
		m.refreshLeases()
	}
}

// SetSlow adds a time to each request to the key-value service, from now on. Half of it passes before the request is
// applied and half after. Changes of watches come late by half of it.
func (m *Model) SetSlow(extra time.Duration) { m.faults.Slow = max(extra, 0) }

// SetLostAnswerProbability makes the key-value service lose answers, from 0 (none) to 1 (all). The requests take
// effect. Answers to Watch are never lost.
func (m *Model) SetLostAnswerProbability(probability float64) {
	m.faults.LostAnswerProbability = probability
}

// Restart restarts the key-value service, which keeps its state: connections break and watches close. Leases run on.
func (m *Model) Restart(now time.Time) {
	m.advance(now)
	m.breakConnections()
}

// breakConnections closes the watches and drops the requests and answers under way.
func (m *Model) breakConnections() {
	m.closeWatches()
	var kept, broken eventQueue
	for _, waiting := range m.queue {
		if waiting.kind == eventApply || waiting.kind == eventAnswer {
			broken = append(broken, waiting)
		} else {
			kept = append(kept, waiting)
		}
	}
	heap.Init(&kept)
	m.queue = kept
	heap.Init(&broken)
	for len(broken) > 0 {
		m.breakCall(heap.Pop(&broken).(*event).call)
	}
}

// breakCall tells a client that its connection broke, unless connections break silently.
func (m *Model) breakCall(broken *call) {
	silent := m.faults.Outage && m.settings.OutageAnswer == OutageSilent
	if broken == nil || silent {
		return
	}
	m.answer(broken, platform.Response{Failure: platform.FailureUnknown})
}
