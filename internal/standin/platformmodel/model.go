// Package platformmodel is a model of the platform: a key-value service with leases and watches, a membership list
// that lags, and a weight store with a limited rate. It is pure: time comes in with each call and answers are taken
// out. The simulation uses it directly; platformserver puts it behind HTTP.
package platformmodel

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/granitebay/granitebay/internal/platform"
)

// Delivery is one thing that a client gets: a response or a change of a watch.
type Delivery struct {
	Client   string
	Response *platform.Response
	Watch    *platform.WatchEvent
}

// Model is the whole platform. It is not safe for concurrent use.
type Model struct {
	settings Settings
	random   *rand.Rand
	// now is the latest time that the model was told.
	now        time.Time
	queue      eventQueue
	sequence   uint64
	deliveries []Delivery
	// stateVersion counts changes of what Snapshot returns.
	stateVersion uint64

	store             store
	leases            map[uint64]*lease
	lastLease         uint64
	watches           map[callKey]*watch
	keyValueLimiter   *limiter
	membershipLimiter *limiter
	faults            Faults
	membership        membership
	weights           weightStore
}

// New returns an empty platform. The random source decides which answers are lost.
func New(settings Settings, random *rand.Rand) *Model {
	return &Model{
		settings:          settings,
		random:            random,
		store:             newStore(settings),
		leases:            map[uint64]*lease{},
		watches:           map[callKey]*watch{},
		keyValueLimiter:   newLimiter(settings.KeyValueLimits),
		membershipLimiter: newLimiter(settings.MembershipLimits),
		membership:        newMembership(settings),
		weights:           newWeightStore(settings.Weights),
	}
}

// callKey names a request: ids are unique within one run of a client.
type callKey struct {
	client string
	id     platform.RequestID
}

// call is a request that was received.
type call struct {
	callKey
	request platform.Request
	// answered is set once the client got its answer or gave up.
	answered bool
}

// Handle takes a request from a client. The answer comes through TakeDeliveries, at once or after later ticks, or
// never when a fault swallows it and Settings.ClientTimeout is zero. A client that restarts must have another name
// or be disconnected first, because its request ids start anew.
func (m *Model) Handle(now time.Time, client string, id platform.RequestID, request platform.Request) {
	m.advance(now)
	received := &call{callKey: callKey{client: client, id: id}, request: request}
	switch request := request.(type) {
	case platform.ListMembers:
		m.listMembers(received)
	case platform.FetchWeights:
		m.answer(received, m.weights.fetch(m.now, request))
	default:
		m.receiveKeyValue(received)
	}
}

// Tick runs what is due.
func (m *Model) Tick(now time.Time) { m.advance(now) }

// NextWake tells when Tick is due next; the zero time means never.
func (m *Model) NextWake() time.Time {
	for len(m.queue) > 0 && m.queue[0].void() {
		heap.Pop(&m.queue)
	}
	if len(m.queue) == 0 {
		return time.Time{}
	}
	return m.queue[0].due
}

// TakeDeliveries returns what clients get since the last call, in order.
func (m *Model) TakeDeliveries() []Delivery {
	taken := m.deliveries
	m.deliveries = nil
	return taken
}

// Revision returns the revision of the key-value service.
func (m *Model) Revision() uint64 { return m.store.revision }

// Entries returns all keys with a prefix, in order of key, without any fault.
func (m *Model) Entries(prefix string) []platform.Entry { return m.store.list(prefix) }

// History returns the commits of the key-value service, oldest first: all of them with Settings.RecordAllCommits, and
// else those that are kept for watches. The caller must not change them.
func (m *Model) History() []Commit { return m.store.commits }

// DisconnectClient forgets the watches and the unanswered requests of a client that is gone. A request that was
// received but not yet applied still takes effect.
func (m *Model) DisconnectClient(client string) {
	for key := range m.watches {
		if key.client == client {
			delete(m.watches, key)
		}
	}
	m.abandon(func(subject *call) bool { return subject.client == client })
}

// abandon gives up the answers to the calls that match.
func (m *Model) abandon(matches func(*call) bool) {
	for _, waiting := range m.queue {
		if waiting.call != nil && matches(waiting.call) {
			waiting.call.answered = true
		}
	}
}

// advance moves the time on and runs what falls due on the way, each at its own time.
func (m *Model) advance(now time.Time) {
	for len(m.queue) > 0 && !m.queue[0].due.After(now) {
		next := heap.Pop(&m.queue).(*event)
		m.now = next.due
		next.run()
	}
	if now.After(m.now) {
		m.now = now
	}
}

// schedule runs an action at a time that may be past, which means after all that is due already. The call is the one that the action
// belongs to, if any.
func (m *Model) schedule(due time.Time, kind eventKind, subject *call, run func()) {
	othersDue := len(m.queue) > 0 && !m.queue[0].due.After(m.now)
	if !due.After(m.now) && !othersDue {
		run()
		return
	}
	m.sequence++
	heap.Push(&m.queue, &event{due: due, sequence: m.sequence, kind: kind, call: subject, run: run})
}

// answer delivers the response to a call unless the client has given up.
func (m *Model) answer(subject *call, response platform.Response) {
	if subject.answered {
		return
	}
	subject.answered = true
	response.ID = subject.id
	m.deliveries = append(m.deliveries, Delivery{Client: subject.client, Response: &response})
}
