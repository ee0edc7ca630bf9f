package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/claim"
	"github.com/granitebay/granitebay/internal/core"
)

const clockSkew = 500 * time.Millisecond

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func requestID(createdAt time.Time) string {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(createdAt))
	return "fes/" + id.String()
}

func testView(holders int) claim.View {
	return claim.View{Version: 1, Holders: lo.Times(holders, func(i int) claim.Holder {
		return claim.Holder{Name: fmt.Sprintf("router-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}
	})}
}

// testNetwork holds acceptors and proposers, and every message that was sent and may still arrive, in any order.
type testNetwork struct {
	now       time.Time
	view      claim.View
	offsets   map[string]time.Duration
	acceptors map[string]*claim.Acceptor
	proposers map[string]*claim.Proposer
	messages  []core.Message

	// What can be seen from outside.
	results     []claim.Result
	own         map[string]*granitebayv1.ClaimValue // value of the open proposal of a proposer
	proposed    map[string]bool                     // values given to Propose
	acceptsSent map[string]map[string]bool          // proposer and the values that its open proposal asked to accept
	votes       map[string]map[string]bool          // ballot and acceptors that ever voted for it
	values      map[string]*granitebayv1.ClaimValue // value of a ballot
	denied      []string                            // proposers that deny an accept that they sent
	chosen      map[string]bool                     // values with a majority of votes in one ballot
}

func newTestNetwork(view claim.View, proposers []string) *testNetwork {
	network := &testNetwork{
		now:         start,
		view:        view,
		offsets:     make(map[string]time.Duration),
		acceptors:   make(map[string]*claim.Acceptor),
		proposers:   make(map[string]*claim.Proposer),
		own:         make(map[string]*granitebayv1.ClaimValue),
		proposed:    make(map[string]bool),
		acceptsSent: make(map[string]map[string]bool),
		votes:       make(map[string]map[string]bool),
		values:      make(map[string]*granitebayv1.ClaimValue),
		chosen:      make(map[string]bool),
	}
	for _, holder := range view.Holders {
		network.startAcceptor(holder.Name, start.Add(-time.Hour), 0)
	}
	for i, name := range proposers {
		network.startProposer(name, uint64(i))
	}
	return network
}

// clock returns what the clock of an acceptor shows.
func (n *testNetwork) clock(name string) time.Time { return n.now.Add(n.offsets[name]) }

func (n *testNetwork) startAcceptor(name string, at time.Time, offset time.Duration) {
	n.offsets[name] = offset
	n.acceptors[name] = claim.NewAcceptor(claim.AcceptorSettings{
		StartedAt: at.Add(offset), View: n.view, ClockSkew: clockSkew,
	})
}

func (n *testNetwork) startProposer(name string, incarnation uint64) {
	n.proposers[name] = claim.NewProposer(claim.ProposerSettings{
		Name:        name,
		Incarnation: incarnation,
		Address:     func(holder string) string { return holder + ":1" },
	}, rand.New(rand.NewPCG(incarnation, 7)))
}

func (n *testNetwork) propose(name, id string, value *granitebayv1.ClaimValue, deadline time.Duration) {
	n.proposed[value.String()] = true
	if n.proposers[name].Open() == 0 {
		n.own[name], n.acceptsSent[name] = value, make(map[string]bool)
	}
	var effects core.Effects
	n.proposers[name].Propose(n.now, id, value, n.view, n.now.Add(deadline), &effects)
	n.collect(name, &effects)
}

func (n *testNetwork) tick() {
	for _, name := range slices.Sorted(mapKeys(n.proposers)) {
		var effects core.Effects
		n.finish(name, n.proposers[name].Tick(n.now, &effects))
		n.collect(name, &effects)
	}
	for name, acceptor := range n.acceptors {
		acceptor.Tick(n.clock(name))
	}
}

func mapKeys[V any](of map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for key := range of {
			if !yield(key) {
				return
			}
		}
	}
}

// deliver hands over the message at an index; a duplicated one may arrive again.
func (n *testNetwork) deliver(index int, duplicate bool) {
	message := n.messages[index]
	if !duplicate {
		n.messages = slices.Delete(n.messages, index, index+1)
	}
	var effects core.Effects
	if acceptor, found := n.acceptors[message.To]; found {
		acceptor.Handle(n.clock(message.To), message.Envelope, &effects)
	}
	if proposer, found := n.proposers[message.To]; found {
		n.finish(message.To, proposer.HandleEnvelope(n.now, message.Envelope, &effects))
	}
	n.collect(message.To, &effects)
}

func (n *testNetwork) collect(from string, effects *core.Effects) {
	for _, message := range effects.Messages {
		message.Envelope = proto.Clone(message.Envelope).(*granitebayv1.Envelope)
		message.Envelope.From = &granitebayv1.Peer{Name: from, Address: from + ":1"}
		n.messages = append(n.messages, message)
		n.observe(from, message.Envelope)
	}
}

// observe keeps what an onlooker on the wire learns.
func (n *testNetwork) observe(from string, envelope *granitebayv1.Envelope) {
	if accept := envelope.GetClaimAccept(); accept != nil {
		n.values[accept.GetBallot().String()] = accept.GetValue()
		n.acceptsSent[from][accept.GetValue().String()] = true
	}
	if accepted := envelope.GetClaimAccepted(); accepted != nil {
		ballot := accepted.GetBallot().String()
		if n.votes[ballot] == nil {
			n.votes[ballot] = make(map[string]bool)
		}
		n.votes[ballot][from] = true
		if len(n.votes[ballot]) >= 2 {
			n.chosen[n.values[ballot].String()] = true
		}
	}
}

// finish keeps results, and notes one that denies an accept that was sent.
func (n *testNetwork) finish(proposer string, results []claim.Result) {
	n.results = append(n.results, results...)
	for _, result := range results {
		if !result.Proposed && n.acceptsSent[proposer][n.own[proposer].String()] {
			n.denied = append(n.denied, proposer)
		}
	}
}

// check fails if two values were decided, or one that nobody proposed.
func (n *testNetwork) check(t interface{ Fatalf(string, ...any) }) {
	for _, result := range n.results {
		if result.Decided {
			n.chosen[result.Value.String()] = true
		}
	}
	if len(n.denied) > 0 {
		t.Fatalf("%v sent an accept and said that it did not", n.denied)
	}
	if len(n.chosen) > 1 {
		t.Fatalf("two values decided: %v", n.chosen)
	}
	for value := range n.chosen {
		if !n.proposed[value] {
			t.Fatalf("decided %s, which nobody proposed", value)
		}
	}
}

// schedule is how often each kind of step happens in one run, in parts of their sum.
type schedule struct {
	deliver, repeat, lose, wait, propose, restartAcceptor, restartProposer int
}

// drawSchedule draws rates rather than steps: rapid's own draws favour small numbers and would hardly ever reorder.
func drawSchedule(t *rapid.T) schedule {
	return schedule{
		deliver:         100,
		repeat:          rapid.IntRange(0, 20).Draw(t, "repeat"),
		lose:            rapid.IntRange(0, 60).Draw(t, "lose"),
		wait:            rapid.IntRange(5, 40).Draw(t, "wait"),
		propose:         rapid.IntRange(2, 20).Draw(t, "propose"),
		restartAcceptor: rapid.IntRange(0, 8).Draw(t, "restart acceptor"),
		restartProposer: rapid.IntRange(0, 5).Draw(t, "restart proposer"),
	}
}

// next picks a step.
func (s schedule) next(random *rand.Rand) string {
	names := []string{"deliver", "repeat", "lose", "wait", "propose", "restart acceptor", "restart proposer"}
	weights := []int{s.deliver, s.repeat, s.lose, s.wait, s.propose, s.restartAcceptor, s.restartProposer}
	left := random.IntN(lo.Sum(weights))
	for i, weight := range weights {
		if left < weight {
			return names[i]
		}
		left -= weight
	}
	return names[0]
}

// TestSafety drives proposers of different values over a network that loses, repeats and reorders, with acceptors that
// restart without memory and with another clock, and proposers that give up, propose anew or restart.
func TestSafety(t *testing.T) {
	const runsOfOneSchedule = 10
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "more seed")))
		rates := drawSchedule(t)
		holders := rapid.SampledFrom([]int{3, 5}).Draw(t, "holders")
		steps := rapid.IntRange(50, 400).Draw(t, "steps")
		for range runsOfOneSchedule {
			runSchedule(t, random, rates, holders, steps)
		}
	})
}

