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
const recordRecoveryTime = 3500 * time.Millisecond

// recordsShow is how long after the start most workers have recorded themselves: two heartbeats. Before that a zone that is full looks
// empty.
const initialRecordTime = 2500 * time.Millisecond

// startTime is how long a fleet is new: until its first workers have recorded themselves, and before spot workers that it orders have
// booted.
const newFleetPeriod = 5 * time.Second

// CapacityGroups is part of capacity.Fleet.
func (g *Gateway) CapacityGroups() []capacity.Group {
	table := g.handler.Table()
	if table == nil || !(g.isEntry() || g.controller.GivesOrders()) {
		return nil
	}
	var groups []capacity.Group
	for _, group := range table.Configuration().Groups {
		if group.Scaling != nil {
			groups = append(groups, g.capacityGroup(group))
		}
	}
	return groups
}

// capacityOf returns what is seen of the workers of a group.
func (g *Gateway) capacityGroup(group routing.Group) capacity.Group {
	observed := capacity.Group{
		Name: group.Name, Boot: group.Scaling.Boot, Present: capacity.Plan{}, Busy: g.dispatcher.Busy(group.Name),
		Shown: g.view.Steady() > initialRecordTime, Certain: g.view.Steady() > recordRecoveryTime, New: g.view.IsNew(newFleetPeriod),
		Offer: capacity.Offer{Least: group.Scaling.Least, Most: group.Scaling.Most, SpotPrice: group.Scaling.SpotPrice},
	}
	for zone, price := range group.Scaling.ZonePrices {
		observed.Offer.Zones = append(observed.Offer.Zones, capacity.Zone{Name: zone, Price: price, NoSpot: group.Scaling.SpotPrice <= 0})
	}
	slices.SortFunc(observed.Offer.Zones, func(a, b capacity.Zone) int { return strings.Compare(a.Name, b.Name) })
	for _, view := range g.dispatcher.Workers() {
		worker := view.Worker
		if worker.Group != group.Name || worker.Draining {
			continue
		}
		count := observed.Present[worker.Zone]
		if worker.Spot {
			count.Spot++
		} else {
			count.Kept++
		}
		observed.Present[worker.Zone] = count
	}
	return observed
}
