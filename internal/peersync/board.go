// Package peersync exchanges updates between gateways over UDP. A Message carries how much work the sender has at which
// workers, the prompt segments that these cache, role changes, failures, usage counts and bars; a Supplement carries
// leaving workers, rate limits and loans. A gateway sees only its own part of the traffic; with the load of its peers it
// knows the queue of every worker.
//
// Datagrams may be lost, late or duplicated. For load and cached segments this leads to a worse choice of worker, never
// to a wrong result; usage counts, bars, leaving workers and limits are sent again.
package peersync

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/granitebay/granitebay/internal/backend"
	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/usage"
)

// Load is the work that one gateway has at one worker.
type Load struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	// The following fields have the same meaning as in backend.Load.
	Running        int
	PrefillTokens  int
	Prefilling     int
	DeferredTokens int
	Waiting        int
}

// backendLoad returns the load without its worker.
func (l Load) backendLoad() backend.Load {
	return backend.Load{
		Running: l.Running, Prefilling: l.Prefilling, PrefillTokens: l.PrefillTokens, DeferredTokens: l.DeferredTokens,
		Waiting: l.Waiting,
	}
}

// NewLoad returns the message form of a load.
func NewLoad(worker string, load backend.Load) Load {
	return Load{
		Worker: worker, Running: load.Running, Prefilling: load.Prefilling, PrefillTokens: load.PrefillTokens,
		DeferredTokens: load.DeferredTokens, Waiting: load.Waiting,
	}
}

// CachedSegment announces that a worker caches a prompt segment, or is about to.
type CachedSegment struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Key    string
	Tokens int
	// Ready is set once the segment is cached.
	Ready bool
	// PrivateTokens counts the tokens of the request's own segment, which occupy the cache although other requests cannot
	// share them.
	PrivateTokens int
}

// RoleChange announces that a worker is changing its role, during which it receives no work.
type RoleChange struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	// Role is the new role. The change is over once the worker's record contains it.
	Role string
	// ForMs is the time after which the change is given up, and ReadyMs the expected time until it is done, both in
	// milliseconds from receipt of the message.
	ForMs, ReadyMs int64
}

// RoleReport announces that a worker reports a new role that its record may not contain yet.
type RoleReport struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Role   string
}

// Message is an update from one gateway to its peers.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the name of the sending gateway.
	Sender string
	// Epoch increases with each start of the sender, and Sequence with each message.
	Epoch    int64
	Sequence uint64
	// Full is set if Loads lists all load of the sender. Otherwise it lists only what changed.
	Full           bool
	Loads          []Load
	CachedSegments []CachedSegment
	// Offered is the work offered per group. It is sent in full messages only.
	Offered []OfferedLoad
	// RoleChanges lists workers that are changing their role, according to the leader.
	RoleChanges []RoleChange
	// Failed lists workers that the sender ejected since the last message because they did not respond.
	Failed []string
	// RoleReports lists workers with a new role.
	RoleReports []RoleReport
	// Refused lists engines whose addresses refuse connections, and Recovered lists engines that were reported as refusing
	// connections but respond.
	Refused, Recovered []string
	// Utilization is the utilization of the sender's most used resource limit. It is sent in full messages only.
	Utilization float64
	// Standby is set by a standby gateway, which receives no requests of callers. It sends its load but no heartbeats.
	Standby bool
	// WallMs is the wall-clock time at the sender, in milliseconds since the Unix epoch. It is sent in full messages only.
	WallMs int64
	// Used holds usage counts of tenants: those that changed, or in full messages those that are not finalized.
	Used []usage.Count
	// Poison is the sender's knowledge of requests that may crash workers.
	Poison poison.Update
}

// Encode returns the encoding of a message.
func (m *Message) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(m)
	return encoded, errors.Wrap(err, "encode message to peers")
}

