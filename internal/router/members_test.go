package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/platform"
)

func engineMember(name, zone string) platform.Member {
	return platform.Member{Name: name, Kind: platform.MemberEngine, Zone: zone, Address: name + ":1", Incarnation: 1}
}

func TestMembersInterval(t *testing.T) {
	tests := []struct {
		desc             string
		routers, engines int
		want             time.Duration
	}{
		{"one router alone reads often", 1, 5000, 2 * time.Second},
		{"demo", 8, 18, 2 * time.Second},
		{"few routers share the reads", 4, 5000, 8 * time.Second},
		{"letter 1", 320, 5200, 320 * 2 * time.Second},
		{"many routers", 1000, 1000, 2000 * readPerMember},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := newTestCore(t)
			for index := range test.routers - 1 {
				c.core.HandleEnvelope(c.now, pingOf(fmt.Sprintf("router-%d", index)), noEffects())
			}
			c.list(lo.Times(test.engines, func(i int) platform.Member { return engineMember(fmt.Sprintf("engine-%04d", i), "zone-a") })...)
			if got := c.core.MembersInterval(); got != test.want {
				t.Errorf("interval %v, want %v", got, test.want)
			}
		})
	}
}

func TestNewsOfTheMembershipList(t *testing.T) {
	news := func(c *testCore, age time.Duration, engines ...*granitebayv1.ListedEngine) {
		c.core.HandleEnvelope(c.now, &granitebayv1.Envelope{
			From: &granitebayv1.Peer{Name: "router-b-1"},
			Body: &granitebayv1.Envelope_MemberNews{MemberNews: &granitebayv1.MemberNews{
				AsOfUnixMillis: uint64(c.now.Add(-age).UnixMilli()), Engines: engines,
			}},
		}, noEffects())
	}
	gone := &granitebayv1.ListedEngine{Name: "engine-1", Gone: true}
	moved := listedEngine(engineMember("engine-1", "zone-b"))
	tests := []struct {
		desc   string
		happen func(c *testCore)
		listed bool
		zone   string
	}{
		{"gone", func(c *testCore) { news(c, 0, gone) }, false, "zone-a"},
		{"gone, but this router read the list since", func(c *testCore) { news(c, time.Hour, gone) }, true, "zone-a"},
		{"moved to another zone", func(c *testCore) { news(c, 0, moved) }, true, "zone-b"},
		{"gone, then an older word of it", func(c *testCore) { news(c, 0, gone); news(c, time.Second, moved) }, false, "zone-a"},
		{"own read that was under way", func(c *testCore) {
			c.tick(3 * time.Second)
			c.now = c.now.Add(time.Second)
			news(c, 0, gone)
			c.list(engineMember("engine-1", "zone-a"))
		}, false, "zone-a"},
		{"own read after news from a clock that is wrong", func(c *testCore) {
			news(c, -time.Hour, gone)
			c.tick(3 * time.Second)
			c.list(engineMember("engine-1", "zone-a"))
		}, true, "zone-a"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := newTestCore(t)
			c.list(engineMember("engine-1", "zone-a"))
			c.now = c.now.Add(time.Second)
			test.happen(c)
			info := c.core.engines["engine-1"]
			if info.listed != test.listed || info.member.Zone != test.zone {
				t.Errorf("listed %v in %s, want %v in %s", info.listed, info.member.Zone, test.listed, test.zone)
			}
		})
	}
}

func TestReadersTellWhatChanged(t *testing.T) {
	c := newTestCore(t)
	for index := range 9 {
		c.core.HandleEnvelope(c.now, pingOf(fmt.Sprintf("router-%d", index)), noEffects())
	}
	engines := lo.Times(100, func(i int) platform.Member { return engineMember(fmt.Sprintf("engine-%04d", i), "zone-a") })
	c.list(engines...)
	c.tick(time.Minute)
	effects := noEffects()
	c.core.HandlePlatformResponse(c.now, platform.Response{ID: c.core.list.pending, Members: engines[1:]}, effects)
	told := 0
	for _, message := range effects.Messages {
		if news := message.Envelope.GetMemberNews(); news != nil {
			told++
			if len(news.GetEngines()) != 1 || !news.GetEngines()[0].GetGone() || news.GetEngines()[0].GetName() != "engine-0000" {
				t.Errorf("news %v", news)
			}
		}
	}
	if told != 9 {
		t.Errorf("%d routers were told, want 9", told)
	}
}
