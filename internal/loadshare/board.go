// Package loadshare lets gateways tell each other what work they have at which workers and what prompt parts they had read
// there. Each gateway sees only its part of the traffic; with what the others tell it knows the queue of every worker.
//
// What is told is a hint: a message that is lost, late or doubled makes a choice worse, never wrong.
package loadshare

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
	// Running requests, and Reading among them whose prompt is still to be read, with ReadingTokens to read.
	Running       int
	ReadingTokens int
	Reading       int
	// DeferredTokens of prompts that are read only while nothing else waits.
	DeferredTokens int
	// Waiting late requests that have not begun.
	Waiting int
}

// load is the load without its worker.
func (l Load) backendLoad() backend.Load {
	return backend.Load{
		Running: l.Running, Reading: l.Reading, ReadingTokens: l.ReadingTokens, DeferredTokens: l.DeferredTokens,
		Waiting: l.Waiting,
	}
}

// LoadAt returns a load as it is told.
func LoadAt(worker string, load backend.Load) Load {
	return Load{
		Worker: worker, Running: load.Running, Reading: load.Reading, ReadingTokens: load.ReadingTokens,
		DeferredTokens: load.DeferredTokens, Waiting: load.Waiting,
	}
}

// Kept tells that a worker keeps a part of prompts, or is about to.
type Kept struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Key    string
	Tokens int
	Ready  bool
	// Own tokens of the request, which no other one can use, and which the worker keeps all the same.
	Own int
}

// Changing tells that work is kept off a worker, because it changes its role.
type Changing struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	// Role that the worker takes; once its record says so the change is over.
	Role string
	// ForMs is how long at the most, in milliseconds from when this is heard, and ReadyMs when it is expected to be done.
	ForMs, ReadyMs int64
}

// Changed tells that a worker says that it has a role now, although its record may not tell it yet.
type Changed struct {
	_      struct{} `cbor:",toarray"`
	Worker string
	Role   string
}

// Message is what one gateway tells the others.
type Message struct {
	_ struct{} `cbor:",toarray"`
	// Sender is the name of the gateway.
	Sender string
	// Epoch rises with each start of the sender and Sequence with each message.
	Epoch    int64
	Sequence uint64
	// Full is set when workers that are not listed have no load of the sender.
	Full  bool
	Loads []Load
	Kept  []Kept
	// Offered work by groups, told with Full.
	Offered []Offered
	// Changing workers, by the word of the gateway that gives orders.
	Changing []Changing
	// Failed workers were set aside by the sender since the last message, because they did not answer.
	Failed []string
	// Changed workers have a new role, Refused ones are engines whose addresses refuse connections, and Answering ones are engines
	// that were taken for such and live.
	Changed            []Changed
	Refused, Answering []string
	// Busy is the part of its limits that the sender uses, of the one that is used most, told with Full.
	Busy float64
	// StandsBy is set by a sender to which no callers are sent. It tells its work, but not that it lives.
	StandsBy bool
	// WallMs is the time of day at the sender, in milliseconds since the start of 1970.
	WallMs int64
	// Used is what tenants have used.
	Used []usage.Count
	// Poison is what is held of requests that may end workers.
	Poison poison.Told
}

// Encode returns the bytes of a message.
func (m *Message) Encode() ([]byte, error) {
	encoded, err := cbor.Marshal(m)
	return encoded, errors.Wrap(err, "step encode a message to a peer")
}

// Decode reads a message.
func Decode(encoded []byte) (*Message, error) {
	var message Message
	if err := cbor.Unmarshal(encoded, &message); err != nil {
		return nil, errors.Wrap(err, "step decode a message of a peer")
	}
	return &message, nil
}

// silenceTime is how long the word of a gateway counts that tells nothing more.
const peerTimeout = 3 * time.Second

// Board holds what the other gateways told. It is a pure state machine and not safe for concurrent use.
type Board struct {
	peers  map[string]*peerState
	totals map[string]backend.Load
}

// sender is what one gateway told.
type peerState struct {
	epoch        int64
	sequence     uint64
	lastReceived time.Time
	loads        map[string]backend.Load
	offered      map[string]*Rate
	busy         float64
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{peers: map[string]*peerState{}, totals: map[string]backend.Load{}}
}

// Apply takes a message, and tells whether it was newer than what was known.
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
		peer.busy = message.Busy
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

// Offered returns the tokens a second that callers offer for a group through the other gateways.
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

// Busy returns what the other gateways use of their limits, by name.
func (b *Board) Busy(now time.Time) map[string]float64 {
	b.expirePeers(now)
	busy := make(map[string]float64, len(b.peers))
	for name, peer := range b.peers {
		busy[name] = peer.busy
	}
	return busy
}

// Load returns the work that the other gateways have at a worker.
func (b *Board) Load(worker string) backend.Load { return b.totals[worker] }

// Senders returns how many gateways told something lately.
func (b *Board) PeerCount(now time.Time) int {
	b.expirePeers(now)
	return len(b.peers)
}

// replace puts the load of a sender at a worker in place of the old one.
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

// remove forgets a sender.
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

// expire forgets senders that have been silent for long.
func (b *Board) expirePeers(now time.Time) {
	for name, peer := range b.peers {
		if now.Sub(peer.lastReceived) > peerTimeout {
			b.removePeer(name)
		}
	}
}
