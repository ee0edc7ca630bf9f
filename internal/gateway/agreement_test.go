package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/granitebay/granitebay/internal/member"
	"github.com/granitebay/granitebay/internal/store"
)

// fleetPlay plays the entries of a fleet on fake time: lists of gateways, what they tell each other, and what those that stand by ask.
type fleetPlay struct {
	random *rand.Rand
	now    time.Time
	nodes  []*playedNode
}

// playedNode is one gateway.
type playedNode struct {
	name string
	list *member.List
	// stalledUntil is until when it does nothing, ranSince when it did something last, and asks when it asks an entry next.
	stalledUntil, ran, asks time.Time
	entries                 []member.Gateway
	audience                []string
	takesRequests           bool
}

// Times of a play: steps as short as a heartbeat's quarter, and the question of one that stands by.
const (
	playStep = 50 * time.Millisecond
	askEvery = 700 * time.Millisecond
)

// newFleetPlay returns a fleet of gateways in one zone that know each other.
func newFleetPlay(seed uint64, size int) *fleetPlay {
	p := &fleetPlay{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_700_000_000, 0)}
	var items []store.Item
	var all []member.Gateway
	for i := range size {
		gateway := member.Gateway{Name: fmt.Sprintf("g%02d", i), Zone: "zone-a", Cores: 1}
		gateway.PeerAddress = gateway.Name
		value, _ := json.Marshal(gateway)
		items = append(items, store.Item{Key: member.KeyPrefix + gateway.Name, Value: value})
		all = append(all, gateway)
	}
	for _, gateway := range all {
		node := &playedNode{name: gateway.Name, list: member.NewList(gateway), ran: p.now}
		if err := node.list.Reset(p.now, items); err != nil {
			panic(err)
		}
		p.nodes = append(p.nodes, node)
	}
	return p
}

// node returns the gateway of a name.
func (p *fleetPlay) node(name string) *playedNode {
	return p.nodes[slices.IndexFunc(p.nodes, func(n *playedNode) bool { return n.name == name })]
}

// runs tells whether a gateway does something now.
func (p *fleetPlay) runs(n *playedNode) bool { return !p.now.Before(n.stalledUntil) }

// play lets time pass.
func (p *fleetPlay) play(length time.Duration) {
	for end := p.now.Add(length); p.now.Before(end); {
		p.now = p.now.Add(playStep)
		for _, n := range p.nodes {
			if p.runs(n) {
				p.look(n)
			}
		}
		for _, n := range p.nodes {
			if p.runs(n) {
				p.tell(n)
			}
		}
	}
}

// look has a gateway see who takes requests, as watchEntries does.
func (p *fleetPlay) look(n *playedNode) {
	if p.now.Sub(n.ran) > entryTick+standstill {
		n.list.Resumed(p.now)
	}
	n.ran = p.now
	// The store answers, and those that stand by hear of it from an entry.
	if n.takesRequests {
		n.list.Connected(p.now)
	} else if !p.now.Before(n.asks) {
		n.asks = p.now.Add(askEvery)
		p.ask(n)
	}
	entries, suspects := n.list.Entries(p.now)
	audience := audienceOf(n.name, entries, slices.Concat(suspects, n.list.Claimants(p.now)), nil)
	n.entries, n.audience, n.takesRequests = entries, audience.Peers, !audience.StandsBy
}

// ask has one that stands by ask one of the entries that it knows.
func (p *fleetPlay) ask(n *playedNode) {
	if len(n.entries) == 0 {
		return
	}
	teller := p.node(n.entries[p.random.IntN(len(n.entries))].Name)
	if teller == n || !p.runs(teller) || !teller.takesRequests {
		return
	}
	n.list.Told(p.now, namesOf(teller.entries), namesOf(teller.list.Named(p.now)))
}

// tell has a gateway tell the others that it takes requests, or once that it does not any more.
func (p *fleetPlay) tell(n *playedNode) {
	for _, name := range n.audience {
		if other := p.node(name); p.runs(other) {
			if n.takesRequests {
				other.list.Heard(p.now, n.name)
			} else {
				other.list.Unheard(n.name)
			}
		}
	}
}

// agreed tells whether all gateways have the same entries.
func (p *fleetPlay) agreed() bool {
	for _, n := range p.nodes {
		if !slices.Equal(namesOf(n.entries), namesOf(p.nodes[0].entries)) {
			return false
		}
	}
	return true
}

// TestGatewaysAgreeSoonWhoTakesRequests freezes an entry while all machines are busy, so that who takes its place is heard late by some,
// and wakes it. A few seconds after the machines have time again all have the same entries.
func TestGatewaysAgreeSoonWhoTakesRequests(t *testing.T) {
	const plays, busy, settled = 60, 4 * time.Second, 5 * time.Second
	differ := 0
	for seed := range uint64(plays) {
		p := newFleetPlay(seed, 14)
		p.play(5 * time.Second)
		if !p.agreed() {
			t.Fatalf("seed %d: they differ from the start", seed)
		}
		frozen := p.node(p.nodes[0].entries[0].Name)
		for begun := p.now; p.now.Before(begun.Add(busy)); {
			for _, n := range p.nodes {
				if p.runs(n) && p.random.IntN(8) == 0 {
					n.stalledUntil = p.now.Add(time.Duration(p.random.IntN(2000)) * time.Millisecond)
				}
			}
			frozen.stalledUntil = p.now.Add(time.Hour)
			p.play(4 * playStep)
		}
		for _, n := range p.nodes {
			n.stalledUntil = p.now
		}
		p.play(settled)
		if !p.agreed() {
			differ++
			if differ == 1 {
				for _, n := range p.nodes {
					t.Logf("seed %d: %s takes requests %t, with %v", seed, n.name, n.takesRequests, namesOf(n.entries))
				}
			}
		}
	}
	if differ > 0 {
		t.Errorf("in %d of %d plays gateways differ %s after all have time again", differ, plays, settled)
	}
}
