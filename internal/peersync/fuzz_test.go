package peersync

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/granitebay/granitebay/internal/poison"
	"github.com/granitebay/granitebay/internal/usage"
)

// boardSource applies updates to a board and queries it.
type boardSource struct {
	board *Board
	now   time.Time
}

// TakeUpdate implements Source.
func (boardSource) TakeUpdate(bool) Message { return Message{} }

// TakeSupplement implements Source.
func (boardSource) TakeSupplement(bool) Supplement { return Supplement{} }

// ApplySupplement implements Source.
func (boardSource) ApplySupplement(*Supplement) {}

// ApplyUpdate implements Source.
func (s boardSource) ApplyUpdate(message *Message) {
	s.board.Apply(s.now, message)
	for _, load := range message.Loads {
		s.board.Load(load.Worker)
	}
	for _, offered := range message.Offered {
		s.board.Offered(s.now, offered.Group)
	}
	s.board.Utilization(s.now)
}

// FuzzDatagram guards against datagrams of peers that end the process. Datagrams are untrusted input.
func FuzzDatagram(f *testing.F) {
	message := Message{
		Sender: "a", Epoch: 3, Sequence: 9, Full: true, Loads: []Load{{Worker: "w", Running: 2}}, CachedSegments: []CachedSegment{{Worker: "w", Key: "k", Tokens: 9}},
		Offered: []OfferedLoad{{Group: "g", Tokens: 4}}, RoleChanges: []RoleChange{{Worker: "w", Role: "decode", ForMs: 4}}, Used: []usage.Count{{Gateway: "a", Requests: map[string]int64{"t": 1}}},
		Poison: poison.Update{Crashes: []poison.Crash{{Worker: "w"}}},
	}
	supplement := Supplement{Leaving: []string{"w"}, Limits: []Limit{{Worker: "w", PerSecond: 1}}, Queued: []Queued{{Group: "g", Counts: []QueuedCount{{Urgency: 1}}}}}
	for _, encode := range []func() ([]byte, error){message.Encode, supplement.Encode} {
		encoded, err := encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte{0x9f, 0xff})
	f.Add([]byte{0xa1, 0x03, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		source := boardSource{board: NewBoard(), now: epoch}
		exchange := &Exchange{source: source, logger: logger}
		// Most datagrams are invalid, which is not a fault.
		for range 2 {
			_ = exchange.handleDatagram(datagram)
		}
		source.board.PeerCount(epoch.Add(2 * peerTimeout))
	})
}
