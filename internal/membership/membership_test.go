package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/membership"
	"github.com/granitebay/granitebay/internal/platform"
)

func alive(string) membership.State { return membership.StateAlive }

func TestStart(t *testing.T) {
	for _, test := range []struct {
		desc  string
		count int
		seeds bool
	}{
		{desc: "alone", count: 1, seeds: true},
		{desc: "ten from seeds, without the platform", count: 10, seeds: true},
		{desc: "ten from the platform's list, without seeds", count: 10},
		{desc: "eighty from seeds", count: 80, seeds: true},
	} {
		t.Run(test.desc, func(t *testing.T) {
			n := newNetwork(1)
			if test.seeds {
				n.startFleet(test.count)
			} else {
				lo.Times(test.count, func(i int) *node { return n.start(name(i)) })
				n.list(n.listed(nil))
			}
			t.Logf("all know all after %v", n.await(t, 5*time.Second, alive))
			n.run(30 * time.Second)
			if wrong := n.disagreement(alive); wrong != "" {
				t.Error(wrong)
			}
			for _, name := range n.names {
				if n.deaths(name) > 0 {
					t.Errorf("%s was declared dead", name)
				}
			}
		})
	}
}

func TestFaults(t *testing.T) {
	const count = 12
	victim := name(5)
	half := func(name string) bool { return name < victim }
	for _, test := range []struct {
		desc  string
		fault func(n *network)
		// during is what all nodes see within six seconds of the fault; nil when nothing is to be seen.
		during func(name string) membership.State
		repair func(n *network)
		// stable is set when nobody may be declared dead at any time.
		stable bool
	}{
		{
			desc:  "kill and restart",
			fault: func(n *network) { n.nodes[victim].down = true },
			during: func(name string) membership.State {
				return lo.Ternary(name == victim, membership.StateDead, membership.StateAlive)
			},
			repair: func(n *network) { n.start(victim, name(0)) },
		},
		{
			desc:   "restart before the death is noticed",
			fault:  func(n *network) { n.start(victim, name(0)) },
			stable: true,
		},
		{
			desc:   "pause that nobody has time to notice",
			fault:  func(n *network) { n.nodes[victim].paused = true; n.run(time.Second) },
			repair: func(n *network) { n.resume(n.nodes[victim]) },
			stable: true,
		},
		{
			desc:   "pause of a minute",
			fault:  func(n *network) { n.nodes[victim].paused = true; n.run(time.Minute) },
			repair: func(n *network) { n.resume(n.nodes[victim]) },
		},
		{
			desc: "cut in halves for a minute",
			fault: func(n *network) {
				n.cut = func(from, to string) bool { return half(from) != half(to) }
				n.run(time.Minute)
			},
			repair: func(n *network) { n.cut = nil },
		},
		{
			desc: "cut in halves beyond the retention of the dead",
			fault: func(n *network) {
				n.cut = func(from, to string) bool { return half(from) != half(to) }
				n.run(membership.DefaultDeadRetention + time.Minute)
			},
			repair: func(n *network) { n.cut = nil },
		},
		{
			desc: "cut between two members only",
			fault: func(n *network) {
				n.cut = func(from, to string) bool {
					return from == victim && to == name(7) || from == name(7) && to == victim
				}
				n.run(time.Minute)
			},
			during: alive,
			stable: true,
		},
		{
			desc: "one way out of a member is cut",
			fault: func(n *network) {
				n.cut = func(from, _ string) bool { return from == victim }
				n.run(20 * time.Second)
			},
			repair: func(n *network) { n.cut = nil },
		},
		{
			desc:   "a tenth of all messages lost",
			fault:  func(n *network) { n.loss = 0.1; n.run(time.Minute) },
			stable: true,
			repair: func(n *network) { n.loss = 0 },
		},
		{
			desc: "the platform's list is empty",
			fault: func(n *network) {
				n.list(n.listed(nil))
				n.list(nil)
			},
			stable: true,
		},
	} {
		t.Run(test.desc, func(t *testing.T) {
			n := newNetwork(2)
			n.startFleet(count)
			n.await(t, 5*time.Second, alive)
			test.fault(n)
			if test.during != nil {
				t.Logf("seen after %v", n.await(t, 7*time.Second, test.during))
			}
			if test.repair != nil {
				test.repair(n)
			}
			t.Logf("repaired after %v", n.await(t, 10*time.Second, alive))
			n.run(30 * time.Second)
			if wrong := n.disagreement(alive); wrong != "" {
				t.Error(wrong)
			}
			for _, name := range n.names {
				if test.stable && n.deaths(name) > 0 {
					t.Errorf("%s was declared dead", name)
				}
			}
		})
	}
}

