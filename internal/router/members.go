package router

import (
	"time"

	granitebayv1 "github.com/granitebay/granitebay/gen/granitebay/v1"
	"github.com/granitebay/granitebay/internal/core"
	"github.com/granitebay/granitebay/internal/platform"
)

const (
	// readPerMember is how much the time between two reads of the membership list grows with each member, so that the
	// bytes of the list that a router reads a second do not grow with the fleet.
	readPerMember = 150 * time.Millisecond
	// membersReadOften is the most members whose list each router reads at the configured interval.
	membersReadOften = 64
	// newsPerRead bounds the changes that one read tells of. The others learn the rest from their own reads.
	newsPerRead = 64
	// newsWindow is how much older a read may be than news that outrank it. Beyond it the clock of the teller is wrong.
	newsWindow = 10 * time.Second
)

// MembersInterval is the mean time between two reads of the membership list. In a large fleet it grows with the members, but not beyond
// what lets the routers together read the list as often as one router of a small fleet does. Each router tells the others
// what changed between its reads.
func (c *Core) MembersInterval() time.Duration {
	if !c.largeFleet() {
		return c.settings.MembersInterval
	}
	routers := max(1, len(c.members.Live()))
	share := time.Duration(routers+len(c.engineNames)) * readPerMember
	together := time.Duration(routers) * c.settings.MembersInterval
	return max(c.settings.MembersInterval, min(share, together))
}

// largeFleet tells whether there are too many members for each router to read all and ask all often.
func (c *Core) largeFleet() bool { return len(c.members.Live())+len(c.engineNames) > membersReadOften }

// spreadOut returns a time between half and one and a half of an interval, so that routers do not read in step. The
// configured interval is kept as it is.
func (c *Core) spreadOut(interval time.Duration) time.Duration {
	if interval <= c.settings.MembersInterval {
		return interval
	}
	return interval/2 + time.Duration(c.random.Int64N(int64(interval)))
}

// listedEngine puts an engine of the list into a message.
func listedEngine(member platform.Member) *granitebayv1.ListedEngine {
	return &granitebayv1.ListedEngine{
		Name: member.Name, Zone: member.Zone, Address: member.Address, Incarnation: member.Incarnation,
		Leaving: member.Leaving, Labels: member.Labels,
	}
}

// tellNews tells all routers what changed on the list.
func (c *Core) tellNews(news []*granitebayv1.ListedEngine, effects *core.Effects) {
	if len(news) == 0 {
		return
	}
	c.broadcast(&granitebayv1.Envelope{Body: &granitebayv1.Envelope_MemberNews{MemberNews: &granitebayv1.MemberNews{
		AsOfUnixMillis: uint64(c.list.askedAt.UnixMilli()),
		Engines:        news[:min(len(news), newsPerRead)],
	}}}, effects)
}

// handleNews takes what another router read, as far as nothing later is known.
func (c *Core) handleNews(now time.Time, news *granitebayv1.MemberNews) {
	asOf := time.UnixMilli(int64(news.GetAsOfUnixMillis()))
	zonesChanged := false
	for _, listed := range news.GetEngines() {
		info := c.engines[listed.GetName()]
		if info != nil && (asOf.Before(info.newsAt) || asOf.Before(info.readAt)) || info == nil && listed.GetGone() {
			continue
		}
		if listed.GetGone() {
			c.unlist(now, listed.GetName())
		} else {
			_, zoneChanged := c.noteListed(now, memberOf(listed))
			zonesChanged = zonesChanged || zoneChanged
		}
		c.engines[listed.GetName()].newsAt = asOf
	}
	if zonesChanged {
		c.applyEngineZones(now)
	}
}

// memberOf reads an engine of the list from a message.
func memberOf(listed *granitebayv1.ListedEngine) platform.Member {
	return platform.Member{
		Name: listed.GetName(), Kind: platform.MemberEngine, Zone: listed.GetZone(), Address: listed.GetAddress(),
		Incarnation: listed.GetIncarnation(), Leaving: listed.GetLeaving(), Labels: listed.GetLabels(),
	}
}

// heardLater tells whether another router read the list a little later than the read that was just answered.
func (c *Core) heardLater(name string) bool {
	info := c.engines[name]
	return info != nil && info.newsAt.After(c.list.askedAt) && info.newsAt.Sub(c.list.askedAt) <= newsWindow
}
