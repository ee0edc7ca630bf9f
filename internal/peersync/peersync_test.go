package peersync

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

// epoch is the start time of the tests.
var epoch = time.Unix(1000, 0)

// TestMessageRoundTrip guards against fields that are lost in encoding, and against accepting malformed datagrams.
func TestMessageRoundTrip(t *testing.T) {
	message := &Message{
		Sender: "a", Epoch: 3, Sequence: 9, Full: true,
		Loads: []Load{{Worker: "w", Running: 2, PrefillTokens: 300}}, CachedSegments: []CachedSegment{{Worker: "w", Key: "k", Tokens: 9, Ready: true}},
	}
	encoded, err := message.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(encoded)
	if err != nil || decoded.Sender != "a" || !decoded.Full || decoded.Loads[0].PrefillTokens != 300 || !decoded.CachedSegments[0].Ready {
		t.Fatalf("got %+v, %v", decoded, err)
	}
	if _, err := Decode([]byte("nonsense")); err == nil {
		t.Error("an invalid message was decoded")
	}
}

// TestTotalsSumLatestMessages guards against totals that differ from the latest message of each sender when messages
// are lost, reordered or duplicated.
func TestTotalsSumLatestMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		board := NewBoard()
		latest := map[string]*Message{}
		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			message := &Message{
				Sender:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "sender"),
				Epoch:    int64(rapid.IntRange(1, 2).Draw(t, "epoch")),
				Sequence: uint64(rapid.IntRange(1, 9).Draw(t, "sequence")),
				Full:     true,
			}
			if running := rapid.IntRange(0, 3).Draw(t, "running"); running > 0 {
				message.Loads = []Load{{Worker: "w", Running: running, PrefillTokens: running * 10}}
			}
			previous := latest[message.Sender]
			newer := previous == nil || message.Epoch > previous.Epoch || (message.Epoch == previous.Epoch && message.Sequence > previous.Sequence)
			if board.Apply(epoch, message) != newer {
				t.Fatalf("%+v after %+v: newer should be %v", message, previous, newer)
			}
			if newer {
				latest[message.Sender] = message
			}
		}
		total := 0
		for _, message := range latest {
			for _, load := range message.Loads {
				total += load.Running
			}
		}
		if got := board.Load("w"); got.Running != total || got.PrefillTokens != total*10 {
			t.Fatalf("got %+v, want %d", got, total)
		}
	})
}

// TestSilentPeersExpire guards against counting the load of a terminated gateway forever.
func TestSilentPeersExpire(t *testing.T) {
	board := NewBoard()
	board.Apply(epoch, &Message{Sender: "a", Epoch: 1, Sequence: 1, Loads: []Load{{Worker: "w", Running: 5}}})
	if board.PeerCount(epoch.Add(peerTimeout+1)) != 0 || board.Load("w").Running != 0 {
		t.Error("the load of a silent peer still counts")
	}
}

// fakeSource provides a fixed load and records the messages it receives.
type fakeSource struct {
	mu       sync.Mutex
	received []*Message
}

func (s *fakeSource) TakeUpdate(bool) Message {
	return Message{Loads: []Load{{Worker: "w", Running: 1}}}
}

func (s *fakeSource) TakeSupplement(bool) Supplement { return Supplement{} }

func (s *fakeSource) ApplySupplement(*Supplement) {}

func (s *fakeSource) ApplyUpdate(message *Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received = append(s.received, message)
}

func (s *fakeSource) receivedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.received)
}

// exchangePair returns two exchanges that run until the test ends, and their sources.
func exchangePair(t *testing.T) (exchanges [2]*Exchange, sources [2]*fakeSource) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range exchanges {
		settings := DefaultSettings()
		settings.Name, settings.Listen, settings.Heartbeat = string(rune('a'+i)), "127.0.0.1:0", 30*time.Millisecond
		sources[i] = &fakeSource{}
		exchange, err := NewExchange(settings, sources[i], logrus.New())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(exchange.Close)
		exchanges[i] = exchange
		go exchange.Receive()
		go exchange.Send(ctx)
	}
	return exchanges, sources
}

// address returns the address of an exchange.
func address(exchange *Exchange) string { return exchange.socket.LocalAddr().String() }

// waitForMessages waits until a source has received a number of messages.
func waitForMessages(t *testing.T, source *fakeSource, count int) {
	t.Helper()
	for range 200 {
		if source.receivedCount() >= count {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("received %d messages, want %d", source.receivedCount(), count)
}

// TestPeersReceiveChangesAndHeartbeats guards against heartbeats that stop after the first change.
func TestPeersReceiveChangesAndHeartbeats(t *testing.T) {
	exchanges, sources := exchangePair(t)
	exchanges[0].SetReceivers(Receivers{Peers: []string{address(exchanges[1])}})
	exchanges[0].Changed(true)
	waitForMessages(t, sources[1], 5)
}

// TestStandbyStopsHeartbeats guards against peers that wait for the heartbeats of a standby gateway, and against a
// standby gateway that sends no changes.
func TestStandbyStopsHeartbeats(t *testing.T) {
	exchanges, sources := exchangePair(t)
	peers := []string{address(exchanges[1])}
	exchanges[0].SetReceivers(Receivers{Peers: peers})
	waitForMessages(t, sources[1], 3)
	exchanges[0].SetReceivers(Receivers{Peers: peers, Standby: true})
	received := func() (messages []*Message) {
		sources[1].mu.Lock()
		defer sources[1].mu.Unlock()
		return append(messages, sources[1].received...)
	}
	for range 200 {
		if messages := received(); messages[len(messages)-1].Standby {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	count := sources[1].receivedCount()
	time.Sleep(100 * time.Millisecond)
	messages := received()
	if len(messages) != count || !messages[count-1].Standby {
		t.Errorf("%d messages after %d, Standby of the last one: %t", len(messages), count, messages[count-1].Standby)
	}
	exchanges[0].Changed(true)
	waitForMessages(t, sources[1], count+1)
	if messages := received(); !messages[count].Standby || len(messages[count].Loads) == 0 {
		t.Errorf("the change was sent as %+v", messages[count])
	}
}