func runSchedule(t *rapid.T, random *rand.Rand, rates schedule, holders, steps int) {
	proposers := []string{"router-0", "router-1", "proposer"}
	values := []*granitebayv1.ClaimValue{{Engine: "engine-1"}, {Engine: "engine-2"}, {Withdrawn: true}}
	network := newTestNetwork(testView(holders), proposers)
	incarnation := uint64(len(proposers))
	id := requestID(start.Add(time.Duration(random.IntN(1800)-900) * time.Millisecond))
	acceptors := network.view.Acceptors(id)
	for range steps {
		step := rates.next(random)
		proposer := proposers[random.IntN(len(proposers))]
		index := random.IntN(max(1, len(network.messages)))
		switch {
		case step == "wait":
			network.now = network.now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
			network.tick()
		case step == "propose":
			deadline := time.Duration(random.IntN(2000)) * time.Millisecond
			network.propose(proposer, id, values[random.IntN(len(values))], deadline)
		case step == "restart acceptor":
			offset := time.Duration(random.Int64N(int64(clockSkew))) - clockSkew/2
			network.startAcceptor(acceptors[random.IntN(len(acceptors))].Name, network.now, offset)
		case step == "restart proposer":
			incarnation++
			network.startProposer(proposer, incarnation)
		case len(network.messages) == 0:
		case step == "lose":
			network.messages = slices.Delete(network.messages, index, index+1)
		default:
			network.deliver(index, step == "repeat")
		}
		network.check(t)
	}
}