func TestLeaving(t *testing.T) {
	victim := name(3)
	leavingOnly := func(name string) membership.State {
		return lo.Ternary(name == victim, membership.StateLeaving, membership.StateAlive)
	}
	for _, test := range []struct {
		desc  string
		leave func(n *network)
		// ends is set when the platform can take it back.
		ends bool
	}{
		{desc: "by itself", leave: func(n *network) {
			n.step(n.nodes[victim], func(c *membership.Core, effects *core.Effects) { c.Leave(n.now, effects) })
		}},
		{desc: "by the platform's list at one router", leave: func(n *network) {
			members := n.listed(func(member *platform.Member) { member.Leaving = member.Name == victim })
			n.step(n.nodes[name(0)], func(c *membership.Core, effects *core.Effects) {
				c.HandlePlatformMembers(n.now, members, effects)
			})
		}},
		{desc: "by a list without incarnations", ends: true, leave: func(n *network) {
			n.list(n.listed(func(member *platform.Member) {
				member.Leaving, member.Incarnation = member.Name == victim, 0
			}))
		}},
	} {
		t.Run(test.desc, func(t *testing.T) {
			n := newNetwork(3)
			n.startFleet(8)
			n.await(t, 5*time.Second, alive)
			test.leave(n)
			t.Logf("known after %v", n.await(t, 3*time.Second, leavingOnly))
			for _, viewer := range n.running() {
				if slices.ContainsFunc(viewer.core.Live(), func(m membership.Member) bool { return m.Name == victim }) {
					t.Errorf("%s gives %s new work", viewer.name, victim)
				}
			}
			n.list(n.listed(nil))
			n.run(20 * time.Second)
			if wrong := n.disagreement(lo.Ternary(test.ends, alive, leavingOnly)); wrong != "" {
				t.Error(wrong)
			}
			n.nodes[victim].down = true
			n.await(t, 8*time.Second, n.actual)
			n.start(victim, name(0))
			n.await(t, 5*time.Second, alive)
		})
	}
}

func TestDisappearingFromTheListShowsAsSuspectUntilTheMemberAnswers(t *testing.T) {
	n := newNetwork(4)
	n.startFleet(6)
	n.await(t, 5*time.Second, alive)
	n.list(n.listed(nil))
	n.run(time.Second)
	viewer := n.nodes[name(0)]
	n.step(viewer, func(c *membership.Core, effects *core.Effects) {
		c.HandlePlatformMembers(n.now, n.listed(nil)[:5], effects)
		if seen, _ := c.Lookup(name(5)); seen.State != membership.StateSuspect || len(c.Live()) != 6 {
			t.Errorf("state %s, live %v", seen.State, c.Live())
		}
	})
	n.await(t, time.Second, alive)
}

func TestUnreachablePeerIsProbedAtOnceAndBoundedly(t *testing.T) {
	n := newNetwork(5)
	n.startFleet(12)
	n.await(t, 5*time.Second, alive)
	n.run(20 * time.Second)
	n.nodes[name(9)].down = true
	viewer := n.nodes[name(0)]
	sent := viewer.sent
	for range 1000 {
		for i := range 12 {
			n.step(viewer, func(c *membership.Core, effects *core.Effects) { c.HandlePeerUnreachable(n.now, name(i), effects) })
		}
	}
	if extra := viewer.sent - sent; extra != membership.DefaultQuickProbes {
		t.Errorf("%d probes at once", extra)
	}
	t.Logf("dead after %v", n.await(t, 5*time.Second, n.actual))
}

func TestSupersededProcessLearnsOfItsSuccessor(t *testing.T) {
	n := newNetwork(6)
	n.startFleet(4)
	n.await(t, 5*time.Second, alive)
	old := n.nodes[name(2)]
	old.paused = true
	n.start(name(2), name(0))
	n.await(t, 5*time.Second, alive)
	n.run(2 * time.Second)
	version := n.nodes[name(0)].core.Version()
	var effects core.Effects
	old.core.Tick(n.now, &effects)
	ping := effects.Messages[0]
	ping.Envelope.From = n.peer(old)
	var answer core.Effects
	n.nodes[ping.To].core.HandleEnvelope(n.now, ping.Envelope, &answer)
	answer.Messages[0].Envelope.From = n.peer(n.nodes[ping.To])
	old.core.HandleEnvelope(n.now, answer.Messages[0].Envelope, &effects)
	if !old.core.Superseded() || n.nodes[name(2)].core.Superseded() {
		t.Error("the wrong process counts as superseded")
	}
	if n.nodes[name(0)].core.Version() != version {
		t.Error("the old process changed the members")
	}
}

// TestConvergence applies random faults, and then lets all be well.
func TestConvergence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"))
		count := rapid.IntRange(2, 9).Draw(t, "count")
		n.startFleet(count)
		versions := make(map[*membership.Core]string)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			chosen := n.nodes[name(n.random.IntN(count))]
			switch n.random.IntN(6) {
			case 0:
				chosen.down = true
			case 1:
				n.run(time.Millisecond)
				n.start(chosen.name, name(0), name(1))
			case 2:
				chosen.paused = true
			case 3:
				n.resume(chosen)
			case 4:
				n.loss = n.random.Float64() / 2
			case 5:
				from, to := n.random.IntN(count), n.random.IntN(count)
				n.cut = func(a, b string) bool { return a >= name(from) && b <= name(to) }
			}
			n.run(time.Duration(n.random.IntN(8000)) * time.Millisecond)
			checkExports(t, n, versions)
		}
		n.cut, n.loss = nil, 0
		for _, node := range n.nodes {
			n.resume(node)
		}
		n.run(25 * time.Second)
		for _, name := range n.names {
			if n.nodes[name].down {
				n.start(name, "router-000", "router-001")
			}
		}
		n.run(15 * time.Second)
		if wrong := n.disagreement(alive); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// checkExports fails if members changed while the version did not, or are not sorted.
func checkExports(t *rapid.T, n *network, versions map[*membership.Core]string) {
	for _, viewer := range n.running() {
		members := viewer.core.Members()
		if !slices.IsSortedFunc(members, func(a, b membership.Member) int { return lo.Ternary(a.Name < b.Name, -1, 1) }) {
			t.Fatalf("%s: members are not sorted", viewer.name)
		}
		prefix := fmt.Sprintf("%d ", viewer.core.Version())
		before, now := versions[viewer.core], prefix+fmt.Sprint(members)
		if len(before) >= len(prefix) && before[:len(prefix)] == prefix && before != now {
			t.Fatalf("%s: members changed within version %s", viewer.name, prefix)
		}
		versions[viewer.core] = now
	}
}