// Decode decodes a message.
func Decode(encoded []byte) (*Message, error) {
	var message Message
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return nil, errors.Wrapf(err, "decode message of %d bytes from peer", len(encoded))
	}
	return &message, nil
}

// peerTimeout is how long the state of a silent peer remains valid.
const peerTimeout = 3 * time.Second

// Board holds the state received from the peers. It is a pure state machine and not safe for concurrent use.
type Board struct {
	peers  map[string]*peerState
	totals map[string]backend.Load
}

// peerState is the state received from one peer.
type peerState struct {
	epoch        int64
	sequence     uint64
	lastReceived time.Time
	loads        map[string]backend.Load
	offered      map[string]*Rate
	utilization  float64
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{peers: map[string]*peerState{}, totals: map[string]backend.Load{}}
}

// Apply applies the loads, the utilization and the offered work of a message. It reports whether the message is newer
// than the known state of its sender, which is dropped after peerTimeout; an older message has no effect.
func (b *Board) Apply(now time.Time, message *Message) bool {
	b.expirePeers(now)
	peer, found := b.peers[message.Sender]
	if !found || message.Epoch > peer.epoch {
		b.removePeer(message.Sender)
		peer = &peerState{epoch: message.Epoch, loads: map[string]backend.Load{}, offered: map[string]*Rate{}}
		b.peers[message.Sender] = peer
	}
	if message.Epoch < peer.epoch || message.Sequence <= peer.sequence {
		return false
	}
	peer.sequence, peer.lastReceived = message.Sequence, now
	if message.Full {
		peer.utilization = message.Utilization
		for worker := range peer.loads {
			b.setLoad(peer, worker, backend.Load{})
		}
	}
	for _, load := range message.Loads {
		b.setLoad(peer, load.Worker, load.backendLoad())
	}
	for _, offered := range message.Offered {
		rate, found := peer.offered[offered.Group]
		if !found {
			rate = &Rate{}
			peer.offered[offered.Group] = rate
		}
		rate.Update(now, offered.Tokens)
	}
	return true
}

// Offered returns the prompt tokens per second that callers offer to a group through the other gateways.
func (b *Board) Offered(now time.Time, group string) float64 {
	b.expirePeers(now)
	total := 0.0
	for _, peer := range b.peers {
		if rate, found := peer.offered[group]; found {
			total += rate.PerSecond()
		}
	}
	return total
}

// Utilization returns the utilization of the other gateways by name.
func (b *Board) Utilization(now time.Time) map[string]float64 {
	b.expirePeers(now)
	utilization := make(map[string]float64, len(b.peers))
	for name, peer := range b.peers {
		utilization[name] = peer.utilization
	}
	return utilization
}

// Load returns the work that the other gateways have at a worker.
func (b *Board) Load(worker string) backend.Load { return b.totals[worker] }

// PeerCount returns the number of gateways from which a message arrived recently.
func (b *Board) PeerCount(now time.Time) int {
	b.expirePeers(now)
	return len(b.peers)
}

// setLoad replaces the load of a peer at a worker and updates the total.
func (b *Board) setLoad(peer *peerState, worker string, load backend.Load) {
	total := b.totals[worker].Minus(peer.loads[worker]).Plus(load)
	b.totals[worker] = total
	if total == (backend.Load{}) {
		delete(b.totals, worker)
	}
	if load == (backend.Load{}) {
		delete(peer.loads, worker)
		return
	}
	peer.loads[worker] = load
}

// removePeer removes a peer and its load.
func (b *Board) removePeer(name string) {
	peer, found := b.peers[name]
	if !found {
		return
	}
	for worker := range peer.loads {
		b.setLoad(peer, worker, backend.Load{})
	}
	delete(b.peers, name)
}

// expirePeers removes peers that have been silent for longer than peerTimeout.
func (b *Board) expirePeers(now time.Time) {
	for name, peer := range b.peers {
		if now.Sub(peer.lastReceived) > peerTimeout {
			b.removePeer(name)
		}
	}
}
