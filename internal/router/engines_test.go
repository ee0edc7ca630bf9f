package router

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/configuration"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/engine"
	"github.com/granitebay/granitebay/internal/platform"
)

// testCore is a router core with a clock.
type testCore struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newTestCore(t *testing.T) *testCore {
	t.Helper()
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self := &granitebayv1.Peer{Name: "router-a-1", Incarnation: 1, Address: "a:1", Zone: "zone-a"}
	test := &testCore{t: t, core: New(Settings{Self: self, StartedAt: now}, rand.New(rand.NewPCG(1, 1))), now: now}
	test.tick(time.Second)
	return test
}

// tick moves the time on and returns the effects.
func (c *testCore) tick(step time.Duration) *core.Effects {
	c.now = c.now.Add(step)
	effects := &core.Effects{}
	c.core.Tick(c.now, effects)
	return effects
}

// list answers the latest read of the membership list.
func (c *testCore) list(members ...platform.Member) {
	c.core.HandlePlatformResponse(c.now, platform.Response{ID: c.core.list.pending, Members: members}, &core.Effects{})
}

// configure puts a document in force, as a peer sends it.
func (c *testCore) configure(revision uint64, groupSelector string, labels map[string]map[string]string) {
	c.t.Helper()
	snapshot, err := configuration.Compile(configuration.Document{
		Spec: configuration.Spec{
			Models: []configuration.Model{{Name: "m", Versions: []string{"1"}}},
			Groups: []configuration.Group{{
				Name: "fast", EngineSelector: groupSelector,
				Models:     []configuration.GroupModel{{Model: "m", Version: "1"}},
				RolePolicy: configuration.RolePolicy{AllowedRoles: engine.Roles()},
			}},
			EngineLabels: labels,
		},
		Status: configuration.Status{Revision: revision, ChangeID: "change"},
	})
	if err != nil {
		c.t.Fatalf("compile: %v", err)
	}
	document, err := configuration.Encode(snapshot.Document())
	if err != nil {
		c.t.Fatalf("encode: %v", err)
	}
	c.now = c.now.Add(time.Minute) // past the wait of a starting process for the store
	c.core.HandleEnvelope(c.now, &granitebayv1.Envelope{
		From: &granitebayv1.Peer{Name: "router-b-1"},
		Body: &granitebayv1.Envelope_ConfigurationSnapshot{ConfigurationSnapshot: &granitebayv1.ConfigurationSnapshot{
			Revision: revision, Digest: snapshot.Digest(), Document: document,
		}},
	}, &core.Effects{})
	if got := c.core.Configuration().Revision(); got != revision {
		c.t.Fatalf("revision %d is in force, want %d", got, revision)
	}
}

func TestGroupFollowsLabelsAndSelectors(t *testing.T) {
	listed := func(pool string) platform.Member {
		return platform.Member{Name: "engine-1", Kind: platform.MemberEngine, Zone: "zone-a", Labels: map[string]string{"pool": pool}}
	}
	tests := []struct {
		desc   string
		change func(c *testCore)
		want   string
	}{
		{"unchanged", func(*testCore) {}, "fast"},
		{"selector edited", func(c *testCore) { c.configure(2, "pool=b", nil) }, ""},
		{"edit of something else", func(c *testCore) { c.configure(2, "pool=a", nil) }, "fast"},
		{"label of the operators", func(c *testCore) {
			c.configure(2, "pool=a", map[string]map[string]string{"engine-1": {"pool": "b"}})
		}, ""},
		{"label of the platform", func(c *testCore) { c.list(listed("b")) }, ""},
		{"zone of the platform", func(c *testCore) {
			c.configure(2, "zone=zone-b", nil)
			moved := listed("a")
			moved.Zone = "zone-b"
			c.list(moved)
		}, "fast"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := newTestCore(t)
			c.configure(1, "pool=a", nil)
			c.list(listed("a"))
			if got := c.core.engineView("engine-1").Group; got != "fast" {
				t.Fatalf("group %q before the change", got)
			}
			test.change(c)
			if got := c.core.engineView("engine-1").Group; got != test.want {
				t.Errorf("group %q, want %q", got, test.want)
			}
		})
	}
}

func TestEnginesThatLeftAreForgotten(t *testing.T) {
	test := newTestCore(t)
	test.list(platform.Member{Name: "engine-a-1", Kind: platform.MemberEngine, Zone: "zone-a", Incarnation: 1})
	test.list()
	if got := len(test.core.Engines()); got != 1 {
		t.Fatalf("got %d engines just after the list dropped one, want 1", got)
	}
	test.now = test.now.Add(unlistedRetention)
	test.list()
	if got := len(test.core.Engines()); got != 0 {
		t.Errorf("got %d engines long after the list dropped one, want 0", got)
	}
}

func noEffects() *core.Effects { return &core.Effects{} }

// pingOf is the first message of a router.
func pingOf(name string) *granitebayv1.Envelope {
	self := &granitebayv1.Peer{Name: name, Incarnation: 1, Address: name + ":1", Zone: "zone-a"}
	return &granitebayv1.Envelope{From: self, Body: &granitebayv1.Envelope_Ping{Ping: &granitebayv1.Ping{
		Updates: []*granitebayv1.MemberUpdate{{
			Name: name, Incarnation: 1, Address: self.GetAddress(), Zone: self.GetZone(), State: granitebayv1.MemberState_MEMBER_STATE_ALIVE,
		}},
	}}}
}

func TestProbesOfEnginesThatDidNotReport(t *testing.T) {
	tests := []struct {
		desc    string
		engines int
		// want counts the engines of the other zone that are probed.
		want int
	}{
		{"a small fleet: all", 20, 10},
		{"a large fleet: those that this router may own", 200, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := newTestCore(t)
			other := pingOf("router-b-1")
			other.GetPing().GetUpdates()[0].Zone = "zone-b"
			c.core.HandleEnvelope(c.now, other, noEffects())
			var members []platform.Member
			for index := range test.engines {
				zone := []string{"zone-a", "zone-b"}[index%2]
				members = append(members, engineMember(fmt.Sprintf("engine-%s-%03d", zone, index), zone))
			}
			c.list(members...)
			probed := map[string]int{}
			for _, command := range c.tick(time.Second).Engine {
				if probe, ok := command.(engine.Probe); ok {
					probed[c.core.engines[probe.Engine].member.Zone]++
				}
			}
			if probed["zone-a"] != test.engines/2 || probed["zone-b"] != test.want {
				t.Errorf("probed %v, want %d of zone-a and %d of zone-b", probed, test.engines/2, test.want)
			}
		})
	}
}

func TestAReportChangesTheViewOfItsEngine(t *testing.T) {
	c := newTestCore(t)
	c.list(engineMember("engine-1", "zone-a"), engineMember("engine-2", "zone-a"))
	c.core.HandleEnvelope(c.now, recordsEnvelope([]*granitebayv1.EngineRecord{
		{Engine: "engine-1", Generation: 1, Role: "prefill", Model: "m"}, {Engine: "engine-2", Generation: 1, Role: "prefill", Model: "m"},
	}), noEffects())
	c.core.HandleEngineEvent(c.now, engine.Status{
		Engine: "engine-2", Incarnation: 1, AsOf: c.now, Fence: engine.Fence{Epoch: 1, Generation: 1},
	}, noEffects())
	ready := map[string]uint32{}
	for _, pool := range c.core.dispatch.Pools(c.now) {
		ready[pool.GetRole()] += pool.GetEngines()
	}
	if ready["prefill"] != 1 {
		t.Errorf("dispatch knows %d ready engines, want 1", ready["prefill"])
	}
}
