package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/granitebay/granitebay/internal/capacity"
	"github.com/granitebay/granitebay/internal/routing"
)

// recordsBack is how long after an outage of the store, or the start, the records of workers may be missing that live: the pages say
// two seconds, and a heartbeat besides.
const recordsBack = 3500 * time.Millisecond

// recordsShow is how long after the start most workers have recorded themselves: two heartbeats. Before that a zone that is full looks
// empty.
const recordsShow = 2500 * time.Millisecond

// startTime is how long a fleet is new: until its first workers have recorded themselves, and before spot workers that it orders have
// booted.
const startTime = 5 * time.Second

// CapacityGroups is part of capacity.Fleet.
func (g *Gateway) CapacityGroups() []capacity.Group {
	table := g.handler.Table()
	if table == nil || !(g.takesRequests() || g.controller.GivesOrders()) {
		return nil
	}
	var groups []capacity.Group
	for _, group := range table.Configuration().Groups {
		if group.Scaling != nil {
			groups = append(groups, g.capacityOf(group))
		}
	}
	return groups
}

// capacityOf returns what is seen of the workers of a group.
func (g *Gateway) capacityOf(group routing.Group) capacity.Group {
	seen := capacity.Group{
		Name: group.Name, Boot: group.Scaling.Boot, Present: capacity.Plan{}, Busy: g.dispatcher.Busy(group.Name),
		Shown: g.view.Steady() > recordsShow, Certain: g.view.Steady() > recordsBack, New: g.view.IsNew(startTime),
		Offer: capacity.Offer{Least: group.Scaling.Least, Most: group.Scaling.Most, SpotPrice: group.Scaling.SpotPrice},
	}
	for zone, price := range group.Scaling.ZonePrices {
		seen.Offer.Zones = append(seen.Offer.Zones, capacity.Zone{Name: zone, Price: price, NoSpot: group.Scaling.SpotPrice <= 0})
	}
	slices.SortFunc(seen.Offer.Zones, func(a, b capacity.Zone) int { return strings.Compare(a.Name, b.Name) })
	for _, view := range g.dispatcher.Workers() {
		w := view.Worker
		if w.Group != group.Name || w.Draining {
			continue
		}
		count := seen.Present[w.Zone]
		if w.Spot {
			count.Spot++
		} else {
			count.Kept++
		}
		seen.Present[w.Zone] = count
	}
	return seen
}
