package poolspread

import (
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/granitebay/granitebay/internal/rendezvous"
)

// treeFanout is the number of routers below each one in the tree of a zone.
const treeFanout = 2

// places is who sends to whom, as it follows from the live routers.
type places struct {
	// large is set beyond FullLimit live routers.
	large bool
	// others are all other routers, zoneOthers those of the zone.
	others, zoneOthers []Router
	// representative stands for the zone; empty before any router is known.
	representative string
	// standsForRegion is set if this router stands for its region.
	standsForRegion bool
	// regionRepresentatives stand for the other zones of the region, farRepresentatives for the zones of other regions.
	regionRepresentatives, farRepresentatives []Router
	// children are the routers below this one in the tree of the zone.
	children []Router
	planners []string
	zoneLive map[string]bool
}

// RegionOf returns the region of a zone: what stands before the last dash, or the whole name.
func RegionOf(zone string) string {
	if at := strings.LastIndexByte(zone, '-'); at > 0 {
		return zone[:at]
	}
	return zone
}

// newPlaces works out who sends to whom.
func newPlaces(settings Settings, routers []Router) places {
	self := settings.Self
	routers = slices.Clone(routers)
	slices.SortFunc(routers, compareRouters)
	live := lo.Filter(routers, func(router Router, _ int) bool { return router.Live })
	byName := lo.KeyBy(live, func(router Router) string { return router.Name })
	p := places{
		large:    len(live) > settings.FullLimit,
		others:   lo.Filter(routers, func(router Router, _ int) bool { return router.Name != self.GetName() }),
		planners: lo.Map(live, func(router Router, _ int) string { return router.Name }),
	}
	if !p.large {
		return p
	}
	p.zoneOthers = lo.Filter(p.others, func(router Router, _ int) bool { return router.Zone == self.GetZone() })
	inZone := lo.GroupByMap(live, func(router Router) (string, string) { return router.Zone, router.Name })
	p.zoneLive = lo.SliceToMap(inZone[self.GetZone()], func(name string) (string, bool) { return name, true })
	standing := lo.MapValues(inZone, func(names []string, zone string) string { return Representative(zone, names) })
	p.representative = standing[self.GetZone()]
	zones := slices.Sorted(slices.Values(lo.Keys(inZone)))
	p.planners = lo.Map(zones, func(zone string, _ int) string { return standing[zone] })
	region := RegionOf(self.GetZone())
	ownZones := lo.Filter(zones, func(zone string, _ int) bool { return RegionOf(zone) == region })
	p.standsForRegion = self.GetName() == p.representative && rendezvous.First("region/"+region, ownZones) == self.GetZone()
	for _, zone := range zones {
		switch {
		case zone == self.GetZone():
		case RegionOf(zone) == region:
			p.regionRepresentatives = append(p.regionRepresentatives, byName[standing[zone]])
		default:
			p.farRepresentatives = append(p.farRepresentatives, byName[standing[zone]])
		}
	}
	p.children = childrenOf(self.GetName(), rendezvous.Order(zoneKey(self.GetZone()), inZone[self.GetZone()]), byName)
	return p
}

// childrenOf returns the routers below one in the tree that an order forms, whose first is the root.
func childrenOf(name string, order []string, byName map[string]Router) []Router {
	at := slices.Index(order, name)
	if at < 0 {
		return nil
	}
	first := min(treeFanout*at+1, len(order))
	last := min(first+treeFanout, len(order))
	return lo.Map(order[first:last], func(child string, _ int) Router { return byName[child] })
}

// Representative returns the router that stands for a zone, out of the live ones of the zone.
func Representative(zone string, live []string) string { return rendezvous.First(zoneKey(zone), live) }

func zoneKey(zone string) string { return "zone/" + zone }

// inZone tells whether a router is a live one of this zone.
func (p *places) inZone(name string) bool { return p.zoneLive[name] }
