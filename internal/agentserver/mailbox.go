package agentserver

import (
	"sync"

	"github.com/granitebay/granitebay/internal/core"
)

// mailbox holds the events of one call until its handler writes them. The core never waits for a slow caller; what waits
// is bounded by the length of the answer.
type mailbox struct {
	mutex  sync.Mutex
	events []core.CallerEvent
	spare  []core.CallerEvent
	// ready holds a value while there may be events.
	ready chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

func (m *mailbox) put(event core.CallerEvent) {
	m.mutex.Lock()
	m.events = append(m.events, event)
	m.mutex.Unlock()
	select {
	case m.ready <- struct{}{}:
	default:
	}
}

// take returns what waits. It is valid until the next take.
func (m *mailbox) take() []core.CallerEvent {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	taken := m.events
	m.events = m.spare[:0]
	m.spare = taken
	return taken
}
