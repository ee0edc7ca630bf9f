package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/decision"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/platform"
)

// oneWay is the delay of a message, with up to as much again on top.
const oneWay = 2 * time.Millisecond

// node is one router in the test network.
type node struct {
	name    string
	self    membership.Member
	core    *membership.Core
	down    bool
	paused  bool
	inbox   []*granitebayv1.Envelope // messages that wait while the node is paused
	records []decision.Record
	bytes   int // of envelopes sent
	sent    int // envelopes
}

// delivery is a message on its way.
type delivery struct {
	at       time.Time
	sequence int
	to       string
	envelope *granitebayv1.Envelope
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at.Before(d[j].at) || d[i].at.Equal(d[j].at) && d[i].sequence < d[j].sequence
}
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// network runs cores on a virtual clock.
type network struct {
	now     time.Time
	random  *rand.Rand
	nodes   map[string]*node
	names   []string
	queue   deliveries
	counter int
	// cut tells whether messages from one node to another are lost; loss is the share of all others that are.
	cut  func(from, to string) bool
	loss float64
}

func newNetwork(seed uint64) *network {
	return &network{
		now:    time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, 1)),
		nodes:  make(map[string]*node),
	}
}

// name of the router at an index.
func name(i int) string { return fmt.Sprintf("router-%03d", i) }

// start starts or restarts a router; its incarnation is the time.
func (n *network) start(name string, seeds ...string) *node {
	self := membership.Member{
		Name: name, Address: name + ":7000", Zone: "zone-a", Incarnation: uint64(n.now.UnixMilli()),
	}
	if _, known := n.nodes[name]; !known {
		n.names = append(n.names, name)
	}
	started := &node{name: name, self: self, core: membership.New(membership.Settings{
		Self: self,
		Seeds: lo.Map(seeds, func(seed string, _ int) membership.Member {
			return membership.Member{Name: seed, Address: seed + ":7000"}
		}),
	}, rand.New(rand.NewPCG(n.random.Uint64(), 2)))}
	n.nodes[name] = started
	return started
}

// startFleet starts routers that know the first two as seeds.
func (n *network) startFleet(count int) {
	for i := range count {
		n.start(name(i), name(0), name(1))
	}
}

// step gives one input to a node that runs, and sends what comes out.
func (n *network) step(to *node, input func(*membership.Core, *core.Effects)) {
	if to.down {
		return
	}
	var effects core.Effects
	input(to.core, &effects)
	to.records = append(to.records, effects.Decisions...)
	for _, message := range effects.Messages {
		message.Envelope.From = n.peer(to)
		message.Envelope.To = message.To
		to.bytes += proto.Size(message.Envelope)
		to.sent++
		if n.cut != nil && n.cut(to.name, message.To) || n.random.Float64() < n.loss {
			continue
		}
		n.counter++
		delay := oneWay + time.Duration(n.random.Int64N(int64(oneWay)))
		heap.Push(&n.queue, delivery{n.now.Add(delay), n.counter, message.To, message.Envelope})
	}
}

// run lets time pass.
func (n *network) run(duration time.Duration) {
	end := n.now.Add(duration)
	for {
		next := end
		if len(n.queue) > 0 && n.queue[0].at.Before(next) {
			next = n.queue[0].at
		}
		var due *node
		for _, name := range n.names {
			candidate := n.nodes[name]
			if wake := candidate.core.NextWake(); !candidate.down && !candidate.paused && wake.Before(next) {
				next, due = wake, candidate
			}
		}
		if next.After(n.now) {
			n.now = next
		}
		switch {
		case due != nil:
			n.step(due, func(c *membership.Core, effects *core.Effects) { c.Tick(n.now, effects) })
		case next.Equal(end):
			return
		default:
			arrived := heap.Pop(&n.queue).(delivery)
			n.deliver(arrived)
		}
	}
}

func (n *network) deliver(arrived delivery) {
	to, found := n.nodes[arrived.to]
	switch {
	case !found:
	case to.paused:
		to.inbox = append(to.inbox, arrived.envelope)
	default:
		n.step(to, func(c *membership.Core, effects *core.Effects) { c.HandleEnvelope(n.now, arrived.envelope, effects) })
	}
}

// resume lets a paused node run again, which then finds what came meanwhile.
func (n *network) resume(to *node) {
	to.paused = false
	for _, envelope := range to.inbox {
		n.step(to, func(c *membership.Core, effects *core.Effects) { c.HandleEnvelope(n.now, envelope, effects) })
	}
	to.inbox = nil
}

// list gives a platform list to every node.
func (n *network) list(members []platform.Member) {
	for _, name := range n.names {
		n.step(n.nodes[name], func(c *membership.Core, effects *core.Effects) {
			c.HandlePlatformMembers(n.now, members, effects)
		})
	}
}

// listed returns the platform's list of all nodes, which a change may alter.
func (n *network) listed(change func(*platform.Member)) []platform.Member {
	return lo.Map(n.names, func(name string, _ int) platform.Member {
		self := n.nodes[name].self
		member := platform.Member{Name: name, Kind: platform.MemberRouter, Zone: self.Zone, Address: self.Address, Incarnation: self.Incarnation}
		if change != nil {
			change(&member)
		}
		return member
	})
}

// running returns the nodes that are up, in order of start.
func (n *network) running() []*node {
	return lo.FilterMap(n.names, func(name string, _ int) (*node, bool) {
		return n.nodes[name], !n.nodes[name].down
	})
}

// disagreement names a running node that does not see a member as wanted, or is empty.
func (n *network) disagreement(want func(name string) membership.State) string {
	for _, viewer := range n.running() {
		for _, name := range n.names {
			seen, _ := viewer.core.Lookup(name)
			incarnation := n.nodes[name].self.Incarnation
			if seen.State != want(name) || seen.Incarnation != incarnation {
				return fmt.Sprintf("%s sees %s as %q in incarnation %d, not %q in %d",
					viewer.name, name, seen.State, seen.Incarnation, want(name), incarnation)
			}
		}
	}
	return ""
}

// await runs until all running nodes see every member as wanted, and returns how long it took.
func (n *network) await(t testing.TB, limit time.Duration, want func(name string) membership.State) time.Duration {
	t.Helper()
	begin := n.now
	for n.disagreement(want) != "" {
		if n.now.Sub(begin) >= limit {
			t.Fatalf("after %v: %s", limit, n.disagreement(want))
		}
		n.run(100 * time.Millisecond)
	}
	return n.now.Sub(begin)
}

// actual is the state of a node as it really is.
func (n *network) actual(name string) membership.State {
	if n.nodes[name].down {
		return membership.StateDead
	}
	return membership.StateAlive
}

// deaths counts how often any node declared the member dead.
func (n *network) deaths(name string) int {
	return lo.SumBy(n.running(), func(viewer *node) int {
		return lo.CountBy(viewer.records, func(record decision.Record) bool {
			return record.Subject == name && record.Outcome == string(membership.StateDead)
		})
	})
}

// peer returns a node as the sender of an envelope.
func (n *network) peer(of *node) *granitebayv1.Peer {
	return &granitebayv1.Peer{Name: of.name, Incarnation: of.self.Incarnation, Address: of.self.Address, Zone: of.self.Zone}
}
